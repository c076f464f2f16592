"""Interface of the readers of the configuration service, and what they return."""

import abc
import datetime
import enum
import random

import msgspec

from monsoonhoist import errors
from monsoonhoist.node import era_log
from monsoonhoist.protocol import messages
from monsoonhoist.tables import eras, store

RETRY_MAX_SECONDS = 1.5


class ReadFailure(enum.Enum):
    """Why a read of the configuration service failed.

    Attributes:
        NO_USABLE_REPLY: There was no reply, or one that says so or cannot be read.
        EARLIER_ERA: The reply is of an earlier era of the service than the newest known one.
        PROGRAM_ERROR: An error of the program.
    """

    NO_USABLE_REPLY = "no_usable_reply"
    EARLIER_ERA = "earlier_era"
    PROGRAM_ERROR = "program_error"


class ConfigServiceError(errors.MonsoonError):
    """The configuration service did not return a usable reply.

    Attributes:
        failure: Why the read failed.
    """

    failure = ReadFailure.NO_USABLE_REPLY


class EarlierEraError(ConfigServiceError):
    """A reply is of an earlier era of the configuration service than the newest known one."""

    failure = ReadFailure.EARLIER_ERA


def check_era(era: int, table_store: store.TableStore) -> int:
    """Records the era that a reply states; returns it, or the newest known one if none is stated.

    Raises:
        EarlierEraError: If the reply is of an earlier era.
    """
    era_before = table_store.eras.newest
    table_store.eras.record(era)
    era_log.log_newer(era_before, table_store, "service")
    if table_store.eras.is_outdated(era):
        newest = table_store.eras.newest
        raise EarlierEraError(f"reply of era {era}, while era {newest} is known")
    return table_store.eras.resolve(era)


class Reading(msgspec.Struct, frozen=True):
    """Result of reading the configuration service.

    Attributes:
        values: New values.
        listed_number: Revision number up to which all keys of the service were read; 0 if only
            changes were read, or if the service numbers the revisions of each key by themselves.
        is_complete: Whether all keys have been read since the last reset of the reader.
        error: Why a request failed; empty if none did. The reader repeats it by itself.
        era: Era of the service to which ``listed_number`` belongs; ``eras.UNSTATED`` if not stated.
        revision: Revision that the service stated; 0 if nothing was read.
        failure: Kind of the error; None if there is none.
    """

    values: tuple[messages.TableValue, ...]
    listed_number: int = 0
    is_complete: bool = True
    error: str = ""
    era: int = eras.UNSTATED
    revision: int = 0
    failure: ReadFailure | None = None


def make_failed_reading(error: Exception) -> Reading:
    """Returns the reading that reports a failed request."""
    if isinstance(error, ConfigServiceError):
        return Reading((), error=str(error), failure=error.failure)
    return Reading((), error=repr(error), failure=ReadFailure.PROGRAM_ERROR)


class ReadObserver:
    """Learns what comes of the reading of the configuration service; this one ignores it."""

    def record_reading(self, reading: Reading) -> None:
        """Records a successful read, whose values have been offered."""

    def record_failure(self, failure: ReadFailure) -> None:
        """Records a failed read."""

    def record_watching(self, is_watching: bool) -> None:
        """Records whether the service is watched from now on, after what is read at the start."""


class TableReader(abc.ABC):
    """Reads table values from the configuration service."""

    @abc.abstractmethod
    async def read(self, table_store: store.TableStore) -> Reading:
        """Waits for a change, up to the timeout of the watch, and returns new values.

        The first call after ``reset`` does not wait and covers all keys.

        Raises:
            ConfigServiceError: If the service did not return a usable reply, and the reader leaves
                the delay before the next request to its caller.
        """

    @abc.abstractmethod
    def reset(self) -> None:
        """Makes the next read cover all keys."""


def retry_delay_seconds(initial: datetime.timedelta, failures: int) -> float:
    """Returns the delay before the next read, in seconds, after consecutive failures."""
    delay = min(RETRY_MAX_SECONDS, initial.total_seconds() * 2 ** (failures - 1))
    return delay * random.uniform(0.75, 1.25)
