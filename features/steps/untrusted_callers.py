"""Steps with crowds of untrusted callers, and what they make an instance hold."""

import http.client
import itertools
import json
import pathlib
import time

import behave
from behave import given, then, when

from features import crowd
from features.steps import endless_replies, platform_actions
from standins import fleet, ports

PIECE = b"x" * 65_536
SEND_SECONDS = 8.0
HEAD_SECONDS = 5.0
READ_SECONDS = 2.0
# Pause between requests for long responses, so that the servers can answer them in time.
REQUEST_PAUSE_SECONDS = 0.03
# Time in which an instance takes in, or closes, what the crowd has done.
SETTLE_SECONDS = 3.0
# Length of a request id, which the answer repeats.
LONG_ID_BYTES = 2_000_000
# Kinds of bodies: announced over the limit, sent in chunks, and announced within the limit.
ANNOUNCED_BYTES_MORE = 1_000


def find_target(context, number):
    """Returns the process id and the callers' address of an instance of either dialect."""
    if "fleet" in context:
        process = context.fleet.process_by_number[number]
        return process, (f"127.0.1.{number}", fleet.CALLERS_PORT)
    process = context.site.process_by_name[f"node-{number}"]
    return process, ("127.0.0.1", ports.HTTP_PORT_BASE + number)


@behave.fixture
def running_crowd(context, number, count, is_slow=False):
    """Connects a crowd to an instance, and disconnects it after the scenario."""
    context.process, address = find_target(context, number)
    endless_replies.reset_peak_memory(context.process.pid)
    callers = crowd.Crowd(address, count, is_slow)
    try:
        yield callers
    finally:
        callers.close()


def observe(context):
    """Records the largest memory and the open descriptors of the process."""
    time.sleep(SETTLE_SECONDS)
    assert context.process.poll() is None, "the process has ended"
    context.peak_bytes = endless_replies.read_peak_memory(context.process.pid)
    context.descriptors = len(list(pathlib.Path(f"/proc/{context.process.pid}/fd").iterdir()))


def make_head(target, *fields):
    """Returns the head of a request with a body."""
    lines = (f"POST {target} HTTP/1.1", f"Host: {fleet.HOST_NAME}", *fields)
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def make_body_script(target, kind, count):
    """Yields a head and then ``count`` bytes of a body, which is never completed."""
    if kind == "chunked":
        yield make_head(target, "Transfer-Encoding: chunked")
        for _ in range(count // len(PIECE) + 1):
            yield f"{len(PIECE):x}\r\n".encode() + PIECE + b"\r\n"
        return
    yield make_head(target, f"Content-Length: {count + ANNOUNCED_BYTES_MORE}")
    for start in range(0, count, len(PIECE)):
        yield PIECE[: count - start]


def make_slow_head_script(target):
    """Yields a head that does not end, byte by byte."""
    yield f"GET {target} HTTP/1.1\r\nHost: {fleet.HOST_NAME}\r\nX-Filler: ".encode()
    yield from itertools.repeat(b"x")


@given("callers may send bodies of {count:d} bytes")
def publish_body_limit(context, count):
    """Publishes a configuration with another limit of bodies."""
    limits = {**context.fleet.request_limits, "MaxBodyBytes": count}
    context.fleet.publish(request_limits=limits)
    time.sleep(platform_actions.TABLES_SPREAD_SECONDS)


@given("idle connections may last {ms:d} ms")
def publish_idle_time(context, ms):
    """Publishes a configuration with another time for idle connections."""
    context.fleet.publish(request_limits={**context.fleet.request_limits, "IdleTimeoutMs": ms})
    time.sleep(platform_actions.TABLES_SPREAD_SECONDS)


@given('the backend servers of "{service}" reply with {count:d} bytes')
def set_reply_length(context, service, count):
    """Sets the length of the responses of a service's servers."""
    for name, server in context.fleet.server_by_name.items():
        if name.startswith(service):
            server.behaviour.body_bytes = count


@when(
    "{count:d} callers of instance {number:d} send {size:d} bytes of a body that is {kind} to"
    ' "{target}"'
)
def send_bodies(context, count, number, size, kind, target):
    """Sends incomplete bodies from many callers."""
    callers = behave.use_fixture(running_crowd, context, number, count)
    callers.send(lambda: make_body_script(target, kind, size), SEND_SECONDS)
    observe(context)


@when('{count:d} callers of instance {number:d} send a head byte by byte to "{target}"')
def send_heads(context, count, number, target):
    """Sends heads that do not end from many callers."""
    callers = behave.use_fixture(running_crowd, context, number, count)
    callers.send(lambda: make_slow_head_script(target), HEAD_SECONDS, pause=0.05)
    observe(context)


@when('{count:d} callers of instance {number:d} read the responses of "{target}" slowly')
def read_responses(context, count, number, target):
    """Sends requests from many callers that hardly read."""
    callers = behave.use_fixture(running_crowd, context, number, count, is_slow=True)
    head = f"GET {target} HTTP/1.1\r\nHost: {fleet.HOST_NAME}\r\n\r\n".encode()
    callers.send_in_turn(head, REQUEST_PAUSE_SECONDS)
    callers.read_slowly(READ_SECONDS)
    observe(context)
    for server in context.fleet.server_by_name.values():
        server.behaviour.body_bytes = 0


@when("{count:d} callers of instance {number:d} read answers with long ids slowly")
def read_answers(context, count, number):
    """Sends queries with an id that makes the answers long, from many callers that hardly read."""
    callers = behave.use_fixture(running_crowd, context, number, count, is_slow=True)
    body = json.dumps({"query": "double scull", "request_id": "x" * LONG_ID_BYTES}).encode()
    request = make_head("/v1/query/boat-search", f"Content-Length: {len(body)}") + body
    callers.send(lambda: iter((request,)), SEND_SECONDS)
    callers.read_slowly(READ_SECONDS)
    observe(context)


@when("{count:d} callers of instance {number:d} connect and send nothing")
def connect_only(context, count, number):
    """Opens many connections."""
    behave.use_fixture(running_crowd, context, number, count)
    observe(context)


@then("the process has stayed below {megabytes:d} MB and {descriptors:d} descriptors")
def check_process(context, megabytes, descriptors):
    """Checks the largest memory and the open descriptors of the process."""
    seen = (context.peak_bytes // endless_replies.BYTES_PER_MB, context.descriptors)
    print(f"peak of {seen[0]} MB, {seen[1]} descriptors")
    assert seen[0] < megabytes and seen[1] < descriptors, seen


@then("the fleet answers an ordinary request with {status:d}")
def check_fleet_request(context, status):
    """Sends one request while the crowd is still connected."""
    reply = platform_actions.send_request(context, 1, "/record/x")
    assert reply.status == status, (reply.status, reply.body)
    assert context.process.poll() is None


@then("the site answers an ordinary query completely")
def check_site_query(context):
    """Sends one query while the crowd is still connected."""
    answer = context.site.send_query(1, "boat-search", "double scull")
    assert answer["outcome"] == "answered", answer
    assert context.process.poll() is None


def send_one(connection, method, target, request_id, filler, body, is_chunked):
    """Sends a request on a connection and returns the status of its response."""
    headers = {"Host": fleet.HOST_NAME, "X-Request-Id": request_id, "X-Filler": "x" * filler}
    pieces = iter([body[start : start + len(PIECE)] for start in range(0, len(body), len(PIECE))])
    connection.request(
        method,
        target,
        pieces if is_chunked else body or None,
        headers,
        encode_chunked=is_chunked,
    )
    response = connection.getresponse()
    response.read()
    return response.status


@when('a caller of instance {number:d} sends these requests to "{target}"')
def send_table(context, number, target):
    """Sends the requests of a table, each on a connection of its own."""
    context.seen = []
    _, address = find_target(context, number)
    for row in context.table:
        request_id = platform_actions.next_request_id()
        connection = http.client.HTTPConnection(*address, timeout=fleet.CALL_TIMEOUT_SECONDS)
        body = b"x" * int(row["body"])
        status = send_one(
            connection,
            row["method"],
            target,
            request_id,
            int(row["head"]),
            body,
            row["chunked"] == "yes",
        )
        connection.close()
        context.seen.append((request_id, int(row["status"]), status))


@then("each has its status, and servers have received only those with 200")
def check_table(context):
    """Checks the statuses, and which requests have reached a server."""
    for request_id, expected, status in context.seen:
        received = bool(context.fleet.received_requests(request_id))
        assert (status, received) == (expected, expected == 200), context.seen


@when('a caller of instance {number:d} sends "{target}" twice on one connection, {ms:d} ms apart')
def send_twice(context, number, target, ms):
    """Uses a connection again after an idle time."""
    _, address = find_target(context, number)
    connection = http.client.HTTPConnection(*address, timeout=fleet.CALL_TIMEOUT_SECONDS)
    # Without this, a closed connection would be opened again.
    connection.connect()
    connection.auto_open = 0
    first_id, second_id = platform_actions.next_request_id(), platform_actions.next_request_id()
    first = send_one(connection, "GET", target, first_id, 0, b"", False)
    time.sleep(ms / 1000)
    second = send_one(connection, "GET", target, second_id, 0, b"", False)
    connection.close()
    context.statuses = (first, second)


@then("both have the status {status:d}")
def check_both(context, status):
    """Checks two statuses."""
    assert context.statuses == (status, status), context.statuses
