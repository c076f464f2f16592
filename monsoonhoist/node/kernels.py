"""Task that runs a kernel: the decision logic, without I/O, of an entry or an owner."""

import asyncio
import logging
from collections.abc import Callable
from typing import Protocol

import msgspec

from monsoonhoist import metrics
from monsoonhoist.core import clock
from monsoonhoist.kernels import traces
from monsoonhoist.node import task
from monsoonhoist.protocol import events, server_events

_log = logging.getLogger(__name__)


class EventKernel(Protocol):
    """Interface of the entry kernel and the owner kernel."""

    def handle(self, event: object) -> list[events.Command]:
        """Processes an event and returns the commands to execute, in order."""

    def next_wake(self) -> float | None:
        """Returns when ``TimeReached`` is next due, in monotonic seconds, or None."""


Observer = Callable[[traces.Role, object, list[events.Command]], None]


class KernelTask(task.Task[object]):
    """Passes events from its inbox to a kernel and executes the commands that it returns.

    Args:
        role: Role of the kernel, entry or owner.
        kernel: The kernel.
        time_source: The kernel's clock, advanced before each event.
        counters: Metrics, for the kernel's counting commands.
        execute: Executes the other commands.
        observers: Called with each event and its commands.
    """

    def __init__(
        self,
        role: traces.Role,
        kernel: EventKernel,
        time_source: clock.EventClock,
        counters: metrics.Metrics,
        execute: Callable[[events.Command], None],
        observers: tuple[Observer, ...] = (),
    ):
        super().__init__()
        self._role = role
        self._kernel = kernel
        self._clock = time_source
        self._counters = counters
        self._execute = execute
        self._observers = observers
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at: float | None = None

    def handle(self, message: object) -> None:
        """Passes an event to the kernel and executes the resulting commands."""
        self._clock.tick()
        commands = self._kernel.handle(message)
        for observe in self._observers:
            observe(self._role, message, commands)
        for command in commands:
            match command:
                case events.CountRefusal():
                    self._counters.count_refusal(command.reason)
                case events.CountRetry():
                    self._counters.count_retry(command.reason)
                case events.CountCallNotAllowed():
                    self._counters.count_call_not_allowed(command.bound)
                case events.CountDecision():
                    self._counters.count_decision(command.decision)
                case events.CountLateReply():
                    self._counters.count_late_reply()
                case server_events.SlowStartBegan():
                    self._counters.count_slow_start(command.cause)
                    _log.info("slow start began", extra=msgspec.structs.asdict(command))
                case server_events.ServerTurnedCold():
                    self._counters.count_cold_server()
                    _log.info("server is cold", extra=msgspec.structs.asdict(command))
                case server_events.CountQuotaRefusal():
                    self._counters.count_quota_refusal()
                case server_events.SlowStartEnded():
                    _log.info("slow start ended", extra=msgspec.structs.asdict(command))
                case _:
                    self._execute(command)
        self._set_timer()

    def _set_timer(self) -> None:
        wake_at = self._kernel.next_wake()
        if wake_at == self._timer_at:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer_at = wake_at
        if wake_at is not None:
            self._timer = asyncio.get_running_loop().call_at(wake_at, self._handle_timer)

    def _handle_timer(self) -> None:
        self._timer_at = None
        self._timer = None
        self.submit(events.TimeReached())
