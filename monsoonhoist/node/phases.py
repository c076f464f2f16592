"""Phases of a process's life."""

import enum


class Phase(enum.Enum):
    """Phase of a process's life.

    ``STARTING`` takes no requests yet, also after a pause; ``LEAVING`` still takes requests
    for the balancer's lag; ``CLOSED`` only ends those in flight.
    """

    STARTING = "starting"
    READY = "ready"
    LEAVING = "leaving"
    CLOSED = "closed"
