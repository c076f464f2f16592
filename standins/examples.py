"""Writes the example tables of two deployments, in the sizes that their users have.

Usage: ``python -m standins.examples``. It overwrites the files in the folder ``examples``.
"""

import pathlib

import msgspec

ROOT = pathlib.Path(__file__).resolve().parent.parent / "examples"
KEY_SPACE = 65_536


class PoolShape(msgspec.Struct, frozen=True):
    """Size of a pool.

    Attributes:
        name: Name of the pool.
        services: Number of shards.
        replicas: Number of backend servers of each shard.
        slots: Number of slots of each server.
        connections: Maximum number of connections of each server.
        first_port: Port of the first server; the others follow in order.
    """

    name: str
    services: int
    replicas: int
    slots: int
    connections: int
    first_port: int


class SiteShape(msgspec.Struct, frozen=True):
    """Tables of a deployment.

    Attributes:
        name: Folder under ``examples``.
        zones: Availability zones, assigned to the servers in turn.
        pools: Sizes of the pools.
        routes: INI text of the table of routes.
    """

    name: str
    zones: tuple[str, ...]
    pools: tuple[PoolShape, ...]
    routes: str


ZURICHSEE = SiteShape(
    name="zurichsee",
    zones=("wollishofen", "kuesnacht", "waedenswil"),
    pools=(
        PoolShape("allocator", 20, 2, 2, 25, 21000),
        PoolShape("roster", 30, 2, 2, 25, 21100),
        PoolShape("boathouse", 1, 3, 4, 100, 21200),
        PoolShape("notify", 1, 3, 4, 100, 21210),
    ),
    routes="""\
; Routes of the club. The settings favour short latency tails of urgent requests.

[route slot-finder]
rank = urgent
pool = allocator
deadline_ms = 600
minimum_coverage = 0.9
partial_after_ms = 80
hedge_budget = 0.05

[route crew-matcher]
rank = urgent
pool = roster
deadline_ms = 600
minimum_coverage = 0.9
partial_after_ms = 80
hedge_budget = 0.05

[route boat-search]
rank = normal
pool = allocator
deadline_ms = 1500
minimum_coverage = 0.5
hedge_budget = 0.02

[route repair-log]
rank = background
pool = allocator
deadline_ms = 3000
minimum_coverage = 0.5
hedge_budget = 0.0

[route book-boat]
rank = urgent
pool = boathouse
repeatable = no
deadline_ms = 2000

[route notify-crew]
rank = normal
pool = notify
repeatable = no
deadline_ms = 5000
""",
)

TASMANIA = SiteShape(
    name="tasmania-south",
    zones=("hobart", "huon", "derwent-valley", "tasman"),
    pools=(
        PoolShape("bakery-desk", 20, 2, 2, 25, 22000),
        PoolShape("member-ledger", 30, 2, 2, 25, 22100),
        PoolShape("kiln-archive", 1, 4, 6, 50, 22200),
        PoolShape("clay-supply", 1, 4, 6, 50, 22210),
    ),
    routes="""\
; Routes of the co-operative. The settings favour coverage at little additional load.

[route crock-match]
rank = urgent
pool = bakery-desk
deadline_ms = 1500
minimum_coverage = 0.98
hedge_budget = 0.02

[route standing-orders]
rank = normal
pool = member-ledger
deadline_ms = 3000
minimum_coverage = 0.98
hedge_budget = 0.02

[route archive-browse]
rank = background
pool = kiln-archive
deadline_ms = 5000
minimum_coverage = 0.5
hedge_budget = 0.0

[route ledger-browse]
rank = background
pool = member-ledger
deadline_ms = 5000
minimum_coverage = 0.5
hedge_budget = 0.0

[route order-crock]
rank = urgent
pool = clay-supply
repeatable = no
deadline_ms = 3000
""",
)

SITES = (ZURICHSEE, TASMANIA)


def pool_text(shape: PoolShape, zones: tuple[str, ...]) -> str:
    """Returns the INI text of the table of a pool."""
    blocks = [f"[pool]\nkey_space = {KEY_SPACE}\n"]
    port = shape.first_port
    for number in range(1, shape.services + 1):
        service = f"{shape.name}-{number:02d}" if shape.services > 1 else shape.name
        for replica in range(shape.replicas):
            zone = zones[(number + replica) % len(zones)]
            letter = "abcdefgh"[replica]
            blocks.append(
                f"[server {service}-{letter}]\n"
                f"service = {service}\n"
                f"address = 127.0.0.1:{port}\n"
                f"zone = {zone}\n"
                f"slots = {shape.slots}\n"
                f"connections = {shape.connections}\n"
            )
            port += 1
    return "\n".join(blocks)


def main() -> None:
    """Writes all example tables."""
    for site in SITES:
        folder = ROOT / site.name
        (folder / "pools").mkdir(parents=True, exist_ok=True)
        (folder / "routes.ini").write_text(site.routes, encoding="utf-8")
        for shape in site.pools:
            text = pool_text(shape, site.zones)
            (folder / "pools" / f"{shape.name}.ini").write_text(text, encoding="utf-8")


if __name__ == "__main__":
    main()
