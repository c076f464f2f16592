"""Steps that test the limits on the calls of all instances of a cell together."""

from behave import given, then, when

from features.steps import cell_simulation
from monsoonhoist.core import clock, sliding_maximum

WINDOW_SECONDS = 10.0


@given(
    "a cell of {members:d} instances and a route of {calls:d} calls per shard, with seed {seed:d}"
)
def set_call_limit(context, members, calls, seed):
    """Sets the size of the cell and the number of calls that the route allows for each shard."""
    context.seed = seed
    context.load_options = {"members": members, "calls_per_shard_max": calls}


@when("callers send {queries:d} queries to {shards:d} shards")
def run_simulation(context, queries, shards):
    """Runs the simulation until all queries have ended."""
    load = cell_simulation.LoadOptions(queries=queries, shards=shards, **context.load_options)
    context.simulation = cell_simulation.CellSimulation(context.seed, load)
    context.simulation.run()


@then("all queries are answered")
def check_answers(context):
    """Checks that there are as many answers as queries."""
    assert len(context.simulation.answers) == context.simulation.load.queries, len(
        context.simulation.answers
    )


@then("the work of no shard ran on more than {most:d} servers")
def check_servers(context, most):
    """Checks the servers that ran the work of each query and shard."""
    violations = {
        work: servers
        for work, servers in context.simulation.servers_by_work.items()
        if len(servers) > most
    }
    assert not violations, violations


@given(
    "a cell of {members:d} instances and a budget of {percent:d}% of the calls"
    " and {more:d} more in 10 s, with seed {seed:d}"
)
def set_budget(context, members, percent, more, seed):
    """Sets the budget for extra calls, as a share of the first calls and an allowance."""
    context.seed = seed
    context.load_options = {"members": members, "ratio": percent / 100, "allowance": float(more)}


@given("on average every second server is slow and the replies to 10% of the calls are lost")
def increase_faults(context):
    """Sets shares of slow servers and lost replies that make many second calls necessary."""
    context.load_options |= {"slow_share": 0.5, "lost_share": 0.1}


@then("no window of 10 s has more extra calls to a shard than that budget")
def check_windows(context):
    """Compares the calls to the queries in each window that ends with a call."""
    simulation = context.simulation
    context.used_share_by_service = {}
    for service, call_times in simulation.call_times_by_service.items():
        query_times = simulation.query_times_by_service[service]
        used_share = 0
        for end in call_times:
            extra = count_in_window(call_times, end) - count_in_window(query_times, end)
            allowed = (
                simulation.load.ratio * count_in_window(query_times, end)
                + simulation.load.allowance
            )
            assert extra <= allowed, (service, end, extra, allowed)
            used_share = max(used_share, extra / allowed)
        context.used_share_by_service[service] = used_share


@then("at least one shard has used a quarter of that budget")
def check_used(context):
    """Checks that in some window, the extra calls reached a quarter of the allowed number."""
    assert max(context.used_share_by_service.values()) >= 0.25, context.used_share_by_service


def count_in_window(times, end):
    """Returns how many times lie in the window that ends at ``end``."""
    return sum(end - WINDOW_SECONDS < time <= end for time in times)


@given("limits are divided by the largest number of known instances within {seconds:d} s")
def make_maximum(context, seconds):
    """Makes the sliding maximum of the number of instances."""
    context.clock = clock.ManualClock()
    context.maximum = sliding_maximum.SlidingMaximum(context.clock, seconds)


@when("{number:d} instances are known")
def add_number(context, number):
    """Adds the current number of known instances."""
    context.divisor = context.maximum.add(number)


@when("{number:d} instances are known {seconds:d} s later")
def add_number_later(context, number, seconds):
    """Adds a number of known instances after a pause."""
    context.clock.advance(seconds)
    add_number(context, number)


@then("limits are divided by {number:d}")
def check_divisor(context, number):
    """Checks the largest number of the window."""
    assert context.divisor == number, context.divisor
