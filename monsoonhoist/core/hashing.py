"""Hash of strings that is the same on all instances."""

import xxhash


def stable_hash(*names: str) -> int:
    """Returns the 64-bit XXH3 hash of some strings, from 0 to 2**64 - 1."""
    return xxhash.xxh3_64_intdigest("\0".join(names).encode())
