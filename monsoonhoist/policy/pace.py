"""Policies that decide which part of its usual load a server receives while it starts or recovers.

Load: many owners call the same servers, each with a few calls a second, and one server, or all
servers of an availability zone, return while requests flow. Limits on calls in flight do not slow
the start there, since one call of each owner already overloads the server. Without a pace, the
owners either send the returned server its usual load at once, or avoid it long after it has
recovered.

A share is a part of the usual load of a server. A server with a share below 1 may receive only
queries whose position is below a bound that follows from the share; among the servers that may
receive a query, the balancing policy chooses as usual. The position is a hash of the query, so
that servers of many shards which start together are tried by the same queries: a gathered answer
is late if one of its parts is.
"""

import abc
import math

import msgspec

from monsoonhoist.core import data, exchange, hashing

HASH_RANGE = 2.0**64
FULL_SHARE = 1.0
# Share of a server that is new, or listed again.
INITIAL_SHARE = 0.2
# Least share: enough calls to show whether the server works again, and to warm up a server that
# becomes warm only by being called.
SHARE_MIN = 0.1
PERCENT = 100.0


class Sample(msgspec.Struct, frozen=True):
    """Result of a call to a server that starts.

    Attributes:
        latency_seconds: Latency of the call.
        latency_ratio: Latency as a multiple of the route's median; 0 if the median is unknown.
        load: Load that the server reported; None if it reported none.
    """

    latency_seconds: float
    latency_ratio: float
    load: exchange.Load | None = None


class Pace(abc.ABC):
    """Decides the share of one server from the results of its calls.

    Args:
        share: Share to start with.
        now: The time, in monotonic seconds.

    Attributes:
        share: Part of the usual load that the server receives, from ``SHARE_MIN`` to 1.
        calls: Number of results so far.
        latency_ratio: Latency as a multiple of the median, smoothed; 0 while unknown.
    """

    # Weight of the newest call in the smoothed latency ratio. An owner sees few calls of a server
    # that starts, so that most of the weight is on the newest.
    ratio_weight = 0.7
    # Upper bound of a single latency ratio, so that one very late call counts as a slow one.
    ratio_max = 4.0

    def __init__(self, share: float, now: float):
        self.share = share
        self.started_at = now
        self.calls = 0
        self.latency_ratio = 0.0

    def share_at(self, now: float) -> float:
        """Returns the share, which may grow with time alone."""
        return self.share

    def record_reply(self, sample: Sample, now: float) -> None:
        """Updates the share after a reply."""
        self.calls += 1
        ratio = min(self.ratio_max, self.measure(sample))
        if self.latency_ratio > 0.0:
            ratio = self.latency_ratio + (ratio - self.latency_ratio) * self.ratio_weight
        self.latency_ratio = ratio
        self.set_share(self.next_share(sample, now))

    def record_failure(self, factor: float, now: float) -> None:
        """Multiplies the share by a factor after a failure or a refusal."""
        self.calls += 1
        self.set_share(self.share * factor)

    def set_share(self, share: float) -> None:
        """Sets the share within its bounds."""
        self.share = min(FULL_SHARE, max(SHARE_MIN, share))

    def measure(self, sample: Sample) -> float:
        """Returns how much longer than usual a call took."""
        return sample.latency_ratio

    @abc.abstractmethod
    def next_share(self, sample: Sample, now: float) -> float:
        """Returns the share that follows from ``latency_ratio`` and the newest call."""


class ResponsePace(Pace):
    """Changes the share by the gradient of latency, the load that the server reports, and time.

    The share is multiplied by a power of ``ratio_target`` over the smoothed ratio, at most once in
    the time that a call takes, so that each change is seen before the next one. It also grows with
    time, since an owner with little traffic sees too few calls to raise it.
    """

    # Latency ratio at which the share stays as it is. It is above the average ratio of healthy
    # servers, since the balancing policy handles servers that are only a little slower.
    ratio_target = 1.8
    exponent = 2.0
    raise_max = 3.0
    lower_min = 0.5
    # Time constant of the growth. A longer one delays servers that return warm; with a shorter one,
    # servers that become warm by being called receive more calls than they can serve.
    growth_seconds = 5.0

    def __init__(self, share: float, now: float):
        super().__init__(share, now)
        self._changed_at = now

    def measure(self, sample: Sample) -> float:
        """Returns the larger of the latency ratio and that which the reported load predicts."""
        load = sample.load
        if load is None:
            return sample.latency_ratio
        queue_factor = max(1.0, (load.running + load.waiting) / max(1, load.slots))
        return max(sample.latency_ratio, queue_factor * load.pace_percent / PERCENT)

    def share_at(self, now: float) -> float:
        """Returns the share, which grows with the time since the last change."""
        growth = math.exp((now - self._changed_at) / self.growth_seconds)
        return min(FULL_SHARE, self.share * growth)

    def record_failure(self, factor: float, now: float) -> None:
        """Multiplies the share by a factor after a failure or a refusal."""
        share = self.share_at(now)
        self._changed_at = now
        self.calls += 1
        self.set_share(share * factor)

    def next_share(self, sample: Sample, now: float) -> float:
        """Returns the share, unchanged if the call was started before the last change."""
        if now - sample.latency_seconds < self._changed_at:
            return self.share
        share = self.share_at(now)
        self._changed_at = now
        factor = (self.ratio_target / max(self.latency_ratio, 0.1)) ** self.exponent
        return share * min(self.raise_max, max(self.lower_min, factor))


def position_of(query: data.QueryId) -> float:
    """Returns the position of a query among all queries, from 0 to 1."""
    return hashing.stable_hash("pace", query) / HASH_RANGE


def query_part(share: float, server_count: int) -> float:
    """Returns the part of the queries that a server may receive, from 0 to 1.

    The balancing policy decides which of them it does receive. A small share is this part of an
    equal part of the queries. The part of the queries then grows faster than the share, up to all
    queries, since a server that may receive only its equal part receives less than that if other
    servers are preferred for some queries.

    Args:
        share: Share of the server.
        server_count: Number of servers that may be called.
    """
    return share * (1.0 + share * (server_count - 1)) / server_count
