"""Stand-in for the configuration service and the instance list of the native dialect.

Usage: ``python -m standins.config_service PORT``. The program reads under ``/v1``; operators and
tests publish values and inject failures under ``/control``.
"""

import asyncio
import contextlib
import copy
import enum
import sys

import msgspec
from tornado import web

MS_PER_SECOND = 1000
FIRST_ERA = 1
# Era that a service states which knows no eras.
NO_ERA = 0


class Mode(enum.Enum):
    """Behaviour of the configuration service.

    ``ok`` serves the current state, ``down`` refuses reads of the index and of values, ``stale``
    serves the state as it was when the mode was set, and ``old`` serves the saved state, which is
    that of the start until ``PUT /control/old`` saves another. The instance list is always served.
    """

    OK = "ok"
    DOWN = "down"
    STALE = "stale"
    OLD = "old"


class StoredValue(msgspec.Struct, frozen=True):
    """A published value.

    Attributes:
        number: Revision number of the value.
        text: The value itself.
    """

    number: int
    text: str


class ValueReply(msgspec.Struct, frozen=True, omit_defaults=True):
    """Reply to a read of a value, with the era of the service's state if it states one."""

    number: int
    text: str
    era: int = NO_ERA


class IndexReply(msgspec.Struct, frozen=True, omit_defaults=True):
    """Reply to a read of the index, with the era of the service's state if it states one."""

    index: int
    number_by_key: dict[str, int]
    era: int = NO_ERA


class ServiceState(msgspec.Struct):
    """State of the configuration service.

    Attributes:
        index: Counter that each published value increments.
        value_by_key: Latest value of each key.
        era: Number of the service's life, which rises by one when it comes back from an older
            copy; ``NO_ERA`` if it states none.
    """

    index: int
    value_by_key: dict[str, StoredValue]
    era: int = FIRST_ERA


class ConfigService:
    """State and behaviour of the configuration service and of the instance list.

    Attributes:
        state: Current state of the configuration service.
        served_state: State that reads return.
        saved_state: State that the mode ``old`` serves.
        mode: Behaviour of the configuration service.
        instances: Rows of the instance list.
        frozen_instances: Rows that reads return instead of ``instances``; None if not frozen.
        read_count: Number of reads of the configuration service.
        is_away: Whether writes are refused, because the service comes back from a copy soon.
        state_changed: Notified after each change of the state or of the mode.
    """

    def __init__(self) -> None:
        self.state = ServiceState(1, {})
        self.served_state = self.state
        self.saved_state = copy.deepcopy(self.state)
        self.mode = Mode.OK
        self.instances: list[dict] = []
        self.frozen_instances: list[dict] | None = None
        self.read_count = 0
        self.is_away = False
        self.state_changed = asyncio.Condition()

    @property
    def is_down(self) -> bool:
        """Whether reads of the index and of values are refused."""
        return self.is_away or self.mode is Mode.DOWN

    async def publish(self, key: str, text: str, number: int) -> int:
        """Publishes a value and returns its revision number.

        Args:
            key: Key of the value.
            text: The value.
            number: Revision number; 0 for one more than the current one.
        """
        current = self.state.value_by_key.get(key)
        number = number or (current.number + 1 if current else 1)
        self.state.value_by_key[key] = StoredValue(number, text)
        self.state.index += 1
        async with self.state_changed:
            self.state_changed.notify_all()
        return number

    async def set_mode(self, mode: Mode) -> None:
        """Sets the mode and wakes the requests that wait for a change."""
        self.mode = mode
        if mode is Mode.STALE:
            self.served_state = copy.deepcopy(self.state)
        elif mode is Mode.OLD:
            self.served_state = copy.deepcopy(self.saved_state)
        else:
            self.served_state = self.state
        async with self.state_changed:
            self.state_changed.notify_all()

    def save_state(self) -> None:
        """Saves the current state for the mode ``old`` and for a return."""
        self.saved_state = copy.deepcopy(self.state)

    def state_no_era(self) -> None:
        """Leaves the era out of all further replies."""
        self.state.era = NO_ERA
        self.saved_state.era = NO_ERA

    async def return_from_copy(self, away_seconds: float) -> None:
        """Refuses reads and writes for a time, and continues from the saved state in a new era.

        The index goes back to that of the saved state, and numbers are given out again.
        """
        self.is_away = True
        await self.set_mode(Mode.DOWN)
        await asyncio.sleep(away_seconds)
        era = self.state.era
        self.state = copy.deepcopy(self.saved_state)
        self.state.era = era + 1 if era != NO_ERA else NO_ERA
        self.is_away = False
        await self.set_mode(Mode.OK)


class Handler(web.RequestHandler):
    """Base class of the request handlers."""

    def initialize(self, config_service: ConfigService) -> None:
        """Initialises the handler with the state that all handlers share."""
        self.config_service = config_service

    def refuse_if_down(self) -> bool:
        """Counts a read; while the service is down or away, refuses it and returns True."""
        self.config_service.read_count += 1
        if self.config_service.is_down:
            self.set_status(503)
            self.finish("down\n")
            return True
        return False


class IndexHandler(Handler):
    """``GET /v1/index``: revision numbers of all keys.

    If the index still equals the argument ``after``, and the era the argument ``era``, the reply is
    delayed until a change or until ``wait_ms`` has passed.
    """

    async def get(self) -> None:
        """Replies with the index and the revision numbers."""
        if self.refuse_if_down():
            return
        after = int(self.get_argument("after", "0"))
        wait_ms = int(self.get_argument("wait_ms", "0"))
        config_service = self.config_service
        era = int(self.get_argument("era", str(NO_ERA)))
        is_unchanged = config_service.served_state.index == after
        if config_service.served_state.era != NO_ERA and era != config_service.served_state.era:
            is_unchanged = False
        if is_unchanged and wait_ms:
            async with config_service.state_changed:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(
                        config_service.state_changed.wait(), wait_ms / MS_PER_SECOND
                    )
        if config_service.is_down:
            self.set_status(503)
            return
        served = config_service.served_state
        numbers = {key: value.number for key, value in served.value_by_key.items()}
        reply = IndexReply(served.index, numbers, served.era)
        self.finish(msgspec.json.encode(reply))


class ValueHandler(Handler):
    """``GET /v1/values/KEY``: the value of a key."""

    def get(self, key: str) -> None:
        """Replies with the value, or 404."""
        if self.refuse_if_down():
            return
        served = self.config_service.served_state
        value = served.value_by_key.get(key)
        if value is None:
            self.set_status(404)
            return
        self.finish(msgspec.json.encode(ValueReply(value.number, value.text, served.era)))


class InstancesHandler(Handler):
    """``GET /v1/instances``: the instance list."""

    def get(self) -> None:
        """Replies with the frozen list if there is one, otherwise with the current list."""
        frozen = self.config_service.frozen_instances
        rows = self.config_service.instances if frozen is None else frozen
        self.finish(msgspec.json.encode(rows))


class ControlHandler(Handler):
    """``/control/...``: publishes values and injects failures."""

    async def put(self, path: str) -> None:
        """Carries out the command that the path names.

        ``values/KEY`` publishes a value, ``instances`` replaces the instance list, ``mode`` sets
        the mode, ``old`` saves the state for the mode ``old`` and for ``return``, which lets the
        service come back from the saved state after the seconds in the body and replies when it is
        back, ``no-era`` leaves the era out of the replies, and ``freeze-instances`` freezes the
        instance list if the body is ``yes`` and unfreezes it otherwise. While the service is away,
        values are refused with status 503.
        """
        command, _, key = path.partition("/")
        body = self.request.body.decode()
        if command == "values" and self.config_service.is_away:
            self.set_status(503)
            self.finish({"number": 0})
        elif command == "values":
            number = int(self.get_argument("number", "0"))
            self.finish({"number": await self.config_service.publish(key, body, number)})
        elif command == "instances":
            self.config_service.instances = msgspec.json.decode(body)
        elif command == "mode":
            await self.config_service.set_mode(Mode(body))
        elif command == "old":
            self.config_service.save_state()
        elif command == "return":
            await self.config_service.return_from_copy(float(body))
        elif command == "no-era":
            self.config_service.state_no_era()
        elif command == "freeze-instances":
            rows = self.config_service.instances
            self.config_service.frozen_instances = copy.deepcopy(rows) if body == "yes" else None
        else:
            self.set_status(404)

    def get(self, path: str) -> None:
        """Replies with the number of reads of the configuration service."""
        self.finish({"reads": self.config_service.read_count})


def make_application(config_service: ConfigService) -> web.Application:
    """Returns the HTTP application of the stand-in."""
    arguments = {"config_service": config_service}
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
    make_application(ConfigService()).listen(port, address="127.0.0.1")
    await asyncio.Event().wait()


def main() -> None:
    """Runs the stand-in until the process is terminated."""
    asyncio.run(_serve(int(sys.argv[1])))


if __name__ == "__main__":
    main()
