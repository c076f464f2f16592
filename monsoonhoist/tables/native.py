"""Table format of the native dialect: operators write the tables as INI text."""

from collections.abc import Collection, Mapping

from monsoonhoist.core import data, diagnostics
from monsoonhoist.tables import evacuations, pools, routes, store

# Prefix of the keys that each evacuate the availability zone that they name.
EVACUATION_KEY_PREFIX = "evacuate/"


class NativeFormat(store.TableFormat):
    """Table format with one value for all routes, and one or more values for each pool."""

    def is_operator_key(self, key: data.TableKey) -> bool:
        """Returns whether a key is none of a pool, which can have many and long ones."""
        return not pools.is_pool_key(key)

    def bars_replaced_values(self, key: data.TableKey) -> bool:
        """Returns whether a key is that of a table, not of an evacuation."""
        return not key.startswith(EVACUATION_KEY_PREFIX)

    def parse(self, key: data.TableKey, file: str, text: str) -> store.ParsedValue:
        """Parses and validates a value."""
        return parse(key, file, text)

    def evacuated_zone(self, key: data.TableKey) -> data.ZoneId | None:
        """Returns the availability zone that a key evacuates, or None."""
        if not key.startswith(EVACUATION_KEY_PREFIX):
            return None
        return data.ZoneId(key.removeprefix(EVACUATION_KEY_PREFIX))

    def update_tables(
        self,
        content_by_key: Mapping[data.TableKey, object],
        changed_keys: Collection[data.TableKey],
        tables: data.Tables,
    ) -> data.Tables:
        """Replaces the table of routes if it has changed, and rebuilds the changed pools."""
        route_by_id = tables.route_by_id
        if routes.TABLE_KEY in changed_keys:
            route_by_id = content_by_key[routes.TABLE_KEY].route_by_id
        pool_by_id = dict(tables.pool_by_id)
        for pool_id in {pools.pool_id_of(key) for key in changed_keys if pools.is_pool_key(key)}:
            parts = [
                content_by_key[key]
                for key in sorted(content_by_key)
                if pools.is_pool_key(key) and pools.pool_id_of(key) == pool_id
            ]
            pool_by_id[pool_id] = pools.merge_parts(pool_id, parts)
        zones = tables.evacuated_zones
        if any(key.startswith(EVACUATION_KEY_PREFIX) for key in changed_keys):
            zones = evacuations.find_zones(content_by_key)
        return data.Tables(route_by_id, pool_by_id, zones)


def parse(key: data.TableKey, file: str, text: str) -> store.ParsedValue:
    """Parses and validates a value; the result depends on the value alone."""
    if len(text.encode()) > store.VALUE_BYTES_MAX:
        message = f"the value is larger than {store.VALUE_BYTES_MAX} bytes"
        return store.ParsedValue((diagnostics.Finding(diagnostics.Place(file), message),))
    if key == routes.TABLE_KEY:
        table = routes.parse(file, text)
        return store.ParsedValue(table.findings, table)
    if pools.is_pool_key(key):
        part = pools.parse(key, file, text)
        return store.ParsedValue(part.findings, part)
    if key.startswith(EVACUATION_KEY_PREFIX):
        zone = data.ZoneId(key.removeprefix(EVACUATION_KEY_PREFIX))
        return evacuations.parse(zone, file, text)
    message = f"the key {key!r} is neither routes nor a pool, and evacuates no zone"
    return store.ParsedValue((diagnostics.Finding(diagnostics.Place(file), message),))
