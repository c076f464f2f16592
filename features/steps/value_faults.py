"""Steps with odd values, failing lists and earlier builds around a return of the store."""

import asyncio
import json

from behave import given, then, when

from features import store_values
from features.steps import value_order
from monsoonhoist.core import data
from monsoonhoist.protocol import messages, packed_tables
from monsoonhoist.tables import native, routes, store

EARLIER_BUILD = data.InstanceId("earlier")


@when('a server with items of the number {number:d} is removed together with server "{other}"')
def remove_odd_server(context, number, other):
    """Registers the server, and removes both at the same moment."""
    text = json.dumps(store_values.SERVER_ITEM | {"Seq": number})
    write = context.simulation.store.write
    value_order.act(context, write, "servers/odd", text)
    value_order.wait(context, 2.0)

    def remove():
        write("servers/odd", None)
        write(f"servers/{other}", None)

    value_order.act(context, remove)


@when("the store refuses lists from {start_ms:d} ms to {end_ms:d} ms from now")
def refuse_lists(context, start_ms, end_ms):
    """Sets the times at which the store refuses lists."""

    async def refuse():
        await asyncio.sleep(start_ms / 1000)
        context.simulation.store.refuses_lists = True
        await asyncio.sleep((end_ms - start_ms) / 1000)
        context.simulation.store.refuses_lists = False

    context.refusing = context.loop.create_task(refuse())


@when(
    "an instance of an earlier build offers {name} configuration {version:d} with the lost number"
)
def offer_as_earlier_build(context, name, version):
    """Announces and sends a value without an era, as earlier builds do."""
    instance = context.simulation.instance_by_name[name.strip('"')]
    text = store_values.make_config(version)
    number = context.lost_number
    revision = messages.Revision(value_order.CONFIG_KEY, number, store.digest_of(text))
    packed = packed_tables.pack(messages.TableValue(value_order.CONFIG_KEY, number, text))
    for message in (messages.Revisions((revision,)), messages.PackedTables((packed,))):
        value_order.act(context, instance.handle_message, EARLIER_BUILD, message)


@when("instance {name} reads the store again {count:d} times")
def read_again(context, name, count):
    """Has an instance read all keys again, as after a pause of its process."""
    instance = context.simulation.instance_by_name[name.strip('"')]
    for _ in range(count):
        value_order.act(context, instance.restart_reading)
        value_order.wait(context, 10.0)


@then("{name} makes no request in {seconds:d} s")
def check_no_request(context, name, seconds):
    """Counts the requests of an instance."""
    link = context.simulation.link_by_name[name.strip('"')]
    count = link.requests
    value_order.wait(context, float(seconds))
    assert link.requests == count, link.requests - count


@given("routes of era {era:d} with the number {number:d} in force")
def put_routes_in_force(context, era, number):
    """Offers routes to an empty store."""
    context.table_store = store.TableStore(native.NativeFormat())
    offer_routes(context, era, number)
    assert context.acceptance is store.Acceptance.ACCEPTED


@when("routes of era {era:d} with the number {number:d} are offered")
def offer_routes(context, era, number):
    """Offers routes that differ by their era."""
    text = f"[route r{era}]\nrank = normal\npool = p\ndeadline_ms = 1000\n"
    value = messages.TableValue(routes.TABLE_KEY, number, text, era)
    context.acceptance = context.table_store.offer(value).acceptance


@then("the routes of era {era:d} stay in force")
def check_routes(context, era):
    """Checks the revision in force, and that the offered one counts as of an earlier copy."""
    assert context.acceptance is store.Acceptance.OF_EARLIER_COPY, context.acceptance
    assert context.table_store.revision_by_key[routes.TABLE_KEY].era == era
