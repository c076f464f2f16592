"""Digests of the revisions in force, by bucket of their keys.

Two instances compare them to find the keys whose values differ.
"""

import hashlib

from monsoonhoist.core import data, hashing
from monsoonhoist.protocol import messages

# Number of buckets into which the keys are hashed.
BUCKET_COUNT = 64
BUCKET_DIGEST_BYTES = 8


class BucketDigests:
    """Digests of all buckets.

    The digest of a bucket is the exclusive or of the fingerprints of its revisions, so that a
    changed revision updates it without reading the others.
    """

    def __init__(self) -> None:
        self._digest_by_bucket = [0] * BUCKET_COUNT

    def toggle(self, revision: messages.Revision) -> None:
        """Adds a revision to the digest of its bucket, or removes it."""
        self._digest_by_bucket[bucket_of(revision.key)] ^= _fingerprint(revision)

    def concatenated(self) -> bytes:
        """Returns the digests of all buckets, of ``BUCKET_DIGEST_BYTES`` bytes each."""
        return b"".join(
            digest.to_bytes(BUCKET_DIGEST_BYTES, "big") for digest in self._digest_by_bucket
        )

    def differing(self, peer_digests: bytes) -> tuple[int, ...]:
        """Returns the buckets whose digest differs from the one of a peer."""
        own_digests = self.concatenated()
        size = BUCKET_DIGEST_BYTES
        return tuple(
            bucket
            for bucket in range(BUCKET_COUNT)
            if own_digests[bucket * size : (bucket + 1) * size]
            != peer_digests[bucket * size : (bucket + 1) * size]
        )

    def total(self) -> bytes:
        """Returns one digest over all revisions, of 16 bytes."""
        return hashlib.sha256(self.concatenated()).digest()[:16]


def bucket_of(key: data.TableKey) -> int:
    """Returns the number of the bucket that a key belongs to."""
    return hashing.stable_hash(key) % BUCKET_COUNT


def _fingerprint(revision: messages.Revision) -> int:
    """Returns a hash of a revision, of ``BUCKET_DIGEST_BYTES`` bytes.

    It leaves out the era: a value that the service's copy has kept is the same in both eras.
    """
    return hashing.stable_hash(revision.key, str(revision.number), revision.digest.hex())
