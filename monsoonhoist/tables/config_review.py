"""Reviews a configuration of routes and services before it is sent, and compares two versions.

Load: operators change a configuration while traffic flows. Every instance accepts an entry that no
request reaches, or limits that contradict each other; only failed requests show the error.
"""

import enum
from collections.abc import Iterator, Mapping

import msgspec

from monsoonhoist.core import data, diagnostics


class Severity(enum.Enum):
    """Kind of a finding; only errors keep a configuration from being sent."""

    ERROR = "error"
    WARNING = "warning"
    NOTE = "note"
    DIFFERENCE = "difference"


class ReviewFinding(msgspec.Struct, frozen=True):
    """A finding with its severity, as it is printed."""

    severity: Severity
    place: diagnostics.Place
    message: str

    def describe(self) -> str:
        """Returns the finding as ``file:line: [section] severity: message``."""
        message = f"{self.severity.value}: {self.message}"
        return diagnostics.Finding(self.place, message).describe()


class EntryKind(enum.Enum):
    """Part of a configuration that a finding is about."""

    CONFIGURATION = "configuration"
    ROUTE = "route"
    SERVICE = "service"
    LIMITS = "limits"


class Setting(enum.Enum):
    """Setting of an entry that a finding is about; the table format provides its name."""

    VERSION = enum.auto()
    PREFIX = enum.auto()
    DEADLINE = enum.auto()
    ATTEMPTS = enum.auto()
    RESULTS = enum.auto()
    MINIMUM_COVERAGE = enum.auto()
    CONNECTIONS = enum.auto()


class ReviewedRoute(msgspec.Struct, frozen=True):
    """The settings of a route that are compared with each other.

    Attributes:
        name: Name of the route.
        match: Host and path prefix of its requests.
        services: Services that receive its requests; the shards if it is gathered.
        is_gathered: Whether each request goes to all services.
        repeatable: Whether a request may be sent again.
        deadline_ms: Time limit.
        goal_ms: Latency goal; 0 for none.
        attempts: Largest number of calls for each shard.
        results: Number of merged results.
        minimum_coverage: Smallest share of the shards that an answer may include.
    """

    name: str
    match: data.PathMatch
    services: tuple[str, ...]
    is_gathered: bool
    repeatable: bool
    deadline_ms: float
    goal_ms: float
    attempts: int
    results: int
    minimum_coverage: float


class ReviewedService(msgspec.Struct, frozen=True):
    """The settings of a service: its name and the connections that each server accepts."""

    name: str
    connections: int


class Problem(msgspec.Struct, frozen=True):
    """A finding about an entry, before the table format names its place."""

    severity: Severity
    kind: EntryKind
    name: str
    setting: Setting | None
    message: str


class Entry(msgspec.Struct, frozen=True):
    """An entry as it is compared: its settings by the names that operators use."""

    kind: EntryKind
    name: str
    value_by_setting: Mapping[str, object]


class Difference(msgspec.Struct, frozen=True):
    """A difference between two versions; ``setting`` is empty if it concerns a whole entry."""

    kind: EntryKind
    name: str
    setting: str
    message: str

    def locate(self, file: str) -> ReviewFinding:
        """Returns the finding with its place in the file of the new version."""
        place = make_place(file, self.kind, self.name, self.setting)
        return ReviewFinding(Severity.DIFFERENCE, place, self.message)


def make_place(file: str, kind: EntryKind, name: str, setting: str) -> diagnostics.Place:
    """Returns the place of an entry, or of one of its settings unless that is empty."""
    section = f"{kind.value} {name}".rstrip()
    return diagnostics.Place(file, f"{section}: {setting}" if setting else section)


def make_error(finding: diagnostics.Finding) -> ReviewFinding:
    """Returns a finding of a check that reports only errors."""
    return ReviewFinding(Severity.ERROR, finding.place, finding.message)


def find_problems(
    routes: tuple[ReviewedRoute, ...],
    services: tuple[ReviewedService, ...],
    extra_calls_enabled: bool,
) -> Iterator[Problem]:
    """Yields problems with names, routes that no request matches, services, and limits.

    Args:
        routes: All routes, in the order of the configuration.
        services: All services that the configuration defines.
        extra_calls_enabled: Whether the instances may make calls beyond the first.
    """
    yield from _find_repeated_names(EntryKind.ROUTE, [route.name for route in routes])
    yield from _find_repeated_names(EntryKind.SERVICE, [service.name for service in services])
    yield from _find_unmatched_routes(routes)
    defined = {service.name for service in services}
    for route in routes:
        yield from _find_undefined_services(route, defined)
        yield from _find_contradictions(route, extra_calls_enabled)
    used = {service for route in routes for service in route.services}
    for service in services:
        if service.name not in used:
            yield _warn_service(service, None, "no route uses it")
        if service.connections == 0:
            message = "0 connections cannot serve a request; 1 is used"
            yield _warn_service(service, Setting.CONNECTIONS, message)


def find_differences(
    current_entries: tuple[Entry, ...], new_entries: tuple[Entry, ...]
) -> Iterator[Difference]:
    """Yields what the new entries add, remove and change.

    Of entries with the same kind and name, the last one counts, as in the tables.
    """
    current_by_key = {(entry.kind, entry.name): entry for entry in current_entries}
    new_by_key = {(entry.kind, entry.name): entry for entry in new_entries}
    for (kind, name), entry in new_by_key.items():
        current = current_by_key.get((kind, name))
        if current is None:
            yield Difference(kind, name, "", "added")
            continue
        for setting, value in entry.value_by_setting.items():
            current_value = current.value_by_setting.get(setting)
            if value != current_value:
                message = f"changed from {_render(current_value)} to {_render(value)}"
                yield Difference(kind, name, setting, message)
    for kind, name in current_by_key:
        if (kind, name) not in new_by_key:
            yield Difference(kind, name, "", "removed")


def find_version_problem(
    current_version: int, new_version: int, has_differences: bool
) -> Problem | None:
    """Returns a warning if the version does not rise, unless both versions are the same value."""
    if new_version > current_version or (new_version == current_version and not has_differences):
        return None
    message = f"{new_version} is not above {current_version}, the version in force"
    return Problem(Severity.WARNING, EntryKind.CONFIGURATION, "", Setting.VERSION, message)


def _render(value: object) -> str:
    return msgspec.json.encode(value).decode()


def _find_repeated_names(kind: EntryKind, names: list[str]) -> Iterator[Problem]:
    """Yields a warning for each name that several entries have; only the last one is in force."""
    seen: set[str] = set()
    reported: set[str] = set()
    for name in names:
        if name in seen and name not in reported:
            reported.add(name)
            message = f"several entries have this name; only the last {kind.value} is in force"
            yield Problem(Severity.WARNING, kind, name, None, message)
        seen.add(name)


def _find_unmatched_routes(routes: tuple[ReviewedRoute, ...]) -> Iterator[Problem]:
    """Yields routes that receive no request, by the rules of ``queries.routing``."""
    name_by_match: dict[data.PathMatch, str] = {}
    for route in routes:
        prefix = route.match.prefix
        if not (prefix.startswith("/") and prefix.endswith("/")):
            message = f"{prefix!r} matches no request: it must begin and end with '/'"
            yield _warn_route(route, Setting.PREFIX, message)
        other = name_by_match.setdefault(route.match, route.name)
        if other != route.name:
            message = f"the route {other!r} has the same host and prefix; only one can match"
            yield _warn_route(route, Setting.PREFIX, message)


def _find_undefined_services(route: ReviewedRoute, defined: set[str]) -> Iterator[Problem]:
    for service in dict.fromkeys(route.services):
        if not service:
            yield _warn_route(route, None, "it names no service")
        elif service not in defined:
            yield _warn_route(route, None, f"the service {service!r} is not defined")


def _find_contradictions(route: ReviewedRoute, extra_calls_enabled: bool) -> Iterator[Problem]:
    if 0 < route.deadline_ms < route.goal_ms:
        message = f"{route.deadline_ms:g} ms is below the latency goal of {route.goal_ms:g} ms"
        yield _warn_route(route, Setting.DEADLINE, message)
    if route.attempts == 0:
        message = "0 attempts cannot serve a request"
        yield Problem(Severity.ERROR, EntryKind.ROUTE, route.name, Setting.ATTEMPTS, message)
    if route.attempts == 1 and route.repeatable and extra_calls_enabled:
        message = "1 attempt leaves no extra call for requests that may be repeated"
        yield Problem(Severity.NOTE, EntryKind.ROUTE, route.name, Setting.ATTEMPTS, message)
    if not route.is_gathered:
        return
    if route.results == 0:
        yield _warn_route(route, Setting.RESULTS, "0 merged results; 1 is used")
    shards = len(set(route.services))
    if (shards - 1) / shards < route.minimum_coverage < 1:
        message = f"only all {shards} shards together reach {route.minimum_coverage:g}"
        yield _warn_route(route, Setting.MINIMUM_COVERAGE, message)


def _warn_route(route: ReviewedRoute, setting: Setting | None, message: str) -> Problem:
    return Problem(Severity.WARNING, EntryKind.ROUTE, route.name, setting, message)


def _warn_service(service: ReviewedService, setting: Setting | None, message: str) -> Problem:
    return Problem(Severity.WARNING, EntryKind.SERVICE, service.name, setting, message)
