"""Limit on the open connections of callers.

Load: callers open more connections than the process has descriptors, or keep them open without
completing a request. Descriptors for backend servers, other instances and the store remain free.
"""

from typing import Generic, TypeVar

KeyT = TypeVar("KeyT")

# Descriptors of the process that are not for connections.
FILE_DESCRIPTORS = 200
# Shares of the other descriptors for callers, and for idle connections to backend servers. The rest
# is for streams between instances, the store, and calls in progress beyond the idle connections.
CALLERS_SHARE = 0.5
SERVERS_SHARE = 0.4
CONNECTIONS_MIN = 16


def share_of_descriptors(descriptors: int, share: float) -> int:
    """Returns how many connections a share of a process's descriptors allows."""
    return max(CONNECTIONS_MIN, int((descriptors - FILE_DESCRIPTORS) * share))


class OpenConnections(Generic[KeyT]):
    """Open connections, ordered by how long the process has been waiting for the caller.

    It waits for the caller from the opening of the connection, or from the latest answer, until a
    request is complete. A connection with a request in progress is not closed.

    Args:
        count_max: Most open connections.
    """

    def __init__(self, count_max: int):
        self._count_max = count_max
        # In the order in which the waits began.
        self._waiting: dict[KeyT, None] = {}
        self._working: set[KeyT] = set()

    def __len__(self) -> int:
        return len(self._waiting) + len(self._working)

    def open(self, key: KeyT) -> KeyT | None:
        """Adds a connection.

        Returns:
            The connection to be closed if there are too many: the one that has been waited for
            longest, which is the new one if all others have requests in progress.
        """
        self._waiting[key] = None
        return next(iter(self._waiting)) if len(self) > self._count_max else None

    def begin_work(self, key: KeyT) -> None:
        """Records that a request is complete and in progress."""
        if key in self._waiting:
            del self._waiting[key]
            self._working.add(key)

    def end_work(self, key: KeyT) -> None:
        """Records that a request has its answer, so that the caller is waited for again."""
        if key in self._working:
            self._working.discard(key)
            self._waiting[key] = None

    def close(self, key: KeyT) -> None:
        """Removes a connection."""
        self._waiting.pop(key, None)
        self._working.discard(key)
