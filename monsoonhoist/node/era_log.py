"""Log lines about the eras of the configuration service, see ``tables.eras``."""

import logging

from monsoonhoist.tables import eras, store

_log = logging.getLogger(__name__)


def log_newer(era_before: int, table_store: store.TableStore, source: str) -> None:
    """Logs that a newer era has become known, if so.

    Args:
        era_before: The newest era that was known before.
        table_store: Store of the values, which knows the newest era.
        source: Who stated the era, ``service`` or ``peer``.
    """
    era = table_store.eras.newest
    if era == era_before:
        return
    value_count = len(table_store.nonempty_keys())
    extra = {
        "era": era,
        "era_before": era_before,
        "source": source,
        "settle_seconds": round(table_store.eras.seconds_to_settle(), 3),
        "values": value_count,
    }
    if era_before != eras.UNSTATED:
        _log.warning("the configuration service came back from an older copy", extra=extra)
        return
    # With values in force, it may be the first return to an older copy.
    level = logging.WARNING if value_count else logging.INFO
    _log.log(level, "era of the configuration service known", extra=extra)


def log_settled(table_store: store.TableStore) -> None:
    """Logs that the newest era is settled, and that values of earlier ones are read again."""
    newest = table_store.eras.newest
    revision_by_key = table_store.revision_by_key
    earlier_keys = [key for key in table_store.nonempty_keys() if revision_by_key[key].era < newest]
    extra = {"settled_era": newest, "earlier_values": len(earlier_keys)}
    _log.info("values of earlier eras are read again", extra=extra)
