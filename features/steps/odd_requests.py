"""Steps with requests that fail unexpectedly, odd tickets and odd traces."""

import asyncio
import json
import types

from behave import given, then, when
from tornado import testing

from features.steps import generated_input
from monsoonhoist import metrics, settings
from monsoonhoist.core import clock, data, diagnostics
from monsoonhoist.kernels import traces
from monsoonhoist.node import phases, web
from monsoonhoist.queries import tickets


class FailingQueries:
    """Queries that fail with an unexpected error."""

    def find_route(self, route_id):
        """Returns a repeatable route."""
        return data.Route(
            route_id,
            data.Rank.URGENT,
            data.PoolId("p"),
            True,
            settings.TimingSection().pause_ms,
            1.0,
            0.0,
        )

    def start(self, route_id, request):
        """Fails."""
        raise ZeroDivisionError("for the test")


@given("a node whose queries fail with an unexpected error")
def make_failing_node(context):
    """Makes the part of a node that the HTTP server uses."""
    context.node = types.SimpleNamespace(
        config=settings.Settings(
            instance=settings.InstanceSection(
                name="n", deployment="d", zone="z", host="127.0.0.1", http_port=1, peer_port=2
            ),
            platform=settings.PlatformSection(),
        ),
        counters=metrics.Metrics(data.InstanceId("n")),
        replicator=types.SimpleNamespace(store=types.SimpleNamespace(tables=data.Tables({}, {}))),
        phase=phases.Phase.READY,
        pending_queries=FailingQueries(),
        active=0,
    )


@when("a caller sends a request to it")
def send_to_failing_node(context):
    """Serves the node on a free port and sends a request."""

    async def run():
        socket, port = testing.bind_unused_port()
        server = web.make_server(context.node)
        server.add_sockets([socket])
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        body = b'{"query": "q"}'
        head = f"POST /v1/query/r HTTP/1.1\r\nHost: h\r\nContent-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body)
        response_head = await reader.readuntil(b"\r\n\r\n")
        length = int(response_head.lower().split(b"content-length:")[1].split(b"\r\n")[0])
        context.answer = json.loads(await reader.readexactly(length))
        writer.close()
        server.stop()

    asyncio.run(run())


@then('the outcome is "{outcome}" because of "{reason}"')
def check_outcome(context, outcome, reason):
    """Checks the outcome and the reason of the answer."""
    assert (context.answer["outcome"], context.answer["reason"]) == (outcome, reason)


@given("a ticket store")
def make_ticket_store(context):
    """Makes a ticket store on a manual clock."""
    context.clock = clock.ManualClock()
    context.tickets = tickets.TicketStore(data.InstanceId("n"), data.Incarnation(1), context.clock)


@when('a ticket runs the request "" and then presents the request "{text}"')
def reuse_ticket(context, text):
    """Runs an empty request with a ticket and redeems the ticket for another request."""
    ticket = context.tickets.issue(data.RouteId("r"))
    context.tickets.redeem(ticket, data.Request(""))
    context.tickets.finish(ticket, data.Answer("", data.Outcome.ANSWERED))
    context.decision = context.tickets.redeem(ticket, data.Request(text))


@then("the decision says that the ticket was used for another request")
def check_decision(context):
    """Checks the answer of the decision."""
    answer = context.decision.answer
    assert answer.reason is data.Refusal.TICKET_MALFORMED, answer
    assert answer.outcome is data.Outcome.NOT_RUN, answer


@when("a ticket starts a request, {count:d} more tickets are issued, and {seconds:d} s pass")
def expire_tickets(context, count, seconds):
    """Issues tickets, the first of which is running, and lets the others expire."""
    route = data.RouteId("r")
    context.tickets.redeem(context.tickets.issue(route), data.Request("q"))
    for _ in range(count):
        context.tickets.issue(route)
    context.clock.advance(seconds)


@then("the next ticket leaves {count:d} tickets in the store")
def check_ticket_count(context, count):
    """Issues a ticket and counts those that are remembered."""
    context.tickets.issue(data.RouteId("r"))
    assert context.tickets.remembered == count, context.tickets.remembered


@then('a trace of "{text}" has a finding in line {line:d}')
def check_trace_finding(context, text, line):
    """Replays a header and a malformed line and checks the place of the finding."""
    (finding,) = traces.replay("t", [generated_input.TRACE_HEADER, text.encode()]).findings
    assert finding.place == diagnostics.Place("t", line=line), finding
