"""The dialect of the users' platform: puts its parts together."""

import asyncio

from tornado import httpserver

from monsoonhoist import metrics
from monsoonhoist.core import data, membership
from monsoonhoist.node import backends, curl, dialect, node, tables
from monsoonhoist.platform import callers, entries, reader, servers
from monsoonhoist.tables import store

SEEDS_PERIOD_SECONDS = 1.0


class SeedListing(dialect.Listing):
    """Lists the instances that the settings name; these know the others.

    Args:
        hosts: IP numbers, which are the instances' names.
        peer_port: Port of instance streams, the same everywhere.
        take: Receives the list.
    """

    def __init__(self, hosts: tuple[str, ...], peer_port: int, take: dialect.TakeListed):
        self._rows = tuple(
            membership.ListedInstance(
                data.InstanceId(host), host, peer_port, data.ZoneId(""), data.MemberState.LIVE
            )
            for host in hosts
        )
        self._take = take
        self._runner: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Starts telling the list at intervals."""
        self._runner = asyncio.create_task(self._run(), name="seeds")

    def stop(self) -> None:
        """Stops telling the list."""
        if self._runner is not None:
            self._runner.cancel()

    async def _run(self) -> None:
        while True:
            self._take(self._rows)
            await asyncio.sleep(SEEDS_PERIOD_SECONDS)


class PlatformServer(dialect.CallerServer):
    """Servers for callers, for the balancer's question and for operators.

    Args:
        server_by_address: Servers with the ``host:port`` that each listens on.
    """

    def __init__(self, server_by_address: dict[str, httpserver.HTTPServer]):
        self._server_by_address = server_by_address

    def start(self) -> None:
        """Starts listening."""
        for address, server in self._server_by_address.items():
            host, _, port = address.rpartition(":")
            server.listen(int(port), address=host)

    async def close(self) -> None:
        """Stops listening and closes all connections."""
        for server in self._server_by_address.values():
            server.stop()
        for server in self._server_by_address.values():
            await server.close_all_connections()


@dialect.register("platform")
class PlatformDialect(dialect.Dialect):
    """The users' platform on all sides."""

    def make_format(self) -> store.TableFormat:
        """Returns the format of the store's entries."""
        return entries.PlatformFormat(self.config.extra_calls.ratio)

    def make_protocol(self) -> backends.Protocol:
        """Returns the protocol to backend servers."""
        return servers.ServerProtocol(self.config.timing.backend_connect_ms)

    def make_reader(self, driver: curl.CurlDriver, counters: metrics.Metrics) -> tables.TableReader:
        """Returns the reader of the store."""
        timing = self.config.timing
        return reader.StoreReader(
            self.config.platform.store, timing.watch_ms, timing.watch_settle_ms, driver, counters
        )

    def make_listing(
        self, driver: curl.CurlDriver, counters: metrics.Metrics, take: dialect.TakeListed
    ) -> dialect.Listing:
        """Returns the list of the seeds."""
        return SeedListing(self.config.platform.seed_hosts(), self.config.instance.peer_port, take)

    def make_server(self, owner: node.Node) -> dialect.CallerServer:
        """Returns the servers."""
        listen = self.config.listen
        idle_seconds = self.config.timing.caller_idle_ms.total_seconds()
        control = callers.ControlConnections(owner)
        return PlatformServer(
            {
                listen.callers: callers.make_server(callers.CallerConnections(owner), idle_seconds),
                listen.ready: callers.make_server(control, idle_seconds),
                listen.control: callers.make_server(control, idle_seconds),
            }
        )
