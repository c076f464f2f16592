"""When a caller whose request was refused should come again."""

from monsoonhoist.core import data, hashing

# Seconds by reason. Another instance can serve a request that this one is not ready for;
# servers that are away or full need a moment.
BASE_SECONDS_BY_REFUSAL = {
    data.Refusal.LEAVING: 0.02,
    data.Refusal.NOT_READY: 0.1,
    data.Refusal.SHED: 0.2,
    data.Refusal.SHED_WITHOUT_LOAD: 0.1,
    data.Refusal.CONNECTIONS: 0.2,
    data.Refusal.QUEUE_FULL: 0.2,
    data.Refusal.EXPIRED_IN_QUEUE: 0.2,
    data.Refusal.OVERLOAD: 0.3,
    data.Refusal.NO_SERVER: 0.3,
}
DEFAULT_BASE_SECONDS = 0.1
# Callers that are refused together come back spread over this factor either way.
JITTER_SHARE = 0.5
_JITTER_STEPS = 1000


def delay_seconds(reason: data.Refusal | None, request_id: str) -> float:
    """Returns the seconds after which to come again.

    Args:
        reason: Why the request was refused.
        request_id: The caller's name for the request, which decides its place in the
            spread.
    """
    base = BASE_SECONDS_BY_REFUSAL.get(reason, DEFAULT_BASE_SECONDS)
    fraction = hashing.weight(request_id) % _JITTER_STEPS / _JITTER_STEPS
    return base * (1.0 - JITTER_SHARE + 2.0 * JITTER_SHARE * fraction)
