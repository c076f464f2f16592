"""Delay after which a caller whose request was refused should retry."""

from monsoonhoist.core import data, hashing

# Delay before jitter. It is short where another instance can serve the request at once, and longer
# where servers are unavailable or overloaded.
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
# Largest deviation from the base delay, as a share of it. It spreads the retries of callers that
# are refused at the same time.
JITTER_SHARE = 0.5
_JITTER_STEPS = 1000


def delay_seconds(reason: data.Refusal | None, key: str, wait_seconds: float = 0.0) -> float:
    """Returns the delay after which to retry, in seconds, with jitter.

    Args:
        reason: Why the request was refused; None for the default delay.
        key: Text from which the jitter is derived, different for each request.
        wait_seconds: Time until servers are available; 0 if unknown. The delay is longer. After a
            refusal because of overload it is the delay itself and already includes jitter, since
            admission control keeps places for callers that return then.
    """
    if reason is data.Refusal.OVERLOAD and wait_seconds > 0.0:
        return wait_seconds
    base = BASE_SECONDS_BY_REFUSAL.get(reason, DEFAULT_BASE_SECONDS)
    fraction = hashing.stable_hash(key) % _JITTER_STEPS / _JITTER_STEPS
    delay = base * (1.0 - JITTER_SHARE + 2.0 * JITTER_SHARE * fraction)
    return wait_seconds + delay if wait_seconds > 0.0 else delay
