"""The serving process: loads the settings, runs an instance and shuts it down."""

import asyncio
import logging
import pathlib
import signal
import time

from monsoonhoist import errors, logs, settings, settings_file
from monsoonhoist.core import clock, data
from monsoonhoist.node import dialect, draining, gauges, logwriter, node, phases

# Interval between checks of the settings file, which may change without a signal.
SETTINGS_CHECK_SECONDS = 2.0

_log = logging.getLogger(__name__)


def run(path: pathlib.Path, log_level: str, trace_path: pathlib.Path | None) -> None:
    """Serves until the process receives SIGTERM or SIGINT.

    Args:
        path: The settings file; reloaded on SIGHUP and when it changes.
        log_level: Name of the minimum level to log.
        trace_path: File for a trace of kernel events; None for no trace.

    Raises:
        SettingsError: If the settings cannot be read or contain errors.
    """
    config = settings_file.load(path)
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
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    time_source = clock.SystemClock()
    local_node = node.Node(config, incarnation, time_source, trace_path)
    gauges.register_gauges(local_node, time_source)
    writer = logwriter.LogWriter(handler, local_node.counters)
    writer.start()
    server = local_node.dialect.make_server(local_node)
    server.start()
    local_node.start()
    settings_watcher = SettingsWatcher(path, local_node)
    loop.add_signal_handler(signal.SIGHUP, settings_watcher.reload)
    settings_task = asyncio.create_task(settings_watcher.run(), name="settings")
    _log.info("listening", extra={"host": str(config.instance.host)})
    await stop_requested.wait()
    settings_task.cancel()
    await _stop(local_node, server)
    writer.stop()


async def _stop(local_node: node.Node, server: dialect.CallerServer) -> None:
    """Drains an instance, then closes it and its servers for callers.

    The instance is no longer ready. It refuses new requests after the load balancer's lag, then
    completes requests in flight, also those of other instances, until ``drain_max_ms`` is over. Its
    own that are unanswered then are answered with what they have.
    """
    schedule = local_node.stop_schedule
    local_node.begin_leaving()
    await schedule.wait_for_balancer()
    local_node.phase = phases.Phase.CLOSED
    await schedule.wait_for_work(lambda: local_node.active)
    if local_node.active:
        local_node.answer_all()
        await asyncio.sleep(draining.CHECK_SECONDS)
    await local_node.close()
    await server.close(schedule.seconds_to_end())


class SettingsWatcher:
    """Reloads the settings file when it changes.

    Args:
        path: The settings file.
        local_node: The node to which changed settings are applied.
    """

    def __init__(self, path: pathlib.Path, local_node: node.Node):
        self._path = path
        self._node = local_node
        self._text = _read_text(path)

    async def run(self) -> None:
        """Checks the file for changes periodically."""
        while True:
            await asyncio.sleep(SETTINGS_CHECK_SECONDS)
            if _read_text(self._path) != self._text:
                self.reload()

    def reload(self) -> None:
        """Applies the settings of the file; if they contain errors, nothing changes."""
        self._text = _read_text(self._path)
        try:
            config = settings_file.load(self._path)
        except errors.SettingsError as error:
            findings = [finding.describe() for finding in error.findings]
            _log.error("settings not taken over", extra={"findings": findings})
            return
        self._node.reconfigure(config)


def _read_text(path: pathlib.Path) -> str | None:
    """Returns the text of a file, or None if it cannot be read."""
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        _log.warning("settings file not read", extra={"error": str(error)})
        return None
