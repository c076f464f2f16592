"""How an instance speaks to callers, to backend servers and to its platform.

A dialect is a plug-in. Its module registers a class when it is imported; only the module
of the dialect that the settings name is imported.
"""

import abc
import importlib
from collections.abc import Callable

from monsoonhoist import errors, metrics, settings
from monsoonhoist.core import membership
from monsoonhoist.node import backends, curl, replication
from monsoonhoist.tables import store

MODULE_BY_NAME = {
    "native": "monsoonhoist.node.native",
    "platform": "monsoonhoist.platform.dialect",
}

HandleInstances = Callable[[tuple[membership.ListedInstance, ...]], None]


class InstanceListing(abc.ABC):
    """Tells the instances that the platform lists."""

    @abc.abstractmethod
    def start(self) -> None:
        """Starts reading."""

    @abc.abstractmethod
    def stop(self) -> None:
        """Stops reading."""


class CallerServer(abc.ABC):
    """Servers of an instance towards callers, the balancer and operators."""

    @abc.abstractmethod
    def start(self) -> None:
        """Starts listening."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Stops listening and closes all connections."""


class Dialect(abc.ABC):
    """Makes the parts of an instance that speak to others than instances.

    Args:
        config: Settings of the instance.
    """

    def __init__(self, config: settings.Settings):
        self.config = config

    @abc.abstractmethod
    def make_format(self) -> store.TableFormat:
        """Returns the format of the tables."""

    @abc.abstractmethod
    def make_protocol(self) -> backends.Protocol:
        """Returns the protocol to backend servers."""

    @abc.abstractmethod
    def make_reader(
        self, driver: curl.CurlDriver, counters: metrics.Metrics
    ) -> replication.TableReader:
        """Returns the reader of the configuration service."""

    @abc.abstractmethod
    def make_listing(
        self, driver: curl.CurlDriver, counters: metrics.Metrics, handle_instances: HandleInstances
    ) -> InstanceListing:
        """Returns the source of the instance list; ``take`` receives each reading."""

    @abc.abstractmethod
    def make_server(self, local_node: object) -> CallerServer:
        """Returns the servers of a node; they do not listen yet."""


_class_by_name: dict[str, type[Dialect]] = {}


def register(name: str) -> Callable[[type[Dialect]], type[Dialect]]:
    """Returns a decorator that registers a dialect under a name."""

    def decorate(found: type[Dialect]) -> type[Dialect]:
        _class_by_name[name] = found
        return found

    return decorate


def make_dialect(config: settings.Settings) -> Dialect:
    """Returns the dialect that the settings name.

    Raises:
        UnknownPolicyError: If there is no such dialect.
    """
    name = config.platform.dialect
    if name not in MODULE_BY_NAME:
        known = ", ".join(sorted(MODULE_BY_NAME))
        raise errors.UnknownPolicyError(f"no dialect is named {name!r}; known: {known}")
    importlib.import_module(MODULE_BY_NAME[name])
    return _class_by_name[name](config)
