"""Checks a file with the platform's configuration before it is sent to the store."""

import pathlib
import re
from collections.abc import Iterator

import msgspec

from monsoonhoist import decoding, errors
from monsoonhoist.core import data, diagnostics
from monsoonhoist.platform import store_format, store_records, wire_names
from monsoonhoist.tables import config_review

_SETTING_NAMES = {
    config_review.Setting.VERSION: "Version",
    config_review.Setting.PREFIX: "Prefix",
    config_review.Setting.DEADLINE: "TimeoutMs",
    config_review.Setting.ATTEMPTS: "Attempts",
    config_review.Setting.RESULTS: "TopK",
    config_review.Setting.MINIMUM_COVERAGE: "MinShardShare",
    config_review.Setting.CONNECTIONS: "MaxConns",
}
# The decoder states the position of a syntax error in bytes, and that of a wrong value as a path.
_BYTE_PATTERN = re.compile(r"\(byte (\d+)\)")
_PATH_PATTERN = re.compile(r" - at `([^`]*)`$")


class UnreadableConfigError(errors.MonsoonError):
    """A file cannot be read or decoded.

    Attributes:
        finding: The reason, with its place.
    """

    def __init__(self, finding: diagnostics.Finding):
        self.finding = finding
        super().__init__(finding.describe())


def check_files(
    path: pathlib.Path, path_in_force: pathlib.Path | None, extra_calls_enabled: bool
) -> tuple[config_review.ReviewFinding, ...]:
    """Returns the findings about a configuration, then how it differs from the one in force.

    Args:
        path: File with the configuration.
        path_in_force: File with the configuration in force, or None for no comparison.
        extra_calls_enabled: Whether the instances may make calls beyond the first.

    Raises:
        UnreadableConfigError: If one of the files cannot be read or decoded.
    """
    file = str(path)
    text, config = _load(path)
    config_in_force = None if path_in_force is None else _load(path_in_force)[1]
    parsed = store_format.PlatformFormat(0.0).parse(
        data.TableKey(wire_names.CONFIG_KEY), file, text
    )
    findings = [config_review.make_error(finding) for finding in parsed.findings]
    problems = list(
        config_review.find_problems(
            tuple(_translate_route(route_config) for route_config in config.routes),
            tuple(
                config_review.ReviewedService(service_config.name, service_config.max_conns)
                for service_config in config.services
            ),
            extra_calls_enabled,
        )
    )
    differences: list[config_review.Difference] = []
    if config_in_force is not None:
        differences.extend(
            config_review.find_differences(
                tuple(_list_entries(config_in_force)), tuple(_list_entries(config))
            )
        )
        version_problem = config_review.find_version_problem(
            config_in_force.version, config.version, bool(differences)
        )
        if version_problem is not None:
            problems.append(version_problem)
    findings.extend(
        config_review.ReviewFinding(
            problem.severity,
            config_review.make_place(
                file,
                problem.kind,
                problem.name,
                "" if problem.setting is None else _SETTING_NAMES[problem.setting],
            ),
            problem.message,
        )
        for problem in problems
    )
    findings.extend(difference.locate(file) for difference in differences)
    return tuple(findings)


def _load(path: pathlib.Path) -> tuple[str, store_records.ConfigValue]:
    """Returns the text of a file and the configuration that it contains."""
    file = str(path)
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        finding = diagnostics.Finding(diagnostics.Place(file), f"cannot be read: {error}")
        raise UnreadableConfigError(finding) from error
    try:
        return text, decoding.decode_json(text, store_records.ConfigValue)
    except errors.MalformedInputError as error:
        finding = _locate(file, text, str(error))
        raise UnreadableConfigError(finding) from error


def _locate(file: str, text: str, message: str) -> diagnostics.Finding:
    """Returns an error of the decoder with the line or the path that it states."""
    path_match = _PATH_PATTERN.search(message)
    if path_match:
        place = diagnostics.Place(file, path_match[1])
        return diagnostics.Finding(place, message[: path_match.start()])
    byte_match = _BYTE_PATTERN.search(message)
    line = text.encode()[: int(byte_match[1])].count(b"\n") + 1 if byte_match else 0
    return diagnostics.Finding(diagnostics.Place(file, line=line), message)


def _translate_route(route_config: store_records.RouteConfig) -> config_review.ReviewedRoute:
    is_gathered = bool(route_config.gather)
    return config_review.ReviewedRoute(
        name=route_config.name,
        match=data.PathMatch(route_config.host, route_config.prefix),
        services=tuple(
            service for services in store_format.service_sets(route_config) for service in services
        ),
        is_gathered=is_gathered,
        repeatable=is_gathered or route_config.type == "idempotent",
        deadline_ms=route_config.timeout_ms,
        goal_ms=route_config.goal_ms,
        attempts=route_config.attempts,
        results=route_config.top_k,
        minimum_coverage=route_config.min_shard_share,
    )


def _list_entries(config: store_records.ConfigValue) -> Iterator[config_review.Entry]:
    """Yields the routes, the services and the limits with the names of their settings."""
    for kind, records in (
        (config_review.EntryKind.ROUTE, config.routes),
        (config_review.EntryKind.SERVICE, config.services),
    ):
        for record in records:
            yield config_review.Entry(kind, record.name, msgspec.to_builtins(record))
    limits = msgspec.to_builtins(config.limits)
    yield config_review.Entry(config_review.EntryKind.LIMITS, "", limits)
