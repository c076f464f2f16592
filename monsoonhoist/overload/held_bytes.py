"""Account of the bytes that work in progress holds in memory, with a limit for all together.

Load: callers and backend servers that send without end, stall, or read slowly. The work of each of
them holds little memory, that of many together more than the machine has.
"""

from typing import Generic, TypeVar

import msgspec

KeyT = TypeVar("KeyT")

BYTES_PER_MB = 1_000_000
# Memory of a process with large tables and without callers, with a margin.
PROCESS_BYTES = 60_000_000
# Share of the other memory for each of two accounts, of callers and of servers: the bytes that an
# account counts exist twice while they are passed on.
ACCOUNT_SHARE = 0.25
# Smallest account, in which the longest response of a server fits.
ACCOUNT_BYTES_MIN = 8_388_608
# Account of the callers on a machine whose memory is not known.
CALLERS_BYTES_DEFAULT = 33_554_432


class MemoryShares(msgspec.Struct, frozen=True):
    """The most bytes that the accounts of a process may hold.

    Attributes:
        callers: Requests of callers and the answers that they have not read.
        servers: Responses of backend servers, and bodies that are sent to them.
        foreign_bodies: Bodies of other instances' requests that wait for servers. It is smaller,
            since these bodies are not copied.
    """

    callers: int
    servers: int
    foreign_bodies: int


def make_shares(memory_mb: float, servers_bytes_max: int) -> MemoryShares:
    """Returns the limits of the accounts.

    Args:
        memory_mb: Memory of the machine, in megabytes; 0 if it is not known.
        servers_bytes_max: Most bytes for servers, whatever the memory.
    """
    if not memory_mb:
        return MemoryShares(CALLERS_BYTES_DEFAULT, servers_bytes_max, CALLERS_BYTES_DEFAULT // 2)
    share = int((memory_mb * BYTES_PER_MB - PROCESS_BYTES) * ACCOUNT_SHARE)
    share = max(ACCOUNT_BYTES_MIN, share)
    return MemoryShares(share, min(share, servers_bytes_max), share // 2)


class HeldBytes(Generic[KeyT]):
    """Counts the bytes that each piece of work holds, and names the largest if they are too many.

    The largest is ended rather than the one that grew last: work that holds little is never
    affected by work that holds much.

    Args:
        bytes_max: Most bytes that all work together may hold.

    Attributes:
        total: Bytes that all work together holds.
    """

    def __init__(self, bytes_max: int):
        self.total = 0
        self._bytes_max = bytes_max
        self._bytes_by_key: dict[KeyT, int] = {}

    def add(self, key: KeyT, count: int) -> KeyT | None:
        """Adds bytes to what a piece of work holds; a negative count removes them.

        Returns:
            The work that holds most, of several the one that has held something for longest, to be
            ended and released, if all together hold too many bytes; otherwise None.
        """
        self.total += count
        held = self._bytes_by_key.get(key, 0) + count
        if held:
            self._bytes_by_key[key] = held
        else:
            self._bytes_by_key.pop(key, None)
        if self.total <= self._bytes_max:
            return None
        return max(self._bytes_by_key, key=self._bytes_by_key.__getitem__)

    def release(self, key: KeyT) -> None:
        """Removes a piece of work, which no longer holds anything."""
        self.total -= self._bytes_by_key.pop(key, 0)
