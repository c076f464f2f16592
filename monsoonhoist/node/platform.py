"""Client of the platform's configuration service and instance list.

Both can only be read. Every call, a waiting one included, counts against the
service's limit, so calls are counted here too.
"""

import asyncio
import datetime
import logging
from collections.abc import Callable

import msgspec

from monsoonhoist import errors, metrics
from monsoonhoist.core import data, membership, messages
from monsoonhoist.node import curl

CONNECT_TIMEOUT = datetime.timedelta(seconds=1)
READ_TIMEOUT = datetime.timedelta(seconds=5)
WATCH_SLACK = datetime.timedelta(seconds=2)
MS_PER_SECOND = 1000
STATUS_OK = 200

_log = logging.getLogger(__name__)


class PlatformError(errors.MonsoonError):
    """The platform gave no usable reply."""


class Index(msgspec.Struct, frozen=True):
    """Revisions of all keys.

    Attributes:
        index: Position in the service's history, for waiting for the next change.
        number_by_key: Revision number of each key.
    """

    index: int
    number_by_key: dict[data.TableKey, int]


class Value(msgspec.Struct, frozen=True):
    """Value of one key with its revision number."""

    number: int
    text: str


class PlatformClient:
    """Reads the platform's services.

    Args:
        config_url: Base of the configuration service.
        instances_url: The instance list.
        driver: HTTP client.
        counters: Metrics.
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

    async def watch(self, after: int, wait: datetime.timedelta) -> Index:
        """Returns the revisions once the index is not ``after``, or after ``wait``.

        Raises:
            PlatformError: If the service gave no usable reply.
        """
        self._counters.count_service_read("watch")
        wait_ms = int(wait.total_seconds() * MS_PER_SECOND)
        url = f"{self._config_url}/v1/index?after={after}&wait_ms={wait_ms}"
        return _decode(await self._get(url, wait + WATCH_SLACK), Index)

    async def value(self, key: data.TableKey) -> messages.TableValue:
        """Returns the value of a key.

        Raises:
            PlatformError: If the service gave no usable reply.
        """
        self._counters.count_service_read("value")
        body = await self._get(f"{self._config_url}/v1/values/{key}", READ_TIMEOUT)
        value = _decode(body, Value)
        return messages.TableValue(key, value.number, value.text)

    async def instances(self) -> tuple[membership.ListedInstance, ...]:
        """Returns the instance list.

        Raises:
            PlatformError: If the list gave no usable reply.
        """
        body = await self._get(self._instances_url, READ_TIMEOUT)
        return _decode(body, tuple[membership.ListedInstance, ...])

    async def _get(self, url: str, timeout: datetime.timedelta) -> bytes:
        ended: asyncio.Future[curl.HttpReply] = asyncio.get_running_loop().create_future()
        call = curl.HttpCall("GET", url, b"", timeout, CONNECT_TIMEOUT)
        self._driver.start(call, lambda reply: ended.done() or ended.set_result(reply))
        reply = await ended
        if reply.status != STATUS_OK:
            raise PlatformError(f"{url}: status {reply.status} {reply.error}".rstrip())
        return reply.body


class InstancePoller:
    """Reads the instance list at intervals.

    Args:
        client: Client of the platform.
        period: Time between readings.
        take: Receives each reading.
    """

    def __init__(
        self,
        client: PlatformClient,
        period: datetime.timedelta,
        take: Callable[[tuple[membership.ListedInstance, ...]], None],
    ):
        self._client = client
        self._period = period
        self._take = take
        self._runner: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Starts reading."""
        self._runner = asyncio.create_task(self._run(), name="instance list")

    def stop(self) -> None:
        """Stops reading."""
        if self._runner is not None:
            self._runner.cancel()

    async def _run(self) -> None:
        while True:
            try:
                self._take(await self._client.instances())
            except PlatformError as error:
                _log.warning("instance list not read", extra={"error": str(error)})
            await asyncio.sleep(self._period.total_seconds())


def _decode(body: bytes, kind: type) -> object:
    try:
        return msgspec.json.decode(body, type=kind)
    except msgspec.MsgspecError as error:
        raise PlatformError(f"malformed reply: {error}") from error
