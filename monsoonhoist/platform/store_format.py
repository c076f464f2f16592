"""Table format of the platform's store: decodes the configuration and the servers' items."""

import datetime
import math
from collections.abc import Collection, Iterable, Mapping

import msgspec

from monsoonhoist import decoding, errors
from monsoonhoist.core import caller_limits, data, diagnostics, hashing
from monsoonhoist.platform import store_records, wire_names
from monsoonhoist.protocol import messages
from monsoonhoist.tables import evacuations, store

# Rank of a route by its priority, which starts at 0 for the most urgent.
RANK_BY_PRIORITY = data.RANK_ORDER
# Name of the policy that merges the results of gathered requests.
MERGE_POLICY = "greatest-records"
# Longest item of a server, which has a dozen short fields. All instances keep the text.
SERVER_VALUE_LENGTH_MAX = 65_536


class PlatformFormat(store.TableFormat):
    """Builds routes and pools from the configuration and the servers' items.

    A malformed value of a server's item defines no server; an empty value is a removed item.

    Args:
        hedge_budget: Permitted extra calls, as a share of the first calls.
    """

    def __init__(self, hedge_budget: float):
        self._hedge_budget = hedge_budget
        self._config_by_service_name: dict[str, store_records.ServiceConfig] = {}
        self._keys_by_service: dict[data.ServiceId, set[data.TableKey]] = {}

    def is_operator_key(self, key: data.TableKey) -> bool:
        """Returns whether a key is the configuration or another one that operators write."""
        return key.startswith(wire_names.OPERATOR_KEY_PREFIX)

    def evacuated_zone(self, key: data.TableKey) -> data.ZoneId | None:
        """Returns the availability zone that a key evacuates, or None."""
        if not key.startswith(wire_names.EVACUATION_KEY_PREFIX):
            return None
        return data.ZoneId(key.removeprefix(wire_names.EVACUATION_KEY_PREFIX))

    def parse(self, key: data.TableKey, file: str, text: str) -> store.ParsedValue:
        """Parses a value; only a malformed configuration has findings and is rejected."""
        if key.startswith(wire_names.SERVER_KEY_PREFIX):
            return _parse_server(key, file, text)
        zone = self.evacuated_zone(key)
        if zone is not None:
            return evacuations.parse(zone, file, text)
        if key != wire_names.CONFIG_KEY:
            return store.ParsedValue(())
        if len(text.encode()) > store.VALUE_BYTES_MAX:
            message = f"the configuration is longer than {store.VALUE_BYTES_MAX} bytes"
            return store.ParsedValue((diagnostics.Finding(diagnostics.Place(file), message),))
        try:
            config = decoding.decode_json(text, store_records.ConfigValue)
        except errors.MalformedInputError as error:
            return store.ParsedValue((diagnostics.Finding(diagnostics.Place(file), str(error)),))
        findings = tuple(store_records.find_config_problems(file, config))
        return store.ParsedValue(findings, None if findings else config, version=config.version)

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
        if not isinstance(config, store_records.ConfigValue):
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
        zones = tables.evacuated_zones
        if any(key.startswith(wire_names.EVACUATION_KEY_PREFIX) for key in changed_keys):
            zones = evacuations.find_zones(content_by_key)
        return msgspec.structs.replace(tables, pool_by_id=pool_by_id, evacuated_zones=zones)

    def _build_tables(
        self, config: store_records.ConfigValue, content_by_key: Mapping[data.TableKey, object]
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
            for services in service_sets(route_config):
                pool = _make_pool(services, servers_by_service, version, bool(route_config.gather))
                pool_by_id.setdefault(pool.pool_id, pool)
        route_by_id = {
            data.RouteId(route_config.name): _make_route(route_config, self._hedge_budget)
            for route_config in config.routes
        }
        return data.Tables(
            route_by_id,
            pool_by_id,
            evacuations.find_zones(content_by_key),
            _make_request_limits(config.limits),
        )

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
    server_id = key.removeprefix(wire_names.SERVER_KEY_PREFIX)
    if len(text) > SERVER_VALUE_LENGTH_MAX:
        message = f"the item is longer than {SERVER_VALUE_LENGTH_MAX} characters"
        finding = diagnostics.Finding(diagnostics.Place(file), message)
        return store.ParsedValue((), None, (finding,))
    try:
        server_value = decoding.decode_json(text, store_records.ServerValue)
        problem = store_records.find_server_problem(server_id, server_value)
    except errors.MalformedInputError as error:
        problem = str(error)
    if problem is not None:
        return store.ParsedValue((), None, (diagnostics.Finding(diagnostics.Place(file), problem),))
    server = data.Server(
        server_id=data.ServerId(server_id),
        service=data.ServiceId(server_value.service),
        address=server_value.addr,
        zone=data.ZoneId(server_value.zone),
        slots=max(1, server_value.slots),
        connections=store_records.UNLIMITED_CONNECTIONS,
        leaving=server_value.state == "draining",
        incarnation=server_value.born,
        cold_ms=_bound_cold_ms(server_value.warmup_left_ms),
    )
    return store.ParsedValue((), server, progress=_find_progress(server_value))


def _find_progress(server_value: store_records.ServerValue) -> messages.Progress | None:
    """Returns the place of an item among those of its server, or None if it does not tell."""
    # ``True`` is an integer to Python.
    if type(server_value.seq) is not int:
        return None
    if not 0 <= server_value.seq <= store_records.NUMBER_MAX:
        return None
    return messages.Progress(server_value.born, server_value.seq)


def _apply_service_config(
    server: data.Server, service_config: store_records.ServiceConfig | None
) -> data.Server:
    """Returns a server with its service's connection limit, health check path and warm-up."""
    if service_config is None:
        return server
    return msgspec.structs.replace(
        server,
        connections=max(1, service_config.max_conns),
        health_path=service_config.health_path,
        warm_up_seconds=service_config.warm_up_seconds,
        warm_up_rate=service_config.warm_up_rate,
    )


def _bound_cold_ms(stated_ms: float | None) -> int | None:
    """Returns how long a server says that it stays cold, in whole milliseconds within bounds."""
    if stated_ms is None:
        return None
    return math.ceil(min(max(0.0, stated_ms), store_records.COLD_MAX_SECONDS * 1000.0))


def service_sets(route_config: store_records.RouteConfig) -> Iterable[tuple[str, ...]]:
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


def _make_request_limits(limits: store_records.LimitsConfig) -> caller_limits.RequestLimits:
    """Returns the limits for callers' requests; values that are not above 0 state no limit."""
    return caller_limits.RequestLimits(
        body_bytes=max(0, limits.max_body_bytes),
        head_bytes=max(0, limits.max_header_bytes),
        head_timeout=_make_timeout(limits.header_timeout_ms),
        idle_timeout=_make_timeout(limits.idle_timeout_ms),
    )


def _make_timeout(milliseconds: float) -> datetime.timedelta | None:
    if not milliseconds > 0:
        return None
    return datetime.timedelta(milliseconds=min(milliseconds, store_records.DURATION_MAX_MS))


def _make_route(route_config: store_records.RouteConfig, hedge_budget: float) -> data.Route:
    is_gathered = bool(route_config.gather)
    pools = [_make_pool_id(services, is_gathered) for services in service_sets(route_config)]
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
