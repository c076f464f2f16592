"""Steps that test the slow start of servers with the simulation that compares paces."""

from behave import given, then, when

from bench import paces
from monsoonhoist import settings
from monsoonhoist.core import data, exchange
from monsoonhoist.policy import pace
from monsoonhoist.shards import kernel_config, slow_start

LATENCY_SECONDS = 0.02
SERVER = data.Server("x", "s", "10.0.0.1:1", "z", 2, 10, False)


@when('the servers of a zone return as in "{name}"')
def run_scenario(context, name):
    """Runs one scenario of the comparison with the pace of the program."""
    scenario = next(scenario for scenario in paces.SCENARIOS if scenario.name == name)
    context.summary = paces.Simulation(scenario, pace.ResponsePace, seed=2).run()


@then("they receive at most {most:d}% of their usual load in the first second")
def check_first_second(context, most):
    """Checks the load right after the return."""
    assert context.summary.first_second_share * 100 <= most, context.summary


@then("at most {most:d}% of queries are late")
def check_late(context, most):
    """Checks the share of late queries since the return."""
    assert context.summary.late_share * 100 <= most, context.summary


@then("they have their usual load after at most {seconds:d} s")
def check_share(context, seconds):
    """Checks how long the servers are spared."""
    assert context.summary.seconds_to_share <= seconds, context.summary


@given("a server that starts slowly after {count:d} failure")
@given("a server that starts slowly after {count:d} failures")
def make_server(context, count):
    """Makes a server's pace and records failures at one time."""
    context.starts = slow_start.SlowStarts(pace.ResponsePace)
    context.pace = slow_start.ServerPace(SERVER, context.starts)
    for _ in range(count):
        context.pace.record_failure(0.0)


def record_replies(context, count, ratio=1.0, load=None):
    """Records replies of calls that follow each other; returns the share afterwards."""
    now = 0.0
    for _ in range(count):
        now += LATENCY_SECONDS * ratio
        context.pace.record_reply(LATENCY_SECONDS * ratio, LATENCY_SECONDS, load, now)
    return context.pace.share(now)


@then("its share is {percent:d}% at once and {full:d}% after {calls:d} calls of usual latency")
def check_shares(context, percent, full, calls):
    """Checks the share after the failures and after calls, and the reports of both."""
    assert round(context.pace.share(0.0) * 100) == percent, context.pace.share(0.0)
    assert round(record_replies(context, calls) * 100) == full
    began, ended = context.starts.flush()
    assert (began.server, began.cause) == ("x", "backoff"), began
    assert ended.age_seconds == round(calls * LATENCY_SECONDS, 3), ended


@then("its share falls after each of")
def check_falls(context):
    """Records one reply with each latency and load, at a new server each."""
    for row in context.table:
        make_server(context, 1)
        numbers = [int(number) for number in row["load"].split(",") if number]
        load = exchange.Load(*numbers) if numbers else None
        before = context.pace.share(0.0)
        assert record_replies(context, 1, float(row["latency ratio"]), load) < before, row


@then(
    "a share of {percent:d}% of {count:d} servers lets {least:d}% to {most:d}% of queries through,"
    " the same for all servers"
)
def check_positions(context, percent, count, least, most):
    """Counts the queries that a server may receive; their position depends on the query alone."""
    positions = [pace.position_of(data.QueryId(f"i.1.{number}")) for number in range(2000)]
    passed = sum(position < pace.query_part(percent / 100, count) for position in positions)
    assert least <= passed / 20 <= most, passed


@given("a server of 2 slots that is added, and {cells:d} cells")
def make_added(context, cells):
    """Makes the pace of a server that is added."""
    starts = slow_start.SlowStarts(pace.ResponsePace)
    starts.cell_count = cells
    context.pace = slow_start.ServerPace(SERVER, starts)
    context.pace.begin(slow_start.Cause.ADDED, 0.0)


@then("a query that its share leaves out is the first that it may receive after {count:d} others")
def check_first_call(context, count):
    """Passes queries of the last position; the exception ends with the first result."""
    passed = [context.pace.lets_through(0.99, 3, True, 0.0) for _ in range(count + 1)]
    assert passed == [False] * count + [True], passed
    assert not context.pace.lets_through(0.99, 3, False, 0.0)
    context.pace.record_reply(LATENCY_SECONDS, LATENCY_SECONDS, None, 0.0)
    assert not context.pace.lets_through(0.99, 3, True, 0.0)


@then("a server that is added receives its usual load without the setting")
def check_default(context):
    """Checks the defaults of the options and of the settings."""
    assert kernel_config.KernelOptions().make_pace is None
    assert not settings.PaceSection().slow_start
    server_pace = slow_start.ServerPace(SERVER, slow_start.SlowStarts(None))
    server_pace.begin(slow_start.Cause.ADDED, 0.0)
    assert server_pace.share(0.0) == 1.0 and server_pace.current is None
