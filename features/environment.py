"""Fixtures and hooks of behave that all features share."""

import base64
import signal
import sys

import behave

from features import failure_report
from standins import fleet, shards, site

SITE_OPTIONS_BY_TAG = {
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
    "site_short_stop": site.SiteOptions(
        pools=("allocator", "boathouse"),
        settings="[timing]\nbalancer_lag_ms = 300\ndrain_max_ms = 700\n",
    ),
    "site_booking_relayed": site.SiteOptions(
        pools=("allocator", "boathouse"), relayed_server="boathouse-a"
    ),
    "site_zurichsee": site.SiteOptions(pools=("allocator", "boathouse")),
    # Memory and descriptors of the machine are not in the native settings of all versions, so that
    # the descriptors are limited for the process, and the memory by the defaults.
    "site_untrusted": site.SiteOptions(
        pools=("allocator",),
        instances=2,
        settings="[limits]\nbody_bytes = 4194304\n"
        "[timing]\nbalancer_lag_ms = 300\ncaller_body_ms = 20000\n",
        program=(
            *("bash", "-c", 'ulimit -n 400; exec "$@"', "monsoonhoist"),
            *(sys.executable, "-m", "monsoonhoist"),
        ),
    ),
    "site_tasmania": site.SiteOptions(
        example="tasmania-south",
        zones=("hobart", "huon", "derwent-valley", "tasman"),
        pools=("bakery-desk", "kiln-archive", "clay-supply"),
    ),
}

# Cell size of the deployment on the users' platform; 0 to derive it from the tables.
CELL_SIZE_BY_TAG = {"fleet": 0, "fleet_cell": fleet.INSTANCE_COUNT}
# Number of instances of a deployment in which some instances learn of a change only from others.
SIX_TAG = "fleet_six"
SIX_INSTANCES = 6
# Options of a small deployment on machines with little memory and few descriptors.
UNTRUSTED_TAG = "fleet_untrusted"
UNTRUSTED_OPTIONS = {
    "instances": 2,
    "value_by_placeholder": {"Limits.MemoryLimitMb": "160", "Limits.MaxFds": "600"},
    "request_limits": {
        "MaxBodyBytes": 262_144,
        "MaxHeaderBytes": 16_384,
        "HeaderTimeoutMs": 1_500,
        "IdleTimeoutMs": 20_000,
    },
}


@behave.fixture
def running_site(context, options):
    """Starts a deployment and stops it after the feature or scenario."""
    context.site = site.Site(options)
    failure_report.note_evidence(_started_item(context), context.site.folder)
    try:
        yield context.site.start()
    finally:
        context.site.stop()


@behave.fixture
def running_fleet(context, cell_size, **options):
    """Starts a deployment on the users' platform and stops it after the feature."""
    context.fleet = fleet.Fleet(cell_size, **options)
    failure_report.note_evidence(_started_item(context), context.fleet.folder)
    try:
        yield context.fleet.start()
    finally:
        context.fleet.stop()


def _started_item(context):
    """Returns the scenario or the feature for which a deployment is started."""
    return getattr(context, "scenario", None) or context.feature


def before_all(context):
    """Registers the report of failures, and lets SIGTERM end the run as Ctrl+C does.

    The processes of a deployment would otherwise outlive the run and keep their ports.
    """
    failure_report.register(context.config)
    signal.signal(signal.SIGTERM, signal.default_int_handler)


def before_tag(context, tag):
    """Starts the deployment of a tag."""
    if tag in CELL_SIZE_BY_TAG:
        behave.use_fixture(running_fleet, context, CELL_SIZE_BY_TAG[tag])
    if tag == SIX_TAG:
        behave.use_fixture(running_fleet, context, 0, instances=SIX_INSTANCES)
    if tag == UNTRUSTED_TAG:
        behave.use_fixture(running_fleet, context, 0, **UNTRUSTED_OPTIONS)
    if tag in SITE_OPTIONS_BY_TAG:
        behave.use_fixture(running_site, context, SITE_OPTIONS_BY_TAG[tag])


def before_scenario(context, scenario):
    """Creates the collections that the steps of a scenario fill."""
    context.answers = []
    context.answer_by_name = {}
    context.replies = []
    context.request_ids = []


def after_scenario(context, scenario):
    """Notes the evidence, and resets a deployment on the users' platform."""
    deployment = getattr(context, "fleet", None) or getattr(context, "site", None)
    if deployment is not None:
        failure_report.note_evidence(scenario, deployment.folder, context.request_ids)
    if "fleet" in context:
        for name, server in context.fleet.server_by_name.items():
            server.behaviour = shards.Behaviour()
            if not context.fleet.call_in_thread(
                lambda name=name: is_ready_in_store(context.fleet, name)
            ):
                context.fleet.set_state(name, "ready")
        context.fleet.store.fault = ""
        own_prefixes = ("other/", "op/evacuate/")
        for key in [key for key in context.fleet.store.item_by_key if key.startswith(own_prefixes)]:
            context.fleet.call_in_thread(lambda key=key: context.fleet.store.remove(key))
        context.fleet.publish()


def is_ready_in_store(deployment, name):
    """Returns whether the store contains a server's item with the state "ready"."""
    item = deployment.store.item_by_key.get(f"servers/{name}")
    return item is not None and b'"ready"' in base64.b64decode(item["Value"])
