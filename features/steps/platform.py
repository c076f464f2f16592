"""Steps of the users' platform."""

import http.client
import itertools
import json
import signal
import subprocess
import sys
import threading
import time

from behave import given, then, when

from standins import fleet, site

OWN_HEADERS = {"X-Own": "kept as sent"}
# Time in which the balancer takes an instance out that is not ready any more.
BALANCER_LAG_SECONDS = 2.0

_numbers = itertools.count(1)


def next_id():
    """Returns a request id that was not used before."""
    return f"r-{next(_numbers)}"


def ask(context, number, target, method="GET", body=b"", wait_ms=2000):
    """Sends a request and notes it with its reply."""
    context.request_id = next_id()
    start = time.monotonic()
    context.reply = context.fleet.ask(
        number, target, method, body, context.request_id, wait_ms, OWN_HEADERS
    )
    context.reply_seconds = time.monotonic() - start
    context.replies.append(context.reply)
    context.request_ids.append(context.request_id)
    return context.reply


@given('the server "{name}" has the fault "{fault}"')
def set_fault(context, name, fault):
    """Makes a server faulty."""
    context.fleet.server_by_name[name].behaviour.fault = fault


@given("the servers work for {ms:d} ms")
def set_work(context, ms):
    """Sets the working time of all servers."""
    for server in context.fleet.server_by_name.values():
        server.behaviour.work_seconds = ms / 1000


@when('the caller finds "{text}" at instance {number:d}')
def find(context, text, number):
    """Sends a gathered request."""
    ask(context, number, f"/find/{text}")


@when('the caller sends "{method}" "{target}" with the body "{body}"')
def send_body(context, method, target, body):
    """Sends a request with a body."""
    ask(context, 1, target, method, body.encode())


@when('the caller sends "{method}" "{target}"')
def send(context, method, target):
    """Sends a request without a body."""
    ask(context, 1, target, method)


@when('the caller sends {count:d} requests "{method}" "{target}"')
def send_many(context, count, method, target):
    """Sends several requests to the instances in turn."""
    context.replies.clear()
    context.request_ids.clear()
    body = b"boat" if method == "POST" else b""
    for number in range(count):
        ask(context, number % fleet.INSTANCES + 1, target, method, body)


@when('the operator adds the route "{prefix}"')
def add_route(context, prefix):
    """Publishes a configuration with a further route."""
    route = {
        "Name": "further",
        "Host": fleet.HOST_NAME,
        "Prefix": prefix,
        "Type": "idempotent",
        "TimeoutMs": 2000,
        "GoalMs": 500,
        "Priority": 1,
        "Split": [{"Service": fleet.PLAIN, "Weight": 3}, {"Service": "alpha", "Weight": 1}],
        "Attempts": 2,
    }
    context.fleet.publish(extra=(route,))


@when("the operator publishes without it")
def publish_plain(context):
    """Publishes the usual configuration."""
    context.fleet.publish()


@when('the operator names the shards "{names}"')
def reshard(context, names):
    """Publishes another set of shards while a caller keeps asking."""
    context.sets = []
    services = tuple(names.split(", "))
    context.fleet.publish(gathered=services)
    ends = time.monotonic() + 3.0
    while time.monotonic() < ends and (not context.sets or context.sets[-1] != set(services)):
        reply = ask(context, 2, "/find/x")
        context.sets.append(shards_of(reply))


@when('the server "{name}" registers as "{state}"')
def register(context, name, state):
    """Changes a server's entry."""
    context.fleet.set_state(name, state)


@when("{ms:d} ms have passed")
def wait(context, ms):
    """Waits."""
    time.sleep(ms / 1000)


@when('the store gets the entry "{name}" with "{text}"')
def put_entry(context, name, text):
    """Writes an entry as another writer may."""
    payload = text.replace('\\"', '"').encode()
    context.fleet.do(lambda: context.fleet.store.put(f"servers/{name}", payload))


@when("the store forgets its history")
def forget(context):
    """Makes running watches end with a gone history."""
    context.fleet.do(context.fleet.store.forget)


@when('the store has the fault "{fault}" for {ms:d} ms')
def break_store(context, fault, ms):
    """Makes the store faulty for a while."""
    context.fleet.store.fault = fault
    time.sleep(ms / 1000)
    context.fleet.store.fault = ""


@when('the caller finds "{text}" at instance {number:d} and leaves after {ms:d} ms')
def find_and_leave(context, text, number, ms):
    """Closes the connection before the answer."""
    context.request_id = next_id()
    connection = http.client.HTTPConnection(f"127.0.1.{number}", fleet.CALLERS_PORT)
    headers = {"Host": fleet.HOST_NAME, "X-Request-Id": context.request_id}
    connection.request("GET", f"/find/{text}", None, headers)
    time.sleep(ms / 1000)
    connection.close()
    context.left_at = time.monotonic()


@when("callers ask at instance {number:d} while it is told to end")
def ask_while_ending(context, number):
    """Keeps asking from several threads; refused connections end a thread."""
    context.statuses = []
    context.early_statuses = []
    context.cut = []
    told_at = time.monotonic() + 0.5

    def keep_asking():
        while True:
            request_id = next_id()
            try:
                reply = context.fleet.ask(number, "/record/x", request_id=request_id)
                context.statuses.append(reply.status)
                if time.monotonic() < told_at + BALANCER_LAG_SECONDS:
                    context.early_statuses.append(reply.status)
            except (OSError, http.client.HTTPException) as error:
                # A connection that crosses the close was not read, so nothing was passed on.
                if context.fleet.seen(request_id):
                    context.cut.append(repr(error))
                return

    threads = [threading.Thread(target=keep_asking) for _ in range(4)]
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


@when("the operator asks all instances for their status")
def ask_status(context):
    """Runs the command until the tables agree."""
    urls = [f"http://127.0.1.{number}:{fleet.CONTROL_PORT}" for number in range(1, 4)]
    command = [sys.executable, "-m", "monsoonhoist", "status", *urls, "--wait-seconds", "5"]
    context.command = subprocess.run(
        command, cwd=site.ROOT, capture_output=True, text=True, check=False
    )


@then('the status names "{key}" at {count:d} instances')
def check_status_keys(context, key, count):
    """Checks what the command shows."""
    assert context.command.stdout.count(key) >= 1, context.command.stdout
    for number in range(1, count + 1):
        assert f"127.0.1.{number}" in context.command.stdout, context.command.stdout


@then("the status is {status:d}")
def check_status(context, status):
    """Checks the last reply's status."""
    assert context.reply.status == status, (context.reply.status, context.reply.body)


@then("the answer came within {ms:d} ms")
def check_quick(context, ms):
    """Checks how long the last reply took."""
    assert context.reply_seconds <= ms / 1000, context.reply_seconds


@then("all statuses are {status:d}")
def check_statuses(context, status):
    """Checks all replies' statuses."""
    found = [reply.status for reply in context.replies]
    assert set(found) == {status}, found


@then("the answer names {parts:d} parts and {missing:d} missing ones")
def check_parts(context, parts, missing):
    """Checks what the answer says that it covers."""
    assert len(proofs_of(context.reply)) == parts
    assert context.reply.headers["X-Missing-Parts"] == str(missing)


@then("the body holds the {count:d} greatest records of the parts named")
def check_records(context, count):
    """Works the answer out from the servers' records."""
    records = []
    for name in (proof.split(".")[0] for proof in proofs_of(context.reply)):
        body = context.fleet.server_by_name[name].part("")
        records += [body[start : start + 16] for start in range(0, len(body), 16)]
    assert context.reply.body == b"".join(sorted(records, reverse=True)[:count])


@then('the server saw "{method}" "{target}" with the body "{body}"')
def check_seen(context, method, target, body):
    """Checks what came through."""
    (seen,) = context.fleet.seen(context.request_id)
    assert (seen.method, seen.target, seen.body) == (method, target, body.encode()), seen


@then('the server saw the header "{name}" as "{value}"')
def check_header_seen(context, name, value):
    """Checks a header of the passed request."""
    (seen,) = context.fleet.seen(context.request_id)
    assert seen.headers.get(name) == value, seen.headers


@then('the server did not see the header "{name}"')
def check_header_not_seen(context, name):
    """Checks that a header was not sent."""
    (seen,) = context.fleet.seen(context.request_id)
    assert name not in seen.headers, seen.headers


@then("the server saw a time left of at most {ms:d} ms")
def check_time_left(context, ms):
    """Checks the time that was passed on."""
    (seen,) = context.fleet.seen(context.request_id)
    assert 0 < int(seen.headers["X-Deadline-Ms"]) <= ms, seen.headers


@then('the answer has the header "{name}" as "{value}"')
def check_header(context, name, value):
    """Checks a header of the reply."""
    assert context.reply.headers[name] == value, context.reply.headers


@then("the answer has the server's own proof")
def check_proof(context):
    """Checks the proof's request."""
    proof = context.reply.headers["X-Server-Stamp"]
    assert proof.split(".")[1] == context.request_id, proof


@then('"{target}" is answered {status:d} at the instances {first:d} to {last:d} within {s:d} s')
def check_in_force(context, target, status, first, last, s):
    """Waits for the status at each instance, and that it then stays."""
    ends = time.monotonic() + s
    for number in range(first, last + 1):
        site.wait_until(
            lambda number=number: ask(context, number, target).status == status,
            f"{target} is not answered {status} at instance {number}",
            max(0.1, ends - time.monotonic()),
        )
    for number in range(first, last + 1):
        assert ask(context, number, target).status == status, number


@then('in the end a gathered answer names the shards "{names}"')
def check_shards(context, names):
    """Checks the last answer's set."""
    assert context.sets[-1] == set(names.split(", ")), context.sets[-1]


@then("in between all answers named one set of shards")
def check_one_set(context):
    """Checks that no answer mixes the sets."""
    old = set(fleet.SHARDS)
    assert all(found <= old or not found & old for found in context.sets), context.sets


@then('all answers are whole and from the server "{name}"')
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


@then("the answer tells when to come again")
def check_retry_after(context):
    """Checks the pause asked for."""
    assert float(context.reply.headers["Retry-After"]) > 0


@then('the server "{name}" has seen none of them')
def check_none_seen(context, name):
    """Checks one server's journal."""
    assert not seen_at(context, name)


@then('the server "{name}" has seen some of them')
def check_some_seen(context, name):
    """Checks one server's journal."""
    assert seen_at(context, name)


@then('a log tells of the entry "{name}"')
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


@then("none of them was cut")
def check_none_cut(context):
    """Checks that all requests had an answer, nearly all of them a whole one."""
    assert not context.cut, context.cut
    assert set(context.early_statuses) == {200}, context.early_statuses
    assert set(context.statuses) <= {200, 503}, set(context.statuses)


@then("instance {number:d} has ended by itself")
def check_ended(context, number):
    """Checks the exit code."""
    assert context.exit_code == 0, context.exit_code


def proofs_of(reply):
    """Returns the proofs that a reply names."""
    return [proof.strip() for proof in reply.headers["X-Part-Stamps"].split(",")]


def shards_of(reply):
    """Returns the shards that a reply names."""
    return {proof.split(".")[0].rsplit("-", 1)[0] for proof in proofs_of(reply)}


def seen_at(context, name):
    """Returns what a server has seen of the last requests."""
    seen = context.fleet.server_by_name[name].seen
    return [one for one in list(seen) if one.request_id in context.request_ids]
