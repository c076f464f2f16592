"""Validates table files before they are published."""

import datetime
import pathlib
from collections.abc import Iterator

import msgspec

from monsoonhoist.core import data, diagnostics
from monsoonhoist.tables import config_review, native, pools, routes


def review_files(
    routes_path: pathlib.Path | None,
    pool_specs: tuple[str, ...],
    evacuated_zones: tuple[data.ZoneId, ...] = (),
) -> tuple[diagnostics.Finding, ...]:
    """Returns all errors in the files, including routes whose pool is not among the files.

    Args:
        routes_path: File with the table of routes, or None.
        pool_specs: ``NAME=FILE`` for each pool. Without any, the pools of routes are not checked.
        evacuated_zones: Availability zones that are to be evacuated.
    """
    findings: list[diagnostics.Finding] = []
    parts: list[pools.PoolPart] = []
    for spec in pool_specs:
        name, separator, file = spec.partition("=")
        if not separator:
            findings.append(
                diagnostics.Finding(diagnostics.Place(spec), "must be written NAME=FILE")
            )
            continue
        key = data.TableKey(f"{pools.KEY_PREFIX}{name}")
        text = _read_file(file, findings)
        if text is not None:
            parsed = native.parse(key, file, text)
            findings.extend(parsed.findings)
            if isinstance(parsed.content, pools.PoolPart):
                parts.append(parsed.content)
    if routes_path is not None:
        text = _read_file(str(routes_path), findings)
        if text is not None:
            parsed = native.parse(routes.TABLE_KEY, str(routes_path), text)
            findings.extend(parsed.findings)
            if pool_specs and isinstance(parsed.content, routes.RoutesTable):
                findings.extend(_find_undefined_pools(str(routes_path), parsed.content, parts))
    findings.extend(_find_evacuation_problems(evacuated_zones, parts))
    return tuple(findings)


def compare_routes(
    path: pathlib.Path, path_in_force: pathlib.Path
) -> tuple[tuple[config_review.ReviewFinding, ...], tuple[diagnostics.Finding, ...]]:
    """Compares a table of routes with the one in force.

    Args:
        path: File with the new table, whose errors ``review_files`` reports.
        path_in_force: File with the table in force.

    Returns:
        The differences, and the errors of the table in force. There are no differences if one of
        the tables has errors.
    """
    findings: list[diagnostics.Finding] = []
    text_in_force = _read_file(str(path_in_force), findings)
    if text_in_force is None:
        return (), tuple(findings)
    table_in_force = routes.parse(str(path_in_force), text_in_force)
    text = _read_file(str(path), [])
    table = routes.parse(str(path), text or "")
    if table_in_force.findings or table.findings or text is None:
        return (), table_in_force.findings
    differences = config_review.find_differences(
        tuple(_list_entries(table_in_force)), tuple(_list_entries(table))
    )
    return tuple(difference.locate(str(path)) for difference in differences), ()


def _list_entries(table: routes.RoutesTable) -> Iterator[config_review.Entry]:
    """Yields the routes with their options; durations are in milliseconds."""
    for route_id, model in table.model_by_id.items():
        value_by_option = {
            option: value // datetime.timedelta(milliseconds=1)
            if isinstance(value, datetime.timedelta)
            else value
            for option, value in msgspec.structs.asdict(model).items()
        }
        yield config_review.Entry(config_review.EntryKind.ROUTE, route_id, value_by_option)


def _find_evacuation_problems(
    zones: tuple[data.ZoneId, ...], parts: list[pools.PoolPart]
) -> list[diagnostics.Finding]:
    """Returns a finding for each zone without servers, and each shard without other servers."""
    findings = [
        diagnostics.Finding(
            diagnostics.Place(f"{native.EVACUATION_KEY_PREFIX}{zone}"), "no pool has a server in it"
        )
        for zone in zones
        if not any(server.zone == zone for part in parts for server in part.servers)
    ]
    zones_by_shard: dict[tuple[data.PoolId, data.ServiceId], set[data.ZoneId]] = {}
    for part in parts:
        for server in part.servers:
            shard_zones = zones_by_shard.setdefault((part.pool_id, server.service), set())
            shard_zones.add(server.zone)
    findings.extend(
        diagnostics.Finding(
            diagnostics.Place(f"{pools.KEY_PREFIX}{pool_id}"),
            f"all servers of the shard {service!r} are in zones to be evacuated",
        )
        for (pool_id, service), shard_zones in sorted(zones_by_shard.items())
        if shard_zones <= set(zones)
    )
    return findings


def _read_file(file: str, findings: list[diagnostics.Finding]) -> str | None:
    """Returns the text of a file, or None after adding a finding if it cannot be read."""
    try:
        return pathlib.Path(file).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        findings.append(diagnostics.Finding(diagnostics.Place(file), f"cannot be read: {error}"))
        return None


def _find_undefined_pools(
    file: str, table: routes.RoutesTable, parts: list[pools.PoolPart]
) -> list[diagnostics.Finding]:
    """Returns a finding for each route whose pool is not defined by any of the parts."""
    defined_pools = {part.pool_id for part in parts}
    return [
        diagnostics.Finding(
            diagnostics.Place(file, f"route {route.route_id}"),
            f"the pool {route.pool!r} is not among the pools given",
        )
        for route in table.route_by_id.values()
        if route.pool not in defined_pools
    ]
