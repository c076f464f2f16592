"""Checks of the requests that clients and servers recorded during a soak.

Each violation names the rule that is broken: ``TWICE``, ``REFUSED``, ``MIXED``, ``CONFIG``,
``DRAIN``, ``BUDGET``, ``GONE`` or ``LOST``.
"""

import bisect
import collections
from collections.abc import Iterable

import msgspec

from soak import clients, proxied_fleet, returning_fleet
from standins import fleet, shards

# Longest time from the publication of a version until it is in force at an instance.
CONFIG_DELAY_MAX_SECONDS = 3.0
# A probe is compared only with probes that ended at least this long before it was sent.
ROLLBACK_SLACK_SECONDS = 0.25
# Time without disturbances that must come before a period in which a rule is checked.
UNDISTURBED_SECONDS = 4.0
# Longest time that a call may continue after its client has closed the connection.
ABANDONED_WORK_MAX_SECONDS = 0.5
# Time beyond ``proxied_fleet.DRAIN_LIMIT_SECONDS`` in which a late request is no violation.
DRAIN_SLACK_SECONDS = 0.2
# Extra arrivals at a service that a window permits: a share of the requests sent and, in addition,
# a fixed number. ``fleet.settings_text`` sets the same values.
BUDGET_RATIO = 0.2
BUDGET_SLACK = 50
BUDGET_WINDOW_SECONDS = 10.0
# Servers of a service on which a request may run, as the published routes allow. The routes that
# probes request allow one.
SERVERS_MAX = 2
PROBE_SERVERS_MAX = 1
# Most requests that may run on too many servers, and most calls that may end too late.
EXCEPTIONS_MAX = 3
# ``TopK`` and ``MinShardShare`` of the gathered route.
RESULT_RECORDS = 5
SHARD_SHARE_MIN = 0.75
# Requests sent to an instance from 1 s before SIGTERM until this time after it are checked.
STOP_WINDOW_SECONDS = proxied_fleet.STOP_GRACE_SECONDS + 1.0
# Statuses of answers which state that the request has not run.
NOT_RUN_STATUSES = (408, 421, 429, 503)


class Violation(msgspec.Struct, frozen=True):
    """A violation of a rule.

    Attributes:
        rule: Name of the rule, for instance ``TWICE``.
        detail: Description of what was observed.
    """

    rule: str
    detail: str


class ServerRecords:
    """Requests that the backend servers received, by request id.

    Args:
        deployment: The deployment.

    Attributes:
        records_by_id: Server name and record of each arrival of a request, by request id.
    """

    def __init__(self, deployment: proxied_fleet.ProxiedFleet):
        self.records_by_id: dict[str, list[tuple[str, shards.ReceivedRequest]]] = {}
        for name, server in deployment.server_by_name.items():
            for record in list(server.received_requests):
                self.records_by_id.setdefault(record.request_id, []).append((name, record))

    def records_of(self, request_id: str) -> list[tuple[str, shards.ReceivedRequest]]:
        """Returns the server name and the record of each arrival of a request."""
        return self.records_by_id.get(request_id, [])

    def servers_that_ran(self, request_id: str) -> list[str]:
        """Returns the names of the servers that executed a request, one for each execution."""
        return [name for name, record in self.records_of(request_id) if record.ran]


def check_all(
    deployment: proxied_fleet.ProxiedFleet, requests: list[clients.RequestRecord]
) -> list[Violation]:
    """Returns the violations of all rules."""
    server_records = ServerRecords(deployment)
    return [
        *check_at_most_once(requests, server_records),
        *check_answers(deployment, requests, server_records),
        *check_configuration(deployment, requests),
        *check_draining(deployment, server_records),
        *check_budget(deployment, requests, server_records),
        *check_server_counts(requests, server_records),
        *check_abandoned(deployment, requests, server_records),
        *check_graceful_stops(deployment, requests, server_records),
    ]


def check_at_most_once(
    requests: Iterable[clients.RequestRecord], server_records: ServerRecords
) -> Iterable[Violation]:
    """Checks that non-idempotent requests ran at most once, and not at all if refused."""
    for request in requests:
        if request.kind != "order":
            continue
        ran_at = server_records.servers_that_ran(request.request_id)
        if len(ran_at) > 1:
            yield Violation("TWICE", f"{request.request_id} ran at {ran_at}")
        if request.status in NOT_RUN_STATUSES and ran_at:
            yield Violation(
                "REFUSED", f"{request.request_id} got {request.status} and ran at {ran_at}"
            )


def check_answers(
    deployment: proxied_fleet.ProxiedFleet,
    requests: Iterable[clients.RequestRecord],
    server_records: ServerRecords,
) -> Iterable[Violation]:
    """Checks that successful answers are complete and agree with their headers."""
    for request in requests:
        if request.status != 200:
            continue
        ran_at = set(server_records.servers_that_ran(request.request_id))
        if request.kind == "gathered":
            error = _find_gathered_error(deployment, request, ran_at)
        else:
            error = _find_plain_error(deployment, request, ran_at)
        if error:
            yield Violation("MIXED", f"{request.request_id}: {error}")


def _find_gathered_error(
    deployment: proxied_fleet.ProxiedFleet, request: clients.RequestRecord, ran_at: set[str]
) -> str:
    """Returns what is wrong with a gathered answer, or an empty string.

    The answer lists a proof ``SERVER.REQUEST_ID.NUMBER`` of each server whose reply it contains.
    """
    proofs = [proof.strip() for proof in request.headers.get("x-part-stamps", "").split(",")]
    names = [proof.split(".")[0] for proof in proofs]
    services = [name.rpartition("-")[0] for name in names]
    missing = int(request.headers.get("x-missing-parts", "0"))
    if any(proof.split(".")[1:2] != [request.request_id] for proof in proofs):
        return f"a proof belongs to another request: {proofs}"
    if not ran_at.issuperset(names):
        return f"servers {names} are listed, but it ran at {sorted(ran_at)}"
    if len(set(services)) != len(services):
        return f"a service is listed twice: {services}"
    shard_sets = {
        version.gathered_shards
        for version in deployment.versions
        if version.published_at <= request.ended_at
    }
    if not any(
        len(services) + missing == len(shard_set) and shard_set.issuperset(services)
        for shard_set in shard_sets
    ):
        return f"services {services} and {missing} missing shards match no published version"
    if len(services) < SHARD_SHARE_MIN * (len(services) + missing):
        return f"{missing} of {len(services) + missing} shards are missing"
    parts = b"".join(
        deployment.server_by_name[name].shard_records(request.request_id) for name in names
    )
    size = shards.RECORD_BYTES
    records = [parts[start : start + size] for start in range(0, len(parts), size)]
    expected = b"".join(sorted(records, reverse=True)[:RESULT_RECORDS])
    return "" if request.body == expected else "the body is not the greatest records of the parts"


def _find_plain_error(
    deployment: proxied_fleet.ProxiedFleet, request: clients.RequestRecord, ran_at: set[str]
) -> str:
    """Returns what is wrong with the answer of one server, or an empty string."""
    name, request_id, *_ = [*request.headers.get("x-server-stamp", "").split("."), ""]
    if request_id != request.request_id or name not in ran_at:
        return f"proof {request.headers.get('x-server-stamp')} is not from a server that ran it"
    if request.body != deployment.server_by_name[name].shard_records(request.request_id):
        return "the body differs from the server's reply"
    return ""


def check_configuration(
    deployment: proxied_fleet.ProxiedFleet, requests: list[clients.RequestRecord]
) -> Iterable[Violation]:
    """Checks that versions take effect in time and are not rolled back while a process runs."""
    # For each probe of a process, its end and the oldest version that its answer is consistent
    # with.
    proven_by_process: dict[tuple[int, int], list[tuple[float, int]]] = collections.defaultdict(
        list
    )
    for request in sorted(requests, key=lambda request: request.ended_at):
        if request.kind != "probe" or request.status not in (200, 404):
            continue
        possible = _versions_for(deployment, request)
        start_times = deployment.start_times_by_instance[request.instance]
        process = (request.instance, bisect.bisect_right(start_times, request.sent_at))
        proven = proven_by_process[process]
        proven_version = max(
            (number for end, number in proven if end <= request.sent_at - ROLLBACK_SLACK_SECONDS),
            default=-1,
        )
        if possible and possible[-1] < proven_version:
            yield Violation(
                "CONFIG",
                f"instance {request.instance} rolled back: {_describe_probe(request)}, after"
                f" version {proven_version}",
            )
        due_version = max(
            (
                version.number
                for version in deployment.versions
                if _was_due(version, request.sent_at)
            ),
            default=-1,
        )
        if possible and possible[-1] < due_version and not _may_be_outdated(deployment, request):
            yield Violation(
                "CONFIG",
                f"instance {request.instance} is late: {_describe_probe(request)}, version"
                f" {due_version} was due",
            )
        if possible:
            proven.append((request.ended_at, possible[0]))


def _was_due(version: proxied_fleet.PublishedVersion, sent_at: float) -> bool:
    """Returns whether a version had to be in force when a request was sent.

    A version that the store has lost is due again when it has been acknowledged again.
    """
    return any(
        acknowledgement.start + CONFIG_DELAY_MAX_SECONDS <= sent_at < acknowledgement.end
        for acknowledgement in version.acknowledgements
    )


def _describe_probe(request: clients.RequestRecord) -> str:
    return f"{request.target} got {request.status} at {request.sent_at:.2f}"


def _versions_for(
    deployment: proxied_fleet.ProxiedFleet, request: clients.RequestRecord
) -> list[int]:
    """Returns the numbers of the versions that a probe's answer is consistent with."""
    route = int(request.target.split("/")[1].removeprefix("v"))
    versions_with_route = range(route, route + proxied_fleet.ROUTE_LIFETIME_VERSIONS)
    return [
        version.number
        for version in deployment.versions
        if version.published_at <= request.ended_at
        and (version.number in versions_with_route) == (request.status == 200)
    ]


def _may_be_outdated(
    deployment: proxied_fleet.ProxiedFleet, request: clients.RequestRecord
) -> bool:
    """Returns whether a disturbance may have delayed the configuration of the instance."""
    prefixes = (
        f"instance {request.instance}",
        f"restart {request.instance}",
        proxied_fleet.STORE,
        proxied_fleet.LINKS,
    )
    start = request.sent_at - UNDISTURBED_SECONDS - CONFIG_DELAY_MAX_SECONDS
    return deployment.is_disturbed(prefixes, start, request.ended_at) or deployment.is_disturbed(
        (returning_fleet.RETURN,), request.sent_at - UNDISTURBED_SECONDS, request.ended_at
    )


def check_draining(
    deployment: proxied_fleet.ProxiedFleet, server_records: ServerRecords
) -> Iterable[Violation]:
    """Checks that draining and removed servers receive no requests after the time limit.

    While the store is away or has just returned from an older copy, nothing is checked. The limit
    runs from the acknowledgement, also if that was given soon after a return.
    """
    prefixes = ("instance", proxied_fleet.STORE, proxied_fleet.LINKS, "server")
    for request_id, records in server_records.records_by_id.items():
        for name, record in records:
            for drained_server in deployment.drained_servers:
                due = drained_server.start + proxied_fleet.DRAIN_LIMIT_SECONDS + DRAIN_SLACK_SECONDS
                if (
                    drained_server.server != name
                    or not due <= record.received_at < drained_server.end
                ):
                    continue
                start = drained_server.start - UNDISTURBED_SECONDS
                since_return = record.received_at - UNDISTURBED_SECONDS
                if not deployment.is_disturbed(
                    prefixes, start, record.received_at
                ) and not deployment.is_disturbed(
                    (returning_fleet.RETURN,), since_return, record.received_at
                ):
                    delay = record.received_at - drained_server.start
                    yield Violation("DRAIN", f"{request_id} reached {name} after {delay:.2f} s")


def check_budget(
    deployment: proxied_fleet.ProxiedFleet,
    requests: list[clients.RequestRecord],
    server_records: ServerRecords,
) -> Iterable[Violation]:
    """Checks that the arrivals beyond the first of each request stay within the budget.

    The budget holds for each service and for every window of ``BUDGET_WINDOW_SECONDS``.
    """
    extra_by_service: dict[str, list[float]] = collections.defaultdict(list)
    for records in server_records.records_by_id.values():
        arrivals_by_service: dict[str, list[float]] = collections.defaultdict(list)
        for name, record in records:
            arrivals_by_service[name.rpartition("-")[0]].append(record.received_at)
        for service, arrivals in arrivals_by_service.items():
            extra_by_service[service] += sorted(arrivals)[1:]
    for service, extra_times in extra_by_service.items():
        kinds = ("plain", "order", "probe") if service == fleet.PLAIN_SERVICE else ("gathered",)
        sent_times = sorted(request.sent_at for request in requests if request.kind in kinds)
        extra_times.sort()
        for index, start in enumerate(extra_times):
            end = start + BUDGET_WINDOW_SECONDS
            extra_count = bisect.bisect_right(extra_times, end) - index
            allowed_count = BUDGET_RATIO * _max_sent(sent_times, start) + BUDGET_SLACK
            if extra_count > allowed_count:
                yield Violation(
                    "BUDGET",
                    f"{service}: {extra_count} extra arrivals from {start:.2f} to {end:.2f},"
                    f" {allowed_count:.0f} allowed",
                )
                break


def _max_sent(sent_times: list[float], start: float) -> int:
    """Returns the highest number of requests sent in one of three windows.

    The windows start at ``start``, and half a window and a whole window before it.
    """
    window = BUDGET_WINDOW_SECONDS
    starts = (start, start - window / 2, start - window)
    return max(
        bisect.bisect(sent_times, at + window) - bisect.bisect(sent_times, at) for at in starts
    )


def check_server_counts(
    requests: Iterable[clients.RequestRecord], server_records: ServerRecords
) -> Iterable[Violation]:
    """Checks that at most ``EXCEPTIONS_MAX`` requests ran on more servers than allowed."""
    exceeding: list[str] = []
    for request in requests:
        servers = set(server_records.servers_that_ran(request.request_id))
        count_by_service = collections.Counter(name.rpartition("-")[0] for name in servers)
        servers_max = PROBE_SERVERS_MAX if request.kind == "probe" else SERVERS_MAX
        if count_by_service and max(count_by_service.values()) > servers_max:
            exceeding.append(f"{request.request_id} {dict(count_by_service)}")
    if len(exceeding) > EXCEPTIONS_MAX:
        yield Violation(
            "BUDGET", f"{len(exceeding)} requests ran on too many servers: {exceeding[:5]}"
        )


def check_abandoned(
    deployment: proxied_fleet.ProxiedFleet,
    requests: Iterable[clients.RequestRecord],
    server_records: ServerRecords,
) -> Iterable[Violation]:
    """Checks that all but ``EXCEPTIONS_MAX`` calls end in time after their client has left.

    Non-idempotent requests are not checked: their calls continue.
    """
    late: list[str] = []
    for request in requests:
        if not request.abandoned_at or request.kind == "order":
            continue
        due = request.abandoned_at + ABANDONED_WORK_MAX_SECONDS
        prefixes = ("instance", "restart")
        # In a cell of one instance, no other instance makes calls for the request.
        if deployment.cell_size == 1:
            prefixes = (f"instance {request.instance}", f"restart {request.instance}")
        prefixes += (proxied_fleet.LINKS, "server")
        if deployment.is_disturbed(prefixes, request.sent_at - UNDISTURBED_SECONDS, due):
            continue
        for name, record in server_records.records_of(request.request_id):
            if record.received_at > due or (record.ran and record.ended_at > due):
                late.append(
                    f"{request.request_id} at {name}: received"
                    f" {record.received_at - request.abandoned_at:.3f} s and ended"
                    f" {record.ended_at - request.abandoned_at:.3f} s after the client left"
                )
    if len(late) > EXCEPTIONS_MAX:
        yield Violation("GONE", f"{len(late)} calls continued after their client left: {late[:5]}")
    elif late:
        print(f"late calls within the permitted exceptions: {late}")


def check_graceful_stops(
    deployment: proxied_fleet.ProxiedFleet,
    requests: Iterable[clients.RequestRecord],
    server_records: ServerRecords,
) -> Iterable[Violation]:
    """Checks that a graceful stop interrupts no request and ends within the grace period."""
    for name in deployment.overdue_instances:
        yield Violation("LOST", f"{name} did not end within {proxied_fleet.STOP_GRACE_SECONDS:g} s")
    for request in requests:
        if request.status or request.abandoned_at or not request.ended_at:
            continue
        sigterm_times = deployment.sigterm_times_by_instance.get(request.instance, ())
        if not any(
            sigterm_at - 1.0 <= request.sent_at <= sigterm_at + STOP_WINDOW_SECONDS
            for sigterm_at in sigterm_times
        ):
            continue
        prefixes = ("instance", proxied_fleet.LINKS, "server")
        if deployment.is_disturbed(
            prefixes, request.sent_at - UNDISTURBED_SECONDS, request.ended_at
        ):
            continue
        if server_records.records_of(request.request_id):
            detail = f"{request.request_id}, sent at {request.sent_at:.2f}, was forwarded and lost"
            yield Violation("LOST", detail)
