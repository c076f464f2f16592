"""The serving process: from settings to a running instance and its end."""

import asyncio
import logging
import pathlib
import signal
import time

from monsoonhoist import errors, logs, settings
from monsoonhoist.core import clock, data
from monsoonhoist.node import gauges, logwriter, node

# Period at which the settings file is looked at, since it may change without a signal.
SETTINGS_CHECK_SECONDS = 2.0

_log = logging.getLogger(__name__)


def run(path: pathlib.Path, log_level: str, trace_path: pathlib.Path | None) -> None:
    """Serves until the process is told to end by SIGTERM or SIGINT.

    Args:
        path: File with the settings; read again on SIGHUP and when it changes.
        log_level: Name of the lowest level to log.
        trace_path: File for a trace of kernel events; None for no trace.

    Raises:
        SettingsError: If the settings cannot be read or hold errors.
    """
    config = settings.load(path)
    incarnation = data.Incarnation(time.time_ns())
    handler = logs.configure(log_level, data.InstanceId(config.instance.name), incarnation)
    asyncio.run(_serve(config, path, incarnation, trace_path, handler))


async def _serve(
    config: settings.Settings,
    path: pathlib.Path,
    incarnation: data.Incarnation,
    trace_path: pathlib.Path | None,
    handler: logs.BufferHandler,
) -> None:
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    time_source = clock.SystemClock()
    instance = node.Node(config, incarnation, time_source, trace_path)
    gauges.register_gauges(instance, time_source)
    writer = logwriter.LogWriter(handler, instance.counters)
    writer.start()
    server = instance.dialect.make_server(instance)
    server.start()
    instance.start()
    watch = SettingsWatcher(path, instance)
    loop.add_signal_handler(signal.SIGHUP, watch.reload)
    watching = asyncio.create_task(watch.run(), name="settings")
    _log.info("listening", extra={"host": str(config.instance.host)})
    await stopping.wait()
    watching.cancel()
    await instance.leave()
    await server.close()
    writer.stop()


class SettingsWatcher:
    """Reads the settings file again when it changes.

    Args:
        path: The file.
        instance: Takes over the new settings.
    """

    def __init__(self, path: pathlib.Path, instance: node.Node):
        self._path = path
        self._instance = instance
        self._text = _read(path)

    async def run(self) -> None:
        """Looks at the file at intervals."""
        while True:
            await asyncio.sleep(SETTINGS_CHECK_SECONDS)
            if _read(self._path) != self._text:
                self.reload()

    def reload(self) -> None:
        """Takes over the settings; those with errors change nothing."""
        self._text = _read(self._path)
        try:
            config = settings.load(self._path)
        except errors.SettingsError as error:
            findings = [finding.describe() for finding in error.findings]
            _log.error("settings not taken over", extra={"findings": findings})
            return
        self._instance.reconfigure(config)


def _read(path: pathlib.Path) -> str | None:
    """Returns the text of a file, or None if it cannot be read."""
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        _log.warning("settings file not read", extra={"error": str(error)})
        return None
