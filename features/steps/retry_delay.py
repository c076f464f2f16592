"""Steps that test the retry delay for refused callers."""

from behave import then, when

from monsoonhoist.core import data
from monsoonhoist.overload import retry_after


@when('{count:d} requests are refused because of "{reason}"')
def refuse(context, count, reason):
    """Computes the retry delay of each request."""
    context.delays_ms = [
        1000 * retry_after.delay_seconds(data.Refusal(reason), f"request {number}")
        for number in range(count)
    ]


@then("their retry delays are {least:d} to {most:d} ms")
def check_bounds(context, least, most):
    """Checks the smallest and the largest delay."""
    context.bounds = (least, most)
    assert all(least <= delay <= most for delay in context.delays_ms), context.delays_ms


@then("each quarter of that range contains {least:d} to {most:d} of the delays")
def check_spread(context, least, most):
    """Checks the number of delays in each quarter of the range."""
    low, high = context.bounds
    quarter = (high - low) / 4
    for index in range(4):
        start = low + index * quarter
        count = sum(start <= delay < start + quarter for delay in context.delays_ms)
        assert least <= count <= most, (index, count)
