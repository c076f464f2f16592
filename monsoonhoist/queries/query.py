"""State of a query in progress at its entry."""

import dataclasses
import math

import msgspec

from monsoonhoist.core import data, exchange
from monsoonhoist.policy import merge
from monsoonhoist.protocol import fanout, messages
from monsoonhoist.queries import coverage

MS_PER_SECOND = 1000
# Tolerance for shares that have no exact floating-point representation.
_ROUNDING_TOLERANCE = 1e-9


@dataclasses.dataclass
class Grant:
    """Number of calls that the entry has allowed an owner for one sub-request.

    Attributes:
        allowed: Number of calls allowed, the first included.
        unused: Number of these calls that were never made or are proved to have run nothing, as
            far as the owner has reported it.
    """

    allowed: int = 1
    unused: int = 0


@dataclasses.dataclass
class ShardProgress:
    """Progress of a query at one shard.

    Attributes:
        part_by_snapshot: Parts received, by snapshot.
        pending_by_attempt: Owner of each sub-request that has no reply yet, by attempt number.
        failure: The most recent failure; None before any and after a refused request is resent.
        may_have_run: Whether any sub-request may have run.
        sub_requests: Number of sub-requests sent to owners; the attempt number of a
            sub-request is its number among these, from 1.
        stand_by_used: Whether the sub-request was resent to a stand-by of a silent owner.
        grant_by_attempt: Allowed calls by attempt number, without unsent sub-requests.
    """

    part_by_snapshot: dict[data.Snapshot, fanout.Part] = dataclasses.field(default_factory=dict)
    pending_by_attempt: dict[int, data.InstanceId] = dataclasses.field(default_factory=dict)
    failure: fanout.Failure | None = None
    may_have_run: bool = False
    sub_requests: int = 0
    stand_by_used: bool = False
    grant_by_attempt: dict[int, Grant] = dataclasses.field(default_factory=dict)

    def calls_allowed(self) -> int:
        """Returns how many calls of all owners together may run or may have run."""
        return sum(grant.allowed - grant.unused for grant in self.grant_by_attempt.values())


@dataclasses.dataclass
class OwnerTimeout:
    """Timeout after which owners that sent no message are marked as silent.

    Attributes:
        expires_at: When the timeout expires, in monotonic seconds.
        check_timeout_seconds: Timeout for the reply to the next liveness check; doubles with
            each check.
    """

    expires_at: float
    check_timeout_seconds: float


class QueryState:
    """State of a query in progress at its entry.

    Attributes:
        spec: The query as sent to owners.
        request_id: The caller's id for the request.
        route: Route of the query.
        pool: Pool of the query, as it was when the query started.
        services: Shards that the query is sent to.
        deadline: Deadline, in monotonic seconds.
        owner_timeout: Timeout for owners that send no message.
        partial_allowed_at: When an answer with the minimum coverage may be given, in monotonic
            seconds.
        goal_at: When the caller is to have the answer by the route's goal, in monotonic seconds;
            infinite without a goal.
        snapshot: Snapshot to answer from; with ``LATEST_SNAPSHOT`` the servers choose it.
        reruns: Number of reruns at another snapshot.
        responsive_instances: Instances that sent a message about the query since their last
            liveness check, and this instance.
        shard_by_service: Progress of each shard.
        sub_requests: Number of sub-requests sent to owners.
        account: Name under which admission control counts the query.
        queue_pressure: Longest time that a sub-request was queued at an owner, as a share of the
            route's deadline; 1 if one failed because of overload.
    """

    def __init__(
        self,
        spec: fanout.QuerySpec,
        request_id: str,
        route: data.Route,
        pool: data.Pool,
        services: tuple[data.ServiceId, ...],
        deadline: float,
        owner_timeout: OwnerTimeout,
        partial_allowed_at: float,
        snapshot: data.Snapshot,
        goal_at: float = math.inf,
    ):
        self.spec = spec
        self.request_id = request_id
        self.route = route
        self.pool = pool
        self.services = services
        self.deadline = deadline
        self.owner_timeout = owner_timeout
        self.partial_allowed_at = partial_allowed_at
        self.goal_at = goal_at
        self.snapshot = snapshot
        self.reruns = 0
        self.responsive_instances: set[data.InstanceId] = set()
        self.shard_by_service = {service: ShardProgress() for service in services}
        self.sub_requests = 0
        self.account = ""
        self.queue_pressure = 0.0
        # Whether a shard may have neither a part nor a pending sub-request. While it is False,
        # shards without either need not be searched for at each reply.
        self._has_lost = False
        # The pending shard that the latest search found; the next search checks it first.
        self._pending_service = services[0]
        self._merge_policy = merge.find_policy(spec.merge)
        self._results_by_snapshot: dict[data.Snapshot, tuple[data.MergeableResult, ...]] = {}
        self._covered_keys_by_snapshot: dict[data.Snapshot, int] = {}

    def spec_at(self, now: float) -> fanout.QuerySpec:
        """Returns the query as sent to owners at the time ``now``, in monotonic seconds."""
        remaining_ms = max(0, int((self.deadline - now) * MS_PER_SECOND))
        goal_left_ms = None
        if self.route.goal is not None:
            goal_left_ms = int((self.partial_allowed_at - now) * MS_PER_SECOND)
        return msgspec.structs.replace(
            self.spec, remaining_ms=remaining_ms, goal_left_ms=goal_left_ms
        )

    def start_sub_request(self, service: data.ServiceId, owner: data.InstanceId) -> int:
        """Records that a sub-request is sent to an owner and returns the attempt number."""
        shard = self.shard_by_service[service]
        shard.sub_requests += 1
        shard.pending_by_attempt[shard.sub_requests] = owner
        shard.grant_by_attempt[shard.sub_requests] = Grant()
        self.sub_requests += 1
        return shard.sub_requests

    def record_reply(self, reply: messages.SubReply) -> int:
        """Records an owner's reply.

        Parts and failures that belong to no pending sub-request are late or duplicates, and are
        ignored. However, the owner has merged the results of such a part with those of the other
        parts. If the merge policy is idempotent, these results may be merged again; if it is not,
        all parts of the reply count as failed.

        Returns:
            The number of parts and failures that belong to pending sub-requests.
        """
        if not self._may_merge(reply):
            reply = _without_parts(reply)
        recorded = 0
        for part in reply.parts:
            shard = self.shard_by_service.get(part.service)
            if shard is None or part.attempt not in shard.pending_by_attempt:
                continue
            del shard.pending_by_attempt[part.attempt]
            shard.may_have_run = True
            self._add_part(shard, part)
            recorded += 1
        for failure in reply.failures:
            shard = self.shard_by_service.get(failure.service)
            if shard is None or failure.attempt not in shard.pending_by_attempt:
                continue
            del shard.pending_by_attempt[failure.attempt]
            grant = shard.grant_by_attempt[failure.attempt]
            grant.unused = max(0, grant.allowed - failure.calls)
            shard.failure = failure
            self._has_lost = True
            shard.may_have_run = shard.may_have_run or failure.may_have_run
            recorded += 1
        if recorded:
            self._merge(reply.results_by_snapshot)
        return recorded

    def fail_pending(
        self, instance: data.InstanceId, may_have_run: bool, attempt: int | None = None
    ) -> tuple[data.ServiceId, ...]:
        """Marks the pending sub-requests at an instance as failed.

        Args:
            instance: The owner.
            may_have_run: Whether the sub-requests may have run there.
            attempt: Attempt number of the only sub-requests to fail; None for all.

        Returns:
            The shards with failed sub-requests.
        """
        lost: list[data.ServiceId] = []
        for service, shard in self.shard_by_service.items():
            attempts = [
                pending_attempt
                for pending_attempt, owner in shard.pending_by_attempt.items()
                if owner == instance and attempt in (None, pending_attempt)
            ]
            for pending_attempt in attempts:
                del shard.pending_by_attempt[pending_attempt]
                if not may_have_run:
                    del shard.grant_by_attempt[pending_attempt]
                reason = data.Refusal.PEER_LOST
                shard.failure = fanout.Failure(service, pending_attempt, reason, may_have_run)
                shard.may_have_run = shard.may_have_run or may_have_run
            if attempts:
                lost.append(service)
                self._has_lost = True
        return tuple(lost)

    def pending_owners(self, service: data.ServiceId) -> tuple[data.InstanceId, ...]:
        """Returns the owners with a pending sub-request for a shard."""
        return tuple(self.shard_by_service[service].pending_by_attempt.values())

    def pop_responsive_owners(self, instance: data.InstanceId) -> tuple[data.InstanceId, ...]:
        """Returns the responsive owners of pending shards and unmarks them for a liveness check.

        Args:
            instance: This instance, which is not checked.
        """
        owners = {
            owner: None
            for service in self.services
            if self.is_pending(service)
            for owner in self.pending_owners(service)
            if owner in self.responsive_instances and owner != instance
        }
        self.responsive_instances.difference_update(owners)
        return tuple(owners)

    def is_owner_silent(self, service: data.ServiceId) -> bool:
        """Returns whether a shard is pending and none of its pending owners is responsive."""
        pending = self.shard_by_service[service].pending_by_attempt.values()
        return self.is_pending(service) and not self.responsive_instances.intersection(pending)

    def is_pending(self, service: data.ServiceId) -> bool:
        """Returns whether a shard has no usable part yet and a sub-request is pending."""
        shard = self.shard_by_service[service]
        return self.snapshot not in shard.part_by_snapshot and bool(shard.pending_by_attempt)

    def is_settled(self) -> bool:
        """Returns whether no shard is pending."""
        if self.is_pending(self._pending_service):
            return False
        pending = next((each for each in self.services if self.is_pending(each)), None)
        self._pending_service = pending or self._pending_service
        return pending is None

    def owners_at_work(self) -> list[data.InstanceId]:
        """Returns the owners with pending sub-requests, each once, in the order of the shards."""
        owners = (
            owner
            for shard in self.shard_by_service.values()
            for owner in shard.pending_by_attempt.values()
        )
        return list(dict.fromkeys(owners))

    def has_full_coverage(self) -> bool:
        """Returns whether the received parts cover the key space."""
        covered_keys = self._covered_keys_by_snapshot.get(self.snapshot, 0)
        if not self.snapshot or covered_keys < self.pool.key_space:
            return False
        return self.coverage().complete

    def has_minimum_coverage(self) -> bool:
        """Returns whether the received parts have the route's minimum coverage."""
        covered_keys = self._covered_keys_by_snapshot.get(self.snapshot, 0)
        if not self.snapshot or covered_keys < self.pool.key_space * self.route.minimum_coverage:
            return False
        return self.coverage().share >= self.route.minimum_coverage

    def can_reach_minimum_coverage(self) -> bool:
        """Returns whether the minimum coverage can still be reached with the pending shards.

        Always True if the table does not define the keys of the shards.
        """
        if not self.pool.snapshot or not (self._has_lost or self.reruns):
            return True
        lost_count = sum(not self.is_pending(service) for service in self.missing_services())
        # With a defined snapshot, each shard has exactly one key.
        return (
            lost_count
            <= self.pool.key_space * (1.0 - self.route.minimum_coverage) + _ROUNDING_TOLERANCE
        )

    def select_best_snapshot(self) -> None:
        """Selects the snapshot of which the received parts cover the most keys."""
        covered = self._covered_keys_by_snapshot
        if covered:
            self.snapshot = max(covered, key=lambda snapshot: (covered[snapshot], snapshot))

    def missing_services(self) -> tuple[data.ServiceId, ...]:
        """Returns the shards without a part from the selected snapshot."""
        return tuple(
            service
            for service in self.services
            if self.snapshot not in self.shard_by_service[service].part_by_snapshot
        )

    def coverage(self) -> data.Coverage:
        """Returns the coverage of the parts from the selected snapshot."""
        keys_by_service = {
            service: shard.part_by_snapshot[self.snapshot].keys
            for service, shard in self.shard_by_service.items()
            if self.snapshot in shard.part_by_snapshot
        }
        if not self.route.repeatable:
            return _single_coverage(keys_by_service, self.services)
        return coverage.measure(self.pool.key_space, keys_by_service, self.services)

    def results(self) -> tuple[data.MergeableResult, ...]:
        """Returns the best results from the selected snapshot."""
        return self._results_by_snapshot.get(self.snapshot, ())

    def _add_part(self, shard: ShardProgress, part: fanout.Part) -> None:
        if part.snapshot not in shard.part_by_snapshot:
            size = part.keys.high - part.keys.low
            covered = self._covered_keys_by_snapshot.get(part.snapshot, 0)
            self._covered_keys_by_snapshot[part.snapshot] = covered + size
        shard.part_by_snapshot[part.snapshot] = part

    def parts(self) -> tuple[fanout.Part, ...]:
        """Returns the parts from the selected snapshot, in the order of the shards."""
        return tuple(
            shard.part_by_snapshot[self.snapshot]
            for shard in self.shard_by_service.values()
            if self.snapshot in shard.part_by_snapshot
        )

    def failure_response(self) -> exchange.Response | None:
        """Returns a server's error response, if the query is for one shard only."""
        if len(self.services) != 1:
            return None
        failure = self.shard_by_service[self.services[0]].failure
        return failure.response if failure is not None else None

    def _may_merge(self, reply: messages.SubReply) -> bool:
        """Returns whether a reply's results can be merged without counting any twice.

        If the merge policy keeps duplicates, the merged results of several parts can be used only
        if none of the parts is late or already received.
        """
        if self._merge_policy.is_idempotent:
            return True
        return all(self._is_expected(part) for part in reply.parts)

    def _is_expected(self, part: fanout.Part) -> bool:
        shard = self.shard_by_service.get(part.service)
        if shard is None or part.attempt not in shard.pending_by_attempt:
            return False
        return part.snapshot not in shard.part_by_snapshot

    def _merge(
        self, results_by_snapshot: dict[data.Snapshot, tuple[data.MergeableResult, ...]]
    ) -> None:
        for snapshot, results in results_by_snapshot.items():
            merged = self._results_by_snapshot.get(snapshot, ()) + results
            self._results_by_snapshot[snapshot] = self._merge_policy.best(merged, self.spec.limit)


def _without_parts(reply: messages.SubReply) -> messages.SubReply:
    """Returns a reply in which each part is replaced by a failure with reason ``PEER_LOST``."""
    # A part does not state its number of calls; that of the whole reply is an upper bound.
    part_failures = tuple(
        fanout.Failure(part.service, part.attempt, data.Refusal.PEER_LOST, True, calls=reply.calls)
        for part in reply.parts
    )
    return msgspec.structs.replace(
        reply, parts=(), failures=reply.failures + part_failures, results_by_snapshot={}
    )


def _single_coverage(
    keys_by_service: dict[data.ServiceId, data.KeyRange], services: tuple[data.ServiceId, ...]
) -> data.Coverage:
    """Returns the coverage of a non-repeatable request, which is for one shard only."""
    done = bool(keys_by_service)
    return data.Coverage(
        complete=done,
        share=1.0 if done else 0.0,
        covered=tuple(keys_by_service),
        missing=() if done else services,
        gaps=(),
        overlaps=(),
    )
