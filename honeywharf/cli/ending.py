"""How the mesh's commands end: their exit statuses, and what is said of what kept one from being done."""

from __future__ import annotations

from collections.abc import Callable

import cappa

DONE, NO, UNKNOWN = 0, 1, 2
Faults = tuple[type[Exception], ...]


class WrongError(Exception):
    """What keeps a call from being made or its answer from being understood."""


def log_faults() -> None:
    """Faults go through the log, for commands that speak with a running mesh."""
    from absl import flags, logging

    flags.FLAGS.mark_as_parsed()  # cappa reads the arguments; the log would complain of it on every line
    logging.use_absl_handler()


def logged(fault: Exception) -> None:
    """Log one."""
    from absl import logging

    logging.error("%s", fault)


def status(
    run: Callable[[], int],
    tell: Callable[[Exception], None],
    wrong: Faults,
    refused: Faults = (),
) -> int:
    """The exit status of a command that is parsed and called by `run`.

    `refused`: faults that are a clear no; `wrong`: those after which nothing is known, OSError always among
    them. Both are told; any other is a fault of the program and passes.
    """
    unclear: Faults = (OSError, *wrong)
    try:
        return run()
    except cappa.Exit as ended:
        return int(ended.code or 0)
    except refused as fault:
        tell(fault)
        return NO
    except unclear as fault:
        tell(fault)
        return UNKNOWN
