"""Steps that test how long a new configuration waits behind servers' keys at a watcher."""

import asyncio
import base64
import datetime
import json
import urllib.parse

from behave import given, then, when

from features import simulated_loop, store_values
from monsoonhoist import metrics
from monsoonhoist.core import data
from monsoonhoist.node import http_call, replication, service_watcher
from monsoonhoist.platform import reader, store_format
from monsoonhoist.protocol import messages

PAGE_ITEMS = 50
HISTORY_SECONDS = 1.0
ROUND_TRIP_SECONDS = 0.05
LINK_BYTES_PER_SECOND = 9e6 / 8
CHUNK_BYTES = 16_384
CONFIG_KEY = "op/config"
# As in ``deploy/settings.ini``.
WATCH_DURATION = datetime.timedelta(milliseconds=1500)
SETTLE_DELAY = datetime.timedelta(milliseconds=100)
RETRY_DELAY = datetime.timedelta(milliseconds=200)


class FakeTransfer:
    """A request in progress.

    Attributes:
        received_bytes: Bytes of the reply that have arrived.
        is_waiting: Whether it is a watch that waits for a change.
    """

    def __init__(self, query, on_done):
        self.query = query
        self.on_done = on_done
        self.received_bytes = 0
        self.is_waiting = False
        self.task = None


class FakeStore:
    """The store and the link to it, in place of the HTTP client.

    The replies share the link by chunks. The history is compacted every second.

    Args:
        server_count: Number of servers at the start.

    Attributes:
        requests: Number of requests.
        given_up: Number of requests that the watcher ended or that timed out.
        failure_by_prefix: How requests for a prefix fail; the key "" stands for all servers.
    """

    def __init__(self, server_count):
        self.requests = 0
        self.given_up = 0
        self.failure_by_prefix = {}
        self.revision = 0
        self._compacted = 0
        self._link_free_at = 0.0
        self._item_by_key = {}
        self._waiting = set()
        self._tasks = set()
        self.write(CONFIG_KEY, store_values.make_config(1))
        for number in range(server_count):
            self.write_server(f"s{number:05}")

    def write_server(self, name):
        """Writes a server's item, of about the length that it has on deployments."""
        item = store_values.SERVER_ITEM | {"Seq": self.revision, "note": "x" * 150}
        self.write(f"servers/{name}", json.dumps(item))

    def write(self, key, text):
        """Writes an item and wakes the watches that wait."""
        self.revision += 1
        value = base64.b64encode(text.encode()).decode()
        self._put({"Key": key, "Rev": self.revision, "Value": value})

    def remove(self, key):
        """Removes an item and wakes the watches that wait."""
        self.revision += 1
        self._put({"Key": key, "Rev": self.revision, "Removed": True})

    def _put(self, item):
        key = item["Key"]
        self._item_by_key[key] = item
        for transfer, event in list(self._waiting):
            if key.startswith(transfer.query["Prefix"]):
                event.set()

    async def compact(self):
        """Compacts the history every second."""
        while True:
            await asyncio.sleep(HISTORY_SECONDS)
            self._compacted = self.revision

    def start(self, call, on_done):
        """Starts a request, as the HTTP client does."""
        self.requests += 1
        url = urllib.parse.urlsplit(call.url)
        transfer = FakeTransfer(dict(urllib.parse.parse_qsl(url.query, True)), on_done)
        coroutine = self._run(transfer, url.path, call.timeout.total_seconds())
        transfer.task = asyncio.create_task(coroutine)
        self._tasks.add(transfer.task)
        return transfer

    def abort(self, transfer):
        """Ends a request without a reply."""
        self.given_up += 1
        transfer.task.cancel()

    async def _run(self, transfer, path, timeout_seconds):
        try:
            async with asyncio.timeout(timeout_seconds):
                status, reply = await self._answer(transfer, path)
                body = json.dumps(reply).encode()
                await self._deliver(transfer, len(body))
        except TimeoutError:
            self.given_up += 1
            transfer.on_done(http_call.HttpReply(0, b"", True, True, "timed out"))
            return
        transfer.on_done(http_call.HttpReply(status, body, True, False, ""))

    async def _deliver(self, transfer, byte_count):
        """Waits until the link has carried a reply."""
        while transfer.received_bytes < byte_count:
            chunk_bytes = min(CHUNK_BYTES, byte_count - transfer.received_bytes)
            now = asyncio.get_running_loop().time()
            self._link_free_at = max(now, self._link_free_at) + chunk_bytes / LINK_BYTES_PER_SECOND
            await asyncio.sleep(self._link_free_at - now)
            transfer.received_bytes += chunk_bytes

    async def _answer(self, transfer, path):
        """Returns the status and the reply to a request."""
        await asyncio.sleep(ROUND_TRIP_SECONDS)
        query = transfer.query
        failure = await self._fail(query)
        if failure is not None:
            return int(failure.removeprefix("status ")), {}
        if path == "/api/kv-range":
            return 200, self._make_page(query)
        return await self._watch(transfer)

    async def _fail(self, query):
        """Returns how requests for a prefix fail, or never; None if they do not."""
        failure = self.failure_by_prefix.get("op/" if query["Prefix"] == "op/" else "")
        if failure == "silence":
            await asyncio.sleep(1e6)
        return failure

    def _make_page(self, query):
        keys = sorted(
            key
            for key in self._item_by_key
            if key.startswith(query["Prefix"]) and key > query.get("after", "")
            if "Removed" not in self._item_by_key[key]
        )
        items = [self._item_by_key[key] for key in keys[:PAGE_ITEMS]]
        return {
            "items": items,
            "HasMore": len(keys) > PAGE_ITEMS,
            "CurrentRev": self.revision,
        }

    async def _watch(self, transfer):
        query = transfer.query
        after = int(query["after"])
        if after < self._compacted:
            return 410, {}
        event = asyncio.Event()
        waiter = (transfer, event)
        self._waiting.add(waiter)
        try:
            if not self._changes(query["Prefix"], after):
                async with asyncio.timeout(int(query["WaitMs"]) / 1000):
                    await event.wait()
        except TimeoutError:
            pass
        finally:
            self._waiting.discard(waiter)
        # A reply to a watch that waits is lost as well.
        await self._fail(query)
        changes = self._changes(query["Prefix"], after)
        return 200, {"events": changes, "CurrentRev": self.revision}

    def _changes(self, prefix, after):
        return [
            item
            for key, item in self._item_by_key.items()
            if item["Rev"] > after and key.startswith(prefix)
        ]


@given("a fake store of {count:d} servers, and a watcher of it")
def make_fake_store(context, count):
    """Makes the store; the run starts with the first check."""
    context.store = FakeStore(count)
    # Actions at times, in seconds.
    context.actions = []
    context.end_seconds = 0.0
    context.written_at_by_key = {}
    context.delay_by_key = {}
    context.known_values = ()


def add_action(context, at_ms, action):
    """Has an action run at a time."""
    context.actions.append((at_ms / 1000, len(context.actions), action))
    context.end_seconds = max(context.end_seconds, at_ms / 1000)


@when("a new configuration is written every {interval_ms:d} ms until {end_ms:d} ms")
def write_configurations(context, interval_ms, end_ms):
    """Writes configurations, each with a version of its own."""
    for version, at_ms in enumerate(range(interval_ms, end_ms, interval_ms), 2):
        text = store_values.make_config(version)
        add_action(context, at_ms, lambda text=text: write(context, CONFIG_KEY, text))


def write(context, key, text):
    """Writes an item and records when."""
    context.store.write(key, text)
    written = (key, context.store.revision)
    context.written_at_by_key[written] = asyncio.get_running_loop().time()


def remove(context, key):
    """Removes an item and records when."""
    context.store.remove(key)
    written = (key, context.store.revision)
    context.written_at_by_key[written] = asyncio.get_running_loop().time()


@when("the store answers again from {at_ms:d} ms")
def answer_again(context, at_ms):
    """Ends all failures."""
    add_action(context, at_ms, lambda: context.store.failure_by_prefix.clear())


@when("{count:d} servers are written at once every {interval_ms:d} ms until {end_ms:d} ms")
def write_servers(context, count, interval_ms, end_ms):
    """Writes many servers, as a repartitioning does."""

    def write_all():
        for number in range(count):
            context.store.write_server(f"s{number:05}")

    for at_ms in range(interval_ms, end_ms, interval_ms):
        add_action(context, at_ms, write_all)


@when("a server is written every {interval_ms:d} ms until {end_ms:d} ms")
def write_reports(context, interval_ms, end_ms):
    """Writes servers in turn, as their reports do, so that the history moves on."""
    for number, at_ms in enumerate(range(interval_ms, end_ms, interval_ms)):
        name = f"s{number:05}"
        add_action(context, at_ms, lambda name=name: context.store.write_server(name))


@when("the store answers requests for {kind} with {failure} from {at_ms:d} ms")
def fail_requests(context, kind, failure, at_ms):
    """Makes requests fail."""
    prefix = {"servers": "", "operators' keys": "op/"}[kind]
    add_action(context, at_ms, lambda: context.store.failure_by_prefix.__setitem__(prefix, failure))


@when('the server "{name}" is written at {at_ms:d} ms')
def write_one_server(context, name, at_ms):
    """Writes a server."""
    text = json.dumps(store_values.SERVER_ITEM)
    add_action(context, at_ms, lambda: write(context, f"servers/{name}", text))


@when("{duration_ms:d} ms pass without a change")
def wait(context, duration_ms):
    """Extends the run."""
    add_action(context, duration_ms, lambda: None)
    run(context)


def run(context):
    """Runs the watcher and all actions, and 8 s more."""
    if context.store.requests:
        return
    loop = simulated_loop.SimulatedLoop()
    try:
        loop.run_until_complete(run_watcher(context))
    finally:
        loop.close()


async def run_watcher(context):
    """Runs a watcher and records when each written item is in force."""
    counters = metrics.Metrics(data.InstanceId("watcher"))
    store_reader = reader.StoreReader(
        "store", WATCH_DURATION, SETTLE_DELAY, context.store, counters
    )
    replicator = replication.TableReplicator(
        store_format.PlatformFormat(0.2),
        simulated_loop.LoopClock(),
        counters,
        lambda receiver, message: True,
        lambda: (),
        lambda: record_delays(context, replicator.store),
    )
    watcher = service_watcher.ConfigServiceWatcher(
        RETRY_DELAY, store_reader, replicator, lambda: True, lambda: None
    )
    replicator.offer(context.known_values, "peer")
    context.table_store = replicator.store
    compaction = asyncio.create_task(context.store.compact())
    watcher.start()
    for at_seconds, _, action in sorted(context.actions, key=lambda entry: entry[:2]):
        await asyncio.sleep(at_seconds - asyncio.get_running_loop().time())
        action()
    given_up = context.store.given_up
    await asyncio.sleep(8.0 if context.written_at_by_key else 0.0)
    context.given_up = max(given_up, context.store.given_up)
    compaction.cancel()
    watcher.stop()
    store_reader.reset()
    await asyncio.sleep(0.1)


def record_delays(context, table_store):
    """Records the delay of each written item that is in force now, or was replaced."""
    now = asyncio.get_running_loop().time()
    for (key, number), written_at in context.written_at_by_key.items():
        if table_store.has_processed(key, number):
            context.delay_by_key.setdefault((key, number), now - written_at)


@then("each configuration is in force within {limit_ms:d} ms")
@then('the server "late" is in force within {limit_ms:d} ms')
def check_delays(context, limit_ms):
    """Checks the delay of each item that was written."""
    run(context)
    assert context.written_at_by_key
    delays = {
        written: context.delay_by_key.get(written, float("inf"))
        for written in context.written_at_by_key
    }
    late = {written: delay for written, delay in delays.items() if delay * 1000 > limit_ms}
    assert not late, late


@given('the watcher knows the evacuation of "{zone}", which the store no longer has')
def make_known_evacuation(context, zone):
    """Passes a value to the watcher before it reads the store."""
    value = messages.TableValue(data.TableKey(f"op/evacuate/{zone}"), 1, "{}")
    context.known_values = (value,)


@then("the watcher has the configuration in force")
def check_config(context):
    """Checks that the watcher has a configuration."""
    assert context.table_store.tables.route_by_id


@then("the watcher has no zone evacuated")
def check_no_zone(context):
    """Checks that the evacuation is over."""
    assert not context.table_store.tables.evacuated_zones, context.table_store.tables


@then("no request of the watcher was given up")
def check_given_up(context):
    """Checks that no reply was cut off."""
    assert not context.given_up, context.given_up


@then("the watcher made at most {count:d} requests")
def check_requests(context, count):
    """Checks the number of requests."""
    assert context.store.requests <= count, context.store.requests
