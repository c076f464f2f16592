"""Stand-in for the platform: the configuration service and the instance list.

Usage: ``python -m standins.platform PORT``. Readers use ``/v1``; ``/control`` is the
operators' and the tests' side.
"""

import asyncio
import contextlib
import copy
import enum
import sys

import msgspec
from tornado import web

MS_PER_SECOND = 1000


class Mode(enum.Enum):
    """How the configuration service behaves.

    ``down`` refuses every call, ``stale`` serves the state frozen when the mode was set,
    and ``old`` serves the state at the service's start.
    """

    OK = "ok"
    DOWN = "down"
    STALE = "stale"
    OLD = "old"


class StoredValue(msgspec.Struct, frozen=True):
    """A published value."""

    number: int
    text: str


class Contents(msgspec.Struct):
    """State of the service."""

    index: int
    value_by_key: dict[str, StoredValue]


class Platform:
    """State of the stand-in."""

    def __init__(self) -> None:
        self.contents = Contents(1, {})
        self.served = self.contents
        self.old = copy.deepcopy(self.contents)
        self.mode = Mode.OK
        self.instances: list[dict] = []
        self.instances_frozen: list[dict] | None = None
        self.reads = 0
        self.changed = asyncio.Condition()

    async def publish(self, key: str, text: str, number: int) -> int:
        """Publishes a value and returns its revision number."""
        current = self.contents.value_by_key.get(key)
        number = number or (current.number + 1 if current else 1)
        self.contents.value_by_key[key] = StoredValue(number, text)
        self.contents.index += 1
        async with self.changed:
            self.changed.notify_all()
        return number

    async def set_mode(self, mode: Mode) -> None:
        """Changes the behaviour and wakes the waiting watches."""
        self.mode = mode
        if mode is Mode.STALE:
            self.served = copy.deepcopy(self.contents)
        elif mode is Mode.OLD:
            self.served = copy.deepcopy(self.old)
        else:
            self.served = self.contents
        async with self.changed:
            self.changed.notify_all()

    def mark_old(self) -> None:
        """Keeps the present state for the mode ``old``."""
        self.old = copy.deepcopy(self.contents)


class Handler(web.RequestHandler):
    """Base of the handlers."""

    def initialize(self, platform: Platform) -> None:
        """Takes the state."""
        self.platform = platform

    def is_down(self) -> bool:
        """Counts a read; refuses it and returns True in the mode ``down``."""
        self.platform.reads += 1
        if self.platform.mode is Mode.DOWN:
            self.set_status(503)
            self.finish("down\n")
            return True
        return False


class IndexHandler(Handler):
    """``GET /v1/index``: revisions of all keys, after a change or a wait."""

    async def get(self) -> None:
        """Replies with the index."""
        if self.is_down():
            return
        after = int(self.get_argument("after", "0"))
        wait_ms = int(self.get_argument("wait_ms", "0"))
        platform = self.platform
        if platform.served.index == after and wait_ms:
            async with platform.changed:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(platform.changed.wait(), wait_ms / MS_PER_SECOND)
        if platform.mode is Mode.DOWN:
            self.set_status(503)
            return
        served = platform.served
        numbers = {key: value.number for key, value in served.value_by_key.items()}
        self.finish({"index": served.index, "number_by_key": numbers})


class ValueHandler(Handler):
    """``GET /v1/values/KEY``: one value."""

    def get(self, key: str) -> None:
        """Replies with the value, or 404."""
        if self.is_down():
            return
        value = self.platform.served.value_by_key.get(key)
        if value is None:
            self.set_status(404)
            return
        self.finish(msgspec.json.encode(value))


class InstancesHandler(Handler):
    """``GET /v1/instances``: the instance list."""

    def get(self) -> None:
        """Replies with the list, or a frozen one."""
        frozen = self.platform.instances_frozen
        rows = self.platform.instances if frozen is None else frozen
        self.finish(msgspec.json.encode(rows))


class ControlHandler(Handler):
    """``/control/...``: publishing and failures."""

    async def put(self, path: str) -> None:
        """Publishes a value or the instance list, or sets the mode."""
        kind, _, rest = path.partition("/")
        body = self.request.body.decode()
        if kind == "values":
            number = int(self.get_argument("number", "0"))
            self.finish({"number": await self.platform.publish(rest, body, number)})
        elif kind == "instances":
            self.platform.instances = msgspec.json.decode(body)
        elif kind == "mode":
            await self.platform.set_mode(Mode(body))
        elif kind == "old":
            self.platform.mark_old()
        elif kind == "freeze-instances":
            rows = self.platform.instances
            self.platform.instances_frozen = copy.deepcopy(rows) if body == "yes" else None
        else:
            self.set_status(404)

    def get(self, path: str) -> None:
        """Replies with the number of reads."""
        self.finish({"reads": self.platform.reads})


def make_application(platform: Platform) -> web.Application:
    """Returns the HTTP application of the stand-in."""
    arguments = {"platform": platform}
    return web.Application(
        [
            (r"/v1/index", IndexHandler, arguments),
            (r"/v1/values/(.+)", ValueHandler, arguments),
            (r"/v1/instances", InstancesHandler, arguments),
            (r"/control/(.+)", ControlHandler, arguments),
        ],
        log_function=lambda handler: None,
    )


async def _serve(port: int) -> None:
    make_application(Platform()).listen(port, address="127.0.0.1")
    await asyncio.Event().wait()


def main() -> None:
    """Serves until ended."""
    asyncio.run(_serve(int(sys.argv[1])))


if __name__ == "__main__":
    main()
