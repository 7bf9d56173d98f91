"""`honeywharf top`: a running proxy, looked at each second, on a terminal interface (`textual`)."""

from __future__ import annotations

import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any, ClassVar

from textual.app import App, ComposeResult
from textual.binding import BindingType
from textual.widgets import DataTable, Footer, Header, Static

from honeywharf.admin.client import AdminError, send_request

EACH_S = 1.0
MAX_OUT = 200  # ejected servers that are listed
ZONES = ("zone", "limit", "in flight", "ready", "ejected", "crowded")
OUT = ("ejected", "zone", "why", "for, s")
COUNTS = ("what", "a second", "in all")


class Top(App[None]):
    """Zones with their limits, what is refused and why, who is out, why and until when."""

    TITLE = "honeywharf"
    CSS = "DataTable { height: auto; margin: 0 1 1 1; } Static { margin: 0 1; }"
    BINDINGS: ClassVar[list[BindingType]] = [("q", "quit", "Quit"), ("p", "pause", "Pause")]

    def __init__(
        self, path: Path, asked: Callable[[Path, str], Any] = send_request, each_s: float = EACH_S
    ) -> None:
        super().__init__()
        self.path, self.asked, self.each_s = path, asked, each_s
        self.paused = False
        self.before: dict[str, int] = {}

    def compose(self) -> ComposeResult:
        """The parts, from top to bottom."""
        yield Header()
        yield Static("", id="line")
        for name in ("zones", "out", "counts"):
            yield DataTable(id=name, show_cursor=False)
        yield Footer()

    def on_mount(self) -> None:
        """Begin to look."""
        for name, head in (("zones", ZONES), ("out", OUT), ("counts", COUNTS)):
            self.table(name).add_columns(*head)
        self.look()
        self.set_interval(self.each_s, self.look)

    def table(self, name: str) -> DataTable[str]:
        """One of the tables."""
        found: DataTable[str] = self.query_one(f"#{name}", DataTable)
        return found

    def action_pause(self) -> None:
        """Stop looking, or go on."""
        self.paused = not self.paused

    def look(self) -> None:
        """Ask once, and show it; a proxy that does not answer is told of, and asked again."""
        if self.paused:
            return
        line = self.query_one("#line", Static)
        try:
            status, endpoints = self.asked(self.path, "status"), self.asked(self.path, "endpoints")
        except AdminError as fault:
            line.update(f"nobody answers: {fault}")
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
                for e in endpoints["endpoints"][:MAX_OUT]
                if "why" in e
            ],
        )
        counts = status["counts"]
        self.fill(
            "counts",
            [
                (name, f"{(number - self.before.get(name, number)) / self.each_s:.0f}", str(number))
                for name, number in sorted(counts.items())
            ],
        )
        self.before = counts

    def fill(self, name: str, rows: list[tuple[str, ...]]) -> None:
        """Put rows in place of those before."""
        table = self.table(name)
        table.clear()
        table.add_rows(rows)


def show(path: Path) -> None:
    """Until the operator quits."""
    Top(path).run()
    sys.exit(0)
