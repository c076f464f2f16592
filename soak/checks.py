"""Checks of what clients and servers saw; each finding names the rule that it breaks."""

import bisect
import collections
from collections.abc import Iterable

import msgspec

from soak import clients, world
from standins import fleet, shards

CONFIG_SECONDS = 3.0
DOWNGRADE_SECONDS = 0.25
STABILITY_SECONDS = 4.0
GONE_SECONDS = 0.5
DRAIN_SLACK_SECONDS = 0.2
BUDGET_RATIO = 0.2
BUDGET_SLACK = 50
BUDGET_WINDOW_SECONDS = 10.0
ATTEMPTS = 2
# Routes that come with versions allow one server only.
PROBE_ATTEMPTS = 1
# Requests that may run on more servers than their route allows, and calls that may go on after
# their client has left.
EXCEPTIONS_MAX = 3
TOP_RECORDS = 5
MINIMUM_SHARE = 0.75
# Graceful stops are judged from the signal until this long after the process's grace.
TERM_SECONDS = world.GRACE_SECONDS + 1.0
NOT_RUN_STATUSES = (408, 421, 429, 503)


class Broken(msgspec.Struct, frozen=True):
    """A rule that was broken.

    Attributes:
        rule: The page's name of the rule.
        detail: What was seen.
    """

    rule: str
    detail: str


class Runs:
    """What the servers read, by request id.

    Args:
        deployment: The deployment.
    """

    def __init__(self, deployment: world.World):
        self.seen_by_id: dict[str, list[tuple[str, shards.Seen]]] = {}
        for name, server in deployment.server_by_name.items():
            for seen in list(server.seen):
                self.seen_by_id.setdefault(seen.request_id, []).append((name, seen))

    def of(self, request_id: str) -> list[tuple[str, shards.Seen]]:
        """Returns the servers that read a request, and what they read."""
        return self.seen_by_id.get(request_id, [])

    def ran(self, request_id: str) -> list[str]:
        """Returns the servers that ran a request, once for each run."""
        return [name for name, seen in self.of(request_id) if seen.ran]


def run_all(deployment: world.World, asked: list[clients.Seen]) -> list[Broken]:
    """Returns all rules that were broken."""
    runs = Runs(deployment)
    return [
        *check_once(asked, runs),
        *check_answers(deployment, asked, runs),
        *check_configuration(deployment, asked),
        *check_drained(deployment, runs),
        *check_budget(deployment, asked, runs),
        *check_attempts(asked, runs),
        *check_gone(deployment, asked, runs),
        *check_stops(deployment, asked, runs),
    ]


def check_once(asked: Iterable[clients.Seen], runs: Runs) -> Iterable[Broken]:
    """Checks that work which must not run twice did not, and that refusals are true."""
    for seen in asked:
        if seen.kind != "order":
            continue
        ran = runs.ran(seen.request_id)
        if len(ran) > 1:
            yield Broken("TWICE", f"{seen.request_id} ran at {ran}")
        if seen.status in NOT_RUN_STATUSES and ran:
            yield Broken("REFUSED", f"{seen.request_id} got {seen.status} and ran at {ran}")


def check_answers(
    deployment: world.World, asked: Iterable[clients.Seen], runs: Runs
) -> Iterable[Broken]:
    """Checks that successes are whole and hold what they say."""
    for seen in asked:
        if seen.status != 200:
            continue
        ran = set(runs.ran(seen.request_id))
        if seen.kind == "gathered":
            fault = _gathered_fault(deployment, seen, ran)
        else:
            fault = _plain_fault(deployment, seen, ran)
        if fault:
            yield Broken("MIXED", f"{seen.request_id}: {fault}")


def _gathered_fault(deployment: world.World, seen: clients.Seen, ran: set[str]) -> str:
    proofs = [proof.strip() for proof in seen.headers.get("x-part-stamps", "").split(",")]
    names = [proof.split(".")[0] for proof in proofs]
    services = [name.rpartition("-")[0] for name in names]
    missing = int(seen.headers.get("x-missing-parts", "0"))
    if any(proof.split(".")[1:2] != [seen.request_id] for proof in proofs):
        return f"a proof is not this request's: {proofs}"
    if not ran.issuperset(names):
        return f"servers are named that did not run it: {names}, ran {sorted(ran)}"
    if len(set(services)) != len(services):
        return f"a service is named twice: {services}"
    sets = {version.gathered for version in deployment.versions if version.at <= seen.ended}
    if not any(len(services) + missing == len(one) and one.issuperset(services) for one in sets):
        return f"{services} and {missing} missing are no version's set"
    if len(services) < MINIMUM_SHARE * (len(services) + missing):
        return f"{missing} of {len(services) + missing} are missing"
    parts = b"".join(deployment.server_by_name[name].part(seen.request_id) for name in names)
    size = shards.RECORD_BYTES
    records = [parts[start : start + size] for start in range(0, len(parts), size)]
    expected = b"".join(sorted(records, reverse=True)[:TOP_RECORDS])
    return "" if seen.body == expected else "the body is not the greatest records of the parts"


def _plain_fault(deployment: world.World, seen: clients.Seen, ran: set[str]) -> str:
    name, request_id, *_ = [*seen.headers.get("x-server-stamp", "").split("."), ""]
    if request_id != seen.request_id or name not in ran:
        return f"the proof {seen.headers.get('x-server-stamp')} is not of a server that ran it"
    if seen.body != deployment.server_by_name[name].part(seen.request_id):
        return "the body is not the server's"
    return ""


def check_configuration(deployment: world.World, asked: list[clients.Seen]) -> Iterable[Broken]:
    """Checks that versions are in force in time, and never back within one boot."""
    floor_by_boot: dict[tuple[int, int], list[tuple[float, int]]] = collections.defaultdict(list)
    for seen in sorted(asked, key=lambda one: one.ended):
        if seen.kind != "probe" or seen.status not in (200, 404):
            continue
        possible = _versions_for(deployment, seen)
        boots = deployment.boots_by_instance[seen.instance]
        boot = (seen.instance, bisect.bisect_right(boots, seen.sent))
        floors = floor_by_boot[boot]
        floor = max(
            (number for at, number in floors if at <= seen.sent - DOWNGRADE_SECONDS), default=-1
        )
        if possible and possible[-1] < floor:
            yield Broken("CONFIG", f"instance {seen.instance} went back: {_probe(seen)}, {floor}")
        due = max(
            (
                version.number
                for version in deployment.versions
                if version.at <= seen.sent - CONFIG_SECONDS
            ),
            default=-1,
        )
        if possible and possible[-1] < due and not _is_out_of_touch(deployment, seen):
            yield Broken("CONFIG", f"instance {seen.instance} is late: {_probe(seen)}, due {due}")
        if possible:
            floors.append((seen.ended, possible[0]))


def _probe(seen: clients.Seen) -> str:
    return f"{seen.target} got {seen.status} at {seen.sent:.2f}"


def _versions_for(deployment: world.World, seen: clients.Seen) -> list[int]:
    """Returns the numbers of the versions that explain the answer to a probe."""
    route = int(seen.target.split("/")[1].removeprefix("v"))
    has = range(route, route + world.ROUTE_VERSIONS)
    return [
        version.number
        for version in deployment.versions
        if version.at <= seen.ended and (version.number in has) == (seen.status == 200)
    ]


def _is_out_of_touch(deployment: world.World, seen: clients.Seen) -> bool:
    names = (f"instance {seen.instance}", f"restart {seen.instance}", world.STORE, world.LINKS)
    start = seen.sent - STABILITY_SECONDS - CONFIG_SECONDS
    return deployment.is_disturbed(names, start, seen.ended)


def check_drained(deployment: world.World, runs: Runs) -> Iterable[Broken]:
    """Checks that servers which are leaving get nothing after the bound."""
    names = ("instance", world.STORE, world.LINKS, "server")
    for request_id, found in runs.seen_by_id.items():
        for name, seen in found:
            for drained in deployment.drained:
                due = drained.start + world.DRAIN_SECONDS + DRAIN_SLACK_SECONDS
                if drained.server != name or not due <= seen.at < drained.end:
                    continue
                start = drained.start - STABILITY_SECONDS
                if not deployment.is_disturbed(names, start, seen.at):
                    late = seen.at - drained.start
                    yield Broken("DRAIN", f"{request_id} reached {name} after {late:.2f} s")


def check_budget(
    deployment: world.World, asked: list[clients.Seen], runs: Runs
) -> Iterable[Broken]:
    """Checks the arrivals beyond the first of each request, in any window."""
    extra_by_service: dict[str, list[float]] = collections.defaultdict(list)
    for found in runs.seen_by_id.values():
        arrivals_by_service: dict[str, list[float]] = collections.defaultdict(list)
        for name, seen in found:
            arrivals_by_service[name.rpartition("-")[0]].append(seen.at)
        for service, arrivals in arrivals_by_service.items():
            extra_by_service[service] += sorted(arrivals)[1:]
    for service, instants in extra_by_service.items():
        kinds = ("plain", "order", "probe") if service == fleet.PLAIN else ("gathered",)
        sent = sorted(seen.sent for seen in asked if seen.kind in kinds)
        instants.sort()
        for first, start in enumerate(instants):
            end = start + BUDGET_WINDOW_SECONDS
            extra = bisect.bisect_right(instants, end) - first
            allowed = BUDGET_RATIO * _most_sent(sent, start) + BUDGET_SLACK
            if extra > allowed:
                yield Broken("BUDGET", f"{service}: {extra} extra arrivals, {allowed:.0f} allowed")
                break


def _most_sent(sent: list[float], start: float) -> int:
    """Returns the most requests of the window and of those that may count in its place."""
    window = BUDGET_WINDOW_SECONDS
    starts = (start, start - window / 2, start - window)
    return max(bisect.bisect(sent, one + window) - bisect.bisect(sent, one) for one in starts)


def check_attempts(asked: Iterable[clients.Seen], runs: Runs) -> Iterable[Broken]:
    """Checks that few requests ran on more servers than their route allows."""
    over: list[str] = []
    for seen in asked:
        servers = set(runs.ran(seen.request_id))
        counts = collections.Counter(name.rpartition("-")[0] for name in servers)
        allowed = PROBE_ATTEMPTS if seen.kind == "probe" else ATTEMPTS
        if counts and max(counts.values()) > allowed:
            over.append(f"{seen.request_id} {dict(counts)}")
    if len(over) > EXCEPTIONS_MAX:
        yield Broken("BUDGET", f"{len(over)} requests ran too often: {over[:5]}")


def check_gone(
    deployment: world.World, asked: Iterable[clients.Seen], runs: Runs
) -> Iterable[Broken]:
    """Checks that work stops after the client has left, but for a few requests."""
    late: list[str] = []
    for seen in asked:
        if not seen.left or seen.kind == "order":
            continue
        due = seen.left + GONE_SECONDS
        names = ("instance", "restart")
        if deployment.cell_size == 1:
            names = (f"instance {seen.instance}", f"restart {seen.instance}")
        names += (world.LINKS, "server")
        if deployment.is_disturbed(names, seen.sent - STABILITY_SECONDS, due):
            continue
        for name, read in runs.of(seen.request_id):
            if read.at > due or (read.ran and read.ended > due):
                late.append(
                    f"{seen.request_id} at {name}: read {read.at - seen.left:.3f} s and ended"
                    f" {read.ended - seen.left:.3f} s after its client left"
                )
    if len(late) > EXCEPTIONS_MAX:
        yield Broken("GONE", f"{len(late)} calls were worked on: {late[:5]}")
    elif late:
        print(f"late, within the exceptions: {late}")


def check_stops(
    deployment: world.World, asked: Iterable[clients.Seen], runs: Runs
) -> Iterable[Broken]:
    """Checks that a graceful stop cuts no request, and ends in time."""
    for name in deployment.overdue:
        yield Broken("LOST", f"{name} did not end within {world.GRACE_SECONDS:g} s")
    for seen in asked:
        if seen.status or seen.left or not seen.ended:
            continue
        terms = deployment.terms_by_instance.get(seen.instance, ())
        if not any(term - 1.0 <= seen.sent <= term + TERM_SECONDS for term in terms):
            continue
        names = ("instance", world.LINKS, "server")
        if deployment.is_disturbed(names, seen.sent - STABILITY_SECONDS, seen.ended):
            continue
        if runs.of(seen.request_id):
            detail = f"{seen.request_id} was passed on at {seen.sent:.2f} and cut"
            yield Broken("LOST", detail)
