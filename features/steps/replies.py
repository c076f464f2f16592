"""Steps on the messages in which an owner's parts travel."""

from behave import given, then, when

from features.steps import cell_bench
from monsoonhoist.core import clock, data, events, exchange, fanout, kernel, messages

MYSELF = data.InstanceId("i-0")
OTHER = data.InstanceId("i-1")


@given("an owner with {count:d} shards of a query of another instance")
def make_owner(context, count, origin=OTHER):
    """Makes the owner and gives it the work."""
    context.clock = clock.ManualClock(10.0)
    made = kernel.make_kernel(MYSELF, cell_bench.ZONE, context.clock, cell_bench.POLICIES)
    context.owner = made.owner
    tables = cell_bench.make_tables(cell_bench.Load(shards=count))
    context.owner.handle(events.ViewChanged(tables, (MYSELF, OTHER), (MYSELF, OTHER), 1))
    services = tuple(tables.pool_by_id[cell_bench.POOL].servers_by_service)
    content = exchange.HttpRequest("GET", "/", (), b"")
    spec = fanout.QuerySpec(
        data.QueryId("q"),
        cell_bench.ROUTE,
        cell_bench.POOL,
        data.Rank.URGENT,
        content,
        5,
        1000,
        0.2,
        True,
        merge="greatest-records",
    )
    batch = messages.SubBatch(origin, spec, cell_bench.VERSION, 1, services)
    commands = context.owner.handle(events.BatchArrived(batch))
    context.calls = [command for command in commands if isinstance(command, events.StartCall)]
    context.sent = []


@given("an owner with {count:d} shards of a query of its own")
def make_own(context, count):
    """Makes the owner and gives it work of its own entry."""
    make_owner(context, count, MYSELF)


@when("the servers of {count:d} shards answer at once")
def answer(context, count):
    """Lets calls end."""
    for call in context.calls[:count]:
        note(context, context.owner.handle(cell_bench.answered(call)))


@when("{ms:d} ms pass at the replying owner")
def let_pass(context, ms):
    """Moves the clock to where the owner wants to act, at most so far."""
    until = context.clock.now_seconds + ms / 1000
    wake = context.owner.next_wake()
    if wake is not None and wake <= until:
        context.clock.now_seconds = wake
        note(context, context.owner.handle(events.TimeReached()))
    context.clock.now_seconds = until


def note(context, commands):
    """Notes the replies among some commands."""
    context.sent += [
        command.message
        for command in commands
        if isinstance(command, events.SendMessage)
        and isinstance(command.message, messages.SubReply)
    ]


@then("nothing has been sent")
def check_nothing(context):
    """Checks that the parts wait."""
    assert not context.sent, context.sent


@then("{count:d} message with {parts:d} parts has been sent")
@then("{count:d} messages with {parts:d} parts have been sent")
def check_sent(context, count, parts):
    """Checks the replies."""
    assert len(context.sent) == count, context.sent
    assert sum(len(reply.parts) for reply in context.sent) == parts, context.sent
