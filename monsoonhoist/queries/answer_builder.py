"""Builds the answer to a caller from the state of a query."""

import collections

from monsoonhoist.core import data, exchange
from monsoonhoist.queries import query


def make_answer(state: query.QueryState) -> data.Answer:
    """Returns the best answer that the state of a query permits.

    The outcome is ``not_run`` only if it is proved that no sub-request ran.
    """
    coverage = state.coverage()
    if coverage.covered and coverage.complete:
        return _build_answer(state, coverage, data.Outcome.ANSWERED, None, "")
    reason = _most_common_reason(state)
    if coverage.covered and coverage.share >= state.route.minimum_coverage:
        detail = f"{len(coverage.missing)} shards are missing"
        return _build_answer(state, coverage, data.Outcome.PARTIAL, reason, detail)
    if not _may_have_run(state):
        return _build_answer(
            state, coverage, data.Outcome.NOT_RUN, reason, "no shard ran the request"
        )
    if not state.route.repeatable:
        detail = "the request may have run; do not send it again without looking"
        return _build_answer(state, coverage, data.Outcome.UNKNOWN, reason, detail)
    detail = f"covered {coverage.share:.4f} of the keys, less than the route's minimum"
    return _build_answer(state, coverage, data.Outcome.FAILED, reason, detail)


def make_attachments(state: query.QueryState) -> exchange.AnswerAttachments:
    """Returns the data that accompanies the answer record."""
    parts = state.parts()
    response = parts[0].response if parts else state.failure_response()
    return exchange.AnswerAttachments(
        records=tuple(result for result in state.results() if isinstance(result, bytes)),
        proofs=tuple(part.proof for part in parts),
        missing=len(state.services) - len(parts),
        response=response if len(state.services) == 1 else None,
    )


def make_not_run(request_id: str, reason: data.Refusal, detail: str) -> data.Answer:
    """Returns the answer to a request that was refused before anything ran."""
    return data.Answer(request_id, data.Outcome.NOT_RUN, reason, detail)


def make_unknown(request_id: str, reason: data.Refusal, detail: str) -> data.Answer:
    """Returns the answer to a request of which it is unknown whether it ran."""
    return data.Answer(request_id, data.Outcome.UNKNOWN, reason, detail)


def _build_answer(
    state: query.QueryState,
    coverage: data.Coverage,
    outcome: data.Outcome,
    reason: data.Refusal | None,
    detail: str,
) -> data.Answer:
    has_results = outcome in (data.Outcome.ANSWERED, data.Outcome.PARTIAL)
    return data.Answer(
        request_id=state.request_id,
        outcome=outcome,
        reason=reason,
        detail=detail,
        snapshot=state.snapshot if has_results else data.LATEST_SNAPSHOT,
        coverage=coverage,
        results=_scored_results(state) if has_results else (),
        sub_requests=state.sub_requests,
        wait_ms=_longest_wait_ms(state) if outcome is data.Outcome.NOT_RUN else 0,
    )


def _scored_results(state: query.QueryState) -> tuple[data.Result, ...]:
    """Returns the results that are shown to callers of the native interface."""
    return tuple(result for result in state.results() if isinstance(result, data.Result))


def _may_have_run(state: query.QueryState) -> bool:
    """Returns whether any sub-request, including those without a reply, may have run."""
    return any(
        shard.may_have_run or shard.pending_by_attempt for shard in state.shard_by_service.values()
    )


def _longest_wait_ms(state: query.QueryState) -> int:
    """Returns the longest time until a shard without a part has an available server."""
    failures = [state.shard_by_service[service].failure for service in state.missing_services()]
    return max((failure.wait_ms for failure in failures if failure is not None), default=0)


def _most_common_reason(state: query.QueryState) -> data.Refusal:
    """Returns the most common reason among the shards without a part.

    If every shard has a part, it is ``SNAPSHOT_GONE``: the keys of the parts have gaps or overlap.
    """
    reasons: list[data.Refusal] = []
    for service in state.missing_services():
        shard = state.shard_by_service[service]
        if shard.pending_by_attempt or shard.failure is None:
            reasons.append(data.Refusal.TIMEOUT)
        else:
            reasons.append(shard.failure.reason)
    if not reasons:
        return data.Refusal.SNAPSHOT_GONE
    return collections.Counter(reasons).most_common(1)[0][0]
