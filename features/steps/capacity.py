"""Steps of the capacity page."""

from behave import then, when

from bench import capacity


@when("the figures are worked out from the slopes")
def work_out(context):
    """Works out the figures."""
    context.figures = capacity.figures()


@then("the capacity page holds exactly these figures")
def check_page(context):
    """Compares the page with the figures."""
    page = capacity.PAGE_PATH.read_text(encoding="utf-8")
    assert capacity.page_with(context.figures, page) == page
