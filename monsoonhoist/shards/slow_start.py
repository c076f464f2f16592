"""Slow start of the servers of an owner: when it begins and ends, and what is reported about it."""

import enum
from collections.abc import Callable

from monsoonhoist.core import data, exchange
from monsoonhoist.policy import pace
from monsoonhoist.protocol import events, server_events
from monsoonhoist.shards import cold_servers

MakePace = Callable[[float, float], pace.Pace]

# Factor of the share after a failure that starts a backoff, and after a refusal because of load.
FAILURE_FACTOR = 0.3
REFUSAL_FACTOR = 0.7


class Cause(enum.Enum):
    """Why a server starts slowly.

    Attributes:
        ADDED: It is new in its shard, or its process has started again.
        LISTED: The table lists it again.
        BACKOFF: A failure started a backoff.
        COLD: It reports that it is cold.
    """

    ADDED = "added"
    LISTED = "listed"
    BACKOFF = "backoff"
    COLD = "cold"


class SlowStarts:
    """Creates the paces of an owner's servers and collects reports about their slow starts.

    Args:
        make_pace: Creates the pace of a server from its first share and the time; None if servers
            do not start slowly.
        cold: Cold servers; None if their quotas do not apply.

    Attributes:
        cell_count: Number of cells that call the servers.
        reports: Reports that have not been passed on yet.
    """

    def __init__(self, make_pace: MakePace | None, cold: cold_servers.ColdServers | None = None):
        self._make_pace = make_pace
        self.cell_count = 1
        self._cold = cold
        self.reports: list[events.Command] = []

    def make(self, server: data.Server, cause: Cause, share: float, now: float) -> pace.Pace | None:
        """Returns the pace of a server that starts, or None if servers do not start slowly."""
        if self._make_pace is None:
            return None
        self.reports.append(server_events.SlowStartBegan(server.server_id, cause.value, share))
        return self._make_pace(share, now)

    def find_cold(self, server: data.Server) -> cold_servers.ColdState | None:
        """Returns the state of a server's warm-up, or None if there is none."""
        return self._cold.find(server) if self._cold is not None else None

    def report(self, command: events.Command) -> None:
        """Adds a report."""
        self.reports.append(command)

    def report_end(self, server: data.Server, ended: pace.Pace, now: float) -> None:
        """Reports that a server has reached its full share."""
        seconds = round(now - ended.started_at, 3)
        ratio = round(ended.latency_ratio, 2)
        self.reports.append(
            server_events.SlowStartEnded(server.server_id, seconds, ended.calls, ratio)
        )

    def flush(self) -> list[events.Command]:
        """Removes and returns the reports."""
        reports, self.reports = self.reports, []
        return reports


class ServerPace:
    """Slow start of one server.

    Args:
        server: The server.
        starts: Creates paces and collects reports.

    Attributes:
        current: Its pace; None while it receives its usual load.
    """

    def __init__(self, server: data.Server, starts: SlowStarts):
        self._server = server
        self._starts = starts
        self.current: pace.Pace | None = None
        self._passed_over = 0

    def begin(self, cause: Cause, now: float, share: float = pace.INITIAL_SHARE) -> None:
        """Lowers the share of a server that starts."""
        if self.current is None:
            self.current = self._starts.make(self._server, cause, share, now)
            self._passed_over = 0
        elif share < self.current.share:
            self.current.set_share(share)

    def share(self, now: float) -> float:
        """Returns the part of its usual load that the server receives, from 0 to 1."""
        if self.current is None:
            return pace.FULL_SHARE
        return self.current.share_at(now)

    def lets_through(self, position: float, server_count: int, is_idle: bool, now: float) -> bool:
        """Returns whether the server may receive a query.

        Until the first result, it may also receive one query at a time if its slots are enough for
        one call of each cell, or once it was passed over by as many queries as contain, on average,
        one that it may receive. Otherwise its first call would come late with little traffic.

        Args:
            position: Position of the query, from 0 to 1.
            server_count: Number of servers that may be called.
            is_idle: Whether no call to the server is in flight.
            now: The time, in monotonic seconds.
        """
        if self.current is None:
            return True
        part = pace.query_part(self.current.share_at(now), server_count)
        if position < part:
            return True
        self._passed_over += 1
        has_slots = self._starts.cell_count <= self._server.slots
        is_due = has_slots or self._passed_over * part >= 1.0
        return is_due and is_idle and self.current.calls == 0

    def record_reply(
        self, latency_seconds: float, median_seconds: float, load: exchange.Load | None, now: float
    ) -> None:
        """Updates the share after a reply."""
        if self.current is None:
            return
        ratio = latency_seconds / median_seconds if median_seconds > 0.0 else 0.0
        self.current.record_reply(pace.Sample(latency_seconds, ratio, load), now)
        self._apply(now)

    def record_unanswered(self, age_seconds: float, median_seconds: float, now: float) -> None:
        """Updates the share after a call of which only a lower bound of its latency is known."""
        if self.current is not None and age_seconds > median_seconds > 0.0:
            self.record_reply(age_seconds, median_seconds, None, now)

    def record_failure(self, now: float) -> None:
        """Lowers the share after a failure that starts a backoff."""
        if self.current is None:
            self.begin(Cause.BACKOFF, now, FAILURE_FACTOR)
        else:
            self.current.record_failure(FAILURE_FACTOR, now)
            self._apply(now)

    def record_refusal(self, now: float) -> None:
        """Lowers the share of a server that starts after a refusal because of load."""
        if self.current is not None:
            self.current.record_failure(REFUSAL_FACTOR, now)
            self._apply(now)

    def _apply(self, now: float) -> None:
        if self.current.share >= pace.FULL_SHARE:
            self._starts.report_end(self._server, self.current, now)
            self.current = None
