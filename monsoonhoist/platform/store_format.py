"""Table format of the platform's store: decodes the configuration and the servers' items."""

import datetime
from collections.abc import Collection, Iterable, Mapping

import msgspec

from monsoonhoist.core import data, hashing
from monsoonhoist.platform import wire_names
from monsoonhoist.tables import store

# Rank of a route by its priority, which starts at 0 for the most urgent.
RANK_BY_PRIORITY = data.RANK_ORDER
# Name of the policy that merges the results of gathered requests.
MERGE_POLICY = "greatest-records"
# Connection limit of a server whose service defines none.
UNLIMITED_CONNECTIONS = 10_000


class SplitConfig(msgspec.Struct, frozen=True, rename="pascal"):
    """A service that receives a share of a route's requests, in proportion to its weight."""

    service: str
    weight: float


class RouteConfig(msgspec.Struct, frozen=True, rename="pascal"):
    """A route of the configuration.

    Attributes:
        name: Name of the route.
        host: Host of its requests.
        prefix: Path prefix of its requests.
        type: ``idempotent`` if a request may be repeated. Gathered requests always may.
        timeout_ms: Deadline, in milliseconds.
        goal_ms: Latency goal, in milliseconds; 0 for none.
        priority: Urgency, from 0 for the most urgent.
        attempts: Largest number of backend servers that one request may be sent to, for each shard.
        service: Service that runs the requests, unless ``split`` or ``gather`` names services.
        split: Services among which the requests are divided.
        gather: Services that each receive every request, as shards whose results are merged.
        top_k: Number of merged results.
        min_shard_share: Smallest share of the shards that a merged answer may include.
    """

    name: str
    host: str
    prefix: str
    type: str
    timeout_ms: float
    goal_ms: float = 0.0
    priority: int = 0
    attempts: int = 1
    service: str = ""
    split: tuple[SplitConfig, ...] = ()
    gather: tuple[str, ...] = ()
    top_k: int = 0
    min_shard_share: float = 0.0


class ServiceConfig(msgspec.Struct, frozen=True, rename="pascal"):
    """A service of the configuration.

    Attributes:
        name: Name of the service.
        max_conns: Number of connections that each of its servers accepts.
        health_path: Path of the health check; empty for none.
    """

    name: str
    max_conns: int = UNLIMITED_CONNECTIONS
    health_path: str = ""


class LimitsConfig(msgspec.Struct, frozen=True, rename="pascal"):
    """Limits for callers' requests and connections, in bytes and milliseconds; not used."""

    max_header_bytes: int = 0
    max_body_bytes: int = 0
    header_timeout_ms: float = 0
    idle_timeout_ms: float = 0


class ConfigValue(msgspec.Struct, frozen=True, rename="pascal"):
    """The configuration, which operators write as one value."""

    version: int
    routes: tuple[RouteConfig, ...]
    services: tuple[ServiceConfig, ...] = ()
    limits: LimitsConfig = LimitsConfig()


class ServerValue(msgspec.Struct, frozen=True, rename="pascal"):
    """The value of the item that a backend server publishes about itself.

    Attributes:
        service: Service that the server belongs to.
        addr: ``host:port`` of its HTTP interface.
        zone: Availability zone.
        slots: Number of requests that it processes concurrently.
        state: ``ready`` or ``draining``.
        warmup_left_ms: Remaining time of its warm-up, in milliseconds, which is not used.
    """

    service: str
    addr: str
    zone: str
    slots: int
    state: str
    warmup_left_ms: float = 0


class PlatformFormat(store.TableFormat):
    """Builds routes and pools from the configuration and the servers' items.

    A malformed value of a server's item defines no server; an empty value is a removed item.

    Args:
        hedge_budget: Permitted extra calls, as a share of the first calls.
    """

    def __init__(self, hedge_budget: float):
        self._hedge_budget = hedge_budget
        self._config_by_service_name: dict[str, ServiceConfig] = {}
        self._keys_by_service: dict[data.ServiceId, set[data.TableKey]] = {}

    def parse(self, key: data.TableKey, file: str, text: str) -> store.ParsedValue:
        """Parses a value; only a malformed configuration has findings and is rejected."""
        if key.startswith(wire_names.SERVER_KEY_PREFIX):
            return _parse_server(key, file, text)
        if key != wire_names.CONFIG_KEY:
            return store.ParsedValue(())
        try:
            return store.ParsedValue((), msgspec.json.decode(text, type=ConfigValue))
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            return store.ParsedValue((data.Finding(data.Place(file), str(error)),))

    def update_tables(
        self,
        content_by_key: Mapping[data.TableKey, object],
        changed_keys: Collection[data.TableKey],
        tables: data.Tables,
    ) -> data.Tables:
        """Returns the tables, which stay empty until there is a configuration.

        If only servers' items have changed, the pools of their services are rebuilt and all other
        pools remain the same objects.
        """
        config = content_by_key.get(wire_names.CONFIG_KEY)
        if not isinstance(config, ConfigValue):
            return tables
        if wire_names.CONFIG_KEY in changed_keys or not tables.pool_by_id:
            self._keys_by_service = _group_keys(content_by_key)
            return self._build_tables(config, content_by_key)
        changed_services = self._update_keys_by_service(content_by_key, changed_keys)
        servers_by_service = {
            service: self._make_servers(service, content_by_key) for service in changed_services
        }
        pool_by_id = {
            pool_id: _replace_servers(pool, servers_by_service)
            for pool_id, pool in tables.pool_by_id.items()
        }
        return data.Tables(tables.route_by_id, pool_by_id)

    def _build_tables(
        self, config: ConfigValue, content_by_key: Mapping[data.TableKey, object]
    ) -> data.Tables:
        """Builds all routes and pools."""
        self._config_by_service_name = {
            service_config.name: service_config for service_config in config.services
        }
        servers_by_service = {
            service: self._make_servers(service, content_by_key)
            for service in self._keys_by_service
        }
        version = data.Snapshot(config.version)
        pool_by_id: dict[data.PoolId, data.Pool] = {}
        for route_config in config.routes:
            for services in _service_sets(route_config):
                pool = _make_pool(services, servers_by_service, version, bool(route_config.gather))
                pool_by_id.setdefault(pool.pool_id, pool)
        route_by_id = {
            data.RouteId(route_config.name): _make_route(route_config, self._hedge_budget)
            for route_config in config.routes
        }
        return data.Tables(route_by_id, pool_by_id)

    def _update_keys_by_service(
        self,
        content_by_key: Mapping[data.TableKey, object],
        changed_keys: Collection[data.TableKey],
    ) -> set[data.ServiceId]:
        """Assigns changed items to their services; returns the services they left or joined."""
        changed_services: set[data.ServiceId] = set()
        for service, keys in self._keys_by_service.items():
            if not keys.isdisjoint(changed_keys):
                keys.difference_update(changed_keys)
                changed_services.add(service)
        for service, keys in _group_keys(
            {key: content_by_key.get(key) for key in changed_keys}
        ).items():
            self._keys_by_service.setdefault(service, set()).update(keys)
            changed_services.add(service)
        return changed_services

    def _make_servers(
        self,
        service: data.ServiceId,
        content_by_key: Mapping[data.TableKey, object],
    ) -> tuple[data.Server, ...]:
        """Returns the servers of a service, ordered by id, with the service's settings applied."""
        service_config = self._config_by_service_name.get(service)
        servers = [
            _apply_service_config(content_by_key[key], service_config)
            for key in self._keys_by_service[service]
        ]
        return tuple(sorted(servers, key=lambda server: server.server_id))


def _group_keys(
    content_by_key: Mapping[data.TableKey, object],
) -> dict[data.ServiceId, set[data.TableKey]]:
    """Returns the keys of the items that define a server, grouped by service."""
    keys_by_service: dict[data.ServiceId, set[data.TableKey]] = {}
    for key, content in content_by_key.items():
        if isinstance(content, data.Server):
            keys_by_service.setdefault(content.service, set()).add(key)
    return keys_by_service


def _replace_servers(
    pool: data.Pool, servers_by_service: Mapping[data.ServiceId, tuple[data.Server, ...]]
) -> data.Pool:
    """Returns a pool with the new servers, or the same object if it has none of the services."""
    new_servers_by_service = {
        service: servers
        for service, servers in servers_by_service.items()
        if service in pool.servers_by_service
    }
    if not new_servers_by_service:
        return pool
    return msgspec.structs.replace(
        pool, servers_by_service={**pool.servers_by_service, **new_servers_by_service}
    )


def _parse_server(key: data.TableKey, file: str, text: str) -> store.ParsedValue:
    """Parses a server's value; a malformed one is accepted with a warning and defines no server."""
    if not text:
        return store.ParsedValue(())
    try:
        server_value = msgspec.json.decode(text, type=ServerValue)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return store.ParsedValue((), None, (data.Finding(data.Place(file), str(error)),))
    if server_value.state not in ("ready", "draining"):
        finding = data.Finding(data.Place(file), f"unknown state {server_value.state!r}")
        return store.ParsedValue((), None, (finding,))
    server = data.Server(
        server_id=data.ServerId(key.removeprefix(wire_names.SERVER_KEY_PREFIX)),
        service=data.ServiceId(server_value.service),
        address=server_value.addr,
        zone=data.ZoneId(server_value.zone),
        slots=max(1, server_value.slots),
        connections=UNLIMITED_CONNECTIONS,
        leaving=server_value.state == "draining",
    )
    return store.ParsedValue((), server)


def _apply_service_config(server: data.Server, service_config: ServiceConfig | None) -> data.Server:
    """Returns a server with its service's connection limit and health check path."""
    if service_config is None:
        return server
    return msgspec.structs.replace(
        server, connections=service_config.max_conns, health_path=service_config.health_path
    )


def _service_sets(route_config: RouteConfig) -> Iterable[tuple[str, ...]]:
    """Returns the sets of services of a route; each request is sent to one of the sets.

    A route with ``gather`` has one set, in which each service is a shard and receives a
    sub-request. The sets of other routes have one service each.
    """
    if route_config.gather:
        return (tuple(sorted(set(route_config.gather))),)
    if route_config.split:
        return tuple((split.service,) for split in route_config.split)
    return ((route_config.service,),)


def _make_pool_id(services: tuple[str, ...], is_gathered: bool) -> data.PoolId:
    """Returns the id of the pool for a set of services; equal sets have equal ids."""
    if not is_gathered:
        return data.PoolId(f"service/{services[0]}")
    return data.PoolId(f"set/{hashing.stable_hash(*services):016x}")


def _make_pool(
    services: tuple[str, ...],
    servers_by_service: Mapping[data.ServiceId, tuple[data.Server, ...]],
    version: data.Snapshot,
    is_gathered: bool,
) -> data.Pool:
    return data.Pool(
        pool_id=_make_pool_id(services, is_gathered),
        key_space=len(services),
        servers_by_service={
            data.ServiceId(service): servers_by_service.get(data.ServiceId(service), ())
            for service in services
        },
        snapshot=version,
        merge=MERGE_POLICY,
    )


def _make_route(route_config: RouteConfig, hedge_budget: float) -> data.Route:
    is_gathered = bool(route_config.gather)
    pools = [_make_pool_id(services, is_gathered) for services in _service_sets(route_config)]
    return data.Route(
        route_id=data.RouteId(route_config.name),
        rank=RANK_BY_PRIORITY[min(max(0, route_config.priority), len(RANK_BY_PRIORITY) - 1)],
        pool=pools[0],
        repeatable=route_config.type == "idempotent" or is_gathered,
        deadline=datetime.timedelta(milliseconds=route_config.timeout_ms),
        minimum_coverage=route_config.min_shard_share if is_gathered else 1.0,
        hedge_budget=hedge_budget,
        goal=datetime.timedelta(milliseconds=route_config.goal_ms)
        if route_config.goal_ms
        else None,
        attempts=max(1, route_config.attempts),
        results=max(1, route_config.top_k),
        passes_response=not is_gathered,
        match=data.PathMatch(route_config.host, route_config.prefix),
        splits=tuple(
            data.Split(_make_pool_id((split.service,), False), split.weight)
            for split in route_config.split
        ),
    )
