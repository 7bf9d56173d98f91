"""Known failures stay red in the output, are printed, and alone do not fail the run (`KNOWN-RED.txt`).

A run still fails if any other test fails, if a listed test fails other than by an assertion of its own, or if
a listed test passes: its line must be removed.
"""

from __future__ import annotations

import pytest

from tests.known_red import Verdicts, read

VERDICTS = Verdicts(read())


def pytest_runtest_logreport(report: pytest.TestReport) -> None:
    """Records the outcome of each test, including those run by workers."""
    crash = getattr(report.longrepr, "reprcrash", None)
    VERDICTS.record(report.nodeid, report.when, report.outcome, crash.message if crash is not None else "")


def pytest_sessionfinish(session: pytest.Session, exitstatus: int) -> None:
    """Sets the exit status: success if only listed tests failed, failure if one of them passed."""
    if hasattr(session.config, "workerinput"):
        return
    if VERDICTS.listed_pass():
        session.exitstatus = pytest.ExitCode.TESTS_FAILED
    elif exitstatus == pytest.ExitCode.TESTS_FAILED and VERDICTS.only_known_failed():
        session.exitstatus = pytest.ExitCode.OK


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Prints the list at the end of each run."""
    for line in VERDICTS.lines():
        terminalreporter.write_line(line)
