"""Policies that balance calls over the backend servers of a shard."""

import abc
from collections.abc import Sequence

import msgspec

from monsoonhoist.core import data
from monsoonhoist.policy import registry


class Candidate(msgspec.Struct, frozen=True):
    """A backend server that may be called.

    Attributes:
        server: The server.
        outstanding: Number of calls in flight from this instance.
        limit: Most calls that this instance may have in flight.
        latency_seconds: Smoothed latency of calls to the server.
        same_zone: Whether the server is in this instance's availability zone.
        slowness: Expected latency as a multiple of the route's median latency.
        failure_share: Expected share of calls that fail, from 0 to 1.
    """

    server: data.Server
    outstanding: int
    limit: int
    latency_seconds: float
    same_zone: bool
    slowness: float = 1.0
    failure_share: float = 0.0


class Balance(abc.ABC):
    """Chooses the server for a call."""

    @abc.abstractmethod
    def choose(self, candidates: Sequence[Candidate]) -> Candidate:
        """Returns the candidate to call; ``candidates`` must not be empty."""


@registry.register(registry.Kind.BALANCE, "least-loaded")
class LeastLoadedBalance(Balance):
    """Prefers a large free share of the limit, then low latency, then the same availability zone.

    The free share of the limit follows the load-aware score of the Moreh Heimdall
    scheduler's active-request scorer; latency breaks ties between servers with equal free shares.
    """

    # Latencies are rounded to multiples of this step for comparison.
    latency_step_seconds = 0.005

    def choose(self, candidates: Sequence[Candidate]) -> Candidate:
        """Returns the candidate with the lowest load."""
        return min(candidates, key=self._cost)

    def _cost(self, candidate: Candidate) -> tuple[float, int, bool, str]:
        load = candidate.outstanding / candidate.limit
        latency_steps = round(candidate.latency_seconds / self.latency_step_seconds)
        return (load, latency_steps, not candidate.same_zone, candidate.server.server_id)


@registry.register(registry.Kind.BALANCE, "expected-latency")
class ExpectedLatencyBalance(Balance):
    """Prefers the server with the least expected latency.

    The expected latency is the server's slowness, which increases with the age of its oldest call
    in flight, times the number of calls that share the server (cf. the C3 replica ranking: Suresh
    et al., NSDI 2015, with a linear instead of a cubic penalty). A failed call costs an extra
    call, or the whole sub-request if no extra call is left.
    """

    # A server in another availability zone must be faster by this factor.
    other_zone_factor = 1.5
    # Cost of a failed call, as a multiple of the route's median latency.
    failure_cost = 12.0

    def __init__(self) -> None:
        self._turn = 0

    def choose(self, candidates: Sequence[Candidate]) -> Candidate:
        """Returns the candidate with the least expected latency; ties are broken in rotation."""
        self._turn += 1
        start = self._turn % len(candidates)
        rotated = (*candidates[start:], *candidates[:start])
        return min(rotated, key=self._cost)

    def _cost(self, candidate: Candidate) -> float:
        factor = 1.0 if candidate.same_zone else self.other_zone_factor
        latency = candidate.slowness * (1 + candidate.outstanding) * factor
        return latency + candidate.failure_share * self.failure_cost


@registry.register(registry.Kind.BALANCE, "round-robin")
class RoundRobinBalance(Balance):
    """Calls the servers of a shard in rotation; a baseline for measurements."""

    def __init__(self) -> None:
        self._turn_by_service: dict[data.ServiceId, int] = {}

    def choose(self, candidates: Sequence[Candidate]) -> Candidate:
        """Returns the next candidate in rotation."""
        service = candidates[0].server.service
        turn = self._turn_by_service.get(service, 0)
        self._turn_by_service[service] = turn + 1
        return candidates[turn % len(candidates)]
