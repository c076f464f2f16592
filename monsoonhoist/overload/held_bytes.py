"""Account of the bytes that work in progress holds in memory, with a limit for all together."""

from typing import Generic, TypeVar

KeyT = TypeVar("KeyT")


class HeldBytes(Generic[KeyT]):
    """Counts the bytes that each piece of work holds, and names the largest if they are too many.

    The largest is ended rather than the one that grew last: work that holds little is never
    affected by work that holds much.

    Args:
        bytes_max: Most bytes that all work together may hold.
    """

    def __init__(self, bytes_max: int):
        self._bytes_max = bytes_max
        self._total = 0
        self._bytes_by_key: dict[KeyT, int] = {}

    def add(self, key: KeyT, count: int) -> KeyT | None:
        """Adds bytes to what a piece of work holds.

        Returns:
            The work that holds most, to be ended and released, if all together hold too many
            bytes; otherwise None.
        """
        self._total += count
        self._bytes_by_key[key] = self._bytes_by_key.get(key, 0) + count
        if self._total <= self._bytes_max:
            return None
        return max(self._bytes_by_key, key=self._bytes_by_key.__getitem__)

    def release(self, key: KeyT) -> None:
        """Removes a piece of work, which no longer holds anything."""
        self._total -= self._bytes_by_key.pop(key, 0)
