"""Steps that test the figures of the capacity page."""

from behave import then, when

from bench import capacity


@when("the figures are computed from the slopes")
def compute_figures(context):
    """Computes the figures with ``bench/capacity.py``."""
    context.figures = capacity.figures()


@then("the capacity page contains exactly these figures")
def check_page(context):
    """Checks that inserting the figures does not change the page."""
    page = capacity.PAGE_PATH.read_text(encoding="utf-8")
    assert capacity.replace_figures(context.figures, page) == page
