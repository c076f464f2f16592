"""Steps on the limits that the instances of a cell keep together."""

from behave import given, then, when

from features.steps import cell_bench
from monsoonhoist.core import clock, sliding_maximum

WINDOW_SECONDS = 10.0


@given("a cell of {members:d} instances and a route of {attempts:d} attempts, by seed {seed:d}")
def set_load(context, members, attempts, seed):
    """Decides what is played."""
    context.seed = seed
    context.load = {"members": members, "attempts": attempts}


@when("callers send {queries:d} queries to {shards:d} shards")
def play(context, queries, shards):
    """Plays the load to its end."""
    load = cell_bench.Load(queries=queries, shards=shards, **context.load)
    context.bench = cell_bench.CellBench(context.seed, load)
    context.bench.run()


@then("all queries are answered")
def check_answers(context):
    """Checks that each query has one answer."""
    assert len(context.bench.answers) == context.bench.load.queries, len(context.bench.answers)


@then("no shard's work ran on more than {most:d} servers")
def check_servers(context, most):
    """Checks each query's shards."""
    over = {
        key: servers for key, servers in context.bench.ran_by_work.items() if len(servers) > most
    }
    assert not over, over


@given(
    "a cell of {members:d} instances and a budget of {share:d} of 100 calls"
    " and {more:d} more in 10 s, by seed {seed:d}"
)
def set_budget(context, members, share, more, seed):
    """Decides on the budget."""
    context.seed = seed
    context.load = {"members": members, "ratio": share / 100, "allowance": float(more)}


@given("every second server is slow and one call of ten loses its answer")
def worsen(context):
    """Makes many second calls wanted."""
    context.load |= {"slow_share": 0.5, "lost_share": 0.1}


@then("no 10 s have more extra calls for a shard than that budget")
def check_windows(context):
    """Compares each window that ends with a call to the queries of that window."""
    bench = context.bench
    context.most_by_service = {}
    for service, arrivals in bench.arrivals_by_service.items():
        queries = bench.queries_by_service[service]
        most = 0
        for ends in arrivals:
            extra = count_in(arrivals, ends) - count_in(queries, ends)
            allowed = bench.load.ratio * count_in(queries, ends) + bench.load.allowance
            assert extra <= allowed, (service, ends, extra, allowed)
            most = max(most, extra / allowed)
        context.most_by_service[service] = most


@then("some shard has used a quarter of it")
def check_used(context):
    """Checks that the budget was put to the test."""
    assert max(context.most_by_service.values()) >= 0.25, context.most_by_service


def count_in(instants, ends):
    """Returns how many instants lie in the window that ends at an instant."""
    return sum(ends - WINDOW_SECONDS < instant <= ends for instant in instants)


@given("the number of known instances is held for {seconds:d} s")
def make_held(context, seconds):
    """Makes the held number."""
    context.clock = clock.ManualClock()
    context.held = sliding_maximum.SlidingMaximum(context.clock, seconds)


@when("{number:d} instances are known")
def note_known(context, number):
    """Notes a number."""
    context.divisor = context.held.add(number)


@when("{number:d} instances are known {seconds:d} s later")
def note_known_later(context, number, seconds):
    """Notes a number after a while."""
    context.clock.advance(seconds)
    note_known(context, number)


@then("limits are divided by {number:d}")
def check_divisor(context, number):
    """Checks the number that counts."""
    assert context.divisor == number, context.divisor
