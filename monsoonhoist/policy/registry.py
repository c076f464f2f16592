"""Registry of policies by name.

A policy module registers its classes with ``register`` when it is imported. ``MODULES`` lists the
modules to import, in order.
"""

import enum
import importlib
from collections.abc import Callable
from typing import TypeVar

from monsoonhoist import errors

MODULES = (
    "monsoonhoist.policy.ownership",
    "monsoonhoist.policy.balance",
    "monsoonhoist.policy.hedge",
    "monsoonhoist.policy.admission",
    "monsoonhoist.policy.order",
    "monsoonhoist.policy.goal_order",
    "monsoonhoist.policy.merge",
)


class Kind(enum.Enum):
    """Kind of decision that a policy makes."""

    OWNERSHIP = "ownership"
    BALANCE = "balance"
    HEDGE = "hedge"
    ADMISSION = "admission"
    ORDER = "order"
    MERGE = "merge"


ClassT = TypeVar("ClassT", bound=type)

_class_by_name: dict[tuple[Kind, str], type] = {}


def register(kind: Kind, name: str) -> Callable[[ClassT], ClassT]:
    """Returns a decorator that registers a class under a name."""

    def decorate(policy: ClassT) -> ClassT:
        _class_by_name[(kind, name)] = policy
        return policy

    return decorate


def load() -> None:
    """Imports the modules that register policies."""
    for module in MODULES:
        importlib.import_module(module)


def names(kind: Kind) -> tuple[str, ...]:
    """Returns the names registered for a kind of policy, sorted."""
    return tuple(sorted(name for class_kind, name in _class_by_name if class_kind is kind))


def find(kind: Kind, name: str) -> type:
    """Returns the class registered under a name.

    Raises:
        UnknownPolicyError: If no class is registered under the name.
    """
    try:
        return _class_by_name[(kind, name)]
    except KeyError:
        registered = ", ".join(names(kind))
        message = f"no {kind.value} policy is named {name!r}; known: {registered}"
        raise errors.UnknownPolicyError(message) from None
