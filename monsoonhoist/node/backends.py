"""Task that calls backend servers over HTTP and reads their replies."""

import abc
from collections.abc import Callable

import msgspec

from monsoonhoist import metrics
from monsoonhoist.core import clock, data, events
from monsoonhoist.node import curl, task

BackendCommand = events.StartCall | events.CancelCall


class Protocol(abc.ABC):
    """How backend servers are spoken to."""

    @abc.abstractmethod
    def request(self, command: events.StartCall, name: str, remaining: float) -> curl.HttpCall:
        """Returns the HTTP call that a command stands for.

        Args:
            command: The command.
            name: Name of the call, unique to this incarnation.
            remaining: Time left, in seconds.
        """

    @abc.abstractmethod
    def cancellation(self, command: events.StartCall, name: str) -> curl.HttpCall | None:
        """Returns the call that cancels another one; None to close its connection."""

    @abc.abstractmethod
    def health_check(self, server: data.Server) -> curl.HttpCall | None:
        """Returns a health check, which opens a connection; None where there is none."""

    @abc.abstractmethod
    def read(
        self, command: events.StartCall, reply: curl.HttpReply
    ) -> events.CallReplied | events.CallFailed:
        """Returns the event that the end of a call stands for."""


class _Pending(msgspec.Struct, frozen=True):
    """A call in flight."""

    command: events.StartCall
    transfer: curl.Transfer
    started: float


class BackendTask(task.Task[BackendCommand]):
    """Calls backend servers as commanded.

    Args:
        name: Prefix of call names, unique to this incarnation.
        time_source: The clock.
        driver: HTTP client.
        protocol: How the servers are spoken to.
        counters: Metrics.
        report: Receives the end of each call.
    """

    def __init__(
        self,
        name: str,
        time_source: clock.Clock,
        driver: curl.CurlDriver,
        protocol: Protocol,
        counters: metrics.Metrics,
        report: Callable[[events.CallReplied | events.CallFailed], None],
    ):
        super().__init__()
        self._name = name
        self._clock = time_source
        self._driver = driver
        self._protocol = protocol
        self._counters = counters
        self._report = report
        self._pending_by_call: dict[int, _Pending] = {}

    def handle(self, message: BackendCommand) -> None:
        """Starts or cancels a call."""
        match message:
            case events.StartCall():
                self._start(message)
            case events.CancelCall():
                self._cancel(message.call_id)

    def _start(self, command: events.StartCall) -> None:
        """Sends the request, unless its deadline has passed since the decision."""
        now = self._clock.monotonic()
        remaining = command.deadline - now
        if remaining <= 0:
            reason = data.Refusal.EXPIRED_IN_QUEUE
            self._report(events.CallFailed(command.call_id, reason, False))
            return
        self._counters.count_call()
        call = self._protocol.request(command, self._call_name(command.call_id), remaining)
        transfer = self._driver.start(call, lambda reply: self._finish(command, reply))
        self._pending_by_call[command.call_id] = _Pending(command, transfer, now)

    def _cancel(self, call_id: int) -> None:
        pending = self._pending_by_call.get(call_id)
        if pending is None:
            return
        call = self._protocol.cancellation(pending.command, self._call_name(call_id))
        if call is not None:
            self._driver.start(call, _ignore)
            return
        del self._pending_by_call[call_id]
        self._driver.abort(pending.transfer)
        self._end(pending, events.CallFailed(call_id, data.Refusal.CANCELLED, True))

    def _finish(self, command: events.StartCall, reply: curl.HttpReply) -> None:
        pending = self._pending_by_call.pop(command.call_id)
        self._end(pending, self._protocol.read(command, reply))

    def _end(self, pending: _Pending, event: events.CallReplied | events.CallFailed) -> None:
        """Records and reports the end of a call."""
        reason = event.reason.value if isinstance(event, events.CallFailed) else ""
        self._counters.record_call(reason, self._clock.monotonic() - pending.started)
        self._report(event)

    def _call_name(self, call_id: int) -> str:
        return f"{self._name}.{call_id}"


def _ignore(reply: curl.HttpReply) -> None:
    """Takes no note of a cancellation's end; the call itself tells."""
