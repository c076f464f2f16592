"""Task that sends calls to backend servers over HTTP and reads their replies."""

import abc
import logging
from collections.abc import Callable

import msgspec

from monsoonhoist import metrics
from monsoonhoist.core import clock, data, defects, exchange
from monsoonhoist.node import curl, curl_transfer, http_call, task
from monsoonhoist.protocol import events

_log = logging.getLogger(__name__)

BackendCommand = events.StartCall | events.CancelCall


class Protocol(abc.ABC):
    """Protocol between an owner and the backend servers."""

    @abc.abstractmethod
    def make_call(
        self, command: events.StartCall, call_name: str, remaining_seconds: float
    ) -> http_call.HttpCall:
        """Returns the HTTP call for a command.

        Args:
            command: Command to start a call.
            call_name: Name of the call, unique to this incarnation.
            remaining_seconds: Time left until the deadline.
        """

    @abc.abstractmethod
    def make_cancellation(
        self, command: events.StartCall, call_name: str
    ) -> http_call.HttpCall | None:
        """Returns the call that cancels another one, or None to close its connection instead."""

    @abc.abstractmethod
    def make_health_check(self, server: data.Server) -> http_call.HttpCall | None:
        """Returns a health check, which opens a connection, or None if the protocol has none."""

    @abc.abstractmethod
    def read_report(self, reply: http_call.HttpReply) -> exchange.ServerReport:
        """Returns what a server says about itself in a response, also to a health check."""

    @abc.abstractmethod
    def read_reply(
        self, command: events.StartCall, reply: http_call.HttpReply
    ) -> events.CallReplied | events.CallFailed:
        """Returns the event for the result of a call."""


class _PendingCall(msgspec.Struct, frozen=True):
    """A call in flight.

    Attributes:
        command: Command that started the call.
        transfer: The call in the HTTP client, by which it can be aborted.
        started: When the call was started, in monotonic seconds.
    """

    command: events.StartCall
    transfer: curl_transfer.Transfer
    started: float


class BackendTask(task.Task[BackendCommand]):
    """Starts and cancels calls to backend servers by command of the owner kernel.

    Args:
        name_prefix: Prefix of call names, unique to this incarnation.
        time_source: The clock.
        driver: HTTP client.
        protocol: Protocol of the backend servers.
        counters: Metrics of this instance.
        report: Receives the result of each call as an event.
    """

    def __init__(
        self,
        name_prefix: str,
        time_source: clock.Clock,
        driver: curl.CurlDriver,
        protocol: Protocol,
        counters: metrics.Metrics,
        report: Callable[[events.CallReplied | events.CallFailed], None],
    ):
        super().__init__()
        self._name_prefix = name_prefix
        self._clock = time_source
        self._driver = driver
        driver.on_ended_connection = counters.count_ended_connection
        self._protocol = protocol
        self._counters = counters
        self._report = report
        self._pending_by_call: dict[int, _PendingCall] = {}

    def handle(self, message: BackendCommand) -> None:
        """Starts or cancels a call."""
        match message:
            case events.StartCall():
                self._start_call(message)
            case events.CancelCall():
                self._cancel_call(message.call_id)

    def _start_call(self, command: events.StartCall) -> None:
        """Sends the request, unless its deadline has passed since the kernel's decision."""
        now = self._clock.monotonic()
        remaining_seconds = command.deadline - now
        if remaining_seconds <= 0:
            reason = data.Refusal.EXPIRED_IN_QUEUE
            self._report(events.CallFailed(command.call_id, reason, False))
            return
        self._counters.count_call()
        try:
            call = self._protocol.make_call(
                command, self._call_name(command.call_id), remaining_seconds
            )
            transfer = self._driver.start(call, lambda reply: self._finish(command, call, reply))
        except Exception:
            _log.exception("call not started", extra={"server": command.server.server_id})
            reason = data.Refusal.INTERNAL_ERROR
            self._report(events.CallFailed(command.call_id, reason, False))
            return
        self._pending_by_call[command.call_id] = _PendingCall(command, transfer, now)

    def _cancel_call(self, call_id: int) -> None:
        pending = self._pending_by_call.get(call_id)
        if pending is None:
            return
        call = self._protocol.make_cancellation(pending.command, self._call_name(call_id))
        if call is not None:
            self._driver.start(call, _ignore_reply)
            return
        del self._pending_by_call[call_id]
        self._driver.abort(pending.transfer)
        self._report_end(pending, events.CallFailed(call_id, data.Refusal.CANCELLED, True))

    def _finish(
        self, command: events.StartCall, call: http_call.HttpCall, reply: http_call.HttpReply
    ) -> None:
        pending = self._pending_by_call.pop(command.call_id)
        if reply.defect is not None:
            self._report_defect(command, call, reply.defect)
        try:
            event = self._protocol.read_reply(command, reply)
        except Exception:
            _log.exception("reply not read", extra={"server": command.server.server_id})
            event = events.CallFailed(command.call_id, data.Refusal.MALFORMED_REPLY, True)
        self._report_end(pending, event)

    def _report_defect(
        self, command: events.StartCall, call: http_call.HttpCall, defect: defects.Defect
    ) -> None:
        """Logs and counts a response that was not accepted."""
        self._counters.count_defect(defect)
        header = call.expected_header
        extra = {
            "request_id": header.value if header else command.query.query_id,
            "server": command.server.server_id,
            "defect": defect.value,
        }
        _log.warning("response not accepted", extra=extra)

    def _report_end(
        self, pending: _PendingCall, event: events.CallReplied | events.CallFailed
    ) -> None:
        """Records the duration of a call and reports its result."""
        reason = event.reason.value if isinstance(event, events.CallFailed) else ""
        self._counters.record_call_seconds(reason, self._clock.monotonic() - pending.started)
        self._report(event)

    def _call_name(self, call_id: int) -> str:
        return f"{self._name_prefix}.{call_id}"


def _ignore_reply(reply: http_call.HttpReply) -> None:
    """Ignores the reply to a cancellation; the cancelled call reports its own result."""
