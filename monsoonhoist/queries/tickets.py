"""Tickets, with which a non-repeatable request is run at most once.

A ticket names the instance and the incarnation that issued it: the ticket's holder. Only the
holder may run the request, and it stores the state of each of its tickets. After the holder
has ended, no other process may run the request, and a repeated request is answered with
``unknown``. Instances therefore need no shared state.
"""

import collections
import enum
import re

import msgspec

from monsoonhoist.core import clock, data
from monsoonhoist.queries import answer_builder

# Age after which a ticket is deleted, unless its request is running.
RETENTION_SECONDS = 600.0
# Most tickets that an instance stores.
TICKETS_MAX = 100_000
_SEPARATOR = "~"
# Numbers of a ticket: both fit into 64 bits.
_NUMBER_PATTERN = re.compile(r"[0-9]{1,19}")


class Ticket(msgspec.Struct, frozen=True):
    """Contents of a ticket.

    Attributes:
        route: Route for which the ticket is valid.
        instance: Instance that may run the request.
        incarnation: Incarnation of that instance.
        sequence: Number of the ticket within the incarnation, from 1.
    """

    route: data.RouteId
    instance: data.InstanceId
    incarnation: data.Incarnation
    sequence: int

    def encode(self) -> data.TicketId:
        """Returns the ticket in text form."""
        fields = (self.route, self.instance, str(self.incarnation), str(self.sequence))
        return data.TicketId(_SEPARATOR.join(fields))


def decode(text: data.TicketId) -> Ticket | None:
    """Returns the contents of a ticket, or None if the text is not a well-formed ticket."""
    fields = text.split(_SEPARATOR)
    if len(fields) != 4 or not all(map(_NUMBER_PATTERN.fullmatch, fields[2:])):
        return None
    return Ticket(
        data.RouteId(fields[0]),
        data.InstanceId(fields[1]),
        data.Incarnation(int(fields[2])),
        int(fields[3]),
    )


class Use(enum.Enum):
    """How the holder of a ticket handles a request that presents it."""

    RUN = "run"
    WAIT = "wait"
    ANSWER = "answer"


class Decision(msgspec.Struct, frozen=True):
    """How to handle a request that presents a ticket.

    Attributes:
        use: Whether to run the request, to wait for the end of a run in progress, or to return
            ``answer``.
        answer: The answer to return with ``Use.ANSWER``; else None.
    """

    use: Use
    answer: data.Answer | None = None


class _TicketState:
    """State of an issued ticket.

    Attributes:
        issued_at: When the ticket was issued, in monotonic seconds.
        running: Whether its request is running.
        query_text: Query of the request that used the ticket; None before the first use.
        answer: Final answer; None until there is one.
    """

    def __init__(self, issued_at: float):
        self.issued_at = issued_at
        self.running = False
        self.query_text: str | None = None
        self.answer: data.Answer | None = None


class TicketStore:
    """Store of the tickets issued by one incarnation of an instance.

    Args:
        instance: This instance.
        incarnation: Its incarnation.
        time_source: The clock.
    """

    def __init__(
        self, instance: data.InstanceId, incarnation: data.Incarnation, time_source: clock.Clock
    ):
        self._instance = instance
        self._incarnation = incarnation
        self._clock = time_source
        self._last_sequence = 0
        self._state_by_sequence: collections.OrderedDict[int, _TicketState] = (
            collections.OrderedDict()
        )

    @property
    def running(self) -> int:
        """Number of tickets whose request is running."""
        return sum(state.running for state in self._state_by_sequence.values())

    @property
    def remembered(self) -> int:
        """Number of tickets in the store."""
        return len(self._state_by_sequence)

    def issue(self, route: data.RouteId) -> Ticket | None:
        """Issues a ticket, or returns None if the store is full."""
        self._remove_expired()
        if len(self._state_by_sequence) >= TICKETS_MAX:
            return None
        self._last_sequence += 1
        self._state_by_sequence[self._last_sequence] = _TicketState(self._clock.monotonic())
        return Ticket(route, self._instance, self._incarnation, self._last_sequence)

    def redeem(self, ticket: Ticket, request: data.Request) -> Decision:
        """Decides how to handle a request that presents a ticket to its holder.

        Args:
            ticket: The ticket; its instance must be this one.
            request: The request that presents the ticket.

        Returns:
            The decision. ``Use.RUN`` must be followed by exactly one call of ``finish``.
        """
        if ticket.incarnation != self._incarnation:
            detail = "the process that issued the ticket has ended"
            return _answer_unknown(request, data.Refusal.TICKET_HOLDER_GONE, detail)
        if ticket.sequence < 1 or ticket.sequence > self._last_sequence:
            detail = "the ticket was never issued"
            answer = answer_builder.make_not_run(
                request.request_id, data.Refusal.TICKET_MALFORMED, detail
            )
            return Decision(Use.ANSWER, answer)
        state = self._state_by_sequence.get(ticket.sequence)
        if state is None:
            detail = f"tickets are remembered for {RETENTION_SECONDS:.0f} s"
            return _answer_unknown(request, data.Refusal.TICKET_FORGOTTEN, detail)
        if state.query_text not in (None, request.query):
            detail = "the ticket was used for another request"
            answer = answer_builder.make_not_run(
                request.request_id, data.Refusal.TICKET_MALFORMED, detail
            )
            return Decision(Use.ANSWER, answer)
        if state.answer is not None:
            answer = msgspec.structs.replace(state.answer, request_id=request.request_id)
            return Decision(Use.ANSWER, answer)
        if state.running:
            return Decision(Use.WAIT)
        state.running = True
        state.query_text = request.query
        return Decision(Use.RUN)

    def finish(self, ticket: Ticket, answer: data.Answer) -> None:
        """Stores the answer of a run; after ``not_run`` the ticket may be used again."""
        state = self._state_by_sequence.get(ticket.sequence)
        if state is None:
            return
        state.running = False
        if answer.outcome is not data.Outcome.NOT_RUN:
            state.answer = answer

    def _remove_expired(self) -> None:
        cutoff = self._clock.monotonic() - RETENTION_SECONDS
        expired: list[int] = []
        # Tickets are stored in the order in which they were issued.
        for sequence, state in self._state_by_sequence.items():
            if state.issued_at > cutoff:
                break
            if not state.running:
                expired.append(sequence)
        for sequence in expired:
            del self._state_by_sequence[sequence]


def _answer_unknown(request: data.Request, reason: data.Refusal, detail: str) -> Decision:
    return Decision(Use.ANSWER, answer_builder.make_unknown(request.request_id, reason, detail))
