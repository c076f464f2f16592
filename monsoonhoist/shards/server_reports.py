"""Applies what backend servers say about themselves to an owner's shards, and tells the cell."""

from monsoonhoist.core import clock, data, exchange
from monsoonhoist.protocol import events, messages
from monsoonhoist.shards import shard, shard_table


class ServerReports:
    """Records the reports of servers.

    A server that is leaving is announced to the other instances of the cell, which may call it in
    place of this one. Instances of other cells learn it from the server or from the tables.

    Args:
        instance: This instance.
        time_source: The clock.
        shards: Shards of the owner.
    """

    def __init__(
        self,
        instance: data.InstanceId,
        time_source: clock.Clock,
        shards: shard_table.ShardTable,
    ):
        self._instance = instance
        self._clock = time_source
        self._shards = shards
        self._cell: tuple[data.InstanceId, ...] = ()

    def set_cell(self, cell: tuple[data.InstanceId, ...]) -> None:
        """Sets the instances of the cell, this one included."""
        self._cell = cell

    def may_check(self, server: data.Server) -> bool:
        """Returns whether a health check may be sent to a server now, and counts it if so."""
        now = self._clock.monotonic()
        notice = self._shards.notices.find(server)
        if notice.leaving_since is not None or now < notice.wait_until:
            return False
        cold = self._shards.cold.find(server)
        if cold is None or not cold.is_limited(now):
            return True
        if not cold.may_call(now):
            return False
        cold.quota.record_call(now)
        return True

    def record(
        self,
        server: data.Server,
        report: exchange.ServerReport,
        commands: list[events.Command],
    ) -> list[shard.ShardState]:
        """Records what a server says about itself, and announces it if it is leaving.

        Returns:
            The shards that are affected.
        """
        now = self._clock.monotonic()
        if report.cold_ms is not None and self._shards.cold.record_report(
            server, report.cold_ms, now
        ):
            self._shards.mark_cold((server.server_id,), now)
        if not report.is_leaving and report.wait_seconds <= 0.0:
            return []
        notices = self._shards.notices
        was_leaving = notices.find(server).leaving_since is not None
        if not notices.record(server, report, now):
            return []
        if report.is_leaving and not was_leaving:
            leaving = messages.LeavingServer(server.server_id, server.incarnation)
            commands.extend(
                events.SendMessage(instance, messages.ServersLeaving((leaving,)))
                for instance in self._cell
                if instance != self._instance
            )
        return self._shards.apply_notice(server.server_id, now)

    def record_leaving(self, message: messages.ServersLeaving) -> list[shard.ShardState]:
        """Records that servers are leaving, as another instance has learned from them.

        Returns:
            The shards that are affected.
        """
        now = self._clock.monotonic()
        affected: list[shard.ShardState] = []
        for leaving in message.servers:
            if self._shards.notices.record_leaving(leaving.server, leaving.incarnation, now):
                affected.extend(self._shards.apply_notice(leaving.server, now))
        return affected
