"""Passes queries to the entry kernel and its answers back to the waiting callers."""

import asyncio
import itertools
import logging
from collections.abc import Callable

from monsoonhoist import metrics
from monsoonhoist.core import clock, data, exchange
from monsoonhoist.protocol import events
from monsoonhoist.queries import routing

MS_PER_SECOND = 1000

_log = logging.getLogger("monsoonhoist.request")


class PendingQueries:
    """Queries in progress at one entry, each with a future for its answer.

    Args:
        id_prefix: Prefix of query ids, unique to this incarnation.
        time_source: The clock.
        counters: Metrics of this instance.
        post_event: Queues an event for the entry kernel.
        stop_remaining_ms: Returns how long a request may still last because the instance stops, in
            milliseconds; None if it does not.
    """

    def __init__(
        self,
        id_prefix: str,
        time_source: clock.Clock,
        counters: metrics.Metrics,
        post_event: Callable[[events.EntryEvent], None],
        stop_remaining_ms: Callable[[], int | None] = lambda: None,
    ):
        self._id_prefix = id_prefix
        self._clock = time_source
        self._counters = counters
        self._post_event = post_event
        self._stop_remaining_ms = stop_remaining_ms
        self._query_numbers = itertools.count(1)
        self._tables = data.Tables({}, {})
        self._route_index = routing.RouteIndex()
        self._future_by_query: dict[data.QueryId, asyncio.Future[events.Respond]] = {}
        self._query_by_future: dict[asyncio.Future[events.Respond], data.QueryId] = {}

    @property
    def count(self) -> int:
        """Number of queries without an answer whose caller is still waiting."""
        return len(self._future_by_query)

    @property
    def has_routes(self) -> bool:
        """Whether a table of routes is in force."""
        return bool(self._tables.route_by_id)

    def set_view(self, view: events.ViewChanged) -> None:
        """Applies the tables of a view, and rebuilds the route index if they have changed."""
        if view.tables is not self._tables:
            self._tables = view.tables
            self._route_index = routing.RouteIndex(view.tables.route_by_id.values())

    def find_route(self, route_id: data.RouteId) -> data.Route | None:
        """Returns the route in force with an id, or None."""
        return self._tables.route_by_id.get(route_id)

    def match_route(self, host: str, path: str) -> data.Route | None:
        """Returns the route in force that matches a host and a path, or None."""
        return self._route_index.find(host, path)

    def next_id(self) -> data.QueryId:
        """Returns an unused query id."""
        return data.QueryId(f"{self._id_prefix}.{next(self._query_numbers)}")

    def start(
        self, route_id: data.RouteId, request: exchange.CallerRequest, remaining_ms: int = 0
    ) -> asyncio.Future[events.Respond]:
        """Starts a query and returns the future of its answer.

        Args:
            route_id: Id of the route.
            request: The request.
            remaining_ms: Milliseconds left until the deadline of a request with a ticket, which
                another instance may have forwarded; otherwise 0.
        """
        query_id = self.next_id()
        future: asyncio.Future[events.Respond] = asyncio.get_running_loop().create_future()
        self._future_by_query[query_id] = future
        self._query_by_future[future] = query_id
        route = self.find_route(route_id)
        if route is not None:
            started_at = self._clock.monotonic()
            future.add_done_callback(lambda _: self._record_latency(route, started_at))
            remaining_ms = self._limit_remaining(route, remaining_ms)
        self._post_event(events.QueryArrived(query_id, route_id, request, remaining_ms))
        return future

    def _limit_remaining(self, route: data.Route, remaining_ms: int) -> int:
        """Returns the time left for a request, in milliseconds, which ends before the instance."""
        stop_ms = self._stop_remaining_ms()
        if stop_ms is None:
            return remaining_ms
        return min(remaining_ms or int(route.deadline.total_seconds() * MS_PER_SECOND), stop_ms)

    def abandon(self, future: asyncio.Future[events.Respond]) -> None:
        """Cancels a query whose caller has disconnected."""
        query_id = self._query_by_future.pop(future, None)
        if query_id is not None:
            del self._future_by_query[query_id]
            self._post_event(events.CallerLeft(query_id))

    def complete(self, command: events.Respond) -> None:
        """Sets the result of the future that waits for an answer."""
        future = self._future_by_query.pop(command.query_id, None)
        if future is not None:
            del self._query_by_future[future]
            if not future.done():
                future.set_result(command)

    def _record_latency(self, route: data.Route, started_at: float) -> None:
        self._counters.record_answer_seconds(route, self._clock.monotonic() - started_at)

    def count_answer(self, rank: data.Rank | None, answer: data.Answer) -> None:
        """Counts an answer to a caller."""
        self._counters.count_answer(answer.outcome, rank)

    def record_refusal(self, answer: data.Answer) -> None:
        """Counts and logs the answer to a request that was refused before the entry kernel."""
        self._counters.count_refusal(answer.reason)
        self._counters.count_answer(answer.outcome, None)
        extra = {
            "request_id": answer.request_id,
            "outcome": answer.outcome.value,
            "reason": answer.reason.value,
        }
        _log.info("answered", extra=extra)
