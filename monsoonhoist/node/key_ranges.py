"""Ranges of keys of the configuration service: requests for them, and the state of each."""

import abc
import asyncio
import collections
import datetime

import msgspec

from monsoonhoist.node import table_reader
from monsoonhoist.protocol import messages
from monsoonhoist.tables import eras


class HistoryGoneError(table_reader.ConfigServiceError):
    """The changes after a revision cannot be read: they are gone, or too long for a reply."""


class NoReplyError(table_reader.ConfigServiceError):
    """No reply was received, so that other requests in progress may be lost as well."""


class KeyRange(msgspec.Struct, frozen=True):
    """A range of keys.

    Attributes:
        prefix: Prefix of the keys; the empty one covers all.
        watch_duration: Longest wait of a watch.
        settle_delay: Delay before a watch is started again, in which changes accumulate.
    """

    prefix: str
    watch_duration: datetime.timedelta
    settle_delay: datetime.timedelta


class Page(msgspec.Struct, frozen=True):
    """Values of a range.

    Attributes:
        values: The values; empty ones are removals.
        revision: Revision of the service at the time of the reply.
        next_after: Key after which the next page starts; empty if this is the last.
        era: Era that the service states; ``eras.UNSTATED`` if it states none.
    """

    values: tuple[messages.TableValue, ...]
    revision: int
    next_after: str = ""
    era: int = eras.UNSTATED


class RangeClient(abc.ABC):
    """Requests to the configuration service."""

    @abc.abstractmethod
    async def read_page(self, prefix: str, after: str) -> Page:
        """Returns the values with a prefix whose keys are after a key.

        Raises:
            ConfigServiceError: If the request failed.
        """

    @abc.abstractmethod
    async def watch(self, prefix: str, revision: int, duration: datetime.timedelta) -> Page:
        """Returns the changes of keys with a prefix after a revision, after waiting for one.

        Raises:
            HistoryGoneError: If the changes cannot be read.
            ConfigServiceError: If the request failed.
        """


class RangeState:
    """State of a range, and its readings that were not returned yet.

    Attributes:
        revision: Revision to watch from; None if the range must be listed.
        era: Era of the service in which it was listed.
        is_list_due: Whether the range must be listed although it can be watched.
        listed_number: Revision of the latest complete list; None before the first.
        readings: Readings in the order in which they were made.
        watch_timeout: Ends the watch that is in progress; None if there is none.
        has_list: Set once the range has been listed.
    """

    def __init__(self) -> None:
        self.revision: int | None = None
        self.era = eras.UNSTATED
        self.is_list_due = False
        self.listed_number: int | None = None
        self.readings: collections.deque[table_reader.Reading] = collections.deque()
        self.watch_timeout: asyncio.Timeout | None = None
        self.has_list = asyncio.Event()

    def set_listed(self, revision: int, era: int) -> None:
        """Records a list of the range as of a revision of an era."""
        self.revision = self.listed_number = revision
        self.era = era
        self.has_list.set()

    def end_watch(self) -> None:
        """Ends the watch in progress, which is then made again."""
        if self.watch_timeout is not None:
            self.watch_timeout.reschedule(asyncio.get_running_loop().time())
            self.watch_timeout = None
