"""Steps of operators and of the configuration service."""

import json
import signal
import socket
import struct

from behave import given, then, when

from monsoonhoist.core import data, messages
from standins import site

SOCKET_SECONDS = 10.0


def example_routes(deadline_ms):
    """Returns the example's routes with another deadline of boat-search."""
    path = site.ROOT / "examples" / "zurichsee" / "routes.ini"
    return path.read_text(encoding="utf-8").replace("1500", str(deadline_ms))


def reads(context):
    """Returns the number of calls to the service."""
    return json.loads(site.fetch(f"{site.platform_url()}/control/reads"))["reads"]


@when('the operators publish the example\'s routes with the deadline of "boat-search" at {ms:d} ms')
def publish_example(context, ms):
    """Publishes the routes."""
    context.site.publish("routes", example_routes(ms))


@when('the operators publish the routes "{text}"')
def publish_text(context, text):
    """Publishes routes as written."""
    context.site.publish("routes", text.replace("\\n", "\n"))


@when('the operators publish a route to the pool "{pool}" and query it at instance {number:d}')
def publish_dangling(context, pool, number):
    """Publishes a route whose pool is not there and asks it once it is known."""
    text = example_routes(1500)
    text += f"\n[route {pool}-route]\nrank = normal\npool = {pool}\ndeadline_ms = 1000\n"
    number_published = context.site.publish("routes", text)
    wait_revision(context, number_published, "routes", number)
    context.answer = context.site.ask(number, f"{pool}-route", "early")


@when('the operators publish the pool "{pool}" with the servers of "{source}"')
def publish_pool(context, pool, source):
    """Publishes another pool's servers under a new name."""
    context.site.publish(f"pool/{pool}", context.site.pool_text(source))


@when('the operators publish two values of "routes" with the number {number:d} to two readers')
def publish_conflict(context, number):
    """Publishes a value, waits until it is in force, and publishes another one."""
    context.site.publish("routes", example_routes(1400), number)
    wait_revision(context, number, "routes", 1)
    context.site.publish("routes", example_routes(1300), number)
    context.site.signal("node-3", signal.SIGKILL)
    context.site.wait_exit("node-3")
    context.site.start_instance(3)
    context.site.wait_ready((3,))


@when('a peer sends instance {instance:d} revision {number:d} of "{key}" with deadline {ms:d} ms')
def send_old(context, instance, number, key, ms):
    """Greets as an instance, sends a value, and waits until it has been read."""
    member = data.Member("late", 1, 0, data.MemberState.LEAVING, "127.0.0.1", 1, "x")
    value = messages.TableValue(key, number, example_routes(ms))
    sent = (
        messages.Hello("zurichsee", member),
        messages.PackedTables((messages.pack_table(value),)),
        messages.Heartbeat(1, b""),
    )
    port = site.PEER_PORT_BASE + instance
    with socket.create_connection(("127.0.0.1", port), timeout=SOCKET_SECONDS) as peer:
        for message in sent:
            body = messages.encode(message)
            peer.sendall(struct.pack(">I", len(body)) + body)
        source = peer.makefile("rb")
        received = None
        while not isinstance(received, messages.HeartbeatReply):
            (length,) = struct.unpack(">I", source.read(4))
            received = messages.decode(source.read(length))


@given("the instances {first:d} to {last:d} are suspended and cannot read the service")
def stop_instances(context, first, last):
    """Stops instances."""
    for number in range(first, last + 1):
        context.site.signal(f"node-{number}", signal.SIGSTOP)


@when("the instances {first:d} to {last:d} are resumed")
def continue_instances(context, first, last):
    """Lets stopped instances go on."""
    for number in range(first, last + 1):
        context.site.signal(f"node-{number}", signal.SIGCONT)


@when('the service is "{mode}"')
def set_mode(context, mode):
    """Changes the behaviour of the service."""
    context.site.control("mode", mode)


@when("the current state of the service is saved as its old state")
def keep_old(context):
    """Marks the state that the mode "old" serves."""
    context.site.control("old", "")


@when("the instance list is frozen")
def freeze_list(context):
    """Lets the instance list show no changes."""
    context.site.control("freeze-instances", "yes")


@when("the service has been read {count:d} more times")
def wait_reads(context, count):
    """Waits for calls to the service; publishing another key wakes the watches."""
    wanted = reads(context) + count

    def is_read():
        context.site.control("mode", "old")
        return reads(context) >= wanted

    site.wait_until(is_read, "the service was not read")


@when('revision {number:d} of "{key}" is in force at instance {instance:d}')
def wait_revision(context, number, key, instance):
    """Waits until an instance has a revision."""
    site.wait_until(
        lambda: context.site.revision(instance, key) >= number,
        f"revision {number} of {key} is not in force at instance {instance}",
    )


@then('revision {number:d} of "{key}" is in force at instances {first:d} to {last:d}')
def check_revision(context, number, key, first, last):
    """Waits until all instances have exactly this revision."""
    for instance in range(first, last + 1):
        wait_revision(context, number, key, instance)
        assert context.site.revision(instance, key) == number


def rejections(context, number):
    """Returns an instance's log lines about rejected values."""
    lines = (context.site.folder / f"node-{number}.log").read_text().splitlines()
    return [json.loads(line) for line in lines if "table value rejected" in line]


@then('instance {number:d} logs the findings "{first}" and "{second}"')
def check_findings(context, number, first, second):
    """Waits for a log line that names both findings with file, line and section."""
    site.wait_until(lambda: rejections(context, number), "no value was rejected")
    rejected = rejections(context, number)
    text = " ".join(rejected[0]["findings"])
    assert f"routes:2: [route x] {first}" in text, text
    assert f"routes:4: [route x] {second}" in text, text


@then("no instance has ever put an older revision in force")
def check_monotone(context):
    """Checks that the revisions that came into force only rose, for each key."""
    for log in context.site.folder.glob("node-*.log"):
        lines = [json.loads(line) for line in log.read_text().splitlines() if '"key"' in line]
        newest = {}
        for line in lines:
            if line["message"] == "table value in force":
                assert line["number"] > newest.get(line["key"], 0), line
                newest[line["key"]] = line["number"]


@then("all instances have the same tables in force")
def check_same(context):
    """Waits until the digests of all instances are equal."""

    def is_same():
        digests = {context.site.status(number)["tables_digest"] for number in (1, 2, 3)}
        return len(digests) == 1

    site.wait_until(is_same, "the tables in force differ")
