"""Takes callers' requests to the entry and its answers back."""

import asyncio
import itertools
import logging
from collections.abc import Callable

from monsoonhoist import metrics
from monsoonhoist.core import clock, data, events, exchange, routing

_log = logging.getLogger("monsoonhoist.request")


class PendingQueries:
    """Queries in progress at one entry, by whoever waits for them.

    Args:
        name: Prefix of query ids, unique to this incarnation.
        time_source: The clock.
        counters: Metrics.
        tell: Hands an event to the entry.
    """

    def __init__(
        self,
        id_prefix: str,
        time_source: clock.Clock,
        counters: metrics.Metrics,
        post_event: Callable[[events.EntryEvent], None],
    ):
        self._id_prefix = id_prefix
        self._clock = time_source
        self._counters = counters
        self._post_event = post_event
        self._query_numbers = itertools.count(1)
        self._tables = data.Tables({}, {})
        self._route_index = routing.RouteIndex()
        self._future_by_query: dict[data.QueryId, asyncio.Future[events.Respond]] = {}
        self._query_by_future: dict[asyncio.Future[events.Respond], data.QueryId] = {}

    @property
    def count(self) -> int:
        """Number of queries that somebody waits for."""
        return len(self._future_by_query)

    @property
    def has_routes(self) -> bool:
        """Whether a table of routes is in force."""
        return bool(self._tables.route_by_id)

    def set_tables(self, tables: data.Tables) -> None:
        """Takes over the tables in force."""
        if tables is not self._tables:
            self._tables = tables
            self._route_index = routing.RouteIndex(tables.route_by_id.values())

    def find_route(self, route_id: data.RouteId) -> data.Route | None:
        """Returns a route in force, or None."""
        return self._tables.route_by_id.get(route_id)

    def match_route(self, host: str, path: str) -> data.Route | None:
        """Returns the route in force for a host and a path, or None."""
        return self._route_index.find(host, path)

    def start(
        self, route: data.RouteId, question: exchange.Question, remaining_ms: int = 0
    ) -> asyncio.Future[events.Respond]:
        """Starts a query; the future gets its answer.

        Args:
            route: Route of the request.
            question: The request.
            remaining_ms: Time left, if the request came from another instance; else 0.
        """
        query_id = data.QueryId(f"{self._id_prefix}.{next(self._query_numbers)}")
        ended: asyncio.Future[events.Respond] = asyncio.get_running_loop().create_future()
        self._future_by_query[query_id] = ended
        self._query_by_future[ended] = query_id
        record = self.find_route(route)
        if record is not None:
            started = self._clock.monotonic()
            ended.add_done_callback(lambda _: self._record_latency(record, started))
        self._post_event(events.QueryArrived(query_id, route, question, remaining_ms))
        return ended

    def abandon(self, future: asyncio.Future[events.Respond]) -> None:
        """Ends a query whose caller has left."""
        query_id = self._query_by_future.pop(future, None)
        if query_id is not None:
            del self._future_by_query[query_id]
            self._post_event(events.CallerLeft(query_id))

    def complete(self, command: events.Respond) -> None:
        """Hands an answer to whoever waits for it."""
        ended = self._future_by_query.pop(command.query_id, None)
        if ended is not None:
            del self._query_by_future[ended]
            if not ended.done():
                ended.set_result(command)

    def _record_latency(self, route: data.Route, started: float) -> None:
        self._counters.record_answer_seconds(route, self._clock.monotonic() - started)

    def count_answer(self, rank: data.Rank | None, answer: data.Answer) -> None:
        """Counts an answer to a caller."""
        self._counters.count_answer(answer.outcome, rank)

    def record_refusal(self, answer: data.Answer) -> None:
        """Counts and logs an answer to a request that did not reach the entry."""
        self._counters.count_refusal(answer.reason)
        self._counters.count_answer(answer.outcome, None)
        extra = {
            "request_id": answer.request_id,
            "outcome": answer.outcome.value,
            "reason": answer.reason.value,
        }
        _log.info("answered", extra=extra)
