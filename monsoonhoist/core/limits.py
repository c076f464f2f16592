"""The share of the backend servers' limits that one instance may use."""

import msgspec

from monsoonhoist.core import data

# Share of a server's connections that all cells together use. The rest is for connections that an
# instance has closed and the server has not closed yet.
USABLE_CONNECTIONS_SHARE = 0.9


class LimitShare(msgspec.Struct, frozen=True):
    """The shares of a server's limits that one instance may use, each from 0 to 1.

    Attributes:
        slots: Share of the slots.
        connections: Share of the connections.
    """

    slots: float
    connections: float

    def calls_max(self, server: data.Server) -> int:
        """Returns the most calls, at least 1, that the instance may have in flight at a server."""
        by_slots = int(server.slots * self.slots)
        by_connections = int(server.connections * self.connections)
        return max(1, min(by_slots, by_connections))
