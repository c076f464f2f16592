"""The serving process: from settings to a running instance and its end."""

import asyncio
import logging
import pathlib
import signal
import time

from monsoonhoist import logs, settings
from monsoonhoist.core import clock, data
from monsoonhoist.node import node

_log = logging.getLogger(__name__)


def run(config: settings.Settings, log_level: str, trace_path: pathlib.Path | None) -> None:
    """Serves until the process is told to end by SIGTERM or SIGINT."""
    incarnation = data.Incarnation(time.time_ns())
    logs.configure(log_level, data.InstanceId(config.instance.name), incarnation)
    asyncio.run(_serve(config, incarnation, trace_path))


async def _serve(
    config: settings.Settings,
    incarnation: data.Incarnation,
    trace_path: pathlib.Path | None,
) -> None:
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    instance = node.Node(config, incarnation, clock.SystemClock(), trace_path)
    server = instance.dialect.make_server(instance)
    server.start()
    instance.start()
    _log.info("listening", extra={"host": str(config.instance.host)})
    await stopping.wait()
    await instance.leave()
    await server.close()
