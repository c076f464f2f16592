"""Steps that test how membership records are passed on."""

import asyncio

from behave import given, then, when

from monsoonhoist.core import data
from monsoonhoist.fleet import membership
from monsoonhoist.node import member_gossip
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
