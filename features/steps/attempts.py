"""Steps on the limits that the instances of a cell keep together."""

from behave import given, then, when

from features.steps import cell_bench


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
