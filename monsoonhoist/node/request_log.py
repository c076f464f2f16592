"""Log of the decisions on each request, written when the request fails.

The request log observes the events and commands of the kernels and keeps the steps of
requests in progress in memory. If a request is refused, fails, is abandoned, gets a partial
answer or may have caused more calls than its route allows, its steps are logged, one line per
step. If the request did not get a complete answer, the steps of shards that answered are left out,
except those of shards with too many calls. The steps of a small sample of the other requests are
logged too, as a baseline.
"""

import logging
from collections.abc import Callable

import msgspec

from monsoonhoist.core import clock, data
from monsoonhoist.kernels import traces
from monsoonhoist.node import call_counts
from monsoonhoist.protocol import events, messages

# Maximum number of requests whose steps are kept; beyond it, the oldest request is dropped.
REQUESTS_MAX = 4096
# Maximum number of steps kept for each request; later ones are dropped.
STEPS_MAX = 120
# One of this many requests with complete answers is logged.
COMPLETE_SAMPLE_INTERVAL = 200
MS_PER_SECOND = 1000
FIRST_ATTEMPT = 1
# Reason for sending sub-requests again, to the same or another owner, by the event that caused it.
_REASON_BY_EVENT = {
    events.TimeReached: "owner_silent",
    events.PeerLost: "owner_lost",
    events.BatchUnsent: "not_sent",
    events.ReplyArrived: "reply",
}

_log = logging.getLogger("monsoonhoist.request")


class Step(msgspec.Struct, frozen=True, omit_defaults=True):
    """One decision on a request, or its result.

    Attributes:
        step: Name of the step, used as the log message.
        at: Monotonic time in seconds.
        route: Route of the request.
        service: Shard that the step is about.
        owner: Instance that calls the shard's servers.
        server: Backend server that the step is about.
        reason: Reason for the step.
        latency_ms: Duration of a call, or age of the work that a decision is about.
        left_ms: Time left until the deadline when a call starts, or by which it was decided.
        attempts: Number of calls that the owner may make for the shard; for ``asked again``, the
            route's limit on the calls by all owners.
        choices: Candidate servers, with the values by which one was chosen.
        outcome: Outcome of the request.
        snapshot: Snapshot of the answer.
        parts: Number of shards with results in the answer.
        missing: Shards without results in the answer.
    """

    step: str
    at: float
    route: str = ""
    service: str = ""
    owner: str = ""
    server: str = ""
    reason: str = ""
    latency_ms: int = 0
    left_ms: int = 0
    attempts: int = 0
    choices: tuple[events.Choice, ...] = ()
    outcome: str = ""
    snapshot: int = 0
    parts: int = 0
    missing: tuple[str, ...] = ()


class _Request:
    """A request in progress."""

    def __init__(self, request_id: str):
        self.request_id = request_id
        self.steps: list[Step] = []
        self.called_services: set[str] = set()
        self.answered_services: set[str] = set()
        self.call_counts = call_counts.CallCounts()


class _Call(msgspec.Struct, frozen=True):
    """A call in flight.

    Attributes:
        query_id: Query that the call belongs to.
        server: Server that is called.
        started: When the call was started, in monotonic seconds.
    """

    query_id: data.QueryId
    server: data.Server
    started: float


class RequestLog:
    """Records the steps of the requests in progress at one instance.

    Args:
        time_source: The clock of the kernels.
        count_shards_over_limit: Counts shards that may have received more calls than the route
            allows.
    """

    def __init__(self, time_source: clock.Clock, count_shards_over_limit: Callable[[int], None]):
        self._clock = time_source
        self._count_shards_over_limit = count_shards_over_limit
        self._request_by_query: dict[data.QueryId, _Request] = {}
        self._call_by_id: dict[int, _Call] = {}
        self._complete_count = 0

    def observe(self, role: traces.Role, event: object, commands: list[events.Command]) -> None:
        """Records an event and the commands that the kernel returned for it."""
        now = self._clock.monotonic()
        self._record_event(event, now)
        for command in commands:
            self._record_command(event, command, now)

    def _record_event(self, event: object, now: float) -> None:
        match event:
            case events.QueryArrived():
                self._record_arrival(event, now)
            case events.CallReplied() | events.CallFailed():
                self._record_call_end(event, now)
            case events.ReplyArrived():
                self._record_failures(event, now)
            case events.CallsWanted():
                self._record_call_requests(event, now)
            case events.BatchUnsent():
                self._record_unsent_batch(event, now)
            case events.CallerLeft():
                self._finish(event.query_id, Step("abandoned", now, reason="caller_gone"), True)

    def _record_command(self, event: object, command: events.Command, now: float) -> None:
        match command:
            case events.StartCall():
                self._record_call(command, now)
            case events.SendMessage(message=messages.SubBatch()):
                self._record_batch(event, command, now)
            case events.SendMessage(message=messages.CallsAllowed()):
                self._record_allowances(command, now)
            case events.CountCallNotAllowed():
                self._record_denied_call(command, now)
            case events.CountDecision():
                self._record_decision(command, now)
            case events.Respond():
                self._record_answer(command, now)

    def _record_batch(self, event: object, command: events.SendMessage, now: float) -> None:
        """Records the shards requested from an owner and, if sent again, the reason."""
        batch = command.message
        request = self._request_by_query.get(batch.query.query_id)
        if request is None:
            return
        request.call_counts.calls_per_shard_max = batch.query.calls_per_shard_max
        for service in batch.services:
            request.call_counts.record_sub_request(service, batch.attempt, command.instance)
        if batch.attempt == FIRST_ATTEMPT:
            return
        reason = _REASON_BY_EVENT.get(type(event), "")
        for service in batch.services:
            step = Step(
                "asked again",
                now,
                service=service,
                owner=command.instance,
                reason=reason,
                attempts=batch.query.calls_per_shard_max,
            )
            self._add_step(request, step)

    def _record_call_requests(self, event: events.CallsWanted, now: float) -> None:
        """Records an owner's requests for calls beyond the first of a shard."""
        request = self._request_by_query.get(event.message.query_id)
        if request is None:
            return
        for call_request in event.message.requests:
            reason = call_request.reason.value
            request.call_counts.record_unused(
                call_request.service, call_request.attempt, call_request.unused
            )
            step = Step(
                "call wanted",
                now,
                service=call_request.service,
                owner=event.sender,
                reason=reason,
            )
            self._add_step(request, step)

    def _record_allowances(self, command: events.SendMessage, now: float) -> None:
        """Records the total number of calls that an owner may make for each shard."""
        request = self._request_by_query.get(command.message.query_id)
        if request is None:
            return
        for allowance in command.message.allowances:
            request.call_counts.record_allowed(
                allowance.service, allowance.attempt, allowance.allowed
            )
            step = Step(
                "calls allowed",
                now,
                service=allowance.service,
                owner=command.instance,
                attempts=allowance.allowed,
            )
            self._add_step(request, step)

    def _record_denied_call(self, command: events.CountCallNotAllowed, now: float) -> None:
        request = self._request_by_query.get(command.query_id)
        if request is not None:
            reason = command.bound.value
            step = Step("call not allowed", now, service=command.service, reason=reason)
            self._add_step(request, step)

    def _record_decision(self, command: events.CountDecision, now: float) -> None:
        request = self._request_by_query.get(command.query_id)
        if request is not None:
            step = Step(
                "scheduled",
                now,
                service=command.service,
                server=command.server,
                reason=command.decision.value,
                latency_ms=command.age_ms,
                left_ms=command.left_ms,
            )
            self._add_step(request, step)

    def _record_unsent_batch(self, event: events.BatchUnsent, now: float) -> None:
        request = self._request_by_query.get(event.query_id)
        if request is not None:
            request.call_counts.remove_unsent(event.instance, event.attempt)
            self._add_step(request, Step("not sent", now, owner=event.instance))

    def _record_arrival(self, event: events.QueryArrived, now: float) -> None:
        if len(self._request_by_query) >= REQUESTS_MAX:
            self._request_by_query.pop(next(iter(self._request_by_query)))
        request = _Request(event.request.request_id)
        request.steps.append(Step("arrived", now, route=event.route))
        self._request_by_query[event.query_id] = request

    def _record_call(self, command: events.StartCall, now: float) -> None:
        self._call_by_id[command.call_id] = _Call(command.query.query_id, command.server, now)
        request = self._request_by_query.get(command.query.query_id)
        if request is None:
            return
        service = command.server.service
        name = "called again" if service in request.called_services else "called"
        request.called_services.add(service)
        step = Step(
            name,
            now,
            service=service,
            server=command.server.server_id,
            left_ms=int((command.deadline - now) * MS_PER_SECOND),
            choices=command.choices,
        )
        self._add_step(request, step)

    def _record_call_end(self, event: events.CallReplied | events.CallFailed, now: float) -> None:
        call = self._call_by_id.pop(event.call_id, None)
        request = self._request_by_query.get(call.query_id) if call is not None else None
        if request is None:
            return
        reason = event.reason.value if isinstance(event, events.CallFailed) else ""
        if not reason:
            request.answered_services.add(call.server.service)
        step = Step(
            "call failed" if reason else "call answered",
            now,
            service=call.server.service,
            server=call.server.server_id,
            reason=reason,
            latency_ms=int((now - call.started) * MS_PER_SECOND),
        )
        self._add_step(request, step)

    def _record_failures(self, event: events.ReplyArrived, now: float) -> None:
        request = self._request_by_query.get(event.reply.query_id)
        if request is None:
            return
        for failure in event.reply.failures:
            reason = failure.reason.value
            request.call_counts.record_failed(failure.service, failure.attempt, failure.calls)
            self._add_step(
                request, Step("shard given up", now, service=failure.service, reason=reason)
            )

    def _record_answer(self, command: events.Respond, now: float) -> None:
        answer = command.answer
        coverage = answer.coverage
        step = Step(
            "answered",
            now,
            reason=answer.reason.value if answer.reason else "",
            outcome=answer.outcome.value,
            snapshot=answer.snapshot,
            parts=len(coverage.covered) if coverage else 0,
            missing=coverage.missing if coverage else (),
        )
        self._finish(command.query_id, step, answer.outcome is not data.Outcome.ANSWERED)

    def _finish(self, query_id: data.QueryId, step: Step, is_failure: bool) -> None:
        """Logs the steps of a finished request if it failed, exceeded its limit or is sampled."""
        request = self._request_by_query.pop(query_id, None)
        if request is None:
            return
        excess_calls = request.call_counts.calls_over_limit()
        if excess_calls:
            self._report_excess_calls(request, excess_calls, step.at)
        elif not is_failure:
            self._complete_count += 1
            if self._complete_count % COMPLETE_SAMPLE_INTERVAL:
                return
        for recorded_step in (*request.steps, step):
            is_answered = recorded_step.service in request.answered_services
            if is_answered and is_failure and recorded_step.service not in excess_calls:
                # Shards that answered do not explain why a request failed.
                continue
            _log.info(recorded_step.step, extra=_log_fields(request.request_id, recorded_step))

    def _report_excess_calls(
        self, request: _Request, calls_by_service: dict[data.ServiceId, int], now: float
    ) -> None:
        """Counts and logs shards that may have received more calls than the route allows."""
        self._count_shards_over_limit(len(calls_by_service))
        for service, calls in calls_by_service.items():
            extra = {"request_id": request.request_id, "service": service, "calls": calls}
            extra |= {"attempts": request.call_counts.calls_per_shard_max, "at": round(now, 4)}
            _log.warning("more calls than the route allows", extra=extra)

    @staticmethod
    def _add_step(request: _Request, step: Step) -> None:
        if len(request.steps) < STEPS_MAX:
            request.steps.append(step)


def _log_fields(request_id: str, step: Step) -> dict[str, object]:
    """Returns the fields of the log line for a step."""
    fields = msgspec.to_builtins(step)
    del fields["step"]
    return {"request_id": request_id, **fields, "at": round(step.at, 4)}
