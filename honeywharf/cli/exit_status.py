"""The exit statuses of the mesh's commands, and how a command's errors are reported."""

from __future__ import annotations

from collections.abc import Callable

import cappa

SUCCESS, NEGATIVE, UNKNOWN = 0, 1, 2
ExceptionTypes = tuple[type[Exception], ...]


class MeshCallError(Exception):
    """A call to a control node could not be made, or its answer is missing or unclear."""


def use_absl_logging() -> None:
    """Sends log records to absl's handler, for commands that call a running mesh."""
    from absl import flags, logging

    flags.FLAGS.mark_as_parsed()  # cappa parses the arguments. Without this, absl warns on every line.
    logging.use_absl_handler()


def log_error(error: Exception) -> None:
    """Logs an error."""
    from absl import logging

    logging.error("%s", error)


def run_command(
    run: Callable[[], int],
    report: Callable[[Exception], None],
    unknown: ExceptionTypes,
    negative: ExceptionTypes = (),
) -> int:
    """Parses and executes a command by `run`, and returns its exit status.

    Errors of the types `negative` give NEGATIVE; those of the types `unknown`, and every OSError, give
    UNKNOWN. Both are passed to `report`. Any other error is a bug and propagates.
    """
    unknown_or_os: ExceptionTypes = (OSError, *unknown)
    try:
        return run()
    except cappa.Exit as exiting:
        return int(exiting.code or 0)
    except negative as error:
        report(error)
        return NEGATIVE
    except unknown_or_os as error:
        report(error)
        return UNKNOWN
