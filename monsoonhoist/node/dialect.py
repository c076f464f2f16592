"""Interfaces of an instance to callers, to backend servers and to the platform.

A dialect is a plug-in that implements these interfaces. Its module registers a class when
it is imported; only the module of the dialect named in the settings is imported.
"""

import abc
import importlib
from collections.abc import Callable

from monsoonhoist import errors, metrics, settings
from monsoonhoist.fleet import membership
from monsoonhoist.node import backends, curl, table_reader
from monsoonhoist.tables import store

MODULE_BY_NAME = {
    "native": "monsoonhoist.node.native",
    "platform": "monsoonhoist.platform.dialect",
}

HandleInstances = Callable[[tuple[membership.ListedInstance, ...]], None]


class InstanceListing(abc.ABC):
    """Source of the list of instances, from the platform or from the settings."""

    @abc.abstractmethod
    def start(self) -> None:
        """Starts to deliver the list."""

    @abc.abstractmethod
    def stop(self) -> None:
        """Stops delivering the list."""


class CallerServer(abc.ABC):
    """Servers of an instance for callers, the load balancer and operators."""

    @abc.abstractmethod
    def start(self) -> None:
        """Starts listening."""

    @abc.abstractmethod
    async def close(self, flush_seconds: float) -> None:
        """Stops listening, and closes all connections once their answers are sent.

        Args:
            flush_seconds: Most time to wait for callers to receive their answers, in seconds.
        """


class Dialect(abc.ABC):
    """Creates the parts of an instance that depend on the dialect.

    The streams between instances are the same in all dialects.

    Args:
        config: Settings of the instance.
    """

    def __init__(self, config: settings.Settings):
        self.config = config

    @abc.abstractmethod
    def make_format(self) -> store.TableFormat:
        """Returns the format in which the tables are written."""

    @abc.abstractmethod
    def make_protocol(self) -> backends.Protocol:
        """Returns the protocol to backend servers."""

    @abc.abstractmethod
    def make_reader(
        self, driver: curl.CurlDriver, counters: metrics.Metrics
    ) -> table_reader.TableReader:
        """Returns the reader of the configuration service."""

    @abc.abstractmethod
    def make_listing(
        self, driver: curl.CurlDriver, counters: metrics.Metrics, handle_instances: HandleInstances
    ) -> InstanceListing:
        """Returns the source of the instance list, which calls ``handle_instances``."""

    @abc.abstractmethod
    def make_server(self, local_node: object) -> CallerServer:
        """Returns the servers of a node, not yet listening."""


_class_by_name: dict[str, type[Dialect]] = {}


def register(name: str) -> Callable[[type[Dialect]], type[Dialect]]:
    """Returns a decorator that registers a dialect under a name."""

    def decorate(dialect_class: type[Dialect]) -> type[Dialect]:
        _class_by_name[name] = dialect_class
        return dialect_class

    return decorate


def make_dialect(config: settings.Settings) -> Dialect:
    """Returns the dialect named in the settings.

    Raises:
        UnknownPolicyError: If no dialect has that name.
    """
    name = config.platform.dialect
    if name not in MODULE_BY_NAME:
        known = ", ".join(sorted(MODULE_BY_NAME))
        raise errors.UnknownPolicyError(f"no dialect is named {name!r}; known: {known}")
    importlib.import_module(MODULE_BY_NAME[name])
    return _class_by_name[name](config)
