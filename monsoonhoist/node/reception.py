"""Takes callers' requests to the entry and its answers back."""

import asyncio
import itertools
import logging
from collections.abc import Callable

from monsoonhoist import metrics
from monsoonhoist.core import clock, data, events, exchange, routing

_log = logging.getLogger("monsoonhoist.request")


class Reception:
    """Queries in progress at one entry, by whoever waits for them.

    Args:
        name: Prefix of query ids, unique to this incarnation.
        time_source: The clock.
        counters: Metrics.
        tell: Hands an event to the entry.
    """

    def __init__(
        self,
        name: str,
        time_source: clock.Clock,
        counters: metrics.Metrics,
        tell: Callable[[events.EntryEvent], None],
    ):
        self._name = name
        self._clock = time_source
        self._counters = counters
        self._tell = tell
        self._numbers = itertools.count(1)
        self._tables = data.Tables({}, {})
        self._routes = routing.RouteIndex()
        self._ended_by_query: dict[data.QueryId, asyncio.Future[events.Respond]] = {}
        self._query_by_ended: dict[asyncio.Future[events.Respond], data.QueryId] = {}

    @property
    def waiting(self) -> int:
        """Number of queries that somebody waits for."""
        return len(self._ended_by_query)

    @property
    def has_routes(self) -> bool:
        """Whether a table of routes is in force."""
        return bool(self._tables.route_by_id)

    def set_tables(self, tables: data.Tables) -> None:
        """Takes over the tables in force."""
        if tables is not self._tables:
            self._tables = tables
            self._routes = routing.RouteIndex(tables.route_by_id.values())

    def route(self, route_id: data.RouteId) -> data.Route | None:
        """Returns a route in force, or None."""
        return self._tables.route_by_id.get(route_id)

    def match(self, host: str, path: str) -> data.Route | None:
        """Returns the route in force for a host and a path, or None."""
        return self._routes.find(host, path)

    def ask(
        self, route: data.RouteId, question: exchange.Question, remaining_ms: int = 0
    ) -> asyncio.Future[events.Respond]:
        """Starts a query; the future gets its answer.

        Args:
            route: Route of the request.
            question: The request.
            remaining_ms: Time left, if the request came from another instance; else 0.
        """
        query_id = data.QueryId(f"{self._name}.{next(self._numbers)}")
        ended: asyncio.Future[events.Respond] = asyncio.get_running_loop().create_future()
        self._ended_by_query[query_id] = ended
        self._query_by_ended[ended] = query_id
        record = self.route(route)
        if record is not None:
            started = self._clock.monotonic()
            ended.add_done_callback(lambda _: self._record_latency(record, started))
        self._tell(events.QueryArrived(query_id, route, question, remaining_ms))
        return ended

    def abandon(self, ended: asyncio.Future[events.Respond]) -> None:
        """Ends a query whose caller has left."""
        query_id = self._query_by_ended.pop(ended, None)
        if query_id is not None:
            del self._ended_by_query[query_id]
            self._tell(events.CallerLeft(query_id))

    def respond(self, command: events.Respond) -> None:
        """Hands an answer to whoever waits for it."""
        ended = self._ended_by_query.pop(command.query_id, None)
        if ended is not None:
            del self._query_by_ended[ended]
            if not ended.done():
                ended.set_result(command)

    def _record_latency(self, route: data.Route, started: float) -> None:
        self._counters.record_answer(route, self._clock.monotonic() - started)

    def note_answer(self, rank: data.Rank | None, answer: data.Answer) -> None:
        """Counts an answer to a caller."""
        self._counters.count_answer(answer.outcome, rank)

    def note_refusal(self, answer: data.Answer) -> None:
        """Counts and logs an answer to a request that did not reach the entry."""
        self._counters.count_refusal(answer.reason)
        self._counters.count_answer(answer.outcome, None)
        extra = {
            "request_id": answer.request_id,
            "outcome": answer.outcome.value,
            "reason": answer.reason.value,
        }
        _log.info("answered", extra=extra)
