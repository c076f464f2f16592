"""Tasks that keep the tables in force: watching the service and spreading to peers.

A few watchers in each availability zone watch the service. An instance announces each
newly accepted revision to its neighbours, which ask for the value if it is newer than
theirs and announce it in turn. Heartbeats carry a digest of all revisions, so that a
lost announcement is noticed. An instance that is not a watcher reads the service only
if it has no peer with tables.
"""

import asyncio
import datetime
import logging
import random
from collections.abc import Callable

import msgspec

from monsoonhoist import metrics
from monsoonhoist.core import clock, data, messages
from monsoonhoist.node import platform
from monsoonhoist.tables import store

WANT_REPEAT_SECONDS = 0.5
DIGEST_ANSWER_SECONDS = 0.5
ROLE_CHECK_SECONDS = 0.5

_log = logging.getLogger(__name__)


class TableOptions(msgspec.Struct, frozen=True):
    """Settings of the tables' tasks.

    Attributes:
        watch: Longest wait of one watch call.
        retry: Shortest pause after a failed call; doubled with jitter at random.
    """

    watch: datetime.timedelta
    retry: datetime.timedelta


class TableSpread:
    """Takes in values and announcements and answers peers.

    Args:
        time_source: The clock.
        counters: Metrics.
        send: Sends a message to one instance.
        neighbours: Returns the instances to announce to.
        changed: Called after new values have come into force.

    Attributes:
        store: Values in force.
    """

    def __init__(
        self,
        time_source: clock.Clock,
        counters: metrics.Metrics,
        send: Callable[[data.InstanceId, messages.Message], bool],
        neighbours: Callable[[], tuple[data.InstanceId, ...]],
        changed: Callable[[], None],
    ):
        self.store = store.TableStore()
        self._clock = time_source
        self._counters = counters
        self._send = send
        self._neighbours = neighbours
        self._changed = changed
        self._summary = self.store.summary()
        self._wanted_at_by_key: dict[data.TableKey, float] = {}
        self._answered_at_by_peer: dict[data.InstanceId, float] = {}

    @property
    def summary(self) -> bytes:
        """Digest of all revisions in force."""
        return self._summary

    def offer(self, value: messages.TableValue, source: str) -> None:
        """Takes in a value from ``service`` or ``peer`` and announces it if accepted."""
        verdict = self.store.offer(value)
        self._counters.count_value(verdict.acceptance, source)
        extra = {"key": value.key, "number": value.number, "source": source}
        if verdict.acceptance is store.Acceptance.REJECTED:
            findings = [finding.describe() for finding in verdict.findings]
            _log.error("table value rejected", extra={**extra, "findings": findings})
        if verdict.acceptance is not store.Acceptance.ACCEPTED:
            return
        _log.info("table value in force", extra=extra)
        self._summary = self.store.summary()
        self._wanted_at_by_key.pop(value.key, None)
        self._changed()
        announcement = messages.Revisions((self.store.revision_by_key[value.key],))
        for instance in self._neighbours():
            self._send(instance, announcement)

    def on_revisions(self, sender: data.InstanceId, message: messages.Revisions) -> None:
        """Asks the sender for what it has newer."""
        now = self._clock.monotonic()
        wanted = tuple(
            key
            for key in self.store.missing(message)
            if now - self._wanted_at_by_key.get(key, -WANT_REPEAT_SECONDS) >= WANT_REPEAT_SECONDS
        )
        for key in wanted:
            self._wanted_at_by_key[key] = now
        if wanted:
            self._send(sender, messages.WantTables(wanted))

    def on_want(self, sender: data.InstanceId, message: messages.WantTables) -> None:
        """Sends the values asked for."""
        for key in message.keys:
            value = self.store.value(key)
            if value is not None:
                self._send(sender, messages.pack_table(value))

    def on_digest(self, sender: data.InstanceId, digest: bytes) -> None:
        """Tells a peer all revisions if its digest differs, at most at intervals."""
        now = self._clock.monotonic()
        answered = self._answered_at_by_peer.get(sender, -DIGEST_ANSWER_SECONDS)
        if digest != self._summary and now - answered >= DIGEST_ANSWER_SECONDS:
            self._answered_at_by_peer[sender] = now
            self._send(sender, self.store.revisions())


class ServiceWatcher:
    """Reads the configuration service while this instance is a watcher.

    Args:
        options: Settings.
        client: Client of the platform.
        spread: Takes in the values.
        is_needed: Returns whether this instance should read the service now.

    Attributes:
        has_read: Whether the service has been read whole since the start.
    """

    def __init__(
        self,
        options: TableOptions,
        client: platform.PlatformClient,
        spread: TableSpread,
        is_needed: Callable[[], bool],
    ):
        self.has_read = False
        self._options = options
        self._client = client
        self._spread = spread
        self._is_needed = is_needed
        self._index = 0
        self._runner: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Starts watching."""
        self._runner = asyncio.create_task(self._run(), name="service watcher")

    def stop(self) -> None:
        """Stops watching."""
        if self._runner is not None:
            self._runner.cancel()

    def refresh(self) -> None:
        """Ends a waiting watch and reads the service anew."""
        self.stop()
        self.has_read = False
        self._index = 0
        self.start()

    async def _run(self) -> None:
        while True:
            if self.has_read and not self._is_needed():
                self._index = 0
                await asyncio.sleep(ROLE_CHECK_SECONDS)
                continue
            try:
                await self._read()
            except platform.PlatformError as error:
                _log.warning("configuration service not read", extra={"error": str(error)})
                self._index = 0
                await asyncio.sleep(self._pause())

    async def _read(self) -> None:
        """Waits for a change and reads the keys that have newer revisions."""
        index = await self._client.watch(self._index, self._options.watch)
        for key, number in sorted(index.number_by_key.items()):
            if not self._spread.store.is_settled(key, number):
                self._spread.offer(await self._client.value(key), "service")
        self._index = index.index
        self.has_read = True

    def _pause(self) -> float:
        """Returns seconds to wait after a failed call."""
        return self._options.retry.total_seconds() * random.uniform(1.0, 2.0)
