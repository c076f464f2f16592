"""Client of the platform's store, which serves as the configuration service.

It reads ranges of items and watches for changes.
"""

import asyncio
import base64
import datetime
import logging
import urllib.parse
from collections.abc import Iterable

import msgspec

from monsoonhoist import decoding, errors, metrics
from monsoonhoist.core import data
from monsoonhoist.node import curl, replication
from monsoonhoist.platform import wire_names
from monsoonhoist.protocol import messages
from monsoonhoist.tables import store

CONNECT_TIMEOUT = datetime.timedelta(seconds=1)
READ_TIMEOUT = datetime.timedelta(seconds=2)
# Time that the reply to a watch may take beyond the duration of the watch.
WATCH_TIMEOUT_MARGIN = datetime.timedelta(milliseconds=500)
MS_PER_SECOND = 1000
STATUS_OK = 200
STATUS_HISTORY_GONE = 410

_log = logging.getLogger(__name__)


class Item(msgspec.Struct, frozen=True, rename="pascal"):
    """An item of the store, or its removal; the value is encoded as base64."""

    key: str
    rev: int
    value: str = ""
    removed: bool = False


class RangeReply(msgspec.Struct, frozen=True, rename="pascal"):
    """A page of items."""

    current_rev: int
    items: tuple[Item, ...] = msgspec.field(name="items")
    has_more: bool = False


class WatchReply(msgspec.Struct, frozen=True, rename="pascal"):
    """The changes after a revision."""

    current_rev: int
    events: tuple[Item, ...] = msgspec.field(name="events", default=())


class HistoryGoneError(replication.ConfigServiceError):
    """The changes after a revision cannot be read: they are gone, or too long for a reply."""


class StoreReader(replication.TableReader):
    """Reads all items once, then waits for changes.

    Args:
        address: ``host:port`` of the store.
        watch_duration: Duration of one watch.
        settle_delay: Delay before a watch is started again, in which changes accumulate.
        driver: HTTP client.
        counters: Metrics of this instance.
    """

    def __init__(
        self,
        address: str,
        watch_duration: datetime.timedelta,
        settle_delay: datetime.timedelta,
        driver: curl.CurlDriver,
        counters: metrics.Metrics,
    ):
        self._base_url = f"http://{address}"
        self._watch_duration = watch_duration
        self._settle_delay = settle_delay
        self._driver = driver
        self._counters = counters
        self._revision_by_prefix: dict[str, int] = {}
        self._watch_task_by_prefix: dict[str, asyncio.Task[WatchReply]] = {}

    async def read(self, table_store: store.TableStore) -> replication.Reading:
        """Returns new values; a removed item has an empty value.

        The first reading covers all keys. Later ones wait until a watch ends. If the changes since
        the last reading cannot be read, all keys are read again, page by page.

        Raises:
            ConfigServiceError: If a request to the store failed.
        """
        try:
            if len(self._revision_by_prefix) < len(wire_names.WATCHED_KEY_PREFIXES):
                return await self._read_all(table_store)
            return await self._wait_for_changes()
        except HistoryGoneError:
            self.reset()
            return await self._read_all(table_store)
        except replication.ConfigServiceError:
            self._stop_watches()
            raise

    def reset(self) -> None:
        """Discards the known revisions and stops all watches; the next reading covers all keys."""
        self._revision_by_prefix.clear()
        self._stop_watches()

    def _stop_watches(self) -> None:
        for task in self._watch_task_by_prefix.values():
            if task.done() and not task.cancelled():
                # Retrieves the error of a second failed watch, which asyncio would otherwise log
                # as never retrieved; only the first error is reported.
                task.exception()
            task.cancel()
        self._watch_task_by_prefix.clear()

    async def _read_all(self, table_store: store.TableStore) -> replication.Reading:
        """Reads all items; server keys that the store no longer has get empty values."""
        values: list[messages.TableValue] = []
        for prefix in wire_names.WATCHED_KEY_PREFIXES:
            listed_values, revision = await self._read_range(prefix)
            present_keys = {value.key for value in listed_values}
            removed = [
                messages.TableValue(key, revision, "")
                for key in table_store.nonempty_keys()
                if key.startswith(wire_names.SERVER_KEY_PREFIX)
                and key.startswith(prefix)
                and key not in present_keys
            ]
            self._revision_by_prefix[prefix] = revision
            values += [*listed_values, *removed]
        listed_number = min(self._revision_by_prefix.values())
        return replication.Reading(tuple(values), listed_number)

    async def _read_range(self, prefix: str) -> tuple[list[messages.TableValue], int]:
        """Returns the items with a prefix, and the revision to watch from.

        The pages of a range do not come from one snapshot. The watch starts from the revision of
        the first page, so that it includes changes made while the later pages are read.
        """
        values: list[messages.TableValue] = []
        revision = 0
        after = ""
        while True:
            query = {"Prefix": prefix, **({"after": after} if after else {})}
            body = await self._get("range", wire_names.RANGE_PATH, query, READ_TIMEOUT)
            page = _decode(body, RangeReply)
            revision = revision or page.current_rev
            values += _make_table_values(page.items)
            if not page.has_more or not page.items:
                return values, revision
            after = page.items[-1].key

    async def _wait_for_changes(self) -> replication.Reading:
        """Waits until the watch of any prefix ends, and returns the changes that it reported."""
        for prefix in wire_names.WATCHED_KEY_PREFIXES:
            if prefix not in self._watch_task_by_prefix:
                task = asyncio.create_task(self._watch_once(prefix))
                self._watch_task_by_prefix[prefix] = task
        await asyncio.wait(self._watch_task_by_prefix.values(), return_when=asyncio.FIRST_COMPLETED)
        values: list[messages.TableValue] = []
        for prefix, task in list(self._watch_task_by_prefix.items()):
            if task.done():
                del self._watch_task_by_prefix[prefix]
                reply = task.result()
                self._revision_by_prefix[prefix] = reply.current_rev
                values += _make_table_values(reply.events)
        return replication.Reading(tuple(values))

    async def _watch_once(self, prefix: str) -> WatchReply:
        """Waits for the settle delay and then for changes of keys with a prefix."""
        await asyncio.sleep(self._settle_delay.total_seconds())
        query = {
            "Prefix": prefix,
            "after": str(self._revision_by_prefix[prefix]),
            "WaitMs": str(int(self._watch_duration.total_seconds() * MS_PER_SECOND)),
        }
        body = await self._get(
            "watch", wire_names.WATCH_PATH, query, self._watch_duration + WATCH_TIMEOUT_MARGIN
        )
        return _decode(body, WatchReply)

    async def _get(
        self, kind: str, path: str, query: dict[str, str], timeout: datetime.timedelta
    ) -> bytes:
        """Sends a request to the store and returns the body of the reply.

        Raises:
            HistoryGoneError: If the store no longer has the changes after the requested revision.
            ConfigServiceError: If the request failed or the reply has an error status.
        """
        self._counters.count_service_read(kind)
        reply_future: asyncio.Future[curl.HttpReply] = asyncio.get_running_loop().create_future()
        url = f"{self._base_url}{path}?{urllib.parse.urlencode(query, safe='/')}"
        call = curl.HttpCall("GET", url, b"", timeout, CONNECT_TIMEOUT, is_counted=False)
        transfer = self._driver.start(call, reply_future.set_result)
        try:
            reply = await reply_future
        except asyncio.CancelledError:
            self._driver.abort(transfer)
            raise
        if reply.status == STATUS_HISTORY_GONE:
            raise HistoryGoneError(f"{path}: the changes after the requested revision are gone")
        if reply.defect is curl.Defect.TOO_LONG and path == wire_names.WATCH_PATH:
            _log.warning("changes too long for a reply; all keys are read instead")
            raise HistoryGoneError(f"{path}: the changes are longer than a reply may be")
        if reply.status != STATUS_OK:
            raise replication.ConfigServiceError(
                f"{path}: status {reply.status} {reply.error}".rstrip()
            )
        return reply.body


def _decode(body: bytes, reply_type: type) -> object:
    try:
        return decoding.decode_json(body, reply_type)
    except errors.MalformedInputError as error:
        raise replication.ConfigServiceError(f"malformed reply of the store: {error}") from error


def _make_table_values(items: Iterable[Item]) -> list[messages.TableValue]:
    """Converts the items that belong to the tables; others may be of any length and number."""
    return [
        _make_table_value(item)
        for item in items
        if item.key == wire_names.CONFIG_KEY or item.key.startswith(wire_names.SERVER_KEY_PREFIX)
    ]


def _make_table_value(item: Item) -> messages.TableValue:
    """Converts an item to a table value, empty if the item is not base64-encoded UTF-8 text."""
    text = ""
    if not item.removed:
        try:
            text = base64.b64decode(item.value).decode()
        # The base class of the errors of base64 and of UTF-8.
        except ValueError as error:
            _log.error("item that cannot be read", extra={"key": item.key, "error": str(error)})
    return messages.TableValue(data.TableKey(item.key), item.rev, text)
