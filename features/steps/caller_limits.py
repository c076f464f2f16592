"""Steps that drive the decisions on what callers may hold."""

import asyncio
import logging

from behave import given, then, when

from features.steps import silent_owners
from monsoonhoist import logs
from monsoonhoist.core import clock, data, exchange
from monsoonhoist.kernels import kernel
from monsoonhoist.node import held_transfers
from monsoonhoist.overload import held_bytes, open_connections
from monsoonhoist.protocol import events, fanout, message_events, messages
from monsoonhoist.shards import kernel_config

SERVERS_BYTES = 67_108_864
PIECE_BYTES = 65_536


@given("the account of the callers on a machine of {memory:d} MB")
def make_account(context, memory):
    """Creates the account."""
    shares = held_bytes.make_shares(memory, SERVERS_BYTES)
    context.account = held_bytes.HeldBytes(shares.callers)


@when(
    "{count:d} callers have each sent {size:d} bytes in pieces, and {others:d} others {small:d}"
    " bytes"
)
def send_all(context, count, size, others, small):
    """Adds the pieces of all callers in turns, and ends whom the account names."""
    context.ended = set()
    context.most = 0
    for number in range(others):
        context.account.add(f"small-{number}", small)
    for _ in range(size // PIECE_BYTES + 1):
        for number in range(count):
            if number in context.ended:
                continue
            largest = context.account.add(number, PIECE_BYTES)
            if largest is not None:
                context.account.release(largest)
                context.ended.add(largest)
            context.most = max(context.most, context.account.total)


@then("the account has never held more than {count:d} bytes")
def check_most(context, count):
    """Checks the largest total."""
    assert 0 < context.most <= count, context.most
    assert context.ended


@then("none of the {count:d} callers has been ended")
def check_small(context, count):
    """Checks that only large holders were ended."""
    assert not [key for key in context.ended if isinstance(key, str)], context.ended


@then(
    "the accounts on a machine of {memory:d} MB have {callers:d} bytes for callers and"
    " {servers:d} for servers"
)
def check_shares(context, memory, callers, servers):
    """Checks the limits of the accounts."""
    shares = held_bytes.make_shares(memory, SERVERS_BYTES)
    assert (shares.callers, shares.servers) == (callers, servers), shares


@given("at most {count:d} open connections")
def make_connections(context, count):
    """Creates the limit."""
    context.connections = open_connections.OpenConnections(count)


@when(
    'the connections "{first}", "{second}" and "{third}" are opened, and "{busy}" begins a request'
)
def open_three(context, first, second, third, busy):
    """Opens connections within the limit."""
    for name in (first, second, third):
        assert context.connections.open(name) is None
    context.connections.begin_work(busy)


@when('the connection "{name}" is opened')
def open_one(context, name):
    """Opens a connection."""
    context.excess = context.connections.open(name)


@then('"{name}" is to be closed')
def check_excess(context, name):
    """Checks which connection is to be closed."""
    assert context.excess == name, context.excess


@when('"{name}" is closed, and the request of "{answered}" is answered')
def close_and_answer(context, name, answered):
    """Closes a connection and answers a request on another."""
    context.connections.close(name)
    context.connections.end_work(answered)


@when('"{name}" is closed, and "{first}", "{second}" and "{third}" begin requests')
def close_and_begin(context, name, first, second, third):
    """Closes a connection; all others have requests in progress."""
    context.connections.close(name)
    for each in (first, second, third):
        context.connections.begin_work(each)


@then(
    "of {descriptors:d} descriptors, callers get {callers:d} and idle connections to servers"
    " {servers:d}"
)
def check_descriptors(context, descriptors, callers, servers):
    """Checks the shares of the descriptors."""
    share_of = open_connections.share_of_descriptors
    shares = (
        share_of(descriptors, open_connections.CALLERS_SHARE),
        share_of(descriptors, open_connections.SERVERS_SHARE),
    )
    assert shares == (callers, servers), shares


class Call:
    """A call to a server, of which only its end is seen."""

    def __init__(self, size):
        self.size = size

    def discard(self):
        """Does nothing."""


@given("calls to servers that may hold {count:d} bytes together")
def make_transfers(context, count):
    """Creates the account of calls; its decisions are carried out by an event loop."""
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)
    context.ended_calls = []
    context.calls = []

    async def make():
        return held_transfers.HeldTransfers(count, context.ended_calls.append)

    context.transfers = context.loop.run_until_complete(make())


def start_call(context, body):
    """Starts a call with a body."""
    call = Call(len(body))
    context.calls.append(call)
    context.transfers.add_body(call, body)


@when("{count:d} calls of one request send the same body of {size:d} bytes")
def start_shared(context, count, size):
    """Starts calls with one body."""
    body = bytes(size)
    for _ in range(count):
        start_call(context, body)


@when("a call with a body of {first:d} bytes starts, and one with {second:d} bytes")
def start_two(context, first, second):
    """Starts two calls."""
    start_call(context, bytes(first))
    start_call(context, bytes(second))
    context.loop.run_until_complete(asyncio.sleep(0))


@when("all calls have ended")
def end_all(context):
    """Ends all calls, some of which have been ended already."""
    for call in context.calls:
        context.transfers.release(call)


@then("the calls hold {count:d} bytes")
def check_total(context, count):
    """Checks the total."""
    assert context.transfers.total == count, context.transfers.total


@then("only the call with {size:d} bytes is ended")
def check_ended(context, size):
    """Checks which calls were ended."""
    assert [call.size for call in context.ended_calls] == [size], context.ended_calls


@when("a line with an id of {length:d} characters is logged")
def log_long_id(context, length):
    """Formats a log line."""
    record = logging.makeLogRecord({"msg": "answered", "request_id": "x" * length})
    formatter = logs.LineFormatter(data.InstanceId("i"), data.Incarnation(1))
    context.line = formatter.format(record)


@then("the line has at most {length:d} characters")
def check_line(context, length):
    """Checks the length of the line."""
    assert len(context.line) <= length, len(context.line)


@given("an owner without free servers that may hold {count:d} bytes for other instances")
def make_full_owner(context, count):
    """Makes the kernel of an owner of one shard, whose only server has one slot, in use."""
    options = kernel_config.KernelOptions(foreign_body_bytes_max=count)
    policies = kernel.PolicyNames(ownership="cell", hedge="recent-quantile")
    cell = silent_owners.CELL
    context.owner = kernel.make_kernel(
        cell[0], data.ZoneId("z"), clock.ManualClock(), policies, options
    ).owner
    service = data.ServiceId("s00")
    server = data.Server(data.ServerId("a"), service, "a:1", "z", 1, 60, False)
    pool_id = silent_owners.POOL
    pool = data.Pool(pool_id, 1, {service: (server,)}, silent_owners.SNAPSHOT, "greatest-records")
    context.owner.handle(events.ViewChanged(data.Tables({}, {pool_id: pool}), cell, cell, 1))
    send_to_owner(context, "first", 0, cell[0])


def send_to_owner(context, name, size, origin):
    """Sends a sub-request to the owner, and records the failures that it replies."""
    spec = fanout.QuerySpec(
        data.QueryId(name),
        silent_owners.ROUTE,
        silent_owners.POOL,
        data.Rank.URGENT,
        exchange.HttpRequest("POST", "/", (), bytes(size)),
        5,
        1000,
        0.2,
        True,
        calls_per_shard_max=2,
    )
    batch = messages.SubBatch(origin, spec, silent_owners.SNAPSHOT, 1, (data.ServiceId("s00"),))
    commands = context.owner.handle(message_events.to_owner_event(batch))
    context.failure_by_name = getattr(context, "failure_by_name", {})
    for command in commands:
        message = getattr(command, "message", None)
        if isinstance(message, messages.SubReply):
            (context.failure_by_name[message.query_id],) = message.failures


@when('requests "{names}" of another instance with bodies of {size:d} bytes arrive')
def send_three(context, names, size):
    """Sends several sub-requests of another instance."""
    for name in names.replace('" and "', '", "').split('", "'):
        send_to_owner(context, name, size, silent_owners.CELL[1])


@when('a request "{name}" of another instance without a body arrives')
def send_empty(context, name):
    """Sends a sub-request without a body."""
    context.failure_by_name = {}
    send_to_owner(context, name, 0, silent_owners.CELL[1])


@when('a request "{name}" of its own with a body of {size:d} bytes arrives')
def send_own(context, name, size):
    """Sends a sub-request of the owner's own callers, which another account counts."""
    send_to_owner(context, name, size, silent_owners.CELL[0])


@when('the caller of "{gone}" has left, and "{name}" with a body of {size:d} bytes arrives')
def cancel_and_send(context, gone, name, size):
    """Cancels a query, and sends another."""
    context.owner.handle(message_events.to_owner_event(messages.Cancel(data.QueryId(gone), True)))
    send_to_owner(context, name, size, silent_owners.CELL[1])


@then('only "{name}" is refused, as "{reason}", and it has not run')
def check_refusal(context, name, reason):
    """Checks the refusal."""
    (failure,) = context.failure_by_name.values()
    assert set(context.failure_by_name) == {name}, context.failure_by_name
    assert failure.reason.value == reason and not failure.may_have_run, failure


@then("none is refused")
def check_none_refused(context):
    """Checks that there is no refusal."""
    assert not context.failure_by_name, context.failure_by_name
