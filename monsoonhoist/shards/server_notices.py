"""What backend servers have said about themselves, which outlives tables and states of shards.

A server that says that it is leaving receives no new calls until the table lists a later start of
it, whatever else the table says meanwhile. A server that asks to wait receives no calls for the
time that it names.
"""

import dataclasses

import msgspec

from monsoonhoist.core import data, exchange

# Longest wait that a server may ask for.
WAIT_MAX_SECONDS = 3600.0
# How long the notices of a server are kept after the tables have ceased to list it.
RETENTION_SECONDS = 3600.0


class Notice(msgspec.Struct, frozen=True):
    """Restrictions that a server has placed on calls to it.

    Attributes:
        leaving_since: When it was learned that the server is leaving, in monotonic seconds; None
            if it is not.
        wait_until: End of the wait that the server has asked for, in monotonic seconds; 0 for
            none.
    """

    leaving_since: float | None = None
    wait_until: float = 0.0


NO_NOTICE = Notice()


@dataclasses.dataclass
class _Entry:
    """Notice of one incarnation of a server.

    Attributes:
        incarnation: The incarnation.
        notice: Its notice.
        listed_at: When the tables last listed the server, in monotonic seconds.
    """

    incarnation: int
    notice: Notice
    listed_at: float


class ServerNotices:
    """Notices of all servers that have placed restrictions on calls."""

    def __init__(self) -> None:
        self._entry_by_id: dict[data.ServerId, _Entry] = {}

    def find(self, server: data.Server) -> Notice:
        """Returns the notice that applies to a server as the table lists it."""
        entry = self._entry_by_id.get(server.server_id)
        if entry is None or server.incarnation > entry.incarnation:
            return NO_NOTICE
        return entry.notice

    def record(self, server: data.Server, report: exchange.ServerReport, now: float) -> bool:
        """Records what a server says about itself; returns whether its notice has changed."""
        before = self.find(server)
        wait = min(report.wait_seconds, WAIT_MAX_SECONDS)
        notice = Notice(
            now if report.is_leaving and before.leaving_since is None else before.leaving_since,
            max(before.wait_until, now + wait) if wait > 0.0 else before.wait_until,
        )
        if notice == before:
            return False
        self._entry_by_id[server.server_id] = _Entry(server.incarnation, notice, now)
        return True

    def record_leaving(self, server: data.ServerId, incarnation: int, now: float) -> bool:
        """Records that an incarnation of a server is leaving; returns whether that is new."""
        entry = self._entry_by_id.get(server)
        if entry is not None and incarnation < entry.incarnation:
            return False
        is_same = entry is not None and incarnation == entry.incarnation
        before = entry.notice if is_same else NO_NOTICE
        if before.leaving_since is not None:
            return False
        notice = Notice(now, before.wait_until)
        self._entry_by_id[server] = _Entry(incarnation, notice, now)
        return True

    def prune(self, tables: data.Tables, now: float) -> None:
        """Removes the notices of servers that the tables have not listed for a long time."""
        if not self._entry_by_id:
            return
        for pool in tables.pool_by_id.values():
            for servers in pool.servers_by_service.values():
                for server in servers:
                    entry = self._entry_by_id.get(server.server_id)
                    if entry is not None:
                        entry.listed_at = now
        for server_id, entry in list(self._entry_by_id.items()):
            if now - entry.listed_at > RETENTION_SECONDS:
                del self._entry_by_id[server_id]
