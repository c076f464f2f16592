"""Instances on simulated time that read a store and exchange its values with each other."""

import asyncio
import datetime
import itertools

from features import returning_store, simulated_loop
from monsoonhoist import metrics
from monsoonhoist.core import data
from monsoonhoist.fleet import watcher_selection
from monsoonhoist.node import replication, service_watcher
from monsoonhoist.platform import reader, store_format
from monsoonhoist.protocol import messages

# As in ``deploy/settings.ini``.
WATCHERS = 2
STALE_SECONDS = 2.3
STALE_STEP_SECONDS = 0.3
HEARTBEAT_SECONDS = 0.5
WATCH_DURATION = datetime.timedelta(milliseconds=1500)
SETTLE_DELAY = datetime.timedelta(milliseconds=100)
RETRY_DELAY = datetime.timedelta(milliseconds=200)
MESSAGE_SECONDS = 0.01
# Time between two messages of a stream, which keeps their order.
MESSAGE_INTERVAL_SECONDS = 1e-6


class Instance:
    """One boot of an instance: its tables, and its watcher of the store.

    Args:
        name: Name of the instance, the same for all boots.
        fleet: The fleet.
        link: Link to the store.

    Attributes:
        name: Name of the instance.
        replicator: Its tables.
        link: Link to the store.
        is_up: Whether this boot has not ended.
    """

    def __init__(self, name, fleet, link):
        self.name = name
        self.link = link
        self.is_up = True
        self._fleet = fleet
        self._clock = simulated_loop.LoopClock()
        counters = metrics.Metrics(name)
        self.replicator = replication.TableReplicator(
            store_format.PlatformFormat(0.2),
            self._clock,
            counters,
            lambda receiver, message: fleet.send(self, receiver, message),
            lambda: fleet.connected(self.name),
            lambda: fleet.record_change(self),
            call_later=lambda delay, function: asyncio.get_running_loop().call_later(
                delay, function
            ),
        )
        self._selection = watcher_selection.WatcherSelection(
            name, WATCHERS, STALE_SECONDS, STALE_STEP_SECONDS
        )
        store_reader = reader.StoreReader("store", WATCH_DURATION, SETTLE_DELAY, link, counters)
        self._watcher = service_watcher.ConfigServiceWatcher(
            RETRY_DELAY,
            store_reader,
            self.replicator,
            self._is_watcher,
            lambda: self._selection.record_read(self._clock.monotonic()),
        )
        self._watcher.start()
        self._beating = asyncio.get_running_loop().create_task(self._beat())

    def stop(self):
        """Ends the boot."""
        self.is_up = False
        self._watcher.stop()
        self._beating.cancel()

    def restart_reading(self):
        """Reads all keys again, as a node does after a pause of its process."""
        self._watcher.restart()

    def _is_watcher(self):
        connected = self._fleet.connected(self.name)
        if not connected:
            return True
        position = sorted((self.name, *connected)).index(self.name)
        return self._selection.should_watch(position, self._clock.monotonic())

    async def _beat(self):
        while True:
            report = self._selection.latest_report(self._clock.monotonic())
            for name in self._fleet.connected(self.name):
                heartbeat = messages.Heartbeat(1, self.replicator.digest, report)
                self._fleet.send(self, name, heartbeat)
            await asyncio.sleep(HEARTBEAT_SECONDS)

    def handle_message(self, sender, message):
        """Handles a message as a node does."""
        if not isinstance(message, messages.Heartbeat):
            self.replicator.handle_message(sender, message)
            return
        if message.report is not None:
            self._selection.record_report(message.report, self._clock.monotonic())
        self.replicator.handle_digest(sender, message.tables_digest)

    @property
    def content_by_key(self):
        """Texts in force of all keys that have one."""
        table_store = self.replicator.store
        return {key: table_store.value(key).text for key in table_store.nonempty_keys()}


class Fleet:
    """Instances that are all connected but for cuts, and a store.

    Args:
        count: Number of instances.
        first_era: First era of the store; None if it states none.

    Attributes:
        store: The store.
        names: Names of the instances.
        instance_by_name: The running boots.
        link_by_name: Links to the store.
        cuts: Pairs of names between which no message arrives.
        observe: Called with an instance after its tables have changed.
    """

    def __init__(self, count, first_era=1):
        self.store = returning_store.ReturningStore(first_era)
        self.names = [data.InstanceId(f"i{number}") for number in range(count)]
        self.instance_by_name = {}
        self.link_by_name = {name: returning_store.StoreLink(self.store) for name in self.names}
        self.cuts = set()
        self.observe = lambda instance: None
        self._free_at_by_stream = {}

    @property
    def requests(self):
        """Number of requests to the store."""
        return sum(link.requests for link in self.link_by_name.values())

    def start(self, name):
        """Starts an instance with empty tables, after ending its earlier boot."""
        self.stop(name)
        self.instance_by_name[name] = Instance(name, self, self.link_by_name[name])
        for other in self.connected(name):
            self._connect(name, other)

    def stop(self, name):
        """Ends the boot of an instance, if there is one."""
        instance = self.instance_by_name.pop(name, None)
        if instance is not None:
            instance.stop()

    def stop_all(self):
        """Ends all instances."""
        for name in self.names:
            self.stop(name)

    def cut(self, *names):
        """Cuts the streams between instances."""
        self.cuts |= {frozenset(pair) for pair in itertools.combinations(names, 2)}

    def heal(self):
        """Connects all instances again."""
        pairs = [pair for pair in self.cuts if all(name in self.instance_by_name for name in pair)]
        self.cuts.clear()
        for pair in pairs:
            self._connect(*sorted(pair))

    def _connect(self, name, other):
        for sender, receiver in ((name, other), (other, name)):
            instance = self.instance_by_name[sender]
            self.send(instance, receiver, instance.replicator.bucket_digests())

    def connected(self, name):
        """Returns the names of the instances that an instance has a stream to."""
        return tuple(
            other
            for other in self.instance_by_name
            if other != name and frozenset((name, other)) not in self.cuts
        )

    def send(self, sender, receiver, message):
        """Sends a message, which arrives unless the stream is cut or one of the boots ends."""
        target = self.instance_by_name.get(receiver)
        if target is None or not sender.is_up or receiver not in self.connected(sender.name):
            return False
        loop = asyncio.get_running_loop()
        stream = (sender.name, receiver)
        due = max(
            loop.time() + MESSAGE_SECONDS,
            self._free_at_by_stream.get(stream, 0.0) + MESSAGE_INTERVAL_SECONDS,
        )
        self._free_at_by_stream[stream] = due
        loop.call_at(due, self._deliver, sender, target, messages.encode(message))
        return True

    def _deliver(self, sender, target, body):
        if sender.is_up and target.is_up and target.name in self.connected(sender.name):
            target.handle_message(sender.name, messages.decode(body))

    def record_change(self, instance):
        """Reports that the tables of an instance have changed."""
        self.observe(instance)
