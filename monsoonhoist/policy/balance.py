"""Policies that choose between the backend servers of a shard."""

import abc
from collections.abc import Sequence

import msgspec

from monsoonhoist.core import data
from monsoonhoist.policy import registry


class Candidate(msgspec.Struct, frozen=True):
    """A backend server that may be called.

    Attributes:
        server: The server.
        outstanding: Calls in flight from this instance.
        limit: Calls that this instance may have in flight there.
        latency_seconds: Smoothed latency of its replies.
        same_zone: Whether it is in this instance's availability zone.
    """

    server: data.Server
    outstanding: int
    limit: int
    latency_seconds: float
    same_zone: bool


class Balance(abc.ABC):
    """Chooses one of the servers that may be called."""

    @abc.abstractmethod
    def choose(self, candidates: Sequence[Candidate]) -> Candidate:
        """Returns the candidate to call; ``candidates`` is not empty."""


@registry.register(registry.Kind.BALANCE, "least-loaded")
class LeastLoadedBalance(Balance):
    """Prefers free slots, then low latency, then the same availability zone.

    The free share of the limit follows the load-aware score of the Moreh Heimdall
    scheduler's active-request scorer; latency breaks ties between idle servers.
    """

    latency_step_seconds = 0.005

    def choose(self, candidates: Sequence[Candidate]) -> Candidate:
        """Returns the candidate with the smallest expected wait."""
        return min(candidates, key=self._cost)

    def _cost(self, candidate: Candidate) -> tuple[float, int, bool, str]:
        load = candidate.outstanding / candidate.limit
        latency_steps = round(candidate.latency_seconds / self.latency_step_seconds)
        return (load, latency_steps, not candidate.same_zone, candidate.server.server_id)


@registry.register(registry.Kind.BALANCE, "round-robin")
class RoundRobinBalance(Balance):
    """Takes a shard's servers in turn; the baseline for measurements."""

    def __init__(self) -> None:
        self._turn_by_service: dict[data.ServiceId, int] = {}

    def choose(self, candidates: Sequence[Candidate]) -> Candidate:
        """Returns the next candidate by turn."""
        service = candidates[0].server.service
        turn = self._turn_by_service.get(service, 0)
        self._turn_by_service[service] = turn + 1
        return candidates[turn % len(candidates)]
