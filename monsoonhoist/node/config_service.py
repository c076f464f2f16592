"""Client of the platform's configuration service and instance list.

Both are read-only. The service limits the rate of calls, long polls included, so a metric
counts the calls to it.
"""

import asyncio
import datetime
import logging
import urllib.parse
from collections.abc import Callable, Iterator

import msgspec

from monsoonhoist import decoding, errors, metrics
from monsoonhoist.core import data
from monsoonhoist.fleet import membership
from monsoonhoist.node import curl, dialect, era_log, http_call, http_fetch, table_reader
from monsoonhoist.protocol import messages
from monsoonhoist.tables import eras, native, store

CONNECT_TIMEOUT = datetime.timedelta(seconds=1)
READ_TIMEOUT = datetime.timedelta(seconds=5)
# Time that the reply to a watch may take beyond the duration of the watch.
WATCH_TIMEOUT_MARGIN = datetime.timedelta(seconds=2)
MS_PER_SECOND = 1000
# Longest part of an entry that cannot be read, in the log.
LOGGED_BYTES_MAX = 200
# Text that stands for the value of an evacuation key, which is not fetched.
EVACUATION_TEXT = "{}"
STATUS_OK = 200
# Statuses that say that the service is overloaded, not that a value cannot be read.
STATUSES_OF_LOAD = (408, 429)

# Not ``__name__``: operators select log lines by this name, which the module had before it was
# renamed.
_log = logging.getLogger("monsoonhoist.node.service")


class RevisionIndex(msgspec.Struct, frozen=True):
    """Revision numbers of all keys at one point of the service's history.

    Attributes:
        index: Position in the service's history, used to wait for the next change.
        number_by_key: Revision number of each key.
        era: Era of the service; ``eras.UNSTATED`` if it states none.
    """

    index: int
    number_by_key: dict[data.TableKey, int]
    era: int = eras.UNSTATED


class Value(msgspec.Struct, frozen=True):
    """Value of a key, its revision number, and the era of the service."""

    number: int
    text: str
    era: int = eras.UNSTATED


class UnreadableValueError(table_reader.ConfigServiceError):
    """The service works, but its reply for one value cannot be used."""


class ConfigServiceClient:
    """Reads the configuration service and the instance list of the native platform.

    Args:
        config_url: Base URL of the configuration service.
        instances_url: URL of the instance list.
        driver: HTTP client.
        counters: Metrics of this instance.
    """

    def __init__(
        self,
        config_url: str,
        instances_url: str,
        driver: curl.CurlDriver,
        counters: metrics.Metrics,
    ):
        self._config_url = config_url.rstrip("/")
        self._instances_url = instances_url
        self._driver = driver
        self._counters = counters

    async def watch(self, after: int, era: int, wait: datetime.timedelta) -> RevisionIndex:
        """Returns the revisions of all keys, after waiting for a change.

        Args:
            after: Index that the client has read; the call ends once the current one differs.
            era: Era in which the client has read it, as in ``RevisionIndex``; the call ends also
                once the current one differs.
            wait: Longest wait, after which the revisions are returned unchanged.

        Raises:
            table_reader.ConfigServiceError: If no usable reply was received.
        """
        self._counters.count_service_read("watch")
        wait_ms = int(wait.total_seconds() * MS_PER_SECOND)
        url = f"{self._config_url}/v1/index?after={after}&era={era}&wait_ms={wait_ms}"
        return _decode(await self._get(url, wait + WATCH_TIMEOUT_MARGIN), RevisionIndex)

    async def fetch_value(self, key: data.TableKey) -> messages.TableValue:
        """Returns the current value of a key.

        Raises:
            UnreadableValueError: If the reply for this value cannot be used.
            table_reader.ConfigServiceError: If no reply was received.
        """
        self._counters.count_service_read("value")
        url = f"{self._config_url}/v1/values/{urllib.parse.quote(key, safe='/')}"
        reply = await self._fetch(url, READ_TIMEOUT)
        is_refused = 400 <= reply.status < 500 and reply.status not in STATUSES_OF_LOAD
        if is_refused or reply.defect is not None:
            reason = reply.defect.value if reply.defect is not None else f"status {reply.status}"
            raise UnreadableValueError(f"{url}: {reason}")
        _check_status(url, reply)
        try:
            value = decoding.decode_json(reply.body, Value)
        except errors.MalformedInputError as error:
            raise UnreadableValueError(f"{url}: {error}") from error
        return messages.TableValue(key, value.number, value.text, value.era)

    async def fetch_instances(self) -> tuple[membership.ListedInstance, ...]:
        """Returns the instance list, without the entries that cannot be read.

        Raises:
            table_reader.ConfigServiceError: If no usable reply was received.
        """
        body = await self._get(self._instances_url, READ_TIMEOUT)
        listed = []
        for entry in _decode(body, list[msgspec.Raw]):
            try:
                listed.append(decoding.decode_json(bytes(entry), membership.ListedInstance))
            except errors.MalformedInputError as error:
                extra = {"entry": bytes(entry)[:LOGGED_BYTES_MAX].decode(errors="replace")}
                _log.error("listed instance not read", extra={**extra, "error": str(error)})
        return tuple(listed)

    async def _get(self, url: str, timeout: datetime.timedelta) -> bytes:
        reply = await self._fetch(url, timeout)
        _check_status(url, reply)
        return reply.body

    async def _fetch(self, url: str, timeout: datetime.timedelta) -> http_call.HttpReply:
        call = http_call.HttpCall("GET", url, b"", timeout, CONNECT_TIMEOUT, is_counted=False)
        return await http_fetch.fetch(self._driver, call)


class ConfigServiceReader(table_reader.TableReader):
    """Reads the keys that have newer revisions, after waiting for a change.

    Args:
        client: Client of the configuration service.
        wait_max: Maximum wait of one call.
    """

    def __init__(self, client: ConfigServiceClient, wait_max: datetime.timedelta):
        self._client = client
        self._wait_max = wait_max
        self._index = 0
        self._era = eras.UNSTATED

    async def read(self, table_store: store.TableStore) -> table_reader.Reading:
        """Waits for a change and returns the values that are newer than the store's.

        A value that cannot be read is left out and requested again by the next call. Changed
        evacuations are returned by themselves, ahead of all other values.
        """
        wait = self._find_wait(table_store)
        was_settled = table_store.eras.is_settled()
        revision_index = await self._client.watch(self._index, self._era, wait)
        era = table_reader.check_era(revision_index.era, table_store)
        changes = tuple(_find_evacuation_changes(revision_index, table_store))
        if changes:
            # They do not wait for other values, which the next call reads by the same index.
            return table_reader.Reading(changes, is_complete=False, revision=revision_index.index)
        if not was_settled and table_store.eras.is_settled() and table_store.has_earlier_eras():
            era_log.log_settled(table_store)
        values = []
        for key, number in sorted(revision_index.number_by_key.items()):
            is_evacuation = key.startswith(native.EVACUATION_KEY_PREFIX)
            if is_evacuation or table_store.has_processed(key, number, era):
                continue
            try:
                value = await self._client.fetch_value(key)
                table_reader.check_era(value.era, table_store)
                values.append(value)
            except UnreadableValueError as error:
                extra = {"key": key, "number": number, "error": str(error)}
                _log.error("value not read", extra=extra)
        self._index = revision_index.index
        self._era = revision_index.era
        return table_reader.Reading(tuple(values), revision=revision_index.index)

    def _find_wait(self, table_store: store.TableStore) -> datetime.timedelta:
        """Returns the longest wait for a change.

        Values that were refused until the era of the service is settled are read again then.
        """
        if table_store.eras.is_settled() or not table_store.has_earlier_eras():
            return self._wait_max
        seconds = table_store.eras.seconds_to_settle()
        return min(self._wait_max, datetime.timedelta(seconds=seconds))

    def reset(self) -> None:
        """Makes the next read cover all keys."""
        self._index = 0
        self._era = eras.UNSTATED


class InstancePoller(dialect.InstanceListing):
    """Reads the instance list at intervals.

    Args:
        client: Client of the instance list.
        period: Interval between reads.
        handle_instances: Called with the result of each read.
    """

    def __init__(
        self,
        client: ConfigServiceClient,
        period: datetime.timedelta,
        handle_instances: Callable[[tuple[membership.ListedInstance, ...]], None],
    ):
        self._client = client
        self._period = period
        self._handle_instances = handle_instances
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Starts polling."""
        self._task = asyncio.create_task(self._run(), name="instance list")

    def stop(self) -> None:
        """Stops polling."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        while True:
            try:
                self._handle_instances(await self._client.fetch_instances())
            except table_reader.ConfigServiceError as error:
                _log.warning("instance list not read", extra={"error": str(error)})
            except Exception:
                # The list is read again after the usual interval, as after any other failure.
                _log.exception("reading of the instance list failed")
            await asyncio.sleep(self._period.total_seconds())


def _find_evacuation_changes(
    revision_index: RevisionIndex, table_store: store.TableStore
) -> Iterator[messages.TableValue]:
    """Yields the evacuations that were added or removed.

    Only the presence of their keys counts, so that no value is fetched. They are numbered by the
    index of the service, which rises with each change: a stale index then replaces nothing.
    """
    present = {
        key for key in revision_index.number_by_key if key.startswith(native.EVACUATION_KEY_PREFIX)
    }
    in_force = {
        key for key in table_store.nonempty_keys() if key.startswith(native.EVACUATION_KEY_PREFIX)
    }
    for key in sorted(present ^ in_force):
        text = EVACUATION_TEXT if key in present else ""
        value = messages.TableValue(key, revision_index.index, text, revision_index.era)
        is_processed = table_store.has_processed(key, value.number, value.era)
        if not is_processed and table_store.is_acceptable(value):
            yield value


def _check_status(url: str, reply: http_call.HttpReply) -> None:
    """Raises ``ConfigServiceError`` unless the reply has the status 200."""
    if reply.status != STATUS_OK:
        raise table_reader.ConfigServiceError(
            f"{url}: status {reply.status} {reply.error}".rstrip()
        )


def _decode(body: bytes, reply_type: type) -> object:
    try:
        return decoding.decode_json(body, reply_type)
    except errors.MalformedInputError as error:
        raise table_reader.ConfigServiceError(f"malformed reply: {error}") from error
