"""Phases of the life cycle of a process."""

import enum


class Phase(enum.Enum):
    """Phase of the life cycle of a process.

    ``STARTING``, at the start and after a pause, is not ready for requests; the native dialect
    refuses them, and the dialect ``platform`` accepts them once it has routes. ``LEAVING`` is not
    ready either, but still accepts requests for the time that the load balancer needs to stop
    sending them. ``CLOSED`` refuses new requests and completes those in flight.
    """

    STARTING = "starting"
    READY = "ready"
    LEAVING = "leaving"
    CLOSED = "closed"
