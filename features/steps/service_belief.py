"""Steps that check what an instance believes of the configuration service."""

import asyncio
import datetime

from behave import given, then, when

from features.steps import table_log
from monsoonhoist import metrics, settings
from monsoonhoist.core import data
from monsoonhoist.fleet import watcher_selection
from monsoonhoist.node import (
    key_ranges,
    range_reader,
    service_belief,
    service_watcher,
    table_reader,
)
from monsoonhoist.protocol import messages

OWN_NAME = data.InstanceId("own")
# As with ``stale_ms`` and ``watch_ms`` of ``deploy/settings.ini``.
OLD_SECONDS = 3.8
MS_PER_SECOND = 1000
# A binary fraction of a second, so that sums of it are exact.
TICK_MS = 125
NEWEST_ERA = 4
TIMEOUT_SECONDS = 10.0


class Believer:
    """An instance's belief, of which time passes in steps.

    Attributes:
        logged: The instance, with its clock and log lines.
        belief: The belief.
    """

    def __init__(self, logged):
        self.logged = logged
        self.counters = metrics.Metrics(OWN_NAME)
        selection = watcher_selection.WatcherSelection(OWN_NAME, 2, 2.3, 0.3)
        self.belief = service_belief.ServiceBelief(
            selection, logged.clock, self.counters, logged.replicator.store, OLD_SECONDS
        )

    def pass_time(self, ms):
        """Advances the clock and checks the age of the answer meanwhile."""
        for _ in range(ms // TICK_MS):
            self.logged.clock.advance(TICK_MS / MS_PER_SECOND)
            self.belief.check_age()

    def report(self, reader, age_ms):
        """Passes a peer's report to the belief."""
        self.belief.record_report(messages.ConfigReadReport(data.InstanceId(reader), age_ms))

    def lines(self):
        """Returns the log records of the belief."""
        name = service_belief.__name__
        return [record for record in self.logged.handler.records if record.name == name]


@given("an instance that {watches} the configuration service")
def make_believer(context, watches):
    """Makes the belief of an instance."""
    context.believer = Believer(table_log.logged_instance(context))
    context.believer.belief.record_watching(watches == "watches")


@when("it reads revision {revision:d} of era {era:d}, with all keys, and {ms:d} ms pass")
def read_revision(context, revision, era, ms):
    """Records a read of the instance itself."""
    believer = context.believer
    believer.logged.replicator.store.eras.record(era)
    reading = table_reader.Reading((), revision, era=era, revision=revision)
    believer.belief.record_read()
    believer.belief.record_reading(reading)
    believer.pass_time(ms)


@when('a peer reports an answer to "{reader}" that is {age_ms:d} ms old')
def report_answer(context, reader, age_ms):
    """Passes one report to the instance."""
    context.believer.report(reader, age_ms)


@when(
    'a peer reports an answer to "{reader}" that is {age_ms:d} ms old, '
    "every {interval_ms:d} ms for {ms:d} ms"
)
def report_repeatedly(context, reader, age_ms, interval_ms, ms):
    """Passes reports to the instance at intervals."""
    for _ in range(ms // interval_ms):
        context.believer.report(reader, age_ms)
        context.believer.pass_time(interval_ms)


@when("{ms:d} ms pass at the instance")
def pass_time(context, ms):
    """Advances the clock."""
    context.believer.pass_time(ms)


@when("it is told again and again that it {watches}")
def tell_watching(context, watches):
    """Passes the same role several times."""
    for _ in range(3):
        context.believer.belief.record_watching(watches == "watches")


@then("its status says of the service")
def check_status(context):
    """Compares fields of the status."""
    status = context.believer.belief.status()
    (row,) = context.table
    fields = {name: getattr(status, name) for name in row.headings}
    seen = {name: str(getattr(value, "value", value)) for name, value in fields.items()}
    assert seen == row.as_dict(), seen


@then('its log has one line "{message}" with')
def check_belief_line(context, message):
    """Compares the fields of the only line with a message."""
    table_log.check_line(context, message)


@then("its log has no lines of the service")
@then("its log has {count:d} lines of the service")
def check_line_count(context, count=0):
    """Checks the number of lines about the service."""
    lines = [record.getMessage() for record in context.believer.lines()]
    assert len(lines) == count, lines


class FailingReader(table_reader.TableReader):
    """A reader whose first read fails.

    Args:
        make_error: Returns the error of the first read.
    """

    def __init__(self, make_error):
        self._make_error = make_error
        self._reads = 0

    async def read(self, table_store):
        """Fails once, returns a reading, and then waits."""
        self._reads += 1
        if self._reads == 1:
            raise self._make_error(table_store)
        if self._reads > 2:
            await asyncio.sleep(TIMEOUT_SECONDS)
        return table_reader.Reading(())

    def reset(self):
        """Does nothing."""


class FailingClient(key_ranges.RangeClient):
    """A service whose first list fails.

    Args:
        make_error: Returns the error of the first list; None for a list of an earlier era.
    """

    def __init__(self, make_error):
        self._make_error = make_error
        self._lists = 0

    async def read_page(self, prefix, after):
        """Fails once, and then returns an empty list."""
        self._lists += 1
        if self._lists > 1:
            return key_ranges.Page((), 1, era=NEWEST_ERA)
        if self._make_error is None:
            return key_ranges.Page((), 1, era=NEWEST_ERA - 1)
        raise self._make_error()

    async def watch(self, prefix, revision, duration):
        """Waits."""
        await asyncio.sleep(TIMEOUT_SECONDS)


def make_ranges(make_error):
    """Returns a reader of one range."""
    no_delay = datetime.timedelta(0)
    key_range = key_ranges.KeyRange("", datetime.timedelta(seconds=1), no_delay)
    client = FailingClient(make_error)
    return range_reader.RangeReader(client, [key_range], no_delay, lambda key: True)


def find_era_error(table_store):
    """Returns the error of a reply of an earlier era."""
    try:
        table_reader.check_era(NEWEST_ERA - 1, table_store)
    except table_reader.EarlierEraError as error:
        return error
    raise AssertionError("the reply was not refused")


def make_status_error(table_store=None):
    """Returns the error of a reply with an error status."""
    return table_reader.ConfigServiceError("status 503")


def make_program_error(table_store=None):
    """Returns an error of the program."""
    return ZeroDivisionError()


READER_BY_FAULT = {
    "a status of 503": lambda: FailingReader(make_status_error),
    "a reply of an earlier era": lambda: FailingReader(find_era_error),
    "an error of the program": lambda: FailingReader(make_program_error),
    "a range with a reply of 503": lambda: make_ranges(make_status_error),
    "a range with an earlier era": lambda: make_ranges(None),
    "a range and an error of the program": lambda: make_ranges(make_program_error),
}


@given("a watcher whose next read of the service fails because of {fault}")
def make_failing(context, fault):
    """Runs a watcher until its second read has succeeded."""
    logged = table_log.logged_instance(context)
    believer = context.believer = Believer(logged)
    logged.replicator.store.eras.record(NEWEST_ERA)

    async def run():
        has_read = asyncio.Event()
        watcher = service_watcher.ConfigServiceWatcher(
            settings.TimingSection().service_retry_ms / 50,
            READER_BY_FAULT[fault](),
            logged.replicator,
            lambda: True,
            has_read.set,
            observer=believer.belief,
        )
        watcher.start()
        async with asyncio.timeout(TIMEOUT_SECONDS):
            await has_read.wait()
        watcher.stop()

    asyncio.run(run())


@then('the failure is counted as "{reason}" alone, after which the service is read again')
def check_failure(context, reason):
    """Compares the counts of failures by reason, which start at zero."""
    counter = context.believer.counters.counter_by_name["monsoonhoist_service_failures"]
    expected = {(("reason", each.value),): 0 for each in table_reader.ReadFailure}
    expected[(("reason", reason),)] = 1
    assert dict(counter.count_by_labels) == expected, counter.count_by_labels
    assert table_log.logged_instance(context).lines("configuration service read again")
