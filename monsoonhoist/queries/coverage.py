"""Coverage of a key space by the union of key ranges."""

from collections.abc import Iterable, Mapping

from monsoonhoist.core import data


def measure(
    key_space: int,
    keys_by_service: Mapping[data.ServiceId, data.KeyRange],
    services: Iterable[data.ServiceId],
) -> data.Coverage:
    """Computes which part of the key space a set of shards covers.

    Args:
        key_space: Number of keys in the key space.
        keys_by_service: Key range of each shard whose results are in the answer.
        services: All shards of the pool.

    Returns:
        The coverage; it is complete only if there are no gaps and no overlaps.
    """
    gaps, overlaps = _find_gaps_and_overlaps(key_space, keys_by_service.values())
    missing_keys = sum(gap.high - gap.low for gap in gaps)
    missing = tuple(sorted(service for service in services if service not in keys_by_service))
    return data.Coverage(
        complete=not gaps and not overlaps,
        share=(key_space - missing_keys) / key_space,
        covered=tuple(sorted(keys_by_service)),
        missing=missing,
        gaps=tuple(gaps),
        overlaps=tuple(overlaps),
    )


def _find_gaps_and_overlaps(
    key_space: int, ranges: Iterable[data.KeyRange]
) -> tuple[list[data.KeyRange], list[data.KeyRange]]:
    """Returns the gaps between key ranges and their overlaps, within the key space."""
    gaps: list[data.KeyRange] = []
    overlaps: list[data.KeyRange] = []
    position = 0
    for keys in sorted(ranges, key=lambda keys: (keys.low, keys.high)):
        low = max(0, keys.low)
        high = min(key_space, keys.high)
        if high <= low:
            continue
        if low > position:
            gaps.append(data.KeyRange(position, low))
        elif low < position:
            overlaps.append(data.KeyRange(low, min(position, high)))
        position = max(position, high)
    if position < key_space:
        gaps.append(data.KeyRange(position, key_space))
    return gaps, overlaps
