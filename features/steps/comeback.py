"""Steps of the pause that refused callers are asked for."""

from behave import then, when

from monsoonhoist.core import data, retry_after


@when('{count:d} requests are refused because of "{reason}"')
def refuse(context, count, reason):
    """Works out each pause."""
    context.pauses_ms = [
        1000 * retry_after.delay_seconds(data.Refusal(reason), f"request {number}")
        for number in range(count)
    ]


@then("they come back after {least:d} to {most:d} ms")
def check_bounds(context, least, most):
    """Checks the bounds."""
    context.bounds = (least, most)
    assert all(least <= pause <= most for pause in context.pauses_ms), context.pauses_ms


@then("each quarter of that time has {least:d} to {most:d} of them")
def check_spread(context, least, most):
    """Checks the spread."""
    low, high = context.bounds
    quarter = (high - low) / 4
    for index in range(4):
        start = low + index * quarter
        found = sum(start <= pause < start + quarter for pause in context.pauses_ms)
        assert least <= found <= most, (index, found)
