"""Operators and servers that write to a store, and write again what it has lost."""

import asyncio
import json

import msgspec

from features import store_values

CONFIG_KEY = "op/config"
EVACUATION_KEY_PREFIX = "op/evacuate/"
SERVER_KEY_PREFIX = "servers/"
# Time after which a server writes an item again that the store has removed.
EXPIRED_SECONDS = 1.5


class Server(msgspec.Struct):
    """A server as it is.

    Attributes:
        key: Key of its item.
        born: Number of its process.
        state: State that it reports; empty once it has left.
        sequence: Number of its latest item.
        kept_from: Number from which on its items stay in force while it lives.
    """

    key: str
    born: int = 1
    state: str = "ready"
    sequence: int = 0
    kept_from: int = 0

    def make_item(self):
        """Returns its next item, or None if it has left."""
        if not self.state:
            return None
        self.sequence += 1
        fields = {"Seq": self.sequence, "State": self.state, "born": self.born, "Id": self.key}
        return json.dumps(store_values.SERVER_ITEM | fields)


class Writers:
    """The operator and the servers.

    Args:
        store: The store.
        server_count: Number of servers.

    Attributes:
        version: Version of the newest configuration.
        zones: Zones that the operator wants evacuated.
        servers: The servers.
    """

    def __init__(self, store, server_count):
        self.version = 1
        self.zones = set()
        self.servers = [Server(f"{SERVER_KEY_PREFIX}s{number}") for number in range(server_count)]
        self._known_zones = set()
        self._store = store
        self._pending = set()

    @property
    def has_pending(self):
        """Whether anything lost is still to be written again."""
        return bool(self._pending)

    def write_all(self):
        """Writes whatever the store does not have."""
        for write in self._writes():
            write()

    def write_later(self, delays):
        """Writes whatever the store does not have, each writer after a delay of its own.

        Args:
            delays: Delays in seconds, used in turn.
        """
        for number, write in enumerate(self._writes()):
            self._write_soon(delays[number % len(delays)], write)

    def _write_soon(self, delay, write):
        token = object()
        self._pending.add(token)
        asyncio.get_running_loop().call_later(delay, self._write_pending, token, write)

    def _write_pending(self, token, write):
        self._pending.discard(token)
        write()

    def _writes(self):
        writes = [self.write_config]
        writes += [lambda zone=zone: self.write_zone(zone) for zone in sorted(self._known_zones)]
        writes += [lambda server=server: self.write_server(server) for server in self.servers]
        return writes

    def write_config(self):
        """Writes the newest configuration unless the store has it."""
        self._write(CONFIG_KEY, store_values.make_config(self.version))

    def write_zone(self, zone):
        """Sets or lifts the evacuation of a zone unless the store has it so."""
        self._known_zones.add(zone)
        self._write(EVACUATION_KEY_PREFIX + zone, "{}" if zone in self.zones else None)

    def write_server(self, server):
        """Writes a server's item; the store changes if more than its number does."""
        change = self._store.latest_changes().get(server.key)
        if change is not None and server.state:
            item = json.loads(change.text)
            if (item["born"], item["State"]) == (server.born, server.state):
                server.sequence += 1
                return
        self._write(server.key, server.make_item())

    def expire(self, server):
        """Lets the store remove the item of a server; one that lives writes it again in time."""
        if server.key in self._store.latest_changes():
            self._write(server.key, None)
            self._write_soon(EXPIRED_SECONDS, lambda: self.write_server(server))

    def _write(self, key, text):
        if self._store.is_away:
            return
        change = self._store.latest_changes().get(key)
        if (change.text if change is not None else None) != text:
            self._store.write(key, text)
