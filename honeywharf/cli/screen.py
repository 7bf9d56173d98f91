"""`honeywharf top`: a terminal interface (`textual`) that polls a running proxy each second."""

from __future__ import annotations

import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any, ClassVar

from textual.app import App, ComposeResult
from textual.binding import BindingType
from textual.widgets import DataTable, Footer, Header, Static

from honeywharf.admin.client import AdminError, send_request

REFRESH_INTERVAL_S = 1.0
MAX_EJECTED_ROWS = 200
ZONE_COLUMNS = ("zone", "limit", "in flight", "ready", "ejected", "crowded")
EJECTED_COLUMNS = ("ejected", "zone", "why", "for, s")
COUNT_COLUMNS = ("what", "a second", "in all")


class Top(App[None]):
    """Shows zones with their limits, refusals by reason, and ejected servers with reason and time left."""

    TITLE = "honeywharf"
    CSS = "DataTable { height: auto; margin: 0 1 1 1; } Static { margin: 0 1; }"
    BINDINGS: ClassVar[list[BindingType]] = [("q", "quit", "Quit"), ("p", "pause", "Pause")]

    def __init__(
        self,
        path: Path,
        request: Callable[[Path, str], Any] = send_request,
        interval_s: float = REFRESH_INTERVAL_S,
    ) -> None:
        super().__init__()
        self.path, self.request, self.interval_s = path, request, interval_s
        self.paused = False
        self.previous_counts: dict[str, int] = {}

    def compose(self) -> ComposeResult:
        """Yields the widgets from top to bottom."""
        yield Header()
        yield Static("", id="line")
        for name in ("zones", "out", "counts"):
            yield DataTable(id=name, show_cursor=False)
        yield Footer()

    def on_mount(self) -> None:
        """Adds the tables' columns and starts polling."""
        for name, columns in (("zones", ZONE_COLUMNS), ("out", EJECTED_COLUMNS), ("counts", COUNT_COLUMNS)):
            self.table(name).add_columns(*columns)
        self.poll()
        self.set_interval(self.interval_s, self.poll)

    def table(self, name: str) -> DataTable[str]:
        """Returns the table with this id."""
        data_table: DataTable[str] = self.query_one(f"#{name}", DataTable)
        return data_table

    def action_pause(self) -> None:
        """Pauses or resumes polling."""
        self.paused = not self.paused

    def poll(self) -> None:
        """Requests the proxy's state and shows it, or shows that the proxy does not answer."""
        if self.paused:
            return
        line = self.query_one("#line", Static)
        try:
            status, endpoints = self.request(self.path, "status"), self.request(self.path, "endpoints")
        except AdminError as error:
            line.update(f"nobody answers: {error}")
            return
        states = ", ".join(f"{n} {state}" for state, n in sorted(status["endpoints"].items()))
        line.update(
            f"{status['name']} in {status['zone']}: {'ready' if status['ready'] else 'not ready'},"
            f" {status['open']} open, {status['retry_budget']:.1f} further attempts left; {states}"
            f"{'; ' + status['storms'] if status['storms'] else ''}"
        )
        self.fill(
            "zones",
            [
                (
                    ("*" if z["own"] else "") + z["zone"],
                    f"{z['limit']:.1f}",
                    str(z["in_flight"]),
                    str(z["ready"]),
                    str(z["ejected"]),
                    "yes" if z["crowded"] else "",
                )
                for z in status["zones"]
            ],
        )
        self.fill(
            "out",
            [
                (e["endpoint"], e["zone"], e["why"], f"{e['out_for_ms'] / 1000.0:.1f}")
                for e in endpoints["endpoints"][:MAX_EJECTED_ROWS]
                if "why" in e
            ],
        )
        counts = status["counts"]
        self.fill(
            "counts",
            [
                (
                    name,
                    f"{(number - self.previous_counts.get(name, number)) / self.interval_s:.0f}",
                    str(number),
                )
                for name, number in sorted(counts.items())
            ],
        )
        self.previous_counts = counts

    def fill(self, name: str, rows: list[tuple[str, ...]]) -> None:
        """Replaces the rows of a table."""
        table = self.table(name)
        table.clear()
        table.add_rows(rows)


def show(path: Path) -> None:
    """Runs the interface until the operator quits, then exits."""
    Top(path).run()
    sys.exit(0)
