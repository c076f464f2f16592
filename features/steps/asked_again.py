"""Steps on the journal of an entry that asks other owners."""

import logging

from behave import given, then, when

from features.steps import silent_owners
from monsoonhoist.core import events, messages, traces
from monsoonhoist.node import request_log


class LineKeeper(logging.Handler):
    """Keeps the records that are logged."""

    def __init__(self):
        super().__init__()
        self.records = []

    def emit(self, record):
        """Keeps a record."""
        self.records.append(record)


@given("the journal of that entry's decisions")
def make_journal(context):
    """Lets a journal observe a new entry from its first query on."""
    context.lines = LineKeeper()
    context.exceeded = 0
    logger = logging.getLogger("monsoonhoist.request")
    logger.setLevel(logging.INFO)
    logger.addHandler(context.lines)
    context.add_cleanup(logger.removeHandler, context.lines)
    context.add_cleanup(logger.setLevel, logging.NOTSET)
    context.bench = silent_owners.EntryBench()
    context.journal = request_log.RequestLog(
        context.bench.clock, lambda count: setattr(context, "exceeded", context.exceeded + count)
    )
    handle = context.bench.entry.handle

    def observed(event):
        commands = handle(event)
        context.journal.observe(traces.Role.ENTRY, event, commands)
        return commands

    context.bench.entry.handle = observed
    context.bench.ask()
    context.sent = list(context.bench.batches)


@when("the entry allows their stand-bys a call too many")
def allow_too_many(context):
    """Lets the journal see answers to the stand-bys that exceed the attempts."""
    again = context.bench.batches[len(context.sent) :]
    context.twice = [service for _, batch in again for service in batch.services]
    assert context.twice
    for owner, batch in again:
        allowances = tuple(
            messages.Allowance(service, batch.attempt, 2) for service in batch.services
        )
        answer = messages.CallsAllowed(batch.query.query_id, allowances)
        wanted = events.CallsWanted(owner, messages.CallsWanted(batch.query.query_id, ()))
        command = events.SendMessage(owner, answer)
        context.journal.observe(traces.Role.ENTRY, wanted, [command])


@when("the stand-bys answer")
def answer_stand_bys(context):
    """Lets the owners that were asked again answer."""
    for owner, batch in context.bench.batches[len(context.sent) :]:
        context.bench.answer(owner, batch)


@when("all owners answer at once")
def answer_all(context):
    """Lets all owners answer."""
    for owner, batch in context.sent:
        context.bench.answer(owner, batch)


@then('the log says "{step}" with the reason "{reason}" for each of those shards')
def check_steps(context, step, reason):
    """Checks the lines of one step."""
    lines = [record for record in context.lines.records if record.getMessage() == step]
    assert {line.reason for line in lines} == {reason}, lines
    assert sorted(line.service for line in lines) == sorted(context.twice)
    assert all(line.owner for line in lines)


@then('the log warns "{message}" for each of those shards')
def check_warnings(context, message):
    """Checks the warnings."""
    lines = [record for record in context.lines.records if record.levelno == logging.WARNING]
    assert {line.getMessage() for line in lines} == {message}
    assert sorted(line.service for line in lines) == sorted(context.twice)


@then("as many shards are counted as called too often")
def check_count(context):
    """Checks the count."""
    assert context.exceeded == len(context.twice), context.exceeded


@then("the log holds no warning")
def check_no_warning(context):
    """Checks that nothing is reported."""
    assert not [one for one in context.lines.records if one.levelno >= logging.WARNING]


@then("no shard is counted as called too often")
def check_no_count(context):
    """Checks the count."""
    assert context.exceeded == 0
