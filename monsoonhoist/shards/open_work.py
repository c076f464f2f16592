"""Work in progress of an owner: open sub-requests, and calls in flight."""

import functools

from monsoonhoist.core import clock, data
from monsoonhoist.protocol import events
from monsoonhoist.shards import hedging, server, subrequest, timers


class OpenWork:
    """Open sub-requests by query and calls in flight by id.

    A call can outlive its sub-request: a call that completes keeps its connection reusable and
    yields its exact latency.

    Args:
        time_source: The clock.
        timer_queue: Timers of the owner.
        hedge_policies: Policies that know the median latencies of routes.
        finish_latencies: Grace period for calls whose results are no longer needed, from their
            start, as a multiple of the route's median latency.
        instance: This instance.

    Attributes:
        foreign_body_bytes: Length of the bodies of queries of other instances with open
            sub-requests. Those of its own callers are counted where they arrive.
    """

    def __init__(
        self,
        time_source: clock.Clock,
        timer_queue: timers.TimerQueue,
        hedge_policies: hedging.HedgePolicies,
        finish_latencies: float,
        instance: data.InstanceId,
    ):
        self.foreign_body_bytes = 0
        self._instance = instance
        self._clock = time_source
        self._timers = timer_queue
        self._hedge_policies = hedge_policies
        self._finish_latencies = finish_latencies
        self._subs_by_query: dict[data.QueryId, list[subrequest.SubRequest]] = {}
        self._call_by_id: dict[int, subrequest.Call] = {}

    @property
    def active(self) -> int:
        """Number of calls in flight plus number of queries with open sub-requests."""
        return len(self._call_by_id) + len(self._subs_by_query)

    def has_query(self, query_id: data.QueryId) -> bool:
        """Returns whether a query has open sub-requests."""
        return query_id in self._subs_by_query

    def find(self, query_id: data.QueryId) -> tuple[subrequest.SubRequest, ...]:
        """Returns the open sub-requests of a query."""
        return tuple(self._subs_by_query.get(query_id, ()))

    def sub_requests(self) -> list[subrequest.SubRequest]:
        """Returns all sub-requests that are open or have calls in flight."""
        open_subs = [sub for subs in self._subs_by_query.values() for sub in subs]
        return open_subs + [call.sub for call in self._call_by_id.values()]

    def calls_of(self, state: server.ServerState) -> list[subrequest.Call]:
        """Returns the calls in flight at a server, oldest first."""
        return [self._call_by_id[call_id] for call_id in state.started_at_by_call_id]

    def add_sub_request(self, sub: subrequest.SubRequest) -> None:
        """Adds a sub-request, which is open until it is closed."""
        subs = self._subs_by_query.setdefault(sub.query.query_id, [])
        if not subs and sub.origin != self._instance:
            self.foreign_body_bytes += len(sub.query.content.body)
        subs.append(sub)

    def add_call(self, call: subrequest.Call) -> None:
        """Adds a call at its start."""
        call.sub.add_call(call)
        self._call_by_id[call.call_id] = call

    def remove_call(self, call_id: int) -> subrequest.Call | None:
        """Removes a call at its end; returns None if it is not in flight."""
        call = self._call_by_id.pop(call_id, None)
        if call is not None:
            del call.server.started_at_by_call_id[call_id]
            del call.sub.call_by_id[call_id]
        return call

    def close(self, sub: subrequest.SubRequest, commands: list[events.Command]) -> None:
        """Removes a sub-request, and cancels its calls once they have run for a grace period."""
        sub.closed = True
        subs = self._subs_by_query[sub.query.query_id]
        subs.remove(sub)
        if not subs:
            del self._subs_by_query[sub.query.query_id]
            if sub.origin != self._instance:
                self.foreign_body_bytes -= len(sub.query.content.body)
        median_seconds = self._hedge_policies.policy_for(sub).median_seconds()
        grace = median_seconds * self._finish_latencies
        now = self._clock.monotonic()
        for call in list(sub.call_by_id.values()):
            if call.started_at + grace <= now:
                self.cancel_call(call, commands)
            else:
                cancel = functools.partial(self.cancel_call, call)
                self._timers.schedule(call.started_at + grace, cancel)

    def cancel_call(self, call: subrequest.Call, commands: list[events.Command]) -> None:
        """Cancels a call whose results are not needed, if its query is repeatable."""
        is_in_flight = call.call_id in self._call_by_id
        if is_in_flight and call.sub.query.repeatable and not call.cancelled:
            call.cancelled = True
            commands.append(events.CancelCall(call.call_id))
