"""Structured logging on `structlog`: JSON or plain text, by level.

Each line has an `event` of EVENTS, so alerts do not depend on the wording of messages.
"""

from __future__ import annotations

import sys
from collections.abc import Mapping
from typing import TYPE_CHECKING

from honeywharf.core.transport import set_log_sink

if TYPE_CHECKING:
    from honeywharf.config.features import Log as Features

LEVELS = ("debug", "info", "warning", "error")
EVENTS = {
    "listening": "the proxy takes connections",
    "feature": "a feature was started, with its address or file",
    "life": "the process changed its state: before, after, cause",
    "operator.change": "an operator's call at the second address: which call, which backend",
    "handover.taken": "the state that the running process handed over to this one",
    "handover.fault": "another process of this proxy could not be reached",
    "stats": "counters of the last ten seconds",
    "module": "a message of the decision module",
    "reload.done": "a reload was applied",
    "reload.waits": "a reload has changes that take effect at the next start",
    "reload.failed": "a reload was rejected; the configuration in force stays",
    "discovery.entry": "an invalid entry of the node list was ignored",
    "discovery.fault": "discovery can't be reached, or its answer is invalid",
    "keys.store_there": "the shared store of order keys is available",
    "keys.store_away": "the shared store of order keys is unavailable",
    "keys.password": "the file with the store's password can't be read",
    "admin.change": "an operator's change: what, who",
    "decision.failed": "the decision module raised an error on an event; the request failed",
    "action.failed": "an action of the decision module could not be executed",
    "loop.fault": "an unhandled error",
}


def attach(name: str, features: Features) -> None:
    """Sends all log lines through structlog; ValueError if it is not installed."""
    try:
        import structlog
    except ModuleNotFoundError:
        raise ValueError(
            "log: expected the packages of requirements-export.txt, got no structlog:"
            " run pip install -r requirements-export.txt"
        ) from None
    min_level = LEVELS.index(features.level)
    logger = structlog.wrap_logger(
        structlog.PrintLogger(sys.stderr),
        cache_logger_on_first_use=True,
        processors=[
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.JSONRenderer(sort_keys=True)
            if features.format == "json"
            else lambda _, __, event_dict: event_dict["message"],
        ],
    )

    def sink(level: str, event: str, text: str, fields: Mapping[str, object]) -> None:
        if LEVELS.index(level) >= min_level:
            # Keeps a caller's field from replacing one of the line's own.
            extra_fields = {
                (k if k not in ("event", "level", "message", "proxy", "timestamp") else f"field.{k}"): v
                for k, v in fields.items()
            }
            logger.info(event, level=level, message=text, proxy=name, **extra_fields)

    set_log_sink(sink)
