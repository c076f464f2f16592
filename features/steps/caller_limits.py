"""Steps that drive the decisions on what callers may hold."""

from behave import given, then, when

from monsoonhoist.overload import held_bytes, open_connections

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
