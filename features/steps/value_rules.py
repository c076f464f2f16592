"""Steps that test the rules of the order of values one by one."""

from behave import given, then, when

from monsoonhoist.core import clock, data
from monsoonhoist.node import value_requests
from monsoonhoist.protocol import messages
from monsoonhoist.tables import announcements, eras, precedence

KEY = data.TableKey("k")
PEER = data.InstanceId("peer")


def make_candidate(era, number, version, place, digest):
    """Returns a value; its place is ``incarnation.sequence`` or ``none``."""
    progress = None
    if place != "none":
        incarnation, _, sequence = place.partition(".")
        progress = messages.Progress(int(incarnation), int(sequence))
    return precedence.Candidate(messages.Revision(KEY, number, digest, era, version), progress)


@given("a value in force of era {era:d}, number {number:d}, version {version:d}, place {place}")
def make_value_in_force(context, era, number, version, place):
    """Makes the value that is in force."""
    context.in_force = make_candidate(era, number, version, place, b"a")


@when("one of era {era:d}, number {number:d}, version {version:d}, place {place} is offered")
def make_offered_value(context, era, number, version, place):
    """Makes the other value."""
    context.offered = make_candidate(era, number, version, place, b"b")


@when("the same value is offered in era {era:d}")
def make_same_value(context, era):
    """Makes a value that differs by its era only."""
    context.offered = make_candidate(era, context.in_force.revision.number, 0, "none", b"a")


@then("it is {unsettled} while the newest era is unsettled, and {settled} afterwards")
def check_order(context, unsettled, settled):
    """Checks the order in both cases, and that an announcement of the value is heard."""
    for is_settled, expected in ((False, unsettled), (True, settled)):
        order = precedence.compare(context.offered, context.in_force, is_settled)
        assert order.value == expected, (is_settled, order)
        is_heard = precedence.may_be_newer(
            context.offered.revision, context.in_force.revision, is_settled
        )
        assert is_heard or order is not precedence.Order.NEWER, is_settled


@given("eras of which {first:d} is stated first, and {second:d} {delay_ms:d} ms later")
def make_eras(context, first, second, delay_ms):
    """Records two eras; times are measured from the first."""
    context.clock = clock.ManualClock(100.0)
    context.started_at = context.clock.monotonic()
    context.eras = eras.Eras(context.clock)
    context.eras.record(first)
    context.clock.advance(delay_ms / 1000)
    context.eras.record(second)


@when("another instance states that era {era:d} is settled")
def record_settled(context, era):
    """Records what another instance states."""
    context.eras.record_settled(era)


@then("era {newest:d} is the newest, and settled after {settled_ms:d} ms")
def check_eras(context, newest, settled_ms):
    """Checks the state just before and after the time, if that is not over."""
    assert context.eras.newest == newest
    settled_at = context.started_at + settled_ms / 1000
    if settled_at > context.clock.monotonic():
        context.clock.now_seconds = settled_at - 0.01
        assert not context.eras.is_settled()
        assert context.eras.settled_era() == eras.UNSTATED
        assert abs(context.eras.seconds_to_settle() - 0.01) < 1e-6
        context.clock.now_seconds = settled_at + 0.01
    assert context.eras.is_settled()
    assert context.eras.settled_era() == newest
    assert context.eras.seconds_to_settle() == 0.0
    for era in range(newest + 2):
        assert context.eras.is_outdated(era) == (era < newest), era
    assert not context.eras.is_outdated(eras.UNSTATED)


@given("a peer that has announced era {era:d}, number {number:d} of a key")
def make_announced(context, era, number):
    """Records what the peer has announced."""
    context.announcements = announcements.Announcements()
    context.heard = (messages.Revision(KEY, number, b"a", era),)


@when("era {era:d}, number {number:d} of the key is announced to peers")
def announce(context, era, number):
    """Announces a revision, of which the peer's announcement arrives before it is sent."""
    context.announcements.add([messages.Revision(KEY, number, b"a", era)])
    context.announcements.record_heard(PEER, context.heard, ())
    context.taken = context.announcements.take([PEER])[PEER]


@then("the peer is {told}")
def check_told(context, told):
    """Checks whether the announcement is made to the peer."""
    assert bool(context.taken) == (told == "told"), context.taken


@given("a request for era {era:d}, number {number:d} of a key")
def make_request(context, era, number):
    """Lets a peer announce a revision, whose value is then requested."""
    context.requests = value_requests.ValueRequests(
        clock.ManualClock(100.0), lambda key: True, lambda revision: True
    )
    announced = messages.Revision(KEY, number, b"a", era)
    assert context.requests.add(PEER, [announced]) == [(KEY,)]


@when("era {era:d}, number {number:d} of the key is announced by a peer")
def announce_other(context, era, number):
    """Lets a peer announce another revision at the same time."""
    announced = messages.Revision(KEY, number, b"b", era)
    context.requested = context.requests.add(PEER, [announced])


@then("the value is {wanted}")
def check_requested(context, wanted):
    """Checks whether the value is requested at once."""
    assert bool(context.requested) == (wanted == "requested"), context.requested
