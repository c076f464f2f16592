"""Hash of names, the same on all instances."""

import xxhash


def weight(*names: str) -> int:
    """Returns a hash of some names, from 0 to 2**64 - 1 (XXH3)."""
    return xxhash.xxh3_64_intdigest("\0".join(names).encode())
