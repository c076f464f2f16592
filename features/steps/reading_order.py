"""Steps that read two ranges of keys of which one overtakes the other."""

import asyncio
import datetime

from behave import given, then, when

from features import store_values
from monsoonhoist.core import data
from monsoonhoist.node import key_ranges, range_reader
from monsoonhoist.platform import store_format
from monsoonhoist.protocol import messages
from monsoonhoist.tables import store

LISTED_AT = 115
OLD_SERVER = messages.TableValue(data.TableKey("servers/old"), 101, "{}")


class ListThenChange(key_ranges.RangeClient):
    """Service whose operators' keys change as soon as all keys have been listed."""

    def __init__(self):
        self._has_changed = False

    async def read_page(self, prefix, after):
        """Returns the only server, older than the list; the operators' keys are never listed."""
        if prefix:
            await asyncio.sleep(60)
        return key_ranges.Page((OLD_SERVER,), LISTED_AT)

    async def watch(self, prefix, revision, duration):
        """Returns one change of an operators' key at once, and then waits."""
        if not prefix or self._has_changed:
            await asyncio.sleep(60)
        self._has_changed = True
        text = store_values.make_config(1)
        return key_ranges.Page(
            (messages.TableValue(data.TableKey("op/config"), LISTED_AT + 1, text),), LISTED_AT + 1
        )


@given("a service of which all keys were listed and an operators' key has changed since")
def make_reader(context):
    """Makes a reader of both ranges."""
    no_delay = datetime.timedelta(0)
    watch = datetime.timedelta(seconds=1)
    ranges = [key_ranges.KeyRange(prefix, watch, no_delay) for prefix in ("op/", "")]
    context.make_reader = lambda: range_reader.RangeReader(
        ListThenChange(), ranges, no_delay, lambda key: True
    )
    context.table_store = store.TableStore(store_format.PlatformFormat(0.2))


@when("both readings are made before they are applied")
def apply_readings(context):
    """Applies the readings, in the order in which they are returned, as the watcher does."""

    async def run():
        reader = context.make_reader()
        starting = asyncio.create_task(reader.read(context.table_store))
        await asyncio.sleep(0)
        starting.cancel()
        await asyncio.sleep(0.05)
        for _ in range(2):
            reading = await reader.read(context.table_store)
            for value in reading.values:
                context.table_store.offer(value)
            context.table_store.record_listing(reading.listed_number)
        reader.reset()

    asyncio.run(run())


@then("the listed server counts as present")
def check_present(context):
    """Checks that the server has its own revision, not that of a removal."""
    revision = context.table_store.revision_by_key[OLD_SERVER.key]
    assert revision.number == OLD_SERVER.number, revision
