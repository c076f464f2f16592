"""Tickets: non-repeatable requests run at most once.

A ticket names the instance and the incarnation that alone may run the request. That
process remembers what became of each ticket; when it is gone, nobody may run the
request, and the answer to a repeat is ``unknown``. So no state is shared.
"""

import collections
import enum

import msgspec

from monsoonhoist.core import answer_builder, clock, data

RETENTION_SECONDS = 600.0
TICKETS_MAX = 100_000
_SEPARATOR = "~"


class Ticket(msgspec.Struct, frozen=True):
    """Contents of a ticket.

    Attributes:
        route: Route that it is good for.
        instance: Instance that may run the request.
        incarnation: Incarnation of that instance.
        sequence: Number within the incarnation, from 1.
    """

    route: data.RouteId
    instance: data.InstanceId
    incarnation: data.Incarnation
    sequence: int

    def encode(self) -> data.TicketId:
        """Returns the ticket as text."""
        fields = (self.route, self.instance, str(self.incarnation), str(self.sequence))
        return data.TicketId(_SEPARATOR.join(fields))


def decode(text: data.TicketId) -> Ticket | None:
    """Returns the contents of a ticket, or None if the text is not one."""
    fields = text.split(_SEPARATOR)
    if len(fields) != 4 or not (fields[2].isdecimal() and fields[3].isdecimal()):
        return None
    return Ticket(
        data.RouteId(fields[0]),
        data.InstanceId(fields[1]),
        data.Incarnation(int(fields[2])),
        int(fields[3]),
    )


class Use(enum.Enum):
    """What a holder does with a presented ticket."""

    RUN = "run"
    WAIT = "wait"
    ANSWER = "answer"


class Decision(msgspec.Struct, frozen=True):
    """What to do with a presented ticket; ``answer`` goes with ``Use.ANSWER``."""

    use: Use
    answer: data.Answer | None = None


class _Entry:
    """State of one issued ticket."""

    def __init__(self, issued: float):
        self.issued = issued
        self.running = False
        self.text = ""
        self.answer: data.Answer | None = None


class TicketStore:
    """Tickets issued by one incarnation.

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
        self._entry_by_sequence: collections.OrderedDict[int, _Entry] = collections.OrderedDict()

    @property
    def running(self) -> int:
        """Number of tickets whose request is running."""
        return sum(entry.running for entry in self._entry_by_sequence.values())

    def issue(self, route: data.RouteId) -> Ticket | None:
        """Issues a ticket, or returns None if too many are remembered."""
        self._remove_expired()
        if len(self._entry_by_sequence) >= TICKETS_MAX:
            return None
        self._last_sequence += 1
        self._entry_by_sequence[self._last_sequence] = _Entry(self._clock.monotonic())
        return Ticket(route, self._instance, self._incarnation, self._last_sequence)

    def redeem(self, ticket: Ticket, request: data.Request) -> Decision:
        """Decides what to do with a ticket presented to its holder.

        Args:
            ticket: The ticket; its instance must be this one.
            request: The request that it came with.

        Returns:
            The decision. After ``Use.RUN`` the caller of this method must call
            ``finish`` once.
        """
        if ticket.incarnation != self._incarnation:
            detail = "the process that issued the ticket has ended"
            return _unknown(request, data.Refusal.TICKET_HOLDER_GONE, detail)
        if ticket.sequence < 1 or ticket.sequence > self._last_sequence:
            detail = "the ticket was never issued"
            answer = answer_builder.make_not_run(
                request.request_id, data.Refusal.TICKET_MALFORMED, detail
            )
            return Decision(Use.ANSWER, answer)
        entry = self._entry_by_sequence.get(ticket.sequence)
        if entry is None:
            detail = f"tickets are remembered for {RETENTION_SECONDS:.0f} s"
            return _unknown(request, data.Refusal.TICKET_FORGOTTEN, detail)
        if entry.text and entry.text != request.query:
            detail = "the ticket was used for another request"
            answer = answer_builder.make_not_run(
                request.request_id, data.Refusal.TICKET_MALFORMED, detail
            )
            return Decision(Use.ANSWER, answer)
        if entry.answer is not None:
            answer = msgspec.structs.replace(entry.answer, request_id=request.request_id)
            return Decision(Use.ANSWER, answer)
        if entry.running:
            return Decision(Use.WAIT)
        entry.running = True
        entry.text = request.query
        return Decision(Use.RUN)

    def finish(self, ticket: Ticket, answer: data.Answer) -> None:
        """Remembers the answer; after ``not_run`` the ticket may be used again."""
        entry = self._entry_by_sequence.get(ticket.sequence)
        if entry is None:
            return
        entry.running = False
        if answer.outcome is not data.Outcome.NOT_RUN:
            entry.answer = answer

    def _remove_expired(self) -> None:
        horizon = self._clock.monotonic() - RETENTION_SECONDS
        while self._entry_by_sequence:
            sequence, entry = next(iter(self._entry_by_sequence.items()))
            if entry.issued > horizon or entry.running:
                return
            del self._entry_by_sequence[sequence]


def _unknown(request: data.Request, reason: data.Refusal, detail: str) -> Decision:
    return Decision(Use.ANSWER, answer_builder.make_unknown(request.request_id, reason, detail))
