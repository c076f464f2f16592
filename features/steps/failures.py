"""Steps that inject failures and check the answers and connections afterwards."""

import json
import signal
import socket
import struct

from behave import given, then, when

from features import callers
from monsoonhoist.core import data
from monsoonhoist.protocol import messages
from standins import ports, site

SOCKET_TIMEOUT_SECONDS = 10.0


@given('callers keep sending requests to route "{route}" at instances {first:d} and {second:d}')
def start_callers(context, route, first, second):
    """Starts background callers and waits for their first answers."""
    context.callers = callers.Callers(context.site, route, (first, second))
    context.add_cleanup(context.callers.stop)
    context.callers.wait_for(10)


@when("{count:d} more answers have been received")
def wait_for_answers(context, count):
    """Waits for more answers to the background callers."""
    context.callers.wait_for(count)


@when('the process "{name}" is killed')
def kill_process(context, name):
    """Sends SIGKILL to a process."""
    context.site.signal(name, signal.SIGKILL)


@when('the process "{name}" is suspended')
def suspend_process(context, name):
    """Suspends a process with SIGSTOP."""
    context.site.signal(name, signal.SIGSTOP)


@when('the process "{name}" is resumed')
def resume_process(context, name):
    """Resumes a suspended process with SIGCONT."""
    context.site.signal(name, signal.SIGCONT)


@when('the connections to "{name}" {fault}')
def inject_connection_fault(context, name, fault):
    """Injects a fault into the open connections of a relay."""
    relay = context.site.relay_by_name[name]
    if fault == "go silent":
        assert relay.silence() > 0
    elif fault == "lose one direction":
        relay.discard_to_target()
    else:
        relay.cut(refuses_new=False)


@when('instance {number:d} has logged the loss of its stream to "{name}"')
def wait_for_logged_loss(context, number, name):
    """Waits until an instance has logged the loss of a stream."""
    log = context.site.folder / f"node-{number}.log"

    def is_logged():
        lines = [line for line in log.read_text().splitlines() if "stream lost" in line]
        return any(json.loads(line)["peer"] == name for line in lines)

    site.wait_until(is_logged, f"instance {number} has not logged the loss of its stream to {name}")


@when('the servers "{first}" and "{second}" stop answering')
def hang_servers(context, first, second):
    """Makes two backend servers accept calls without ever answering."""
    context.site.set_behaviour(first, lost=True)
    context.site.set_behaviour(second, lost=True)


@then("every answer is complete or reports correctly what is missing")
def check_answers(context):
    """Checks that each request of the callers has an answer, and that all are consistent."""
    context.callers.stop()
    assert not context.callers.errors, context.callers.errors[:3]
    for answer in context.callers.accepted_answers():
        assert answer["outcome"] in ("answered", "partial", "failed"), answer
        check_consistency(answer)


def check_consistency(answer):
    """Checks that an answer's coverage, results and outcome are consistent.

    Each result must come from the snapshot of the answer and from a covered shard, outside
    the reported gaps.
    """
    coverage = answer["coverage"]
    assert coverage["complete"] == (not coverage["gaps"] and not coverage["overlaps"]), answer
    assert (answer["outcome"] == "answered") == coverage["complete"], answer
    for key, _, text in answer["results"]:
        assert f"snapshot {answer['snapshot']} " in text, answer
        assert text.split(" ")[0] in coverage["covered"], answer
        assert not any(low <= key < high for low, high in coverage["gaps"]), answer


@when('a query to route "{route}" at instance {number:d} is answered completely')
@then('eventually a query to route "{route}" at instance {number:d} is answered completely')
def wait_for_complete_answer(context, number, route):
    """Waits until a query is answered completely."""
    site.wait_until(
        lambda: context.site.send_query(number, route, "again")["outcome"] == "answered",
        f"no complete answer to a query to route {route} at instance {number}",
    )


@then('eventually instance {number:d} is connected to "{name}" again')
def wait_for_connection(context, number, name):
    """Waits until a stream is connected again."""

    def is_connected():
        members = context.site.status(number)["members"]
        return any(row["instance"] == name and row["connected"] for row in members)

    site.wait_until(is_connected, f"instance {number} is not connected to {name}")


@then('the shard "{service}" is missing from the coverage')
def check_missing(context, service):
    """Checks that the coverage reports exactly this shard as missing."""
    assert context.answer["coverage"]["missing"] == [service], context.answer
    check_consistency(context.answer)


def connect_unknown_peer(context, number, payload):
    """Sends bytes to the peer port of an instance and stores the socket for the check."""
    port = ports.PEER_PORT_BASE + number
    unknown_peer = socket.create_connection(("127.0.0.1", port), timeout=SOCKET_TIMEOUT_SECONDS)
    unknown_peer.sendall(payload)
    context.unknown_peers = [*getattr(context, "unknown_peers", []), unknown_peer]


@when("an unknown peer sends a frame with an invalid message to instance {number:d}")
def send_invalid_message(context, number):
    """Sends a frame whose body is not a valid message."""
    connect_unknown_peer(context, number, struct.pack(">I", 5) + b"\xc1\xff\x00ab")


@when("an unknown peer sends the hello of another deployment to instance {number:d}")
def send_foreign_hello(context, number):
    """Sends a hello message with the name of another deployment."""
    member = data.Member("x", 1, 0, data.MemberState.LIVE, "127.0.0.1", 1, "x")
    body = messages.encode(messages.Hello("other", member))
    connect_unknown_peer(context, number, struct.pack(">I", len(body)) + body)


@when("an unknown peer sends the length of a 1 GB frame to instance {number:d}")
def send_oversized_length(context, number):
    """Sends a frame length above the limit."""
    connect_unknown_peer(context, number, struct.pack(">I", 2**30))


@then("instance {number:d} closes all three streams")
def check_closed(context, number):
    """Waits until the instance has closed the sockets of the unknown peers."""
    assert len(context.unknown_peers) == 3
    for unknown_peer in context.unknown_peers:
        try:
            assert unknown_peer.recv(1) == b""
        except ConnectionResetError:
            continue
        finally:
            unknown_peer.close()


@when('the caller sends a body of {size:d} bytes to route "{route}" at instance {number:d}')
def send_large(context, size, route, number):
    """Sends a request body of a given size."""
    url = f"{context.site.url(number)}/v1/query/{route}"
    context.answer = json.loads(site.send("POST", url, "x" * size))
