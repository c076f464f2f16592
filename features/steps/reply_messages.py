"""Steps that test how an owner combines parts into reply messages."""

from behave import given, then, when

from features.steps import cell_simulation
from monsoonhoist.core import clock, data, exchange
from monsoonhoist.kernels import kernel
from monsoonhoist.protocol import events, fanout, messages

LOCAL_INSTANCE = data.InstanceId("i-0")
REMOTE_INSTANCE = data.InstanceId("i-1")


@given("an owner with {count:d} shards of a query of another instance")
def make_owner(context, count, entry=REMOTE_INSTANCE):
    """Makes the kernel of an owner and sends it the sub-requests of a query."""
    context.clock = clock.ManualClock(10.0)
    kernels = kernel.make_kernel(
        LOCAL_INSTANCE, cell_simulation.ZONE, context.clock, cell_simulation.POLICIES
    )
    context.owner = kernels.owner
    tables = cell_simulation.make_tables(cell_simulation.LoadOptions(shards=count))
    context.owner.handle(
        events.ViewChanged(
            tables, (LOCAL_INSTANCE, REMOTE_INSTANCE), (LOCAL_INSTANCE, REMOTE_INSTANCE), 1
        )
    )
    services = tuple(tables.pool_by_id[cell_simulation.POOL].servers_by_service)
    content = exchange.HttpRequest("GET", "/", (), b"")
    spec = fanout.QuerySpec(
        data.QueryId("q"),
        cell_simulation.ROUTE,
        cell_simulation.POOL,
        data.Rank.URGENT,
        content,
        5,
        1000,
        0.2,
        True,
        merge="greatest-records",
    )
    batch = messages.SubBatch(entry, spec, cell_simulation.SNAPSHOT, 1, services)
    commands = context.owner.handle(events.BatchArrived(batch))
    context.calls = [command for command in commands if isinstance(command, events.StartCall)]
    context.sent_replies = []


@given("an owner with {count:d} shards of a query of the same instance")
def make_owner_of_local_query(context, count):
    """Makes the owner and sends it the sub-requests of a query of its own instance."""
    make_owner(context, count, LOCAL_INSTANCE)


@when("the servers of {count:d} shards reply at the same time")
def reply(context, count):
    """Ends the first calls with a reply."""
    for call in context.calls[:count]:
        record_replies(context, context.owner.handle(cell_simulation.make_reply(call)))


@when("{ms:d} ms pass at the replying owner")
def advance_clock(context, ms):
    """Advances the clock, and passes ``TimeReached`` to the owner if it is due by then."""
    until = context.clock.now_seconds + ms / 1000
    wake = context.owner.next_wake()
    if wake is not None and wake <= until:
        context.clock.now_seconds = wake
        record_replies(context, context.owner.handle(events.TimeReached()))
    context.clock.now_seconds = until


def record_replies(context, commands):
    """Records the reply messages among commands."""
    context.sent_replies += [
        command.message
        for command in commands
        if isinstance(command, events.SendMessage)
        and isinstance(command.message, messages.SubReply)
    ]


@then("nothing has been sent")
def check_nothing(context):
    """Checks that no reply has been sent."""
    assert not context.sent_replies, context.sent_replies


@then("{count:d} message with {parts:d} parts has been sent")
@then("{count:d} messages with {parts:d} parts have been sent")
def check_sent(context, count, parts):
    """Checks the number of reply messages and of their parts."""
    assert len(context.sent_replies) == count, context.sent_replies
    assert sum(len(reply.parts) for reply in context.sent_replies) == parts, context.sent_replies
