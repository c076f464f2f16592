"""Steps that publish tables and control the configuration service."""

import json
import signal
import socket
import struct

from behave import given, then, when

from monsoonhoist.core import data
from monsoonhoist.protocol import messages, packed_tables
from monsoonhoist.tables import store
from soak import native
from standins import ports, site

SOCKET_TIMEOUT_SECONDS = 10.0


def example_routes(deadline_ms):
    """Returns the example's routes with another deadline of the route boat-search."""
    path = site.ROOT / "examples" / "zurichsee" / "routes.ini"
    return path.read_text(encoding="utf-8").replace("1500", str(deadline_ms))


def count_reads(context):
    """Returns the number of reads that the configuration service has received."""
    return json.loads(site.fetch(f"{site.config_service_url()}/control/reads"))["reads"]


@when('the operators publish the example\'s routes with the deadline of "boat-search" at {ms:d} ms')
def publish_example(context, ms):
    """Publishes the example's routes with another deadline."""
    context.site.publish("routes", example_routes(ms))


@when('the operators publish the routes "{text}"')
def publish_text(context, text):
    """Publishes the given text as the table of routes."""
    context.site.publish("routes", text.replace("\\n", "\n"))


@when('the operators publish a route to the pool "{pool}" and query it at instance {number:d}')
def publish_route_without_pool(context, pool, number):
    """Publishes a route to an undefined pool and queries it when it is in force."""
    text = example_routes(1500)
    text += f"\n[route {pool}-route]\nrank = normal\npool = {pool}\ndeadline_ms = 1000\n"
    revision_number = context.site.publish("routes", text)
    wait_revision(context, revision_number, "routes", number)
    context.answer = context.site.send_query(number, f"{pool}-route", "early")


@when('the operators publish the pool "{pool}" with the servers of "{source}"')
def publish_pool(context, pool, source):
    """Publishes a pool with the servers of another pool."""
    context.site.publish(f"pool/{pool}", context.site.pool_text(source))


@when(
    'the operators publish two values of "routes" with the number {revision_number:d}'
    " to two readers"
)
def publish_conflict(context, revision_number):
    """Publishes two values with the same revision number, each read by a different instance.

    Instance 1 puts the first value in force before the second one is published; instance 3
    is restarted and reads the second value. The second value has the larger digest, so it
    replaces the first one: the instances that have the first value in force must learn of the
    second one from a peer, and cannot pass the check by keeping their value.
    """
    first, second = sorted((example_routes(1300), example_routes(1400)), key=store.digest_of)
    context.site.publish("routes", first, revision_number)
    wait_revision(context, revision_number, "routes", 1)
    context.site.publish("routes", second, revision_number)
    context.site.signal("node-3", signal.SIGKILL)
    context.site.wait_exit("node-3")
    context.site.start_instance(3)
    context.site.wait_ready((3,))


@when(
    'a peer sends instance {instance:d} revision {revision_number:d} of "{key}"'
    " with deadline {ms:d} ms"
)
def send_table_value(context, instance, revision_number, key, ms):
    """Connects as a peer, sends a table value and waits until the instance has read it.

    The reply to the heartbeat that follows the value shows that the value was read.
    """
    member = data.Member("late", 1, 0, data.MemberState.LEAVING, "127.0.0.1", 1, "x")
    value = messages.TableValue(key, revision_number, example_routes(ms))
    outgoing = (
        messages.Hello("zurichsee", member),
        messages.PackedTables((packed_tables.pack(value),)),
        messages.Heartbeat(1, b""),
    )
    port = ports.PEER_PORT_BASE + instance
    with socket.create_connection(
        ("127.0.0.1", port), timeout=SOCKET_TIMEOUT_SECONDS
    ) as connection:
        for message in outgoing:
            body = messages.encode(message)
            connection.sendall(struct.pack(">I", len(body)) + body)
        incoming = connection.makefile("rb")
        received = None
        while not isinstance(received, messages.HeartbeatReply):
            (length,) = struct.unpack(">I", incoming.read(4))
            received = messages.decode(incoming.read(length))


@given("the instances {first:d} to {last:d} are suspended and cannot read the service")
def suspend_instances(context, first, last):
    """Suspends instances with SIGSTOP."""
    for number in range(first, last + 1):
        context.site.signal(f"node-{number}", signal.SIGSTOP)


@when("the instances {first:d} to {last:d} are resumed")
def resume_instances(context, first, last):
    """Resumes suspended instances with SIGCONT."""
    for number in range(first, last + 1):
        context.site.signal(f"node-{number}", signal.SIGCONT)


@when('the service is "{mode}"')
def set_mode(context, mode):
    """Sets the mode of the configuration service."""
    context.site.send_control("mode", mode)


@given("the current state of the service is saved as its old state")
@when("the current state of the service is saved as its old state")
def save_old_state(context):
    """Saves the current state as the one that the mode "old" serves."""
    context.site.send_control("old", "")


@when("the instance list is frozen")
def freeze_instance_list(context):
    """Makes the instance list ignore changes."""
    context.site.send_control("freeze-instances", "yes")


@when("the service has been read {count:d} more times")
def wait_reads(context, count):
    """Waits for reads of the service in the mode "old"; setting the mode ends pending watches."""
    target_count = count_reads(context) + count

    def is_read():
        context.site.send_control("mode", "old")
        return count_reads(context) >= target_count

    site.wait_until(is_read, f"the configuration service has not been read {count} more times")


@when('revision {revision_number:d} of "{key}" is in force at instance {instance:d}')
def wait_revision(context, revision_number, key, instance):
    """Waits until a revision, or a newer one, is in force at an instance."""
    site.wait_until(
        lambda: context.site.revision(instance, key) >= revision_number,
        f"revision {revision_number} of {key} is not in force at instance {instance}",
    )


@then('revision {revision_number:d} of "{key}" is in force at instances {first:d} to {last:d}')
def check_revision(context, revision_number, key, first, last):
    """Waits until the revision is in force at all instances and checks that none is newer."""
    for instance in range(first, last + 1):
        wait_revision(context, revision_number, key, instance)
        current_number = context.site.revision(instance, key)
        assert current_number == revision_number, (instance, current_number)


def rejected_value_lines(context, number):
    """Returns the lines about rejected table values in an instance's log."""
    lines = (context.site.folder / f"node-{number}.log").read_text().splitlines()
    return [json.loads(line) for line in lines if "table value rejected" in line]


@then('instance {number:d} logs the findings "{first}" and "{second}"')
def check_findings(context, number, first, second):
    """Waits for a log line that lists both findings with file, line and section."""
    site.wait_until(
        lambda: rejected_value_lines(context, number),
        f"instance {number} has not logged a rejected table value",
    )
    rejected = rejected_value_lines(context, number)
    text = " ".join(rejected[0]["findings"])
    assert f"routes:2: [route x] {first}" in text, text
    assert f"routes:4: [route x] {second}" in text, text


@then("no instance has ever put an older revision in force")
def check_increasing_revisions(context):
    """Checks that the revisions put in force increase strictly, for each key and log."""
    for log in context.site.folder.glob("node-*.log"):
        revisions = list(native.read_revisions_in_force(log))
        assert revisions, f"{log.name} has no line about table values"
        newest = {}
        for revision in revisions:
            key = (revision.incarnation, revision.key)
            assert revision.number > newest.get(key, 0), revision
            newest[key] = revision.number


@then("all instances have the same tables in force")
def check_same_tables(context):
    """Waits until the digests of all instances are equal."""

    def is_same():
        digests = {context.site.status(number)["tables_digest"] for number in (1, 2, 3)}
        return len(digests) == 1

    site.wait_until(is_same, "the tables in force at instances 1 to 3 differ")
