"""Checks of answers, servers and instances on the users' platform."""

import json
import time

from behave import then

from features.steps import platform as common
from standins import fleet, site


@then("the status is {status:d}")
def check_status(context, status):
    """Checks the last reply's status."""
    assert context.reply.status == status, (context.reply.status, context.reply.body)


@then("the answer arrived within {ms:d} ms")
def check_quick(context, ms):
    """Checks how long the last reply took."""
    assert context.reply_seconds <= ms / 1000, context.reply_seconds


@then("all statuses are {status:d}")
def check_statuses(context, status):
    """Checks all replies' statuses."""
    found = [reply.status for reply in context.replies]
    assert set(found) == {status}, found


@then("the answer reports {parts:d} parts and {missing:d} missing parts")
def check_parts(context, parts, missing):
    """Checks what the answer says that it covers."""
    assert len(common.proofs_of(context.reply)) == parts
    assert context.reply.headers["X-Missing-Parts"] == str(missing)


@then("the body contains the {count:d} greatest records of the reported parts")
def check_records(context, count):
    """Works the answer out from the servers' records."""
    records = []
    for name in (proof.split(".")[0] for proof in common.proofs_of(context.reply)):
        body = context.fleet.server_by_name[name].part("")
        records += [body[start : start + 16] for start in range(0, len(body), 16)]
    assert context.reply.body == b"".join(sorted(records, reverse=True)[:count])


@then('the server received "{method}" "{target}" with the body "{body}"')
def check_seen(context, method, target, body):
    """Checks what came through."""
    (seen,) = context.fleet.seen(context.request_id)
    assert (seen.method, seen.target, seen.body) == (method, target, body.encode()), seen


@then('the server received the header "{name}" with the value "{value}"')
def check_header_seen(context, name, value):
    """Checks a header of the passed request."""
    (seen,) = context.fleet.seen(context.request_id)
    assert seen.headers.get(name) == value, seen.headers


@then('the server did not receive the header "{name}"')
def check_header_not_seen(context, name):
    """Checks that a header was not sent."""
    (seen,) = context.fleet.seen(context.request_id)
    assert name not in seen.headers, seen.headers


@then("the server received a remaining time of at most {ms:d} ms")
def check_time_left(context, ms):
    """Checks the time that was passed on."""
    (seen,) = context.fleet.seen(context.request_id)
    assert 0 < int(seen.headers["X-Deadline-Ms"]) <= ms, seen.headers


@then('the answer has the header "{name}" with the value "{value}"')
def check_header(context, name, value):
    """Checks a header of the reply."""
    assert context.reply.headers[name] == value, context.reply.headers


@then("the answer contains the server's proof for this request")
def check_proof(context):
    """Checks the proof's request."""
    proof = context.reply.headers["X-Server-Stamp"]
    assert proof.split(".")[1] == context.request_id, proof


@then(
    '"{target}" is answered with {status:d} at the instances {first:d} to {last:d} within {s:d} s'
)
def check_in_force(context, target, status, first, last, s):
    """Waits for the status at each instance, and that it then stays."""
    ends = time.monotonic() + s
    for number in range(first, last + 1):
        site.wait_until(
            lambda number=number: common.ask(context, number, target).status == status,
            f"{target} is not answered {status} at instance {number}",
            max(0.1, ends - time.monotonic()),
        )
    for number in range(first, last + 1):
        assert common.ask(context, number, target).status == status, number


@then('eventually a gathered answer reports the shards "{names}"')
def check_shards(context, names):
    """Checks the last answer's set."""
    assert context.sets[-1] == set(names.split(", ")), context.sets[-1]


@then("meanwhile no answer mixed shards of the two sets")
def check_one_set(context):
    """Checks that no answer mixes the sets."""
    old = set(fleet.SHARDS)
    assert all(found <= old or not found & old for found in context.sets), context.sets


@then('all answers are complete and from the server "{name}"')
def check_whole(context, name):
    """Checks the bodies and the proofs."""
    expected = context.fleet.server_by_name[name].part("")
    for reply in context.replies:
        assert reply.headers["X-Server-Stamp"].startswith(name), reply.headers
        assert reply.body == expected


@then("each request has run once")
def check_ran_once(context):
    """Checks the servers' journals."""
    for request_id in context.request_ids:
        ran = [seen for seen in context.fleet.seen(request_id) if seen.ran]
        assert len(ran) == 1, (request_id, ran)


@then("the request has not run")
def check_not_run(context):
    """Checks the servers' journals."""
    assert not any(seen.ran for seen in context.fleet.seen(context.request_id))


@then("the answer states when to retry")
def check_retry_after(context):
    """Checks the pause asked for."""
    assert float(context.reply.headers["Retry-After"]) > 0


@then('the server "{name}" has received none of them')
def check_none_seen(context, name):
    """Checks one server's journal."""
    assert not common.seen_at(context, name)


@then('the server "{name}" has received some of them')
def check_some_seen(context, name):
    """Checks one server's journal."""
    assert common.seen_at(context, name)


@then('an instance has logged a finding about the entry "{name}"')
def check_log(context, name):
    """Looks for the finding in the instances' logs."""
    lines = [line for number in range(1, 4) for line in context.fleet.log(number)]
    assert any(name in json.dumps(line.get("findings", "")) for line in lines)


@then("the servers' work on it ends within {ms:d} ms")
def check_cut(context, ms):
    """Checks that all servers saw their connection close."""
    site.wait_until(
        lambda: all(seen.was_cut for seen in context.fleet.seen(context.request_id)),
        "servers are still at work",
        ms / 1000,
    )
    assert context.fleet.seen(context.request_id)


@then("no request in progress was interrupted")
def check_none_cut(context):
    """Checks that all requests had an answer, nearly all of them a whole one."""
    assert not context.cut, context.cut
    assert set(context.early_statuses) == {200}, context.early_statuses
    assert set(context.statuses) <= {200, 503}, set(context.statuses)


@then("instance {number:d} has exited with code 0")
def check_ended(context, number):
    """Checks the exit code."""
    assert context.exit_code == 0, context.exit_code
