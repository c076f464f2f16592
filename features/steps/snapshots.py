"""Steps that change the snapshots of backend servers."""

from behave import then, when

from standins import site


def set_snapshots(context, pool, snapshots):
    """Sets the snapshots of a pool's servers in turn, waiting for an answer after each."""
    for server in context.site.servers(pool):
        context.site.set_behaviour(server, snapshots=snapshots)
        context.callers.wait_for(1)


@when('each server of "{pool}" adds snapshot {new:d} to snapshot {old:d}, one by one')
def add_snapshot(context, pool, new, old):
    """Adds a snapshot to one server after another."""
    set_snapshots(context, pool, [old, new])


@when('each server of "{pool}" drops snapshot {old:d}, one by one')
def drop_snapshot(context, pool, old):
    """Removes a snapshot from one server after another and keeps the next one."""
    set_snapshots(context, pool, [old + 1])


@when('each server of "{pool}" drops all snapshots but {new:d}, one by one')
def replace_snapshots(context, pool, new):
    """Replaces all snapshots of one server after another."""
    set_snapshots(context, pool, [new])


@when('the servers "{first}" and "{second}" hold only snapshot {old:d} and all others only {new:d}')
def split_snapshots(context, first, second, old, new):
    """Sets an older snapshot for the servers of one shard."""
    for server in context.site.servers("allocator"):
        context.site.set_behaviour(server, snapshots=[old if server in (first, second) else new])


@then("at least {percent:d} % of the answers are complete")
def check_complete_share(context, percent):
    """Checks the share of complete answers to the background callers."""
    outcomes = [answer["outcome"] for answer in context.callers.accepted_answers()]
    complete_count = outcomes.count("answered")
    assert complete_count * 100 >= percent * len(outcomes), (
        f"{complete_count} of {len(outcomes)} answers are complete"
    )


@then("eventually a query at instance {number:d} is answered from snapshot {snapshot:d}")
def wait_for_snapshot(context, number, snapshot):
    """Waits until a complete answer comes from the given snapshot."""

    def is_from_snapshot():
        answer = context.site.send_query(number, "boat-search", "again")
        return answer["outcome"] == "answered" and answer["snapshot"] == snapshot

    site.wait_until(
        is_from_snapshot, f"no complete answer from snapshot {snapshot} at instance {number}"
    )
