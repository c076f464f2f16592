"""Log lines about availability zones that operators evacuate and put back in service."""

import logging
from collections.abc import Callable, Iterable

from monsoonhoist.core import data
from monsoonhoist.protocol import messages
from monsoonhoist.tables import evacuations, store

_log = logging.getLogger(__name__)


class EvacuationLog:
    """Logs the changes of the evacuated zones.

    Args:
        table_format: Tells which keys evacuate a zone.
        latest_read: Returns the latest known read of the configuration service, whose age bounds
            that of a value received from a peer.
    """

    def __init__(
        self,
        table_format: store.TableFormat,
        latest_read: Callable[[], messages.ConfigReadReport | None],
    ):
        self._zone_of = table_format.evacuated_zone
        self._latest_read = latest_read
        self._zones: frozenset[data.ZoneId] = frozenset()

    def record(
        self, revisions: Iterable[messages.Revision], tables: data.Tables, source: str
    ) -> None:
        """Logs what new values have changed.

        Args:
            revisions: Revisions that have come into force.
            tables: The tables with these revisions.
            source: Where the values are from, ``service`` or ``peer``.
        """
        if tables.evacuated_zones == self._zones:
            return
        number_by_zone = {
            zone: revision.number for revision in revisions if (zone := self._zone_of(revision.key))
        }
        report = self._latest_read()
        age_ms = 0 if source == "service" else report.age_ms if report is not None else None
        for zone in sorted(tables.evacuated_zones ^ self._zones):
            is_evacuated = zone in tables.evacuated_zones
            extra = {"zone": zone, "number": number_by_zone.get(zone), "source": source}
            message = "zone evacuated" if is_evacuated else "zone back in service"
            _log.info(message, extra={**extra, "age_ms": age_ms})
        unserved_zones = evacuations.zones_without_servers(tables)
        for zone in sorted(set(unserved_zones) - self._zones):
            _log.warning("evacuated zone has no servers", extra={"zone": zone})
        self._zones = tables.evacuated_zones
