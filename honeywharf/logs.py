"""Lines for the operator on `structlog`: JSON where asked for, by level; plain words else, as without it.

Each line has one `event` of the vocabulary below, so that alerts hold when words change.
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
    "feature": "a feature has begun, and where",
    "life": "the process entered another state of its life: before, after, cause",
    "operator.change": "an operator's call at the second address: what, which backend",
    "handover.taken": "what the process in service gave this one, which takes its place",
    "handover.fault": "another process of this proxy could not be asked, or told",
    "stats": "what was done in the last ten seconds, by count",
    "module": "the decision module's own words",
    "reload.done": "a reload was taken over",
    "reload.waits": "a reload holds changes that wait for the next start",
    "reload.failed": "a reload was refused; what was in force stays",
    "discovery.entry": "an entry of the node list makes no sense and was left out",
    "discovery.fault": "discovery can't be asked, or answers nonsense",
    "keys.store_there": "the shared store of order keys is there",
    "keys.store_away": "the shared store of order keys is away",
    "keys.password": "the file with the store's password can't be read",
    "admin.change": "an operator changed something: what, who",
    "decision.failed": "the decision module broke on an event; its request was failed",
    "action.failed": "what the decision module asked for could not be done",
    "loop.fault": "an error that nobody handled",
}


def attach(name: str, features: Features) -> None:
    """Send all lines through structlog from now on; ValueError where it is not there."""
    try:
        import structlog
    except ModuleNotFoundError:
        raise ValueError(
            "log: found no structlog, wanted what requirements-export.txt names:"
            " pip install -r requirements-export.txt"
        ) from None
    least = LEVELS.index(features.level)
    made = structlog.wrap_logger(
        structlog.PrintLogger(sys.stderr),
        cache_logger_on_first_use=True,
        processors=[
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.JSONRenderer(sort_keys=True)
            if features.format == "json"
            else lambda _, __, told: told["message"],
        ],
    )

    def sink(level: str, event: str, words: str, fields: Mapping[str, object]) -> None:
        if LEVELS.index(level) >= least:
            # An operator's field never stands in for one of the line's own.
            more = {
                (k if k not in ("event", "level", "message", "proxy", "timestamp") else f"field.{k}"): v
                for k, v in fields.items()
            }
            made.info(event, level=level, message=words, proxy=name, **more)

    set_log_sink(sink)
