"""Client of the platform's store, which serves as the configuration service.

It reads ranges of items and watches for changes.
"""

import base64
import datetime
import logging
import re
import urllib.parse
from collections.abc import Iterable

import msgspec

from monsoonhoist import decoding, errors, metrics
from monsoonhoist.core import data, defects
from monsoonhoist.node import curl, http_call, http_fetch, key_ranges, range_reader, table_reader
from monsoonhoist.platform import wire_names
from monsoonhoist.protocol import messages
from monsoonhoist.tables import eras, evacuations

CONNECT_TIMEOUT = datetime.timedelta(seconds=1)
READ_TIMEOUT = datetime.timedelta(seconds=2)
# Time that the reply to a watch may take beyond the duration of the watch.
WATCH_TIMEOUT_MARGIN = datetime.timedelta(milliseconds=500)
# Duration of a watch of the operators' keys: below the 30 s that the store accepts, so long that
# the calls to the store grow by less than a tenth in a calm hour.
OPERATOR_WATCH_DURATION = datetime.timedelta(seconds=25)
RETRY_DELAY = datetime.timedelta(milliseconds=500)
# Longest value of an evacuation that is passed on; a longer one counts as unreadable.
EVACUATION_VALUE_LENGTH_MAX = 4096
MS_PER_SECOND = 1000
STATUS_OK = 200
STATUS_HISTORY_GONE = 410
_ERA_PATTERN = re.compile(r"[0-9]{1,18}", re.ASCII)

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


class StoreClient(key_ranges.RangeClient):
    """Requests to the store.

    Args:
        address: ``host:port`` of the store.
        driver: HTTP client.
        counters: Metrics of this instance.
    """

    def __init__(self, address: str, driver: curl.CurlDriver, counters: metrics.Metrics):
        self._base_url = f"http://{address}"
        self._driver = driver
        self._counters = counters

    async def read_page(self, prefix: str, after: str) -> key_ranges.Page:
        """Returns a page of the items with a prefix."""
        query = {"Prefix": prefix, **({"after": after} if after else {})}
        reply = await self._get("range", wire_names.RANGE_PATH, query, READ_TIMEOUT)
        page = _decode(reply.body, RangeReply)
        era = _find_era(reply)
        has_more = page.has_more and bool(page.items)
        next_after = page.items[-1].key if has_more else ""
        values = _make_table_values(page.items, era)
        return key_ranges.Page(values, page.current_rev, next_after, era)

    async def watch(
        self, prefix: str, revision: int, duration: datetime.timedelta
    ) -> key_ranges.Page:
        """Returns the changes of the items with a prefix; a removed item has an empty value."""
        query = {
            "Prefix": prefix,
            "after": str(revision),
            "WaitMs": str(int(duration.total_seconds() * MS_PER_SECOND)),
        }
        timeout = duration + WATCH_TIMEOUT_MARGIN
        reply = await self._get("watch", wire_names.WATCH_PATH, query, timeout)
        changes = _decode(reply.body, WatchReply)
        era = _find_era(reply)
        values = _make_table_values(changes.events, era)
        return key_ranges.Page(values, changes.current_rev, era=era)

    async def _get(
        self, kind: str, path: str, query: dict[str, str], timeout: datetime.timedelta
    ) -> http_call.HttpReply:
        """Sends a request to the store and returns the reply, whose status is 200.

        Raises:
            HistoryGoneError: If the store no longer has the changes after the requested revision.
            NoReplyError: If there was no reply.
            ConfigServiceError: If the reply has an error status.
        """
        is_operators = query["Prefix"] == wire_names.OPERATOR_KEY_PREFIX
        self._counters.count_service_read(f"operators-{kind}" if is_operators else kind)
        url = f"{self._base_url}{path}?{urllib.parse.urlencode(query, safe='/')}"
        call = http_call.HttpCall("GET", url, b"", timeout, CONNECT_TIMEOUT, is_counted=False)
        reply = await http_fetch.fetch(self._driver, call)
        if reply.status == STATUS_HISTORY_GONE:
            raise key_ranges.HistoryGoneError(f"{path}: the changes are gone")
        if reply.defect is defects.Defect.TOO_LONG and path == wire_names.WATCH_PATH:
            _log.warning("changes too long for a reply; the range is listed instead")
            raise key_ranges.HistoryGoneError(f"{path}: the changes are longer than a reply")
        if reply.status != STATUS_OK:
            error_type = (
                table_reader.ConfigServiceError if reply.status else key_ranges.NoReplyError
            )
            raise error_type(f"{path}: status {reply.status} {reply.error}".rstrip())
        return reply


class StoreReader(range_reader.RangeReader):
    """Reads the operators' keys and all keys side by side.

    The range of all keys includes the operators' ones, so that a lost watch of these does not
    delay them by its long duration.

    Args:
        address: ``host:port`` of the store.
        watch_duration: Duration of one watch of all keys.
        settle_delay: Delay before a watch is started again.
        driver: HTTP client.
        counters: Metrics of this instance.
        retry_delay: Delay after a failed request, which grows with consecutive failures.
    """

    def __init__(
        self,
        address: str,
        watch_duration: datetime.timedelta,
        settle_delay: datetime.timedelta,
        driver: curl.CurlDriver,
        counters: metrics.Metrics,
        retry_delay: datetime.timedelta = RETRY_DELAY,
    ):
        ranges = (
            key_ranges.KeyRange(
                wire_names.OPERATOR_KEY_PREFIX, OPERATOR_WATCH_DURATION, settle_delay
            ),
            key_ranges.KeyRange(wire_names.ALL_KEYS_PREFIX, watch_duration, settle_delay),
        )
        client = StoreClient(address, driver, counters)
        super().__init__(client, ranges, retry_delay, wire_names.is_removable)


def _decode(body: bytes, reply_type: type) -> object:
    try:
        return decoding.decode_json(body, reply_type)
    except errors.MalformedInputError as error:
        raise table_reader.ConfigServiceError(f"malformed reply of the store: {error}") from error


def _find_era(reply: http_call.HttpReply) -> int:
    """Returns the era that the store states, or ``eras.UNSTATED``.

    Raises:
        ConfigServiceError: If what it states is no whole number from 0.
    """
    name = wire_names.ERA_HEADER.lower()
    stated = {header.value for header in reply.headers if header.name.lower() == name}
    if not stated:
        return eras.UNSTATED
    text = ", ".join(sorted(stated))
    if not _ERA_PATTERN.fullmatch(text):
        raise table_reader.ConfigServiceError(f"malformed era of the store: {text!r}")
    return int(text)


def _make_table_values(
    items: Iterable[Item], era: int = eras.UNSTATED
) -> tuple[messages.TableValue, ...]:
    """Converts the items that belong to the tables; others may be of any length and number."""
    return tuple(
        _make_table_value(item, era)
        for item in items
        if item.key == wire_names.CONFIG_KEY or wire_names.is_removable(item.key)
    )


def _make_table_value(item: Item, era: int) -> messages.TableValue:
    """Converts an item to a table value, empty if the item is not base64-encoded UTF-8 text.

    An evacuation is in force as long as its key is present, whatever its value is.
    """
    text = ""
    if not item.removed:
        try:
            text = base64.b64decode(item.value).decode()
        # The base class of the errors of base64 and of UTF-8.
        except ValueError as error:
            _log.error("item that cannot be read", extra={"key": item.key, "error": str(error)})
        is_evacuation = item.key.startswith(wire_names.EVACUATION_KEY_PREFIX)
        if is_evacuation and not 0 < len(text) <= EVACUATION_VALUE_LENGTH_MAX:
            text = evacuations.UNREADABLE_TEXT
    return messages.TableValue(data.TableKey(item.key), item.rev, text, era)
