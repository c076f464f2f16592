"""Steps that test how membership records are passed on."""

import asyncio
import types

from behave import given, then, when

from monsoonhoist import settings
from monsoonhoist.core import clock, data
from monsoonhoist.fleet import membership
from monsoonhoist.node import member_gossip, views
from monsoonhoist.protocol import messages


def make_member(name):
    """Returns the record of an instance."""
    return data.Member(name, 1, 0, data.MemberState.LIVE, "h", 1, "z")


@given('an instance with streams to "{first}" and "{second}"')
def make_instance(context, first, second):
    """Sets the neighbours of an instance."""
    context.neighbours = (data.InstanceId(first), data.InstanceId(second))
    context.sent = []


@when('{count:d} records of other instances arrive from "{sender}" one after another')
def receive_records(context, count, sender):
    """Passes records to the gossip of the instance, one at a time."""

    async def receive():
        gossip = member_gossip.MemberGossip(
            membership.Membership(make_member("self")),
            lambda instance, message: context.sent.append((instance, message)),
            lambda: context.neighbours,
        )
        for number in range(count):
            message = messages.Members((make_member(f"i{number}"),))
            gossip.merge(data.InstanceId(sender), message)
            await asyncio.sleep(0)
        await asyncio.sleep(2 * member_gossip.GATHER_SECONDS)

    asyncio.run(receive())


@then('it has sent 1 message with {count:d} records to "{receiver}" and none to "{sender}"')
def check_sent(context, count, receiver, sender):
    """Checks the receivers and the number of records."""
    ((instance, message),) = context.sent
    assert instance == receiver != sender, instance
    assert len(message.members) == count, len(message.members)


@given("an instance of a cell of {size:d} among {count:d} instances in one zone")
def make_publisher(context, size, count):
    """Makes the publisher of an instance's views, and publishes the first one."""
    names = [f"i{number:02d}" for number in range(count)]
    context.members = membership.Membership(make_member(names[0]))
    context.members.merge(make_member(name) for name in names[1:])
    config = types.SimpleNamespace(
        spread=settings.SpreadSection(cell_size=size),
        policy=settings.PolicySection(ownership="cell"),
    )
    context.published = []
    context.publisher = views.ViewPublisher(
        config,
        context.members,
        types.SimpleNamespace(store=types.SimpleNamespace(tables=data.Tables({}, {}))),
        types.SimpleNamespace(set_neighbours=lambda members, distant: None),
        (context.published.append,),
        clock.SystemClock(),
    )
    context.publisher.refresh()
    context.published.clear()
    context.first_cell = context.publisher.view.cell


def lose(context, instance, ms):
    """Reports the loss of an instance and waits."""

    async def run():
        context.members.record_stream(instance, False)
        context.publisher.refresh()
        await asyncio.sleep(ms / 1000)

    context.lost = instance
    asyncio.run(run())


@when("an instance of another cell is lost and {ms:d} ms pass")
def lose_other(context, ms):
    """Loses an instance with the last name, which changes no position before it."""
    lose(context, context.publisher.view.instances[-1], ms)
    assert context.lost not in context.first_cell


@when("the other instance of its cell is lost and {ms:d} ms pass")
def lose_cell_member(context, ms):
    """Loses the other instance of the cell."""
    (other,) = set(context.first_cell) - {context.members.local_member.instance}
    lose(context, other, ms)


@then("no view has been published, and the latest one lacks the instance")
def check_not_published(context):
    """Checks the views that were published, and the latest one."""
    assert not context.published, context.published
    assert context.lost not in context.publisher.view.instances


@then("a view has been published in which the cell has other instances")
def check_published(context):
    """Checks the cell of the published view."""
    assert context.published
    assert context.lost not in context.published[-1].cell, context.published[-1].cell
