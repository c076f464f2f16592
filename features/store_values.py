"""Values of the store for tests, and a store that keeps the findings about them."""

import itertools
import json

from monsoonhoist.core import data
from monsoonhoist.protocol import messages
from monsoonhoist.tables import store

SERVER_ITEM = {
    "Service": "s",
    "Addr": "10.0.0.1:80",
    "Zone": "z",
    "Slots": 2,
    "State": "ready",
    "Seq": 1,
    "born": 5,
}
ROUTE = {
    "Name": "r",
    "Host": "h",
    "Prefix": "/r/",
    "Type": "idempotent",
    "TimeoutMs": 1000,
    "Service": "s",
}


def make_config(version, **fields):
    """Returns a configuration with one route."""
    return json.dumps({"Version": version, "Routes": [ROUTE | fields], "Services": []})


class StoreHarness:
    """A table store that keeps the findings of the values that it was offered.

    Attributes:
        store: The store.
        findings: Findings of all values, as text.
    """

    def __init__(self, table_format):
        self.store = store.TableStore(table_format)
        self.findings = []
        self._numbers = itertools.count(1)

    def offer(self, key, text):
        """Offers a value with the next number."""
        value = messages.TableValue(data.TableKey(key), next(self._numbers), text)
        result = self.store.offer(value)
        self.findings += [finding.describe() for finding in result.findings]
        self.store.apply_accepted()
