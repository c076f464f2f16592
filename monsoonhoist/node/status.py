"""Status of an instance, as reported to operators."""

import msgspec

from monsoonhoist.core import data
from monsoonhoist.node import node, service_belief
from monsoonhoist.tables import evacuations


class KeyStatus(msgspec.Struct, frozen=True):
    """Key of a table value and its current revision."""

    key: data.TableKey
    number: int
    digest: str


class MemberStatus(msgspec.Struct, frozen=True):
    """Another instance in the view of the reporting instance."""

    instance: data.InstanceId
    zone: data.ZoneId
    state: data.MemberState
    connected: bool


class PoolStatus(msgspec.Struct, frozen=True):
    """A pool of the current tables.

    Attributes:
        pool: The pool.
        services: Number of shards.
        servers: Number of servers.
        leaving: Number of servers that the tables take out of service.
    """

    pool: data.PoolId
    services: int
    servers: int
    leaving: int


class Status(msgspec.Struct, frozen=True):
    """Status of one instance.

    Attributes:
        instance: The instance.
        incarnation: Start of its process, in nanoseconds of wall-clock time.
        phase: Phase of its process's life cycle.
        active: Number of requests and calls in flight.
        tables_digest: Digest of all current revisions, equal on instances with equal tables.
        keys: Keys of the current tables.
        members: Other instances.
        pools: Pools of the current tables.
        findings: A message for each route whose pool is not defined, and for each evacuated zone
            without servers.
        evacuated_zones: Availability zones whose backend servers receive nothing new.
        service: What the instance believes of the configuration service.
    """

    instance: data.InstanceId
    incarnation: data.Incarnation
    phase: str
    active: int
    tables_digest: str
    keys: tuple[KeyStatus, ...]
    members: tuple[MemberStatus, ...]
    pools: tuple[PoolStatus, ...]
    findings: tuple[str, ...]
    evacuated_zones: tuple[data.ZoneId, ...] = ()
    service: service_belief.ServiceStatus = service_belief.ServiceStatus()


def make_status(local_node: "node.Node") -> Status:
    """Returns the status of an instance."""
    store = local_node.replicator.store
    connected = set(local_node.connected_instances())
    return Status(
        instance=local_node.name,
        incarnation=local_node.incarnation,
        phase=local_node.phase.value,
        active=local_node.active,
        tables_digest=store.digest().hex(),
        keys=tuple(
            KeyStatus(revision.key, revision.number, revision.digest.hex())
            for revision in store.revisions()
        ),
        members=tuple(
            MemberStatus(
                member.instance,
                member.zone,
                local_node.members.state_of(member.instance),
                member.instance in connected,
            )
            for member in local_node.members.other_members()
        ),
        pools=tuple(_make_pool_status(pool) for pool in store.tables.pool_by_id.values()),
        findings=tuple(
            f"route {route.route_id}: the pool {route.pool!r} is not defined"
            for route in store.tables.route_by_id.values()
            if route.pool not in store.tables.pool_by_id
        )
        + tuple(
            f"zone {zone}: evacuated, but no pool has a server in it"
            for zone in evacuations.zones_without_servers(store.tables)
        ),
        evacuated_zones=tuple(sorted(store.tables.evacuated_zones)),
        service=local_node.belief.status(),
    )


def _make_pool_status(pool: data.Pool) -> PoolStatus:
    servers = [server for shard in pool.servers_by_service.values() for server in shard]
    leaving = sum(server.leaving for server in servers)
    return PoolStatus(pool.pool_id, len(pool.servers_by_service), len(servers), leaving)
