"""Values of the platform's store, as operators and backend servers write them, and their checks."""

import math
import re
from collections.abc import Iterator

import msgspec

from monsoonhoist import addresses
from monsoonhoist.core import diagnostics

# Connection limit of a server whose service defines none.
UNLIMITED_CONNECTIONS = 10_000
SLOTS_MAX = 10_000
CONNECTIONS_MAX = 1_000_000
# Upper bound of numbers that are sent to other instances.
NUMBER_MAX = 2**62
# Longest time that a server is believed to stay cold, and most requests per second of a cold one.
COLD_MAX_SECONDS = 3600
WARM_UP_RATE_MAX = 1_000_000
# Longest timeout and latency goal of a route: one day.
DURATION_MAX_MS = 86_400_000
# Ids are sent in a header, and paths in a request line, so that they contain neither spaces nor
# control characters.
_TOKEN_PATTERN = re.compile(r"[!-~]{1,200}")


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
        warm_up_seconds: How long a server is cold after a start while there is traffic.
        warm_up_rate: Requests per second that a cold server may receive; 0 for no limit.
    """

    name: str
    max_conns: int = UNLIMITED_CONNECTIONS
    health_path: str = ""
    warm_up_seconds: float = msgspec.field(name="WarmupS", default=0.0)
    warm_up_rate: float = msgspec.field(name="WarmupPerS", default=0.0)


class LimitsConfig(msgspec.Struct, frozen=True, rename="pascal"):
    """Limits for callers' requests and connections, in bytes and milliseconds; 0 for none."""

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
        warmup_left_ms: Remaining time of its warm-up, in milliseconds; None if it is not stated.
        seq: Number of the item among those of its process; only a whole number from 0 to
            ``NUMBER_MAX`` counts.
        born: Start of its process, in milliseconds since the Unix epoch; 0 if it is not stated.
    """

    service: str
    addr: str
    zone: str
    slots: int
    state: str
    warmup_left_ms: float | None = None
    seq: object = None
    born: int = msgspec.field(name="born", default=0)


def find_server_problem(server_id: str, server_value: ServerValue) -> str | None:
    """Returns why a server's item cannot be used, or None."""
    if not _TOKEN_PATTERN.fullmatch(server_id):
        return f"the id {server_id!r} cannot be sent in a header"
    if server_value.state not in ("ready", "draining"):
        return f"unknown state {server_value.state!r}"
    if server_value.slots > SLOTS_MAX:
        return f"Slots is larger than {SLOTS_MAX}"
    if not 0 <= server_value.born <= NUMBER_MAX:
        return f"born is not from 0 to {NUMBER_MAX}"
    return addresses.find_problem(server_value.addr)


def find_config_problems(file: str, config: ConfigValue) -> Iterator[diagnostics.Finding]:
    """Yields the errors of a configuration whose fields have the right types."""
    if not 0 <= config.version <= NUMBER_MAX:
        yield diagnostics.Finding(diagnostics.Place(file), f"Version is not from 0 to {NUMBER_MAX}")
    for route_config in config.routes:
        for message in _find_route_problems(route_config):
            yield diagnostics.Finding(
                diagnostics.Place(file, f"route {route_config.name}"), message
            )
    for service_config in config.services:
        place = diagnostics.Place(file, f"service {service_config.name}")
        if not 0 <= service_config.max_conns <= CONNECTIONS_MAX:
            yield diagnostics.Finding(place, f"MaxConns is not from 0 to {CONNECTIONS_MAX}")
        if not 0 <= service_config.warm_up_seconds <= COLD_MAX_SECONDS:
            yield diagnostics.Finding(place, f"WarmupS is not from 0 to {COLD_MAX_SECONDS}")
        if not 0 <= service_config.warm_up_rate <= WARM_UP_RATE_MAX:
            yield diagnostics.Finding(place, f"WarmupPerS is not from 0 to {WARM_UP_RATE_MAX}")
        path = service_config.health_path
        if path and not _TOKEN_PATTERN.fullmatch(path):
            yield diagnostics.Finding(place, f"HealthPath {path!r} is not a path")


def _find_route_problems(route_config: RouteConfig) -> Iterator[str]:
    """Yields the errors of a route."""
    if not 0 < route_config.timeout_ms <= DURATION_MAX_MS:
        yield f"TimeoutMs is not above 0 and at most {DURATION_MAX_MS}"
    if not 0 <= route_config.goal_ms <= DURATION_MAX_MS:
        yield f"GoalMs is not from 0 to {DURATION_MAX_MS}"
    for name in ("attempts", "top_k"):
        if not 0 <= getattr(route_config, name) <= NUMBER_MAX:
            yield f"{name} is not from 0 to {NUMBER_MAX}"
    if not 0 <= route_config.min_shard_share <= 1:
        yield "MinShardShare is not from 0 to 1"
    weights = [split.weight for split in route_config.split]
    if not all(0 <= weight < math.inf for weight in weights) or (weights and sum(weights) <= 0):
        yield "the weights of Split are not all finite and at least 0, or none is above 0"
