"""Limits of the connections of callers to one server, from the settings and the tables."""

import datetime
from collections.abc import Callable

import msgspec
from tornado import httputil

from monsoonhoist.core import caller_limits, data, exchange
from monsoonhoist.node import node

# Bytes that a head may have beyond the configured limit, for the request line and line ends.
HEAD_SLACK_BYTES = 4_096
HEAD_BYTES_DEFAULT = 65_536
# Largest body that any limit allows.
BODY_BYTES_MAX = 134_217_728

# Counts a refusal of a request with these header fields, and returns the response that states it.
MakeRefusal = Callable[[data.Refusal, httputil.HTTPHeaders], exchange.Response]


class Options(msgspec.Struct, frozen=True):
    """Options of the connections of one server.

    Attributes:
        count_max: Most open connections.
        body_bytes: Largest body, where the tables have no limit.
        idle_seconds: Time after which an idle connection is closed, where the tables have no limit.
        read_limits: Returns the limits of the tables in force.
        make_refusal: Counts a refusal and returns its response.
    """

    count_max: int
    body_bytes: int
    idle_seconds: float
    read_limits: Callable[[], caller_limits.RequestLimits]
    make_refusal: MakeRefusal

    def body_bytes_max(self) -> int:
        """Returns the largest body of a request."""
        return min(self.read_limits().body_bytes or self.body_bytes, BODY_BYTES_MAX)

    def idle_seconds_max(self) -> float:
        """Returns the longest time in which no byte is read or written."""
        idle_timeout = self.read_limits().idle_timeout
        return idle_timeout.total_seconds() if idle_timeout else self.idle_seconds

    def head_seconds_max(self) -> float:
        """Returns the longest time from the first to the last byte of a head."""
        head_timeout = self.read_limits().head_timeout
        return head_timeout.total_seconds() if head_timeout else self.idle_seconds_max()

    def head_bytes_max(self) -> int:
        """Returns the largest head, with the request line."""
        head_bytes = self.read_limits().head_bytes
        return head_bytes + HEAD_SLACK_BYTES if head_bytes else HEAD_BYTES_DEFAULT


def make_options(
    local_node: node.Node, idle_timeout: datetime.timedelta, make_refusal: MakeRefusal
) -> Options:
    """Returns the options of the server for callers.

    Args:
        local_node: The node that is served.
        idle_timeout: Time after which an idle connection is closed, where the tables have no limit.
        make_refusal: Counts a refusal and returns its response.
    """
    return Options(
        count_max=local_node.config.instance.caller_connections_max(),
        body_bytes=local_node.config.limits.body_bytes,
        idle_seconds=idle_timeout.total_seconds(),
        read_limits=lambda: local_node.replicator.store.tables.request_limits,
        make_refusal=make_refusal,
    )
