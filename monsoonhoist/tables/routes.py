"""Table of routes: parses INI text to ``data.Route`` records."""

from typing import Annotated

import msgspec

from monsoonhoist.core import data, diagnostics
from monsoonhoist.tables import ini

TABLE_KEY = data.TableKey("routes")
DEADLINE_MIN_MS = 10
DEADLINE_MAX_MS = 60_000
# Extra calls of a route without the option ``hedge_budget``, as a share of the first calls.
DEFAULT_HEDGE_BUDGET = 0.05
_ROUTE_PREFIX = "route "
_Deadline = ini.bounded_milliseconds(DEADLINE_MIN_MS, DEADLINE_MAX_MS)


class RouteModel(ini.Model):
    """Options of a ``[route NAME]`` section."""

    rank: data.Rank
    pool: Annotated[str, msgspec.Meta(min_length=1)]
    deadline_ms: _Deadline
    repeatable: bool = True
    minimum_coverage: Annotated[float, msgspec.Meta(ge=0.0, le=1.0)] = 0.0
    hedge_budget: Annotated[float, msgspec.Meta(ge=0.0, le=0.5)] | None = None
    partial_after_ms: _Deadline | None = None

    def problems(self) -> tuple[ini.Problem, ...]:
        """Returns contradictions between the options."""
        contradictions: list[ini.Problem] = []
        if self.partial_after_ms is not None and self.partial_after_ms > self.deadline_ms:
            message = "partial_after_ms must not be longer than deadline_ms"
            contradictions.append(ini.Problem("", message))
        if not self.repeatable and self.hedge_budget:
            message = "a route that is not repeatable must have hedge_budget = 0"
            contradictions.append(ini.Problem("", message))
        return tuple(contradictions)


class RoutesTable(msgspec.Struct, frozen=True):
    """The parsed content of the table of routes.

    Attributes:
        route_by_id: The valid routes.
        findings: All errors in the value.
        model_by_id: The options of the valid routes.
    """

    route_by_id: dict[data.RouteId, data.Route]
    findings: tuple[diagnostics.Finding, ...]
    model_by_id: dict[data.RouteId, RouteModel]


def parse(file: str, text: str) -> RoutesTable:
    """Parses and validates the table of routes.

    Args:
        file: Source name used in findings.
        text: INI text.

    Returns:
        The valid routes and all findings. A value with findings must not be accepted.
    """
    source = ini.read(file, text)
    findings = list(source.findings)
    model_by_id: dict[data.RouteId, RouteModel] = {}
    for section in source.section_by_name.values():
        if not section.name.startswith(_ROUTE_PREFIX):
            place = diagnostics.Place(file, section.name, section.line)
            findings.append(diagnostics.Finding(place, "sections must be named [route NAME]"))
            continue
        model, errors = ini.check(source, section, RouteModel)
        findings.extend(errors)
        if model is not None:
            model_by_id[data.RouteId(section.name.removeprefix(_ROUTE_PREFIX).strip())] = model
    route_by_id = {
        route_id: _make_route(route_id, model) for route_id, model in model_by_id.items()
    }
    return RoutesTable(route_by_id, tuple(findings), model_by_id)


def _make_route(route_id: data.RouteId, model: RouteModel) -> data.Route:
    hedge_budget = DEFAULT_HEDGE_BUDGET if model.hedge_budget is None else model.hedge_budget
    return data.Route(
        route_id=route_id,
        rank=model.rank,
        pool=data.PoolId(model.pool),
        repeatable=model.repeatable,
        deadline=model.deadline_ms,
        minimum_coverage=model.minimum_coverage,
        hedge_budget=hedge_budget if model.repeatable else 0.0,
        partial_after=model.partial_after_ms,
    )
