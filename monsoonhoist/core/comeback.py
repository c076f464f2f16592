"""When a caller whose request was refused should come again."""

from monsoonhoist.core import data, hashing

# Seconds by reason. Another instance can serve a request that this one is not ready for;
# servers that are away or full need a moment.
SECONDS_BY_REFUSAL = {
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
SECONDS_OTHERWISE = 0.1
# Callers that are refused together come back spread over this factor either way.
SPREAD = 0.5
_STEPS = 1000


def seconds(reason: data.Refusal | None, request_id: str) -> float:
    """Returns the seconds after which to come again.

    Args:
        reason: Why the request was refused.
        request_id: The caller's name for the request, which decides its place in the
            spread.
    """
    base = SECONDS_BY_REFUSAL.get(reason, SECONDS_OTHERWISE)
    place = hashing.weight(request_id) % _STEPS / _STEPS
    return base * (1.0 - SPREAD + 2.0 * SPREAD * place)
