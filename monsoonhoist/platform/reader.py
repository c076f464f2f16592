"""Client of the platform's store: ranges of items, and watches for changes."""

import asyncio
import base64
import binascii
import datetime
import logging
import urllib.parse

import msgspec

from monsoonhoist import metrics
from monsoonhoist.core import data, messages
from monsoonhoist.node import curl, replication
from monsoonhoist.platform import wire_names
from monsoonhoist.tables import store

CONNECT_TIMEOUT = datetime.timedelta(seconds=1)
READ_TIMEOUT = datetime.timedelta(seconds=2)
# Time that the answer to a watch may take beyond the length of the watch.
WATCH_TIMEOUT_MARGIN = datetime.timedelta(milliseconds=500)
MS_PER_SECOND = 1000
STATUS_OK = 200
STATUS_HISTORY_GONE = 410

_log = logging.getLogger(__name__)


class Item(msgspec.Struct, frozen=True, rename="pascal"):
    """An item, or the removal of one."""

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
    """Changes after a revision."""

    current_rev: int
    events: tuple[Item, ...] = msgspec.field(name="events", default=())


class HistoryGoneError(replication.ConfigServiceError):
    """The store no longer has the changes after the revision asked for."""


class StoreReader(replication.TableReader):
    """Reads all items once, then waits for changes.

    Args:
        address: ``host:port`` of the store.
        watch: Length of one watch.
        settle: Pause before a watch is started again, in which changes gather.
        driver: HTTP client.
        counters: Metrics.
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

    async def read(self, table_store: store.TableStore) -> tuple[messages.TableValue, ...]:
        """Returns new values; a removed item has an empty value."""
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
        """Makes the next reading cover all keys."""
        self._revision_by_prefix.clear()
        self._stop_watches()

    def _stop_watches(self) -> None:
        for waiting in self._watch_task_by_prefix.values():
            if waiting.done() and not waiting.cancelled():
                # Takes note of an error that came beside the one that is reported.
                waiting.exception()
            waiting.cancel()
        self._watch_task_by_prefix.clear()

    async def _read_all(self, table_store: store.TableStore) -> tuple[messages.TableValue, ...]:
        """Reads all items; keys that the store no longer has become empty values."""
        values: list[messages.TableValue] = []
        for prefix in wire_names.WATCHED_KEY_PREFIXES:
            found, revision = await self._read_range(prefix)
            present = {value.key for value in found}
            gone = [
                messages.TableValue(key, revision, "")
                for key in table_store.nonempty_keys()
                if key.startswith(wire_names.SERVER_KEY_PREFIX)
                and key.startswith(prefix)
                and key not in present
            ]
            self._revision_by_prefix[prefix] = revision
            values += [*found, *gone]
        return tuple(values)

    async def _read_range(self, prefix: str) -> tuple[list[messages.TableValue], int]:
        """Returns the items below a prefix, and the revision to watch from.

        Pages are no snapshot, so that is the revision of the first page.
        """
        found: list[messages.TableValue] = []
        revision = 0
        after = ""
        while True:
            query = {"Prefix": prefix, **({"after": after} if after else {})}
            body = await self._get("range", wire_names.RANGE_PATH, query, READ_TIMEOUT)
            page = _decode(body, RangeReply)
            revision = revision or page.current_rev
            found += [_make_table_value(item) for item in page.items]
            if not page.has_more or not page.items:
                return found, revision
            after = page.items[-1].key

    async def _wait_for_changes(self) -> tuple[messages.TableValue, ...]:
        """Waits until a watch of any prefix ends, and returns its changes."""
        for prefix in wire_names.WATCHED_KEY_PREFIXES:
            if prefix not in self._watch_task_by_prefix:
                waiting = asyncio.create_task(self._watch_once(prefix))
                self._watch_task_by_prefix[prefix] = waiting
        await asyncio.wait(self._watch_task_by_prefix.values(), return_when=asyncio.FIRST_COMPLETED)
        values: list[messages.TableValue] = []
        for prefix, waiting in list(self._watch_task_by_prefix.items()):
            if waiting.done():
                del self._watch_task_by_prefix[prefix]
                reply = waiting.result()
                self._revision_by_prefix[prefix] = reply.current_rev
                values += [_make_table_value(item) for item in reply.events]
        return tuple(values)

    async def _watch_once(self, prefix: str) -> WatchReply:
        """Waits for changes below one prefix."""
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
        """Makes a call to the store.

        Raises:
            HistoryGoneError: If the store says so.
            ServiceError: If it gave no usable reply.
        """
        self._counters.count_service_read(kind)
        ended: asyncio.Future[curl.HttpReply] = asyncio.get_running_loop().create_future()
        url = f"{self._base_url}{path}?{urllib.parse.urlencode(query, safe='/')}"
        call = curl.HttpCall("GET", url, b"", timeout, CONNECT_TIMEOUT)
        transfer = self._driver.start(call, ended.set_result)
        try:
            reply = await ended
        except asyncio.CancelledError:
            self._driver.abort(transfer)
            raise
        if reply.status == STATUS_HISTORY_GONE:
            raise HistoryGoneError(f"{path}: the history is gone")
        if reply.status != STATUS_OK:
            raise replication.ConfigServiceError(
                f"{path}: status {reply.status} {reply.error}".rstrip()
            )
        return reply.body


def _decode(body: bytes, reply_type: type) -> object:
    try:
        return msgspec.json.decode(body, type=reply_type)
    except msgspec.MsgspecError as error:
        raise replication.ConfigServiceError(f"malformed reply of the store: {error}") from error


def _make_table_value(item: Item) -> messages.TableValue:
    """Returns an item as a table value; bytes that are no text give a value of none."""
    text = ""
    if not item.removed:
        try:
            text = base64.b64decode(item.value).decode()
        except (binascii.Error, UnicodeDecodeError) as error:
            _log.error("item that cannot be read", extra={"key": item.key, "error": str(error)})
    return messages.TableValue(data.TableKey(item.key), item.rev, text)
