"""Steps that check answers, servers and instances on the users' platform."""

import http.client
import json
import time

from behave import then

from features.steps import platform_actions
from standins import fleet, site


@then("the status is {status:d}")
def check_status(context, status):
    """Checks the last reply's status."""
    assert context.reply.status == status, (context.reply.status, context.reply.body)


@then("the answer arrived within {ms:d} ms")
def check_response_time(context, ms):
    """Checks the response time of the last request."""
    assert context.reply_seconds <= ms / 1000, context.reply_seconds


@then("all statuses are {status:d}")
def check_statuses(context, status):
    """Checks all replies' statuses."""
    statuses = [reply.status for reply in context.replies]
    assert set(statuses) == {status}, statuses


@then("the answer reports {parts:d} parts and {missing:d} missing parts")
def check_parts(context, parts, missing):
    """Checks the numbers of covered and missing parts that the answer reports."""
    headers = context.reply.headers
    assert len(platform_actions.proofs_of(context.reply)) == parts, headers
    assert headers["X-Missing-Parts"] == str(missing), headers


@then("the body contains the {count:d} greatest records of the reported parts")
def check_records(context, count):
    """Compares the answer with one computed from the servers' records."""
    records = []
    for name in (proof.split(".")[0] for proof in platform_actions.proofs_of(context.reply)):
        body = context.fleet.server_by_name[name].shard_records("")
        records += [body[start : start + 16] for start in range(0, len(body), 16)]
    expected = b"".join(sorted(records, reverse=True)[:count])
    assert context.reply.body == expected, (context.reply.body, expected)


@then('the server received "{method}" "{target}" with the body "{body}"')
@then('the server received "{method}" "{target}" without a body')
def check_received(context, method, target, body=""):
    """Checks the method, the target and the body that the server received."""
    (received,) = context.fleet.received_requests(context.request_id)
    assert (received.method, received.target, received.body) == (
        method,
        target,
        body.encode(),
    ), received


@then('the server received the header "{name}" with the value "{value}"')
def check_header_received(context, name, value):
    """Checks a header of the forwarded request."""
    (received,) = context.fleet.received_requests(context.request_id)
    assert received.headers.get(name) == value, received.headers


@then('the server did not receive the header "{name}"')
def check_header_not_received(context, name):
    """Checks that a header was not forwarded."""
    (received,) = context.fleet.received_requests(context.request_id)
    assert name not in received.headers, received.headers


@then("the server received a remaining time of at most {ms:d} ms")
def check_remaining_time(context, ms):
    """Checks the remaining time until the deadline that the server received."""
    (received,) = context.fleet.received_requests(context.request_id)
    assert 0 < int(received.headers["X-Deadline-Ms"]) <= ms, received.headers


@then('the answer has the header "{name}" with the value "{value}"')
def check_header(context, name, value):
    """Checks a header of the reply."""
    assert context.reply.headers[name] == value, context.reply.headers


@then("the answer contains the server's proof for this request")
def check_proof(context):
    """Checks that the proof names this request."""
    proof = context.reply.headers["X-Server-Stamp"]
    assert proof.split(".")[1] == context.request_id, proof


@then(
    '"{target}" is answered with {status:d} at the instances {first:d} to {last:d}'
    " within {seconds:d} s"
)
def check_in_force(context, target, status, first, last, seconds):
    """Waits for the status at each instance, then checks it at all of them once more."""
    ends_at = time.monotonic() + seconds
    for number in range(first, last + 1):
        site.wait_until(
            lambda number=number: (
                platform_actions.send_request(context, number, target).status == status
            ),
            f"{target} is not answered with {status} at instance {number}",
            max(0.1, ends_at - time.monotonic()),
        )
    for number in range(first, last + 1):
        assert platform_actions.send_request(context, number, target).status == status, number


@then('eventually a gathered answer reports the shards "{names}"')
def check_shards(context, names):
    """Checks the set of shards of the last answer."""
    assert context.shard_sets[-1] == set(names.split(", ")), context.shard_sets[-1]


@then("meanwhile no answer mixed shards of the two sets")
def check_sets_not_mixed(context):
    """Checks that no answer mixes shards of the old and the new set."""
    old = set(fleet.SHARDS)
    assert all(shards <= old or not shards & old for shards in context.shard_sets), (
        context.shard_sets
    )


@then('all answers are complete and from the server "{name}"')
def check_complete_from(context, name):
    """Checks the bodies and the proofs of all replies."""
    expected = context.fleet.server_by_name[name].shard_records("")
    for reply in context.replies:
        assert reply.headers["X-Server-Stamp"].startswith(name), reply.headers
        assert reply.body == expected, (reply.body, expected)


@then("each answer contains the server's proof for its request")
def check_proofs(context):
    """Checks that each proof names the request of its answer."""
    for request_id, reply in zip(context.request_ids, context.replies, strict=True):
        proof = reply.headers["X-Server-Stamp"]
        assert proof.split(".")[1] == request_id, (request_id, proof)


@then('no answer lists a proof of the server "{name}"')
def check_proof_not_listed(context, name):
    """Checks that each gathered answer has parts, none of them from a server."""
    for reply in context.replies:
        proofs = platform_actions.proofs_of(reply)
        assert proofs and not any(proof.startswith(name) for proof in proofs), proofs


@then('the readiness check of instance {number:d} by "{method}" has the status {status:d}')
def check_readiness(context, number, method, status):
    """Sends a readiness check as the load balancer does, by any method."""
    connection = http.client.HTTPConnection(f"127.0.1.{number}", fleet.READY_PORT)
    try:
        connection.request(method, "/api/ready")
        assert connection.getresponse().status == status
    finally:
        connection.close()


@then("each request has run once")
def check_ran_once(context):
    """Checks in the servers' records that each request ran exactly once."""
    for request_id in context.request_ids:
        runs = [request for request in context.fleet.received_requests(request_id) if request.ran]
        assert len(runs) == 1, (request_id, runs)


@then("the request was received {count:d} times")
def check_received_count(context, count):
    """Checks in the servers' records how often the request reached a server."""
    requests = context.fleet.received_requests(context.request_id)
    assert len(requests) == count, [request.received_at for request in requests]


@then("the request has not run")
def check_not_run(context):
    """Checks in the servers' records that the request did not run."""
    requests = context.fleet.received_requests(context.request_id)
    assert not any(request.ran for request in requests), requests


@then("the answer states when to retry")
def check_retry_after(context):
    """Checks that the reply has a positive Retry-After header."""
    assert float(context.reply.headers["Retry-After"]) > 0, context.reply.headers


@then('the server "{name}" has received none of them')
def check_none_received(context, name):
    """Checks that a server received none of the recent requests."""
    requests = platform_actions.requests_received(context, name)
    assert not requests, requests


@then('the server "{name}" has received some of them')
def check_some_received(context, name):
    """Checks that a server received some of the recent requests."""
    assert platform_actions.requests_received(context, name), context.request_ids


@then('an instance has logged a finding about the server item "{name}"')
def check_log(context, name):
    """Searches the instances' logs for a finding about the item."""
    lines = [line for number in range(1, 4) for line in context.fleet.log(number)]
    assert any(name in json.dumps(line.get("findings", "")) for line in lines)


@then('an instance has logged "{first}" and "{second}"')
def check_log_messages(context, first, second):
    """Searches the instances' logs for two messages."""
    logged = {line.get("message") for number in range(1, 4) for line in context.fleet.log(number)}
    assert {first, second} <= logged, sorted(filter(None, logged))


@then("the servers' work on it ends within {ms:d} ms")
def check_work_ended(context, ms):
    """Waits until all servers that received the request have detected the closed connection."""
    site.wait_until(
        lambda: all(
            request.was_cancelled for request in context.fleet.received_requests(context.request_id)
        ),
        f"servers are still processing the request {context.request_id}",
        ms / 1000,
    )
    assert context.fleet.received_requests(context.request_id)


@then("no request in progress was interrupted")
def check_none_interrupted(context):
    """Checks that all requests received by a server were answered.

    Until the load balancer has removed the instance, each answer must be complete; later ones
    may be refusals.
    """
    assert not context.interrupted, context.interrupted
    assert set(context.early_statuses) == {200}, context.early_statuses
    assert set(context.statuses) <= {200, 503}, set(context.statuses)


@then("instance {number:d} has exited with code 0")
def check_exit_code(context, number):
    """Checks the exit code of the instance."""
    assert context.exit_code == 0, context.exit_code
