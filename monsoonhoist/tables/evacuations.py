"""Keys by which operators evacuate availability zones.

The presence of a key is what counts: its value is only checked, and a wrong one is a warning. An
empty text is a key that was removed, as for all other keys.
"""

from collections.abc import Iterable, Mapping

import msgspec

from monsoonhoist import decoding, errors
from monsoonhoist.core import data, diagnostics
from monsoonhoist.tables import store

# Text that replaces an empty or unreadable value, since an empty one stands for a removed key.
UNREADABLE_TEXT = "?"


class Evacuation(msgspec.Struct, frozen=True):
    """Content of an evacuation key: the zone that it names."""

    zone: data.ZoneId


def parse(zone: data.ZoneId, file: str, text: str) -> store.ParsedValue:
    """Returns the evacuation of a zone, or nothing if the text is that of a removed key.

    Args:
        zone: The zone that the key names; empty if it names none, which is an error.
        file: Source name used in findings.
        text: The value.
    """
    if not text:
        return store.ParsedValue(())
    place = diagnostics.Place(file)
    if not zone:
        return store.ParsedValue((diagnostics.Finding(place, "the key names no zone"),))
    try:
        decoding.decode_json(text, dict)
        warnings: tuple[diagnostics.Finding, ...] = ()
    except errors.MalformedInputError:
        message = "the value is empty or unreadable; the zone is evacuated all the same"
        warnings = (diagnostics.Finding(place, message),)
    return store.ParsedValue((), Evacuation(zone), warnings)


def find_zones(content_by_key: Mapping[data.TableKey, object]) -> frozenset[data.ZoneId]:
    """Returns the zones that are evacuated by any of the keys."""
    return frozenset(
        content.zone for content in content_by_key.values() if isinstance(content, Evacuation)
    )


def zones_without_servers(tables: data.Tables) -> tuple[data.ZoneId, ...]:
    """Returns the evacuated zones in which no pool has a server, sorted."""
    return find_zones_without_servers(tables.evacuated_zones, tables.pool_by_id.values())


def find_zones_without_servers(
    zones: Iterable[data.ZoneId], pools: Iterable[data.Pool]
) -> tuple[data.ZoneId, ...]:
    """Returns those of the zones in which none of the pools has a server, sorted."""
    served_zones = {
        server.zone
        for pool in pools
        for servers in pool.servers_by_service.values()
        for server in servers
    }
    return tuple(sorted(set(zones) - served_zones))
