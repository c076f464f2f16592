"""Steps in which a watcher reads a native configuration service that comes back from a copy."""

import asyncio
import datetime

from behave import given, then, when

from features import simulated_loop
from monsoonhoist import metrics
from monsoonhoist.core import data
from monsoonhoist.node import config_service, replication, service_watcher, table_reader
from monsoonhoist.protocol import messages
from monsoonhoist.tables import native, routes

ROUND_TRIP_SECONDS = 0.01
RETRY_DELAY = datetime.timedelta(milliseconds=200)
# The default of the settings.
WATCH_DURATION = datetime.timedelta(seconds=10)
AWAY_SECONDS = 1.0
ROUTES_KEY = str(routes.TABLE_KEY)


class NativeService(config_service.ConfigServiceClient):
    """Service whose index counts its changes, and goes back when it returns, in place of a client.

    Args:
        era: Era at the start.

    Attributes:
        calls: Number of calls.
        is_away: Whether all calls fail.
    """

    def __init__(self, era):
        self.calls = 0
        self.is_away = False
        self._era = era
        self._index = 0
        self._value_by_key = {}
        self._copy = None
        self._has_changed = asyncio.Event()

    def write(self, key, text):
        """Writes a value, or removes a key if the text is None."""
        self._index += 1
        self._value_by_key.pop(key, None)
        if text is not None:
            self._value_by_key[key] = config_service.Value(self._index, text)
        self._wake()

    def copy(self):
        """Copies the values from which the service comes back."""
        self._copy = (self._index, dict(self._value_by_key))

    def leave(self):
        """Makes all calls fail, also the one that waits."""
        self.is_away = True
        self._wake()

    def come_back(self):
        """Serves the copy in a new era."""
        self._index, self._value_by_key = self._copy
        self._era += 1
        self.is_away = False

    def _wake(self):
        self._has_changed.set()
        self._has_changed = asyncio.Event()

    async def _travel(self):
        self.calls += 1
        await asyncio.sleep(ROUND_TRIP_SECONDS)
        self._check()

    def _check(self):
        if self.is_away:
            raise table_reader.ConfigServiceError("status 503")

    async def watch(self, after, era, wait):
        """Returns the revisions, after waiting for a change."""
        await self._travel()
        # The wait is stated in whole milliseconds.
        seconds = int(wait.total_seconds() * 1000) / 1000
        try:
            async with asyncio.timeout(seconds):
                while (self._index, self._era) == (after, era):
                    await self._has_changed.wait()
                    self._check()
        except TimeoutError:
            pass
        number_by_key = {
            data.TableKey(key): each.number for key, each in self._value_by_key.items()
        }
        return config_service.RevisionIndex(self._index, number_by_key, self._era)

    async def fetch_value(self, key):
        """Returns a value."""
        await self._travel()
        value = self._value_by_key[key]
        return messages.TableValue(key, value.number, value.text, self._era)


def make_routes(name):
    """Returns a table with one route."""
    return f"[route {name}]\nrank = normal\npool = p\ndeadline_ms = 1000\n"


@given('1 watcher of a native service of era {era:d} with routes "{name}"')
def make_watcher(context, era, name):
    """Starts the watcher and lets it read the service."""
    context.loop = simulated_loop.SimulatedLoop()
    context.service = NativeService(era)
    context.service.write(ROUTES_KEY, make_routes(name))
    context.add_cleanup(close, context)
    context.loop.run_until_complete(start(context))
    run_watcher(context, 5000)


async def start(context):
    """Starts the watcher."""
    context.replicator = replication.TableReplicator(
        native.NativeFormat(),
        simulated_loop.LoopClock(),
        metrics.Metrics(data.InstanceId("watcher")),
        lambda receiver, message: True,
        lambda: (),
        lambda: None,
    )
    context.watcher = service_watcher.ConfigServiceWatcher(
        RETRY_DELAY,
        config_service.ConfigServiceReader(context.service, WATCH_DURATION),
        context.replicator,
        lambda: True,
        lambda: None,
    )
    context.watcher.start()


def close(context):
    """Ends the watcher."""
    context.watcher.stop()
    context.loop.run_until_complete(asyncio.sleep(0.1))
    context.loop.close()


def return_service(context, write):
    """Lets the service lose what a function writes."""
    context.service.copy()
    write()
    run_watcher(context, 1000)
    context.service.leave()
    context.loop.run_until_complete(asyncio.sleep(AWAY_SECONDS))
    context.service.come_back()
    context.calls = context.service.calls
    run_watcher(context, 500, is_counted=False)


@when("the watcher runs for {duration_ms:d} ms")
def run_watcher(context, duration_ms, is_counted=True):
    """Lets time pass, and counts the calls from its start."""
    if is_counted:
        context.calls = context.service.calls
    context.loop.run_until_complete(asyncio.sleep(duration_ms / 1000))


@when('{count:d} edits of routes, the last of which is "{name}", are lost by a return')
def lose_edits(context, count, name):
    """Edits the routes, which the service then loses."""

    def write():
        for number in range(count - 1):
            context.service.write(ROUTES_KEY, make_routes(f"edit-{number}"))
            run_watcher(context, 100)
        context.service.write(ROUTES_KEY, make_routes(name))

    return_service(context, write)


@when('routes "{name}" are lost by a return')
def lose_edit(context, name):
    """Edits the routes once."""
    return_service(context, lambda: context.service.write(ROUTES_KEY, make_routes(name)))


@when('routes "{name}" are written to the native service')
def write_routes(context, name):
    """Edits the routes."""
    context.service.write(ROUTES_KEY, make_routes(name))


@when('the evacuation of "{zone}" is set and lifted, which is lost by a return')
def lose_both(context, zone):
    """Sets and lifts an evacuation."""

    def write():
        context.service.write(f"evacuate/{zone}", "{}")
        run_watcher(context, 500)
        context.service.write(f"evacuate/{zone}", None)

    return_service(context, write)


@when('the evacuation of "{zone}" is set, which is lost by a return')
def lose_evacuation(context, zone):
    """Sets an evacuation."""
    return_service(context, lambda: context.service.write(f"evacuate/{zone}", "{}"))


@when('the evacuation of "{zone}" is lifted after a time, which is lost by a return')
def lose_end(context, zone):
    """Sets an evacuation, and lifts it in the time that is lost."""
    context.service.write(f"evacuate/{zone}", "{}")
    run_watcher(context, 5000)
    return_service(context, lambda: context.service.write(f"evacuate/{zone}", None))


@when('the evacuation of "{zone}" is set at the native service')
def set_evacuation(context, zone):
    """Sets an evacuation."""
    context.service.write(f"evacuate/{zone}", "{}")


@then('routes "{name}" are in force within {limit_ms:d} ms')
def check_routes(context, name, limit_ms):
    """Checks the routes after the time."""
    run_watcher(context, limit_ms, is_counted=False)
    assert list(context.replicator.store.tables.route_by_id) == [name]


@then('zone "{zone}" is evacuated within {limit_ms:d} ms')
def check_zone(context, zone, limit_ms):
    """Checks the evacuated zones after the time."""
    run_watcher(context, limit_ms, is_counted=False)
    assert context.replicator.store.tables.evacuated_zones == {zone}


@then("no zone is evacuated within {limit_ms:d} ms")
def check_no_zone(context, limit_ms):
    """Checks that no zone is evacuated after the time."""
    run_watcher(context, limit_ms, is_counted=False)
    assert not context.replicator.store.tables.evacuated_zones


@then("the watcher has made at most {count:d} calls")
def check_calls(context, count):
    """Checks the number of calls."""
    made = context.service.calls - context.calls
    print(f"{made} calls")
    assert made <= count, made
