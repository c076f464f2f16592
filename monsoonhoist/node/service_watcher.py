"""Reads the configuration service while this instance is one of its watchers."""

import asyncio
import datetime
import logging
from collections.abc import Callable, Iterable

import msgspec

from monsoonhoist.node import replication, table_reader
from monsoonhoist.protocol import messages

# Interval at which an instance that is not a watcher checks whether it has become one.
ROLE_CHECK_INTERVAL_SECONDS = 0.25

# Not ``__name__``: operators select log lines by this name, which the module had before it was
# renamed.
_log = logging.getLogger("monsoonhoist.node.tables")


class ConfigServiceWatcher:
    """Reads the configuration service while this instance is a watcher.

    Args:
        retry_delay: Delay after a failed call; it doubles with each consecutive failure, up to
            ``RETRY_MAX_SECONDS``, and varies at random by up to a quarter.
        reader: Reads the service.
        replicator: Receives the values.
        is_watcher: Returns whether this instance should currently read the service.
        on_read: Called after each successful read.
        reads_at_start: Whether to read the service at the start even if not a watcher.
        observer: Learns what comes of the reading.

    Attributes:
        has_read_all: Whether all keys have been read since the start or last restart.
    """

    def __init__(
        self,
        retry_delay: datetime.timedelta,
        reader: table_reader.TableReader,
        replicator: replication.TableReplicator,
        is_watcher: Callable[[], bool],
        on_read: Callable[[], None],
        reads_at_start: bool = True,
        observer: table_reader.ReadObserver | None = None,
    ):
        self.has_read_all = False
        self._must_read = reads_at_start
        self._on_read = on_read
        self._retry_delay = retry_delay
        self._reader = reader
        self._replicator = replicator
        self._is_watcher = is_watcher
        self._observer = observer or table_reader.ReadObserver()
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Starts watching."""
        self._task = asyncio.create_task(self._run(), name="service watcher")

    def stop(self) -> None:
        """Stops watching."""
        if self._task is not None:
            self._task.cancel()
        self._reader.reset()

    def restart(self) -> None:
        """Aborts a pending watch and reads all keys again."""
        self.stop()
        self.has_read_all = False
        self._must_read = True
        self.start()

    async def _run(self) -> None:
        failures = 0
        while True:
            is_watching = not self._must_read and self._is_watcher()
            self._observer.record_watching(is_watching)
            if not self._must_read and not is_watching:
                self._reader.reset()
                await asyncio.sleep(ROLE_CHECK_INTERVAL_SECONDS)
                continue
            try:
                reading = await self._reader.read(self._replicator.store)
                if reading.error:
                    self._observer.record_failure(reading.failure)
                    _log.warning("configuration service not read", extra={"error": reading.error})
                    failures += 1
                    continue
                self._replicator.offer(self._state_eras(reading.values), "service")
                self._replicator.store.record_listing(reading.listed_number, reading.era)
                if reading.is_complete:
                    self.has_read_all = True
                    self._must_read = False
                self._on_read()
                self._observer.record_reading(reading)
                if failures:
                    _log.info("configuration service read again")
                failures = 0
            except table_reader.ConfigServiceError as error:
                self._observer.record_failure(error.failure)
                _log.warning("configuration service not read", extra={"error": str(error)})
                failures += 1
                await asyncio.sleep(table_reader.retry_delay_seconds(self._retry_delay, failures))
            except Exception:
                # An error of the program must not end the loop: the instance would go on serving
                # by tables that grow old.
                self._observer.record_failure(table_reader.ReadFailure.PROGRAM_ERROR)
                _log.exception("reading of the configuration service failed")
                self._reader.reset()
                failures += 1
                await asyncio.sleep(table_reader.retry_delay_seconds(self._retry_delay, failures))

    def _state_eras(self, values: Iterable[messages.TableValue]) -> list[messages.TableValue]:
        """Returns values that the service sent, those without an era as of the newest one."""
        resolve = self._replicator.store.eras.resolve
        return [msgspec.structs.replace(value, era=resolve(value.era)) for value in values]
