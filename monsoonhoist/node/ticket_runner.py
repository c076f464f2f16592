"""Execution of non-repeatable requests by ticket, so that each runs at most once."""

import asyncio
import itertools
from collections.abc import Callable

from monsoonhoist import errors
from monsoonhoist.core import data, exchange
from monsoonhoist.protocol import events, messages
from monsoonhoist.queries import answer_builder, tickets

MS_PER_SECOND = 1000
# Added to the timeout of a forwarded request, so that an answer sent at the deadline arrives.
FORWARD_MARGIN_SECONDS = 0.05

StartQuery = Callable[[data.RouteId, exchange.CallerRequest, int], "asyncio.Future[events.Respond]"]
Send = Callable[[data.InstanceId, messages.Message], bool]


class HolderLostError(errors.MonsoonError):
    """The stream to the instance that holds a ticket was lost."""


class TicketRunner:
    """Runs non-repeatable requests at the instance that issued their ticket, the holder.

    Args:
        instance: This instance.
        ticket_store: Tickets of this incarnation.
        start_query: Starts a query; its arguments are the route, the request and the time
            left in milliseconds, 0 for the route's deadline.
        send: Sends a message to an instance; returns False if the message cannot be sent.
        count_refusal: Counts the refusal reason of an answer.
    """

    def __init__(
        self,
        instance: data.InstanceId,
        ticket_store: tickets.TicketStore,
        start_query: StartQuery,
        send: Send,
        count_refusal: Callable[[data.Refusal], None],
    ):
        self._instance = instance
        self._ticket_store = ticket_store
        self._start_query = start_query
        self._send = send
        self._count_refusal = count_refusal
        self._forward_ids = itertools.count(1)
        self._future_by_forward: dict[str, asyncio.Future[data.Answer]] = {}
        self._holder_by_forward: dict[str, data.InstanceId] = {}
        self._future_by_ticket: dict[tickets.Ticket, asyncio.Future[data.Answer]] = {}

    @property
    def active(self) -> int:
        """Number of requests running at this instance or forwarded to another one."""
        return len(self._future_by_ticket) + len(self._future_by_forward)

    def issue(self, route: data.RouteId) -> data.TicketId | None:
        """Issues a ticket, or returns None if the ticket store is full."""
        ticket = self._ticket_store.issue(route)
        return ticket.encode() if ticket is not None else None

    async def run(
        self, route: data.RouteId, request: data.Request, remaining_ms: int
    ) -> data.Answer:
        """Runs a request with a ticket at this instance, or forwards it to the holder.

        Args:
            route: Route of the request.
            request: The request.
            remaining_ms: Milliseconds left until the deadline.
        """
        ticket = tickets.decode(request.ticket)
        if ticket is None or ticket.route != route:
            detail = f"the ticket is not one for the route {route!r}"
            answer = answer_builder.make_not_run(
                request.request_id, data.Refusal.TICKET_MALFORMED, detail
            )
            return self._count_reason(answer)
        if ticket.instance == self._instance:
            return await self._run_once(ticket, request, remaining_ms)
        return await self._forward(ticket, request, remaining_ms)

    async def handle_forwarded(self, sender: data.InstanceId, message: messages.TicketUse) -> None:
        """Runs a request that another instance forwarded, and sends the answer back."""
        answer = await self.run(message.route, message.request, message.remaining_ms)
        self._send(sender, messages.TicketAnswer(message.forward_id, answer))

    def handle_answer(self, message: messages.TicketAnswer) -> None:
        """Completes a forwarded request; a late answer is ignored."""
        future = self._future_by_forward.get(message.forward_id)
        if future is not None and not future.done():
            future.set_result(message.answer)

    def handle_peer_lost(self, instance: data.InstanceId) -> None:
        """Cancels the requests forwarded to an instance whose stream is lost."""
        for forward_id, holder in self._holder_by_forward.items():
            future = self._future_by_forward[forward_id]
            if holder == instance and not future.done():
                future.set_exception(HolderLostError(instance))

    async def _run_once(
        self, ticket: tickets.Ticket, request: data.Request, remaining_ms: int
    ) -> data.Answer:
        """Runs a request once; repeats with the same ticket wait for the same answer."""
        decision = self._ticket_store.redeem(ticket, request)
        if decision.use is tickets.Use.ANSWER:
            return self._count_reason(decision.answer)
        if decision.use is tickets.Use.WAIT:
            return await self._wait_for_first_use(ticket, request, remaining_ms)
        future = asyncio.get_running_loop().create_future()
        self._future_by_ticket[ticket] = future
        respond = await self._start_query(ticket.route, request.to_caller_request(), remaining_ms)
        answer = respond.answer
        del self._future_by_ticket[ticket]
        self._ticket_store.finish(ticket, answer)
        future.set_result(answer)
        return answer

    async def _wait_for_first_use(
        self, ticket: tickets.Ticket, request: data.Request, remaining_ms: int
    ) -> data.Answer:
        future = asyncio.shield(self._future_by_ticket[ticket])
        try:
            return await asyncio.wait_for(future, remaining_ms / MS_PER_SECOND)
        except TimeoutError:
            detail = "the first use of the ticket is still running"
            return self._make_unknown_answer(request, data.Refusal.TIMEOUT, detail)

    async def _forward(
        self, ticket: tickets.Ticket, request: data.Request, remaining_ms: int
    ) -> data.Answer:
        """Forwards a request to the holder; without an answer, its outcome is unknown."""
        forward_id = str(next(self._forward_ids))
        future: asyncio.Future[data.Answer] = asyncio.get_running_loop().create_future()
        self._future_by_forward[forward_id] = future
        self._holder_by_forward[forward_id] = ticket.instance
        message = messages.TicketUse(
            self._instance, forward_id, ticket.route, request, remaining_ms
        )
        try:
            if not self._send(ticket.instance, message):
                detail = "the instance that holds the ticket cannot be reached"
                return self._make_unknown_answer(request, data.Refusal.TICKET_HOLDER_GONE, detail)
            timeout_seconds = remaining_ms / MS_PER_SECOND + FORWARD_MARGIN_SECONDS
            return await asyncio.wait_for(future, timeout_seconds)
        except HolderLostError:
            detail = "the stream to the instance that holds the ticket was lost"
            return self._make_unknown_answer(request, data.Refusal.TICKET_HOLDER_GONE, detail)
        except TimeoutError:
            detail = "the instance that holds the ticket did not answer"
            return self._make_unknown_answer(request, data.Refusal.TIMEOUT, detail)
        finally:
            del self._future_by_forward[forward_id]
            del self._holder_by_forward[forward_id]

    def _make_unknown_answer(
        self, request: data.Request, reason: data.Refusal, detail: str
    ) -> data.Answer:
        """Counts and returns the answer to a request whose outcome is not known."""
        return self._count_reason(answer_builder.make_unknown(request.request_id, reason, detail))

    def _count_reason(self, answer: data.Answer) -> data.Answer:
        """Counts the refusal reason of an answer, if any, and returns the answer."""
        if answer.reason is not None:
            self._count_refusal(answer.reason)
        return answer
