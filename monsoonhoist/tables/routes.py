"""Table of routes: INI text to ``data.Route`` records."""

import msgspec
import pydantic

from monsoonhoist.core import data
from monsoonhoist.tables import ini

KEY = data.TableKey("routes")
DEADLINE_MIN_MS = 10
DEADLINE_MAX_MS = 60_000
_PREFIX = "route "
_Deadline = ini.bounded_milliseconds(DEADLINE_MIN_MS, DEADLINE_MAX_MS)


class RouteModel(pydantic.BaseModel):
    """Options of a ``[route NAME]`` section."""

    model_config = pydantic.ConfigDict(extra="forbid")

    rank: data.Rank
    pool: str = pydantic.Field(min_length=1)
    repeatable: bool = True
    deadline_ms: _Deadline
    minimum_coverage: float = pydantic.Field(default=0.0, ge=0.0, le=1.0)
    hedge_budget: float = pydantic.Field(default=0.05, ge=0.0, le=0.5)
    partial_after_ms: _Deadline | None = None

    @pydantic.model_validator(mode="after")
    def _partial_before_deadline(self) -> "RouteModel":
        if self.partial_after_ms is not None and self.partial_after_ms > self.deadline_ms:
            raise ValueError("partial_after_ms must not be longer than deadline_ms")
        return self

    @pydantic.model_validator(mode="after")
    def _no_hedge_without_repeat(self) -> "RouteModel":
        if not self.repeatable and "hedge_budget" in self.model_fields_set and self.hedge_budget:
            raise ValueError("a route that is not repeatable must have hedge_budget = 0")
        return self


class RoutesTable(msgspec.Struct, frozen=True):
    """The routes of one value and everything wrong with it."""

    route_by_id: dict[data.RouteId, data.Route]
    findings: tuple[data.Finding, ...]


def parse(file: str, text: str) -> RoutesTable:
    """Parses and checks the table of routes.

    Args:
        file: Name used in findings.
        text: INI text.

    Returns:
        The routes that are right, and all findings. The value may be accepted only
        without findings.
    """
    source = ini.read(file, text)
    findings = list(source.findings)
    route_by_id: dict[data.RouteId, data.Route] = {}
    for section in source.section_by_name.values():
        if not section.name.startswith(_PREFIX):
            place = data.Place(file, section.name, section.line)
            findings.append(data.Finding(place, "sections must be named [route NAME]"))
            continue
        model, errors = ini.check(source, section, RouteModel)
        findings.extend(errors)
        if model is not None:
            route = _route(data.RouteId(section.name.removeprefix(_PREFIX).strip()), model)
            route_by_id[route.route_id] = route
    return RoutesTable(route_by_id, tuple(findings))


def _route(route_id: data.RouteId, model: RouteModel) -> data.Route:
    return data.Route(
        route_id=route_id,
        rank=model.rank,
        pool=data.PoolId(model.pool),
        repeatable=model.repeatable,
        deadline=model.deadline_ms,
        minimum_coverage=model.minimum_coverage,
        hedge_budget=model.hedge_budget if model.repeatable else 0.0,
        partial_after=model.partial_after_ms,
    )
