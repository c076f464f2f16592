"""Record of the limits for callers' requests and connections."""

import datetime

import msgspec


class RequestLimits(msgspec.Struct, frozen=True):
    """Limits for callers' requests and connections; 0 or None for those of the settings.

    Attributes:
        body_bytes: Largest body.
        head_bytes: Largest head.
        head_timeout: Longest time from the first to the last byte of a head.
        idle_timeout: Time after which an idle connection is closed.
    """

    body_bytes: int = 0
    head_bytes: int = 0
    head_timeout: datetime.timedelta | None = None
    idle_timeout: datetime.timedelta | None = None
