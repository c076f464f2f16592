"""Indexes of the stand-in backend servers: snapshots, key ranges and results."""

from monsoonhoist.core import data, hashing

# Shards move by this part of their size from one snapshot to the next.
SHIFT_PARTS = 10


def key_range(key_space: int, shard: int, shards: int, snapshot: int) -> data.KeyRange:
    """Returns the keys of a shard in a snapshot; the boundaries move with the snapshot."""
    return data.KeyRange(
        _boundary(key_space, shard, shards, snapshot),
        _boundary(key_space, shard + 1, shards, snapshot),
    )


def results(
    service: str, keys: data.KeyRange, snapshot: int, text: str, limit: int
) -> tuple[data.Result, ...]:
    """Returns made-up results whose texts name the service and the snapshot."""
    size = keys.high - keys.low
    if size <= 0:
        return ()
    found = []
    for number in range(min(limit, size)):
        digest = hashing.stable_hash(text, service, str(snapshot), str(number))
        key = keys.low + digest % size
        score = (digest >> 32) / 2**32
        found.append(data.Result(key, score, f"{service} snapshot {snapshot} entry {key}"))
    return tuple(sorted(found, key=lambda result: -result.score))


def _boundary(key_space: int, shard: int, shards: int, snapshot: int) -> int:
    if shard in (0, shards):
        return 0 if shard == 0 else key_space
    shift = (snapshot % 3) * key_space // (shards * SHIFT_PARTS)
    return shard * key_space // shards + shift
