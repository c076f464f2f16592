"""The native dialect: JSON requests, INI tables, and backend calls that are cancelled by name."""

from monsoonhoist import metrics
from monsoonhoist.node import (
    backends,
    config_service,
    curl,
    dialect,
    http_servers,
    node,
    search,
    table_reader,
    web,
)
from monsoonhoist.tables import native, store


class NativeServer(dialect.CallerServer):
    """HTTP server of the native dialect.

    Args:
        server: HTTP server that is not listening yet.
        host: Address to listen on.
        port: Port to listen on.
    """

    def __init__(self, server: http_servers.FlushingServer, host: str, port: int):
        self._server = server
        self._host = host
        self._port = port

    def start(self) -> None:
        """Starts listening."""
        self._server.listen(self._port, address=self._host)

    async def close(self, flush_seconds: float) -> None:
        """Stops listening, and closes all connections once their answers are sent."""
        await self._server.flush_and_close(flush_seconds)


@dialect.register("native")
class NativeDialect(dialect.Dialect):
    """Native interfaces to callers, backend servers and the platform."""

    def make_format(self) -> store.TableFormat:
        """Returns the INI format of tables."""
        return native.NativeFormat()

    def make_protocol(self) -> backends.Protocol:
        """Returns the JSON protocol to backend servers."""
        return search.SearchProtocol(self.config.timing.backend_connect_ms)

    def make_reader(
        self, driver: curl.CurlDriver, counters: metrics.Metrics
    ) -> table_reader.TableReader:
        """Returns the reader of the configuration service."""
        client = self._make_client(driver, counters)
        return config_service.ConfigServiceReader(client, self.config.timing.watch_ms)

    def make_listing(
        self,
        driver: curl.CurlDriver,
        counters: metrics.Metrics,
        handle_instances: dialect.HandleInstances,
    ) -> dialect.InstanceListing:
        """Returns the poller of the instance list."""
        client = self._make_client(driver, counters)
        return config_service.InstancePoller(
            client, self.config.timing.instances_poll_ms, handle_instances
        )

    def make_server(self, local_node: node.Node) -> dialect.CallerServer:
        """Returns the HTTP server, not yet listening."""
        instance = self.config.instance
        return NativeServer(web.make_server(local_node), str(instance.host), instance.http_port)

    def _make_client(
        self, driver: curl.CurlDriver, counters: metrics.Metrics
    ) -> config_service.ConfigServiceClient:
        platform = self.config.platform
        return config_service.ConfigServiceClient(
            platform.config_url, platform.instances_url, driver, counters
        )
