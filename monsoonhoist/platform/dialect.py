"""Dialect of the users' platform: creates the parts that talk to callers, servers and the store."""

import asyncio
import functools

from monsoonhoist import metrics
from monsoonhoist.core import data
from monsoonhoist.fleet import membership
from monsoonhoist.node import (
    backends,
    caller_connections,
    caller_options,
    curl,
    dialect,
    http_servers,
    node,
    table_reader,
)
from monsoonhoist.platform import backend_protocol, callers, reader, store_format
from monsoonhoist.tables import store

SEED_REPORT_INTERVAL_SECONDS = 1.0
# Most open connections to the addresses for the load balancer and for operators together.
CONTROL_CONNECTIONS_MAX = 64


class SeedListing(dialect.InstanceListing):
    """Reports the seed instances from the settings; the others are discovered through them.

    Args:
        hosts: IP addresses of the seeds, which are also their names.
        peer_port: Port of instance streams, the same on all instances.
        handle_instances: Called with the list at each interval.
    """

    def __init__(
        self, hosts: tuple[str, ...], peer_port: int, handle_instances: dialect.HandleInstances
    ):
        self._instances = tuple(
            membership.ListedInstance(
                data.InstanceId(host), host, peer_port, data.ZoneId(""), data.MemberState.LIVE
            )
            for host in hosts
        )
        self._handle_instances = handle_instances
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Starts reporting the list at intervals."""
        self._task = asyncio.create_task(self._run(), name="seeds")

    def stop(self) -> None:
        """Stops reporting the list."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        while True:
            self._handle_instances(self._instances)
            await asyncio.sleep(SEED_REPORT_INTERVAL_SECONDS)


class PlatformServer(dialect.CallerServer):
    """HTTP servers for callers, for the load balancer's readiness check, and for operators.

    Args:
        server_by_address: The servers, by the ``host:port`` that each listens on.
    """

    def __init__(self, server_by_address: dict[str, http_servers.FlushingServer]):
        self._server_by_address = server_by_address

    def start(self) -> None:
        """Starts listening."""
        for address, server in self._server_by_address.items():
            host, _, port = address.rpartition(":")
            server.listen(int(port), address=host)

    async def close(self, flush_seconds: float) -> None:
        """Stops listening, and closes all connections once their answers are sent."""
        servers = self._server_by_address.values()
        await asyncio.gather(*(server.flush_and_close(flush_seconds) for server in servers))


@dialect.register("platform")
class PlatformDialect(dialect.Dialect):
    """Creates the adapters to the users' platform."""

    def make_format(self) -> store.TableFormat:
        """Returns the format of the values in the store."""
        return store_format.PlatformFormat(self.config.extra_calls.ratio)

    def make_protocol(self) -> backends.Protocol:
        """Returns the protocol for calls to backend servers."""
        return backend_protocol.ServerProtocol(self.config.timing.backend_connect_ms)

    def make_reader(
        self, driver: curl.CurlDriver, counters: metrics.Metrics
    ) -> table_reader.TableReader:
        """Returns the reader of the store."""
        timing = self.config.timing
        return reader.StoreReader(
            self.config.platform.store,
            timing.watch_ms,
            timing.watch_settle_ms,
            driver,
            counters,
            timing.service_retry_ms,
        )

    def make_listing(
        self,
        driver: curl.CurlDriver,
        counters: metrics.Metrics,
        handle_instances: dialect.HandleInstances,
    ) -> dialect.InstanceListing:
        """Returns the source of the instance list, which reports the seeds only."""
        return SeedListing(
            self.config.platform.seed_hosts(), self.config.instance.peer_port, handle_instances
        )

    def make_server(self, local_node: node.Node) -> dialect.CallerServer:
        """Returns the HTTP servers, which do not listen yet."""
        listen = self.config.listen
        options = caller_options.make_options(
            local_node,
            self.config.timing.caller_idle_ms,
            functools.partial(callers.make_refusal, local_node),
        )
        connections = caller_connections.make_connections(local_node, options)
        # The load balancer and operators keep their connections whatever callers do.
        others = connections.make_others(CONTROL_CONNECTIONS_MAX)
        control = callers.ControlConnectionDelegate(local_node)
        caller_server = http_servers.FlushingServer(
            callers.CallerConnectionDelegate(local_node), callers=connections
        )
        return PlatformServer(
            {
                listen.callers: caller_server,
                listen.ready: http_servers.FlushingServer(control, callers=others),
                listen.control: http_servers.FlushingServer(control, callers=others),
            }
        )
