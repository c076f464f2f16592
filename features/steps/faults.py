"""Steps that bring about failures, and what must hold under them."""

import json
import signal
import socket
import struct

from behave import given, then, when

from features import callers
from monsoonhoist.core import data, messages
from standins import site

SOCKET_SECONDS = 10.0


@given('callers keep sending requests to route "{route}" at instances {first:d} and {second:d}')
def start_callers(context, route, first, second):
    """Starts callers and waits for their first answers."""
    context.callers = callers.Callers(context.site, route, (first, second))
    context.add_cleanup(context.callers.stop)
    context.callers.wait_for(10)


@when("{count:d} more answers have been received")
def wait_answers(context, count):
    """Waits for answers to the callers."""
    context.callers.wait_for(count)


@when('the process "{name}" is killed')
def kill_process(context, name):
    """Kills a process."""
    context.site.signal(name, signal.SIGKILL)


@when('the process "{name}" is suspended')
def stop_process(context, name):
    """Stops a process so that it can go on later."""
    context.site.signal(name, signal.SIGSTOP)


@when('the process "{name}" is resumed')
def continue_process(context, name):
    """Lets a stopped process go on."""
    context.site.signal(name, signal.SIGCONT)


@when('the connections to "{name}" {fault}')
def break_connections(context, name, fault):
    """Breaks the open connections at a relay."""
    between = context.site.relay_by_name[name]
    if fault == "go silent":
        assert between.silence() > 0
    elif fault == "lose one direction":
        between.one_way()
    else:
        between.cut(refuse=False)


@when('instance {number:d} has logged the loss of its stream to "{name}"')
def wait_loss(context, number, name):
    """Waits until an instance has logged the loss of a stream."""
    log = context.site.folder / f"node-{number}.log"

    def is_logged():
        lines = [line for line in log.read_text().splitlines() if "stream lost" in line]
        return any(json.loads(line)["peer"] == name for line in lines)

    site.wait_until(is_logged, f"the loss of the stream to {name} was not noticed")


@when('the servers "{first}" and "{second}" stop answering')
def lose_servers(context, first, second):
    """Lets two backend servers accept calls and never answer."""
    context.site.behave(first, lost=True)
    context.site.behave(second, lost=True)


@then("every answer is complete or reports correctly what is missing")
def check_answers(context):
    """Checks the coverage and the one snapshot of all callers' answers."""
    context.callers.stop()
    assert not context.callers.errors, context.callers.errors[:3]
    for answer in context.callers.answers:
        assert answer["outcome"] in ("answered", "partial", "failed"), answer
        check_truth(answer)


def check_truth(answer):
    """Checks that covered shards, gaps, results and outcome of an answer agree."""
    coverage = answer["coverage"]
    assert coverage["complete"] == (not coverage["gaps"] and not coverage["overlaps"]), answer
    assert (answer["outcome"] == "answered") == coverage["complete"], answer
    for key, _, text in answer["results"]:
        assert f"snapshot {answer['snapshot']} " in text, answer
        assert text.split(" ")[0] in coverage["covered"], answer
        assert not any(low <= key < high for low, high in coverage["gaps"]), answer


@when('a query to route "{route}" at instance {number:d} is answered completely')
@then('eventually a query to route "{route}" at instance {number:d} is answered completely')
def check_recovery(context, number, route):
    """Waits until a question is answered whole."""
    site.wait_until(
        lambda: context.site.ask(number, route, "again")["outcome"] == "answered",
        "no whole answer after the failure",
    )


@then('eventually instance {number:d} is connected to "{name}" again')
def check_connected(context, number, name):
    """Waits until a stream is up again."""

    def is_connected():
        members = context.site.status(number)["members"]
        return any(row["instance"] == name and row["connected"] for row in members)

    site.wait_until(is_connected, f"no stream to {name}")


@then('the shard "{service}" is missing from the coverage')
def check_missing(context, service):
    """Checks that exactly this shard is said to be missing."""
    assert context.answer["coverage"]["missing"] == [service], context.answer
    check_truth(context.answer)


def open_stranger(context, number, payload):
    """Sends bytes to an instance port and keeps the socket for the check."""
    port = site.PEER_PORT_BASE + number
    stranger = socket.create_connection(("127.0.0.1", port), timeout=SOCKET_SECONDS)
    stranger.sendall(payload)
    context.strangers = [*getattr(context, "strangers", []), stranger]


@when("an unknown peer sends a frame with an invalid message to instance {number:d}")
def send_garbage(context, number):
    """Sends a frame whose body is no message."""
    open_stranger(context, number, struct.pack(">I", 5) + b"\xc1\xff\x00ab")


@when("an unknown peer sends the hello of another deployment to instance {number:d}")
def greet_foreign(context, number):
    """Sends a greeting with another deployment's name."""
    member = data.Member("x", 1, 0, data.MemberState.LIVE, "127.0.0.1", 1, "x")
    body = messages.encode(messages.Hello("other", member))
    open_stranger(context, number, struct.pack(">I", len(body)) + body)


@when("an unknown peer sends the length of a 1 GB frame to instance {number:d}")
def announce_huge(context, number):
    """Sends the length of a frame above the limit."""
    open_stranger(context, number, struct.pack(">I", 2**30))


@then("instance {number:d} closes all three streams")
def check_closed(context, number):
    """Waits until the instance has closed the strangers' sockets."""
    assert len(context.strangers) == 3
    for stranger in context.strangers:
        try:
            assert stranger.recv(1) == b""
        except ConnectionResetError:
            continue
        finally:
            stranger.close()


@when('the caller sends a body of {size:d} bytes to route "{route}" at instance {number:d}')
def send_large(context, size, route, number):
    """Sends a body of a given size."""
    url = f"{context.site.url(number)}/v1/query/{route}"
    context.answer = json.loads(site.send("POST", url, "x" * size))
