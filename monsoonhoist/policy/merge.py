"""Policies that merge the results of several shards."""

import abc
import functools
import heapq
from collections.abc import Iterable

from monsoonhoist.core import data
from monsoonhoist.policy import registry


class Merge(abc.ABC):
    """Merges the results of shards and selects the best.

    Attributes:
        is_idempotent: Whether merging the same results twice changes nothing.
    """

    is_idempotent: bool

    @abc.abstractmethod
    def best(
        self, results: Iterable[data.MergeableResult], limit: int
    ) -> tuple[data.MergeableResult, ...]:
        """Returns the ``limit`` best results, best first."""


@registry.register(registry.Kind.MERGE, "ranked")
class RankedMerge(Merge):
    """Orders scored results by score and keeps one for each key.

    Equal scores are ordered by key, so that the result does not depend on the order of arrival.
    """

    is_idempotent = True

    def best(
        self, results: Iterable[data.MergeableResult], limit: int
    ) -> tuple[data.MergeableResult, ...]:
        """Returns the best results."""
        result_by_key = {result.key: result for result in results}
        return tuple(heapq.nsmallest(limit, result_by_key.values(), key=_score_order))


@registry.register(registry.Kind.MERGE, "greatest-records")
class GreatestRecordsMerge(Merge):
    """Orders records by their bytes, greatest first, and keeps duplicates."""

    is_idempotent = False

    def best(
        self, results: Iterable[data.MergeableResult], limit: int
    ) -> tuple[data.MergeableResult, ...]:
        """Returns the greatest records."""
        return tuple(sorted(results, reverse=True)[:limit])


@functools.cache
def find_policy(name: str) -> Merge:
    """Returns the merge policy with a name.

    Raises:
        UnknownPolicyError: If no policy is registered under the name.
    """
    registry.load()
    return registry.find(registry.Kind.MERGE, name)()


def _score_order(result: data.Result) -> tuple[float, int]:
    return (-result.score, result.key)
