"""Simulated indexes of the stand-in backend servers: key ranges and results of each snapshot."""

from monsoonhoist.core import data, hashing

# The boundaries between shards move from one snapshot to the next by the size of a shard divided by
# this number; every third snapshot has the unshifted boundaries again.
SHIFT_DIVISOR = 10


def key_range(key_space: int, shard: int, shard_count: int, snapshot: int) -> data.KeyRange:
    """Returns the keys of a shard in a snapshot.

    Args:
        key_space: Number of keys of the pool.
        shard: Index of the shard, from 0.
        shard_count: Number of shards of the pool.
        snapshot: Number of the snapshot.
    """
    return data.KeyRange(
        _boundary(key_space, shard, shard_count, snapshot),
        _boundary(key_space, shard + 1, shard_count, snapshot),
    )


def results(
    service: str, keys: data.KeyRange, snapshot: int, text: str, limit: int
) -> tuple[data.Result, ...]:
    """Returns pseudo-random results, best first, whose texts name the service and the snapshot.

    Args:
        service: Name of the shard.
        keys: Key range of the shard in the snapshot.
        snapshot: Number of the snapshot.
        text: Text of the query, which determines the keys and the scores.
        limit: Maximum number of results.
    """
    size = keys.high - keys.low
    if size <= 0:
        return ()
    unsorted = []
    for number in range(min(limit, size)):
        digest = hashing.stable_hash(text, service, str(snapshot), str(number))
        key = keys.low + digest % size
        score = (digest >> 32) / 2**32
        unsorted.append(data.Result(key, score, f"{service} snapshot {snapshot} entry {key}"))
    return tuple(sorted(unsorted, key=lambda result: -result.score))


def _boundary(key_space: int, shard: int, shard_count: int, snapshot: int) -> int:
    if shard in (0, shard_count):
        return 0 if shard == 0 else key_space
    shift = (snapshot % 3) * key_space // (shard_count * SHIFT_DIVISOR)
    return shard * key_space // shard_count + shift
