"""Steps that test the request log of an entry that fails over to other owners."""

import logging

from behave import given, then, when

from features.steps import silent_owners
from monsoonhoist.kernels import traces
from monsoonhoist.node import request_log
from monsoonhoist.protocol import events, messages


class RecordingHandler(logging.Handler):
    """Log handler that stores the records."""

    def __init__(self):
        super().__init__()
        self.records = []

    def emit(self, record):
        """Stores a record."""
        self.records.append(record)


@given("the request log of that entry")
def make_request_log(context):
    """Makes an entry that a request log observes from its first query on."""
    context.log_handler = RecordingHandler()
    context.exceeded_count = 0
    logger = logging.getLogger("monsoonhoist.request")
    logger.setLevel(logging.INFO)
    logger.addHandler(context.log_handler)
    context.add_cleanup(logger.removeHandler, context.log_handler)
    context.add_cleanup(logger.setLevel, logging.NOTSET)
    context.harness = silent_owners.EntryHarness()
    context.request_log = request_log.RequestLog(
        context.harness.clock,
        lambda count: setattr(context, "exceeded_count", context.exceeded_count + count),
    )
    handle = context.harness.entry.handle

    def handle_observed(event):
        commands = handle(event)
        context.request_log.observe(traces.Role.ENTRY, event, commands)
        return commands

    context.harness.entry.handle = handle_observed
    context.harness.start_query()
    context.batches = list(context.harness.sent_batches)


@when("the entry allows the stand-bys one call too many")
def allow_excess_calls(context):
    """Passes allowances for the stand-bys that exceed the route's call limit to the request log."""
    stand_by_batches = context.harness.sent_batches[len(context.batches) :]
    context.excess_services = [
        service for _, batch in stand_by_batches for service in batch.services
    ]
    assert context.excess_services
    for owner, batch in stand_by_batches:
        allowances = tuple(
            messages.Allowance(service, batch.attempt, 2) for service in batch.services
        )
        response = messages.CallsAllowed(batch.query.query_id, allowances)
        calls_wanted = events.CallsWanted(owner, messages.CallsWanted(batch.query.query_id, ()))
        command = events.SendMessage(owner, response)
        context.request_log.observe(traces.Role.ENTRY, calls_wanted, [command])


@when("the stand-bys reply")
def reply_from_stand_bys(context):
    """Sends the replies of the stand-bys."""
    for owner, batch in context.harness.sent_batches[len(context.batches) :]:
        context.harness.reply(owner, batch)


@when("all owners reply at once")
def reply_from_all(context):
    """Sends the replies of all owners."""
    for owner, batch in context.batches:
        context.harness.reply(owner, batch)


@then('the log contains "{step}" with the reason "{reason}" for each shard of the stand-bys')
def check_steps(context, step, reason):
    """Checks the records of a request step: one for each shard, with reason and owner."""
    records = [record for record in context.log_handler.records if record.getMessage() == step]
    assert {record.reason for record in records} == {reason}, records
    assert sorted(record.service for record in records) == sorted(context.excess_services)
    assert all(record.owner for record in records)


@then('the log warns "{message}" for each shard of the stand-bys')
def check_warnings(context, message):
    """Checks that the warnings have one text and one record for each shard."""
    records = [
        record for record in context.log_handler.records if record.levelno == logging.WARNING
    ]
    assert {record.getMessage() for record in records} == {message}, records
    assert sorted(record.service for record in records) == sorted(context.excess_services)


@then("each shard of the stand-bys is counted as called too often")
def check_exceeded_count(context):
    """Checks the number of shards that the request log reported."""
    assert context.exceeded_count == len(context.excess_services), context.exceeded_count


@then("the log contains no warning")
def check_no_warning(context):
    """Checks that no record has the level of a warning or above."""
    warnings = [
        record for record in context.log_handler.records if record.levelno >= logging.WARNING
    ]
    assert not warnings, warnings


@then("no shard is counted as called too often")
def check_nothing_exceeded(context):
    """Checks that the request log reported no shard."""
    assert context.exceeded_count == 0, context.exceeded_count
