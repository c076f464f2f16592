"""An event loop whose time is simulated, and its clock."""

import asyncio
import selectors

from monsoonhoist.core import clock

# Time that each turn of the loop takes at least. A timer may run a little early, so that what it
# waits for is not due yet; without this, the next one would run at the same time.
TURN_SECONDS = 1e-8


class SimulatedLoop(asyncio.SelectorEventLoop):
    """An event loop without sockets, whose time advances to the next timer at once."""

    def __init__(self):
        super().__init__(selectors.SelectSelector())
        self.now = 0.0
        self._selector.select = self._skip

    def time(self):
        """Returns the simulated time in seconds."""
        return self.now

    def _skip(self, timeout):
        self.now += max(timeout or 0.0, TURN_SECONDS)
        return []


class LoopClock(clock.Clock):
    """The time of the simulated loop."""

    def monotonic(self):
        """Returns the time in seconds."""
        return asyncio.get_running_loop().time()
