"""Steps that drive a deployment on the users' platform."""

import http.client
import itertools
import signal
import subprocess
import sys
import threading
import time

from behave import given, then, when

from standins import fleet, site

CALLER_HEADERS = {"X-Own": "kept as sent"}
# Time that a load balancer needs to remove an instance that is no longer ready.
BALANCER_LAG_SECONDS = 2.0
# Time in which a change of the store reaches all instances.
TABLES_SPREAD_SECONDS = 0.6

_request_numbers = itertools.count(1)


def next_request_id():
    """Returns an unused request id."""
    return f"r-{next(_request_numbers)}"


def send_request(context, number, target, method="GET", body=b"", deadline_ms=2000):
    """Sends a request and records its id, its reply and the elapsed time."""
    context.request_id = next_request_id()
    start = time.monotonic()
    context.reply = context.fleet.send_request(
        number, target, method, body, context.request_id, deadline_ms, CALLER_HEADERS
    )
    context.reply_seconds = time.monotonic() - start
    context.replies.append(context.reply)
    context.request_ids.append(context.request_id)
    return context.reply


@given('the server "{name}" has the fault "{fault}"')
def set_fault(context, name, fault):
    """Sets the fault of a backend server."""
    context.fleet.server_by_name[name].behaviour.fault = fault


@given('the server "{name}" says that it is leaving')
def set_leaving(context, name):
    """Makes a backend server say in each reply that it is leaving."""
    context.fleet.server_by_name[name].behaviour.is_leaving = True


@when('the server "{name}" starts again')
def restart_server(context, name):
    """Makes a backend server work normally and register a later start."""
    context.fleet.server_by_name[name].behaviour.is_leaving = False
    context.fleet.register_start(name)


@given('the server "{name}" has started again, with the fault ""')
def start_server_again(context, name):
    """Registers a later start of a backend server, which instances then try without prejudice."""
    context.fleet.register_start(name)
    time.sleep(TABLES_SPREAD_SECONDS)


@given('the server "{name}" has started again, with the fault "{fault}"')
def start_server_with_fault(context, name, fault):
    """Registers a later start of a backend server and sets its fault."""
    start_server_again(context, name)
    set_fault(context, name, fault)


@given("the servers work for {ms:d} ms")
def set_processing_time(context, ms):
    """Sets the processing time of all servers."""
    for server in context.fleet.server_by_name.values():
        server.behaviour.work_seconds = ms / 1000


@given('the server "{name}" works for {ms:d} ms')
def set_processing_time_of(context, name, ms):
    """Sets the processing time of one server."""
    context.fleet.server_by_name[name].behaviour.work_seconds = ms / 1000


@when('the caller searches for "{text}" at instance {number:d}')
def search(context, text, number):
    """Sends a gathered request."""
    send_request(context, number, f"/find/{text}")


@when('the caller sends "{method}" "{target}" with the body "{body}"')
def send_body(context, method, target, body):
    """Sends a request with a body."""
    send_request(context, 1, target, method, body.encode())


@when('the caller sends "{method}" "{target}"')
def send(context, method, target):
    """Sends a request without a body."""
    send_request(context, 1, target, method)


@when('the caller sends {count:d} requests "{method}" "{target}"')
def send_many(context, count, method, target):
    """Sends several requests to the instances in turn."""
    context.replies.clear()
    context.request_ids.clear()
    body = b"boat" if method == "POST" else b""
    for number in range(count):
        send_request(context, number % fleet.INSTANCE_COUNT + 1, target, method, body)


@when('the operator adds the route "{prefix}"')
def add_route(context, prefix):
    """Publishes a configuration with an additional route."""
    route = {
        "Name": "further",
        "Host": fleet.HOST_NAME,
        "Prefix": prefix,
        "Type": "idempotent",
        "TimeoutMs": 2000,
        "GoalMs": 500,
        "Priority": 1,
        "Split": [{"Service": fleet.PLAIN_SERVICE, "Weight": 3}, {"Service": "alpha", "Weight": 1}],
        "Attempts": 2,
    }
    context.fleet.publish(extra=(route,))


@when("the operator publishes the configuration without it")
def publish_default(context):
    """Publishes the default configuration."""
    context.fleet.publish()


@when('the operator changes the shards to "{names}"')
def change_shards(context, names):
    """Publishes other shards and sends requests for up to 3 s until an answer uses them."""
    context.shard_sets = []
    services = tuple(names.split(", "))
    context.fleet.publish(gathered=services)
    ends_at = time.monotonic() + 3.0
    while time.monotonic() < ends_at and (
        not context.shard_sets or context.shard_sets[-1] != set(services)
    ):
        reply = send_request(context, 2, "/find/x")
        context.shard_sets.append(shards_of(reply))


@when('the state of "{name}" in the store becomes "{state}"')
def set_server_state(context, name, state):
    """Changes the state in a server's item, or removes the item if the state is "removed"."""
    context.fleet.set_state(name, state)


@when("{ms:d} ms have passed")
def wait(context, ms):
    """Waits for a fixed time."""
    time.sleep(ms / 1000)


@when('the server item "{name}" with the value "{value}" is written to the store')
def put_server_item(context, name, value):
    """Writes a server's item with any value to the store."""
    payload = value.replace('\\"', '"').encode()
    context.fleet.call_in_thread(lambda: context.fleet.store.put(f"servers/{name}", payload))


@when(
    "{count:d} items of {length:d} bytes of other writers are written, and the operator adds the"
    ' route "{prefix}"'
)
def put_long_items(context, count, length, prefix):
    """Writes items that are no part of the tables, and the configuration, before a watch ends."""

    def put_items():
        for number in range(count):
            context.fleet.store.put(f"other/{number}", b"x" * length)

    context.fleet.call_in_thread(put_items)
    add_route(context, prefix)


@when('the operator evacuates the zone "{zone}"')
def evacuate_zone(context, zone):
    """Writes the key of an evacuation to the store."""
    context.fleet.call_in_thread(lambda: context.fleet.store.put(f"op/evacuate/{zone}", b"{}"))


@when('the operator puts the zone "{zone}" back in service')
def put_zone_back(context, zone):
    """Removes the key of an evacuation from the store."""
    context.fleet.call_in_thread(lambda: context.fleet.store.remove(f"op/evacuate/{zone}"))


@when("the store discards its history")
def discard_history(context):
    """Discards the history that running watches of the store need."""
    context.fleet.call_in_thread(context.fleet.store.discard_history)


@when('the store has the fault "{fault}" for {ms:d} ms')
def set_store_fault(context, fault, ms):
    """Sets a fault of the store for some time."""
    context.fleet.store.fault = fault
    time.sleep(ms / 1000)
    context.fleet.store.fault = ""


@when('the caller searches for "{text}" at instance {number:d} and disconnects after {ms:d} ms')
def search_and_disconnect(context, text, number, ms):
    """Sends a gathered request and closes the connection before the answer."""
    context.request_id = next_request_id()
    connection = http.client.HTTPConnection(f"127.0.1.{number}", fleet.CALLERS_PORT)
    headers = {"Host": fleet.HOST_NAME, "X-Request-Id": context.request_id}
    connection.request("GET", f"/find/{text}", None, headers)
    time.sleep(ms / 1000)
    connection.close()
    context.disconnected_at = time.monotonic()


@when("callers send requests to instance {number:d} while it receives SIGTERM")
def send_while_draining(context, number):
    """Sends requests from several threads while an instance drains, then restarts the instance.

    A thread ends when its connection is refused or closed.
    """
    context.statuses = []
    context.early_statuses = []
    context.interrupted = []
    terminated_at = time.monotonic() + 0.5

    def keep_sending():
        while True:
            request_id = next_request_id()
            try:
                reply = context.fleet.send_request(number, "/record/x", request_id=request_id)
                context.statuses.append(reply.status)
                if time.monotonic() < terminated_at + BALANCER_LAG_SECONDS:
                    context.early_statuses.append(reply.status)
            except (OSError, http.client.HTTPException) as error:
                # A request sent while the instance closes its listener may remain unread. It was
                # interrupted only if a server has received it.
                if context.fleet.received_requests(request_id):
                    context.interrupted.append(repr(error))
                return

    threads = [threading.Thread(target=keep_sending) for _ in range(4)]
    for thread in threads:
        thread.start()
    time.sleep(0.5)
    process = context.fleet.process_by_number[number]
    process.send_signal(signal.SIGTERM)
    context.exit_code = process.wait(timeout=fleet.CALL_TIMEOUT_SECONDS)
    for thread in threads:
        thread.join()
    context.fleet.start_instance(number)
    context.fleet.wait_ready()


@when("the operator requests the status of all instances")
def request_status(context):
    """Runs ``status``, which waits up to 5 s until all instances have the same tables."""
    urls = [f"http://127.0.1.{number}:{fleet.CONTROL_PORT}" for number in range(1, 4)]
    command = [sys.executable, "-m", "monsoonhoist", "status", *urls, "--wait-seconds", "5"]
    context.completed = subprocess.run(
        command, cwd=site.ROOT, capture_output=True, text=True, check=False
    )


@then('the status says that the zone "{zone}" is evacuated')
def check_status_zone(context, zone):
    """Checks that the status of each instance names the zone."""
    lines = [line.split() for line in context.completed.stdout.splitlines()]
    assert lines.count(["zone", zone, "evacuated"]) == 3, context.completed.stdout


@then('the status lists "{key}" at {count:d} instances')
def check_status_keys(context, key, count):
    """Checks that the status of each instance contains the key."""
    has_key_by_instance = {}
    for line in context.completed.stdout.splitlines():
        # The lines about an instance follow the one that begins with its name.
        if not line.startswith("  "):
            instance = line.split(" ")[0]
            has_key_by_instance[instance] = False
        elif line.split()[:2] == ["key", key]:
            has_key_by_instance[instance] = True
    listing = {instance for instance, has_key in has_key_by_instance.items() if has_key}
    expected = {f"127.0.1.{number}" for number in range(1, count + 1)}
    assert listing == expected, context.completed.stdout


def proofs_of(reply):
    """Returns the servers' proofs that a reply contains."""
    return [proof.strip() for proof in reply.headers["X-Part-Stamps"].split(",")]


def shards_of(reply):
    """Returns the shards whose servers' proofs a reply contains."""
    return {proof.split(".")[0].rsplit("-", 1)[0] for proof in proofs_of(reply)}


def requests_received(context, name):
    """Returns the recent requests that a server has received."""
    received = context.fleet.server_by_name[name].received_requests
    return [request for request in list(received) if request.request_id in context.request_ids]
