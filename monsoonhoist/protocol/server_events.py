"""Commands by which an owner reports about servers that start or are cold."""

import msgspec

from monsoonhoist.core import data


class SlowStartBegan(msgspec.Struct, frozen=True, tag="slow-start-began"):
    """Reports that a server receives only a part of its usual load, which grows with its replies.

    Attributes:
        server: The server.
        cause: Why it starts slowly.
        share: The part that it receives at first, from 0 to 1.
    """

    server: data.ServerId
    cause: str
    share: float


class SlowStartEnded(msgspec.Struct, frozen=True, tag="slow-start-ended"):
    """Reports that a server receives its usual load again.

    Attributes:
        server: The server.
        age_seconds: Time since its slow start began.
        calls: Number of its calls that have ended meanwhile.
        latency_ratio: Their latency as a multiple of the route's median, smoothed.
    """

    server: data.ServerId
    age_seconds: float
    calls: int
    latency_ratio: float


class ServerTurnedCold(msgspec.Struct, frozen=True, tag="server-turned-cold"):
    """Reports that a server which this owner calls has become cold.

    Attributes:
        server: The server.
        cold_seconds: How long it stays cold.
        rate: Requests per second that its service states for a cold server; 0 for no limit.
        quota: Calls that this instance may send within the window of a quota; 0 without a limit.
        instances: Number of instances among which the rate is divided.
    """

    server: data.ServerId
    cold_seconds: float
    rate: float
    quota: int
    instances: int


class CountQuotaRefusal(msgspec.Struct, frozen=True, tag="count-quota-refusal"):
    """Counts a sub-request that was refused because of the quotas for cold servers."""
