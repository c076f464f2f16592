"""Steps of the choice of watchers."""

from behave import then, when

from monsoonhoist.core import data, messages, watcher_selection

PLACES = 10


def duties(context):
    """Returns the decision of each place, made on first use."""
    if not hasattr(context, "duty_by_place"):
        context.duty_by_place = {
            place: watcher_selection.WatcherSelection(data.InstanceId(f"i{place}"), 2, 2.0, 0.3)
            for place in range(PLACES)
        }
        for place, duty in context.duty_by_place.items():
            duty.is_needed(place, 0.0)
    return context.duty_by_place


@when("each instance hears a word of {age:d} ms age at {at:d} ms")
def hear(context, age, at, reader="another"):
    """Passes a reader's word on to all."""
    for duty in duties(context).values():
        duty.record_contact(messages.ServiceContact(data.InstanceId(reader), age), at / 1000)


@when("each instance hears a word of instance {place:d} of {age:d} ms age at {at:d} ms")
def hear_of(context, place, age, at):
    """Passes on a word that one of the instances had itself."""
    hear(context, age, at, f"i{place}")


@when("each instance hears a word of {age:d} ms age each {period:d} ms until {end:d} ms")
def hear_often(context, age, period, end):
    """Passes words on at intervals."""
    for at in range(0, end, period):
        hear(context, age, at)


@then("the instances at the places {first:d} to {last:d} watch at {at:d} ms")
def check_watch(context, first, last, at):
    """Checks that some places watch."""
    for place in range(first, last + 1):
        assert duties(context)[place].is_needed(place, at / 1000), place


@then("the instances at the places {first:d} to {last:d} do not watch at {at:d} ms")
def check_no_watch(context, first, last, at):
    """Checks that some places do not watch."""
    for place in range(first, last + 1):
        assert not duties(context)[place].is_needed(place, at / 1000), place
