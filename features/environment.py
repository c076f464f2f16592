"""Fixtures shared by all features."""

import behave

from standins import site

SITE_BY_TAG = {
    "site_three": site.SiteOptions(pools=("allocator", "boathouse")),
    "site_relayed": site.SiteOptions(
        pools=("allocator", "boathouse"),
        relayed_instances=(3,),
        relayed_server="allocator-03-a",
    ),
    "site_sparse": site.SiteOptions(
        pools=("allocator",),
        instances=6,
        settings="[spread]\nneighbours = 2\n[timing]\nbalancer_lag_ms = 300\n",
        is_full_mesh=False,
    ),
    "site_booking_relayed": site.SiteOptions(
        pools=("allocator", "boathouse"), relayed_server="boathouse-a"
    ),
    "site_zurichsee": site.SiteOptions(pools=("allocator", "boathouse")),
    "site_tasmania": site.SiteOptions(
        example="tasmania-south",
        zones=("hobart", "huon", "derwent-valley", "tasman"),
        pools=("bakery-desk", "kiln-archive", "clay-supply"),
    ),
}


@behave.fixture
def running_site(context, options):
    """Starts a deployment and ends it after the feature or scenario."""
    context.site = site.Site(options)
    try:
        yield context.site.start()
    finally:
        context.site.stop()


def before_tag(context, tag):
    """Starts the deployment that a tag names."""
    if tag in SITE_BY_TAG:
        behave.use_fixture(running_site, context, SITE_BY_TAG[tag])


def before_scenario(context, scenario):
    """Gives each scenario its own collections."""
    context.answers = []
    context.answer_by_name = {}
