"""Steps that stop an instance on the users' platform while requests arrive."""

import http.client
import signal
import socket
import threading
import time

from behave import given, then, when

from features.steps import platform_actions
from standins import fleet

# Time between two requests of a series.
REQUEST_INTERVAL_SECONDS = 0.1
# Time that the requests' callers are willing to wait.
PATIENCE_MS = 15_000
# Receive buffer of a caller that reads slowly.
SMALL_BUFFER_BYTES = 4096
PREFIX_BY_TYPE = {"idempotent": "/slow/", "non_idempotent": "/slow-order/"}


@given("routes with a timeout of {seconds:d} s, and servers that work for {work_seconds:d} s")
def publish_slow_routes(context, seconds, work_seconds):
    """Publishes a route of each type, and sets the processing time of all servers."""
    publish_routes(context, seconds, work_seconds * 1000)


@given("routes with a timeout of {seconds:d} s, and servers that work for {work_ms:d} ms")
def publish_routes(context, seconds, work_ms):
    """Publishes a route of each type, and sets the processing time of all servers."""
    routes = tuple(
        {
            **fleet.make_plain_route(f"slow-{route_type}", prefix, route_type),
            "TimeoutMs": seconds * 1000,
        }
        for route_type, prefix in PREFIX_BY_TYPE.items()
    )
    context.fleet.publish(extra=routes)
    time.sleep(platform_actions.TABLES_SPREAD_SECONDS)
    platform_actions.set_processing_time(context, work_ms)


@given("the servers' responses have {length:d} bytes")
def set_length(context, length):
    """Sets the length of the servers' responses."""
    for server in context.fleet.server_by_name.values():
        server.behaviour.body_bytes = length


@when(
    '"{route_type}" requests are sent to instance {number:d} from {before_ms:d} ms before its'
    " SIGTERM until {after_ms:d} ms after"
)
def send_around_stop(context, route_type, number, before_ms, after_ms):
    """Sends requests one after another, each from a caller of its own."""
    send_series(context, route_type, number, -before_ms / 1000, after_ms / 1000)


@when(
    '"{route_type}" requests are sent to instance {number:d} from {from_ms:d} ms after its'
    " SIGTERM until {until_ms:d} ms after"
)
def send_after_stop(context, route_type, number, from_ms, until_ms):
    """Sends requests one after another, each from a caller of its own."""
    send_series(context, route_type, number, from_ms / 1000, until_ms / 1000)


def send_series(context, route_type, number, from_seconds, until_seconds):
    """Sends requests during a stop; a request without an answer gets the status 0."""
    context.status_by_request = {}

    def send(request_id):
        try:
            reply = context.fleet.send_request(
                number, f"{PREFIX_BY_TYPE[route_type]}x", "POST", b"boat", request_id, PATIENCE_MS
            )
            context.status_by_request[request_id] = reply.status
        except (OSError, http.client.HTTPException):
            context.status_by_request[request_id] = 0

    stop = Stop(context, number, -from_seconds)
    threads = []
    while time.monotonic() < stop.started_at + until_seconds:
        stop.signal_if_due()
        thread = threading.Thread(target=send, args=(platform_actions.next_request_id(),))
        thread.start()
        threads.append(thread)
        time.sleep(REQUEST_INTERVAL_SECONDS)
    stop.wait()
    for thread in threads:
        thread.join()


class Stop:
    """A planned stop of an instance, which is started again afterwards.

    Args:
        context: The context of the scenario.
        number: Number of the instance.
        delay_seconds: Time until SIGTERM; at most 0 to send it at once.

    Attributes:
        started_at: When SIGTERM is sent, in monotonic seconds.
    """

    def __init__(self, context, number, delay_seconds):
        self._context = context
        self._number = number
        self._process = context.fleet.process_by_number[number]
        self._is_signalled = False
        self.started_at = time.monotonic() + max(0.0, delay_seconds)
        self.signal_if_due()
        time.sleep(max(0.0, -delay_seconds))

    def signal_if_due(self):
        """Sends SIGTERM once its time has come."""
        if not self._is_signalled and time.monotonic() >= self.started_at:
            self._process.send_signal(signal.SIGTERM)
            self._is_signalled = True

    def wait(self):
        """Records the end of the process and starts the instance again."""
        self._context.exit_code = self._process.wait(timeout=fleet.CALL_TIMEOUT_SECONDS)
        self._context.stop_seconds = time.monotonic() - self.started_at
        platform_actions.set_processing_time(self._context, 5)
        self._context.fleet.start_instance(self._number)
        self._context.fleet.wait_ready()


@when(
    "a caller sends a request to instance {number:d} {sent_ms:d} ms after its SIGTERM, and reads"
    " from {read_ms:d} ms on"
)
def read_slowly(context, number, sent_ms, read_ms):
    """Sends a request late in the grace and reads its answer later."""
    stop = Stop(context, number, 0.0)
    time.sleep(max(0.0, stop.started_at + sent_ms / 1000 - time.monotonic()))
    connection = http.client.HTTPConnection(f"127.0.1.{number}", fleet.CALLERS_PORT)
    connection.sock = socket.socket()
    connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
    connection.sock.connect((connection.host, connection.port))
    headers = {"Host": fleet.HOST_NAME, "X-Request-Id": "late-1", "X-Deadline-Ms": "2000"}
    connection.request("GET", f"{PREFIX_BY_TYPE['idempotent']}x", headers=headers)
    time.sleep(max(0.0, stop.started_at + read_ms / 1000 - time.monotonic()))
    try:
        context.received_bytes = len(connection.getresponse().read())
    except (OSError, http.client.HTTPException) as error:
        context.received_bytes = repr(error)
    connection.close()
    stop.wait()


@then("the answer has {length:d} bytes")
def check_length(context, length):
    """Checks the length of the body that the caller has read."""
    assert context.received_bytes == length, context.received_bytes


@then('each request was answered with one of "{statuses}"')
def check_statuses(context, statuses):
    """Checks that there is an answer to each request, with one of the statuses."""
    allowed = {int(status) for status in statuses.split()}
    assert context.status_by_request
    wrong = {key: value for key, value in context.status_by_request.items() if value not in allowed}
    assert not wrong, (wrong, context.status_by_request)


@then("no request that was answered with 503 has run")
def check_promises(context):
    """Checks in the servers' records that the promise of 503 was kept."""
    refused = [key for key, status in context.status_by_request.items() if status == 503]
    ran = [key for key in refused if count_runs(context, key)]
    assert not ran, ran


@then("no request has run twice")
def check_runs(context):
    """Checks in the servers' records how often each request that must not run twice has run."""
    if any("/slow/" in request.target for request in list_requests(context)):
        return
    repeated = [key for key in context.status_by_request if count_runs(context, key) > 1]
    assert not repeated, repeated


def list_requests(context):
    """Returns what the servers have received of the series."""
    return [
        request
        for request_id in context.status_by_request
        for request in context.fleet.received_requests(request_id)
    ]


def count_runs(context, request_id):
    """Returns how often a request has run."""
    return sum(request.ran for request in context.fleet.received_requests(request_id))


@then("instance {number:d} has exited with code 0 within {seconds:d} s")
def check_stop(context, number, seconds):
    """Checks the exit code of the instance, and how long its stop took."""
    assert context.exit_code == 0, context.exit_code
    assert context.stop_seconds <= seconds, context.stop_seconds
