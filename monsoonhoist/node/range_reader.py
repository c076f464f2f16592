"""Reader of a configuration service that is read by ranges of keys with a common prefix.

Each range is listed and watched by a task of its own, which repeats its failed requests by itself.
A long list, a long reply, a failure or a lost history of one range therefore does not delay the
changes of another. Ranges may overlap: a change is then offered by whichever range reports it
first.
"""

import asyncio
import contextlib
import datetime
import logging
import math
from collections.abc import Callable, Container, Sequence

import msgspec

from monsoonhoist.core import data
from monsoonhoist.node import era_log, key_ranges, table_reader
from monsoonhoist.protocol import messages
from monsoonhoist.tables import store

# Delay before a range is listed again after its history is gone. It limits the rate of requests to
# a service that never has the history.
RELIST_DELAY_SECONDS = 0.05
# Interval at which the values of a long list are offered before its end. Each offer rebuilds the
# pools that have changed, which takes too long to do for each page.
OFFER_INTERVAL_SECONDS = 1.0
# Time for which a range waits at the start for the first page of a range that includes it.
INCLUDED_WAIT_SECONDS = 0.3

_log = logging.getLogger(__name__)


class RangeReader(table_reader.TableReader):
    """Lists and watches ranges of keys side by side.

    Args:
        client: Requests to the service.
        ranges: The ranges. Readings of earlier ones are returned first.
        retry_delay: Delay after a failed request, which grows with consecutive failures.
        is_removable: Whether a key that a list no longer has counts as removed.
    """

    def __init__(
        self,
        client: key_ranges.RangeClient,
        ranges: Sequence[key_ranges.KeyRange],
        retry_delay: datetime.timedelta,
        is_removable: Callable[[data.TableKey], bool],
    ):
        self._client = client
        self._range_by_prefix = {key_range.prefix: key_range for key_range in ranges}
        self._retry_delay = retry_delay
        self._is_removable = is_removable
        self._state_by_prefix = self._make_states()
        self._tasks: list[asyncio.Task[None]] = []
        self._settling: asyncio.Task[None] | None = None
        self._has_readings = asyncio.Event()

    async def read(self, table_store: store.TableStore) -> table_reader.Reading:
        """Waits until any range has a new reading, and returns it.

        A failed request is returned as a reading with an error; it is repeated by itself.
        """
        if not self._tasks:
            self._tasks = [
                asyncio.create_task(self._follow(prefix, table_store), name=f"range {prefix!r}")
                for prefix in self._range_by_prefix
            ]
        while True:
            waiting = [state for state in self._state_by_prefix.values() if state.readings]
            if waiting:
                reading = waiting[0].readings.popleft()
                return reading if len(waiting) == 1 else _without_listing(reading)
            self._has_readings.clear()
            await self._has_readings.wait()

    def reset(self) -> None:
        """Ends all requests and discards what is known; the next reading starts with the lists."""
        for task in self._tasks:
            task.cancel()
        self._tasks = []
        if self._settling is not None:
            self._settling.cancel()
            self._settling = None
        self._state_by_prefix = self._make_states()

    def _make_states(self) -> dict[str, key_ranges.RangeState]:
        return {prefix: key_ranges.RangeState() for prefix in self._range_by_prefix}

    async def _follow(self, prefix: str, table_store: store.TableStore) -> None:
        """Lists and watches a range until it is cancelled."""
        state = self._state_by_prefix[prefix]
        if any(prefix.startswith(other) and prefix != other for other in self._range_by_prefix):
            # The first page of the other range saves a call if it has all keys of this one.
            with contextlib.suppress(TimeoutError):
                # ``asyncio.wait_for`` would lose a cancellation that comes with the list.
                async with asyncio.timeout(INCLUDED_WAIT_SECONDS):
                    await state.has_list.wait()
        failures = 0
        while True:
            try:
                if state.revision is None or state.is_list_due:
                    await self._list(state, prefix, table_store)
                else:
                    await self._watch(state, self._range_by_prefix[prefix], table_store)
                failures = 0
                continue
            except key_ranges.HistoryGoneError as error:
                _log.info("range listed again", extra={"prefix": prefix, "error": str(error)})
                state.revision = None
                await asyncio.sleep(RELIST_DELAY_SECONDS)
                continue
            except table_reader.ConfigServiceError as error:
                if isinstance(error, key_ranges.NoReplyError):
                    self._restart_other_watches(state)
                elif isinstance(error, table_reader.EarlierEraError):
                    state.revision = None
                self._publish(state, table_reader.make_failed_reading(error))
            except Exception as error:
                # An error of the program must not end the task, nor delay the other ranges.
                _log.exception("range not read", extra={"prefix": prefix})
                state.revision = None
                self._publish(state, table_reader.make_failed_reading(error))
            failures += 1
            await asyncio.sleep(table_reader.retry_delay_seconds(self._retry_delay, failures))

    async def _list(
        self, state: key_ranges.RangeState, prefix: str, table_store: store.TableStore
    ) -> None:
        """Reads a range page by page; keys that the service no longer has get empty values.

        The pages of a range do not come from one snapshot. The watch starts from the revision of
        the first page, so that it includes changes made while the later pages are read.
        """
        state.is_list_due = False
        # If a request fails, the range is listed again.
        state.revision = None
        present_keys: set[data.TableKey] = set()
        values: list[messages.TableValue] = []
        first_page: key_ranges.Page | None = None
        after = ""
        loop = asyncio.get_running_loop()
        offered_at = loop.time()
        while True:
            page = await self._client.read_page(prefix, after)
            era = table_reader.check_era(page.era, table_store)
            first_page = first_page or page
            if era != table_store.eras.resolve(first_page.era):
                raise key_ranges.HistoryGoneError("the pages of a list are of two eras")
            present_keys.update(value.key for value in page.values)
            values += page.values
            if not page.next_after:
                break
            if not after:
                values += self._list_included(page, prefix, table_store)
                offered_at = -math.inf
            if loop.time() - offered_at >= OFFER_INTERVAL_SECONDS:
                self._publish(state, table_reader.Reading(tuple(values), is_complete=False))
                values = []
                offered_at = loop.time()
            after = page.next_after
        removed = self._find_removed(prefix, present_keys, first_page, table_store)
        state.set_listed(first_page.revision, era)
        self._raise_included(prefix, first_page.revision, era)
        self._end_earlier_watches(era)
        self._publish_complete(state, (*values, *removed))
        self._list_again_when_settled(table_store)

    def _list_included(
        self, page: key_ranges.Page, prefix: str, table_store: store.TableStore
    ) -> list[messages.TableValue]:
        """Marks ranges whose keys are all in the first page of a list as listed.

        Returns:
            The removals of their keys.
        """
        removed: list[messages.TableValue] = []
        keys = {value.key for value in page.values}
        for other_prefix, other in self._state_by_prefix.items():
            is_included = other_prefix.startswith(prefix) and other_prefix != prefix
            is_passed = page.next_after > other_prefix
            is_passed = is_passed and not page.next_after.startswith(other_prefix)
            if is_included and is_passed and other.listed_number is None:
                other.set_listed(page.revision, table_store.eras.resolve(page.era))
                removed += self._find_removed(other_prefix, keys, page, table_store)
        return removed

    def _find_removed(
        self,
        prefix: str,
        present_keys: Container[data.TableKey],
        page: key_ranges.Page,
        table_store: store.TableStore,
    ) -> list[messages.TableValue]:
        """Returns the removals of the keys in force that a list of a range lacks.

        Args:
            prefix: Prefix of the range.
            present_keys: Keys of the list.
            page: First page of the list, whose revision and era the removals get.
            table_store: The values in force.
        """
        return [
            messages.TableValue(key, page.revision, "", page.era)
            for key in table_store.removable_keys(page.era)
            if key.startswith(prefix) and self._is_removable(key) and key not in present_keys
        ]

    def _list_again_when_settled(self, table_store: store.TableStore) -> None:
        """Lists all ranges again once the era is settled, if a value of an earlier one remains.

        Such a value is in force where it is newer than the one of the copy from which the era
        began, or missing there. What the list then has, or lacks, replaces it.
        """
        is_waiting = self._settling is not None and not self._settling.done()
        if table_store.eras.is_settled() or is_waiting:
            return
        coroutine = self._list_settled(table_store)
        self._settling = asyncio.create_task(coroutine, name="list of a settled era")

    async def _list_settled(self, table_store: store.TableStore) -> None:
        while not table_store.eras.is_settled():
            await asyncio.sleep(table_store.eras.seconds_to_settle())
        if not table_store.has_earlier_eras():
            return
        era_log.log_settled(table_store)
        for state in self._state_by_prefix.values():
            state.is_list_due = True
            state.end_watch()

    async def _watch(
        self,
        state: key_ranges.RangeState,
        key_range: key_ranges.KeyRange,
        table_store: store.TableStore,
    ) -> None:
        """Waits for the settle delay and then for changes of a range."""
        await asyncio.sleep(key_range.settle_delay.total_seconds())
        if state.is_list_due:
            return
        try:
            async with asyncio.timeout(None) as state.watch_timeout:
                page = await self._client.watch(
                    key_range.prefix, state.revision, key_range.watch_duration
                )
        except TimeoutError:
            return
        finally:
            state.watch_timeout = None
        if table_reader.check_era(page.era, table_store) != state.era:
            raise key_ranges.HistoryGoneError(
                f"the service came back from an older copy, era {page.era}"
            )
        state.revision = page.revision
        self._raise_included(key_range.prefix, page.revision, state.era)
        self._publish_complete(state, page.values)

    def _raise_included(self, prefix: str, revision: int, era: int) -> None:
        """Records that the ranges included in a range are known up to its revision.

        Their long watches then do not start from a revision that the service has compacted, or one
        of an earlier era.
        """
        for other_prefix, other in self._state_by_prefix.items():
            if not other_prefix.startswith(prefix) or other_prefix == prefix:
                continue
            if other.listed_number is None:
                other.set_listed(revision, era)
            elif other.era != era:
                other.set_listed(revision, era)
                other.end_watch()
            elif other.revision is not None:
                other.revision = max(other.revision, revision)

    def _end_earlier_watches(self, era: int) -> None:
        """Has the ranges listed anew that are watched as of an earlier era."""
        for other in self._state_by_prefix.values():
            if other.era != era and other.watch_timeout is not None:
                other.is_list_due = True
                other.end_watch()

    def _restart_other_watches(self, state: key_ranges.RangeState) -> None:
        """Ends the watches of the other ranges, which are then made again."""
        for other in self._state_by_prefix.values():
            if other is not state:
                other.end_watch()

    def _publish_complete(
        self, state: key_ranges.RangeState, values: tuple[messages.TableValue, ...]
    ) -> None:
        """Adds a reading after which the range is known completely."""
        states = self._state_by_prefix.values()
        is_complete = all(
            other.listed_number is not None and other.era == state.era for other in states
        )
        listed_number = min(other.listed_number for other in states) if is_complete else 0
        reading = table_reader.Reading(
            values, listed_number, is_complete, era=state.era, revision=state.revision
        )
        self._publish(state, reading)

    def _publish(self, state: key_ranges.RangeState, reading: table_reader.Reading) -> None:
        state.readings.append(reading)
        self._has_readings.set()


def _without_listing(reading: table_reader.Reading) -> table_reader.Reading:
    """Returns a reading that is overtaking others, without what it says about lists.

    It may have been made after a list whose values are in a reading that waits. Had the list been
    recorded first, its older values would count as removed.
    """
    return msgspec.structs.replace(reading, listed_number=0, is_complete=False)
