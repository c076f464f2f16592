"""Merging of results from several shards."""

import heapq
from collections.abc import Iterable

from monsoonhoist.core import data


def best(results: Iterable[data.Result], limit: int) -> tuple[data.Result, ...]:
    """Returns the ``limit`` best results, one for each key, best first.

    Equal scores are ordered by key, so that the order does not depend on arrival.
    """
    by_key = {result.key: result for result in results}
    return tuple(heapq.nsmallest(limit, by_key.values(), key=_order))


def _order(result: data.Result) -> tuple[float, int]:
    return (-result.score, result.key)
