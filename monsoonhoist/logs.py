"""Logs as JSON lines on standard error."""

import logging
import sys

from pythonjsonlogger import json as json_logs

from monsoonhoist.core import data


def configure(level: str, instance: data.InstanceId, incarnation: data.Incarnation) -> None:
    """Sends all logs to standard error, one JSON object a line.

    Args:
        level: Name of the lowest level to log.
        instance: Instance named in each line.
        incarnation: Incarnation named in each line.
    """
    handler = logging.StreamHandler(sys.stderr)
    formatter = json_logs.JsonFormatter(
        "%(asctime)s %(levelname)s %(name)s %(message)s",
        rename_fields={"asctime": "time", "levelname": "level", "name": "logger"},
        static_fields={"instance": instance, "incarnation": incarnation},
    )
    handler.setFormatter(formatter)
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(level.upper())
    logging.getLogger("tornado.access").setLevel(logging.WARNING)
