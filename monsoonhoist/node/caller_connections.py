"""Connections of callers: what they hold in memory, how many are open, and when they are closed.

The servers of both dialects use this module. ``overload.held_bytes`` and
``overload.open_connections`` decide which connection is closed when there is too much.
"""

import asyncio
import itertools
import logging

import msgspec
from tornado import httputil, iostream

from monsoonhoist import metrics
from monsoonhoist.core import data
from monsoonhoist.node import caller_options, caller_stream, message_guard, node
from monsoonhoist.overload import held_bytes, open_connections

# Interval between checks for heads, bodies and answers that make no progress.
CHECK_SECONDS = 0.25

_log = logging.getLogger(__name__)


class CallerConnections(caller_stream.StreamListener):
    """All connections of callers to one server.

    Args:
        options: Limits of the server.
        account: Account of the bytes that all callers make the process hold.
        counters: Metrics of this instance.
    """

    def __init__(
        self,
        options: caller_options.Options,
        account: held_bytes.HeldBytes[caller_stream.CallerStream],
        counters: metrics.Metrics,
    ):
        self.options = options
        self._account = account
        self._counters = counters
        self._open: open_connections.OpenConnections[caller_stream.CallerStream] = (
            open_connections.OpenConnections(options.count_max)
        )
        self._numbers = itertools.count(1)
        self._loop = asyncio.get_running_loop()
        # Connections in the middle of a request or an answer, on which the caller may stall.
        self._unfinished: set[caller_stream.CallerStream] = set()
        self._check_timer: asyncio.TimerHandle | None = None

    def __len__(self) -> int:
        return len(self._open)

    @property
    def held(self) -> int:
        """Bytes that all connections of the account hold."""
        return self._account.total

    def make_others(self, count_max: int) -> "CallerConnections":
        """Returns connections with the same account and another limit of their number."""
        options = msgspec.structs.replace(self.options, count_max=count_max)
        return CallerConnections(options, self._account, self._counters)

    def adopt(self, stream: iostream.IOStream) -> caller_stream.CallerStream:
        """Returns the stream of a new connection in place of the one that Tornado made for it."""
        caller = caller_stream.CallerStream(
            stream.socket, next(self._numbers), self, self._loop.time()
        )
        excess = self._open.open(caller)
        if excess is not None:
            self.record_close(excess, "too_many_connections")
            excess.close()
        return caller

    def begin_message(
        self,
        caller: caller_stream.CallerStream,
        connection: httputil.HTTPConnection,
        delegate: httputil.HTTPMessageDelegate,
    ) -> message_guard.MessageGuard:
        """Returns the receiver of a connection's next request."""
        caller.begin_message()
        return message_guard.MessageGuard(caller, connection, delegate, self, self.options)

    def begin_work(self, caller: caller_stream.CallerStream) -> None:
        """Records that a request is complete."""
        caller.state = caller_stream.State.WORKING
        self._open.begin_work(caller)
        self._unfinished.discard(caller)

    def end_work(self, caller: caller_stream.CallerStream) -> None:
        """Records that a request has its answer."""
        self._open.end_work(caller)

    def handle_change(self, caller: caller_stream.CallerStream) -> None:
        """Counts what a connection holds after it has changed; ends the largest if it is too much.

        The largest ends in the next iteration of the event loop, since this method runs within the
        reads and writes of streams.
        """
        if caller.closed():
            return
        if caller.state is caller_stream.State.HEAD:
            # The time limit of a head starts at its first byte.
            if caller not in self._unfinished:
                caller.since = self._loop.time()
                self._watch(caller)
        elif caller.state is caller_stream.State.BODY or caller.unsent:
            caller.since = self._loop.time()
            self._watch(caller)
        else:
            self._unfinished.discard(caller)
        change = caller.held - caller.counted
        caller.counted = caller.held
        largest = self._account.add(caller, change) if change else None
        if largest is not None:
            self._account.release(largest)
            self._loop.call_soon(self._end_largest, largest, largest.counted)
            largest.counted = 0

    def forget(self, caller: caller_stream.CallerStream) -> None:
        """Removes a connection that is closed."""
        self._account.release(caller)
        self._open.close(caller)
        self._unfinished.discard(caller)

    def record_close(
        self, caller: caller_stream.CallerStream, reason: str, held: int | None = None
    ) -> None:
        """Counts and logs that a caller is refused or its connection is closed."""
        self._counters.count_caller_closed(reason)
        extra = {
            "connection": caller.number,
            "reason": reason,
            "state": caller.state.value,
            "held": caller.held if held is None else held,
            "held_by_all": self._account.total,
            "open": len(self._open),
            "age": round(self._loop.time() - caller.since, 3),
        }
        _log.info("caller connection closed", extra=extra)

    def _end_largest(self, caller: caller_stream.CallerStream, held: int) -> None:
        if caller.closed():
            return
        self.record_close(caller, "memory", held)
        if caller.state is caller_stream.State.BODY and caller.message is not None:
            caller.message.refuse(data.Refusal.OVERLOAD)
        else:
            caller.close()

    def _watch(self, caller: caller_stream.CallerStream) -> None:
        self._unfinished.add(caller)
        if self._check_timer is None:
            self._check_timer = self._loop.call_later(CHECK_SECONDS, self._check)

    def _check(self) -> None:
        """Closes connections whose head takes too long, or on which no byte is read or written."""
        self._check_timer = None
        now = self._loop.time()
        idle_seconds = self.options.idle_seconds_max()
        head_seconds = self.options.head_seconds_max()
        for caller in list(self._unfinished):
            is_head = caller.state is caller_stream.State.HEAD
            if now - caller.since > (head_seconds if is_head else idle_seconds):
                self.record_close(caller, "head_too_slow" if is_head else "stalled")
                caller.close()
        if self._unfinished:
            self._check_timer = self._loop.call_later(CHECK_SECONDS, self._check)


def make_connections(local_node: node.Node, options: caller_options.Options) -> CallerConnections:
    """Returns the connections of callers of a node, with their account and their gauges."""
    account = held_bytes.HeldBytes(local_node.config.memory_shares().callers)
    connections = CallerConnections(options, account, local_node.counters)
    add_gauge = local_node.counters.add_gauge
    add_gauge(
        "caller_connections",
        "Open connections of callers",
        "",
        lambda: {metrics.NO_LABELS: len(connections)},
    )
    add_gauge(
        "caller_bytes",
        "Bytes that requests and unread answers of callers hold",
        "By",
        lambda: {metrics.NO_LABELS: connections.held},
    )
    return connections
