"""Steps that change the snapshots of backend servers."""

from behave import then, when

from standins import site


def set_each(context, pool, snapshots):
    """Sets the snapshots of a pool's servers, waiting for answers between."""
    for server in context.site.servers(pool):
        context.site.behave(server, snapshots=snapshots)
        context.callers.wait_for(1)


@when('each server of "{pool}" adds snapshot {new:d} to snapshot {old:d}, one by one')
def add_snapshot(context, pool, new, old):
    """Adds a snapshot server by server."""
    set_each(context, pool, [old, new])


@when('each server of "{pool}" drops snapshot {old:d}, one by one')
def drop_snapshot(context, pool, old):
    """Drops a snapshot server by server; the next one stays."""
    set_each(context, pool, [old + 1])


@when('each server of "{pool}" drops all snapshots but {new:d}, one by one')
def replace_snapshots(context, pool, new):
    """Replaces all snapshots server by server."""
    set_each(context, pool, [new])


@when('the servers "{first}" and "{second}" hold only snapshot {old:d} and all others only {new:d}')
def split_snapshots(context, first, second, old, new):
    """Leaves one shard at an old snapshot."""
    for server in context.site.servers("allocator"):
        context.site.behave(server, snapshots=[old if server in (first, second) else new])


@then("at least {percent:d} % of the answers are complete")
def check_share(context, percent):
    """Checks the share of whole answers among the callers'."""
    outcomes = [answer["outcome"] for answer in context.callers.answers]
    whole = outcomes.count("answered")
    assert whole * 100 >= percent * len(outcomes), f"{whole} of {len(outcomes)}"


@then("eventually a query at instance {number:d} is answered from snapshot {snapshot:d}")
def check_snapshot(context, number, snapshot):
    """Waits until the newest snapshot is answered from, whole."""

    def is_newest():
        answer = context.site.ask(number, "boat-search", "again")
        return answer["outcome"] == "answered" and answer["snapshot"] == snapshot

    site.wait_until(is_newest, f"no whole answer from snapshot {snapshot}")
