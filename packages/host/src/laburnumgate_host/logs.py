"""Configures JSON logging to standard error."""

import logging
import sys

from pythonjsonlogger import json as jsonlogger


def set_up(host_id: str, level: str) -> None:
    """Configures all loggers to write JSON lines to standard error.

    Times are in UTC, so that lines of hosts in several regions can be merged.
    """
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        jsonlogger.JsonFormatter(
            "%(levelname)s %(name)s %(message)s",
            rename_fields={"levelname": "level", "name": "logger"},
            timestamp="time",
            static_fields={"host": host_id},
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    for name in ("sanic.root", "sanic.server", "hpack", "sanic.access"):
        logging.getLogger(name).setLevel(logging.WARNING)
