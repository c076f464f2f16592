"""Interface of the readers of the configuration service, and what they return."""

import abc
import datetime
import random

import msgspec

from monsoonhoist import errors
from monsoonhoist.node import era_log
from monsoonhoist.protocol import messages
from monsoonhoist.tables import eras, store

RETRY_MAX_SECONDS = 1.5


class ConfigServiceError(errors.MonsoonError):
    """The configuration service did not return a usable reply."""


class EarlierEraError(ConfigServiceError):
    """A reply is of an earlier era of the configuration service than the newest known one."""


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
    """

    values: tuple[messages.TableValue, ...]
    listed_number: int = 0
    is_complete: bool = True
    error: str = ""
    era: int = eras.UNSTATED


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
