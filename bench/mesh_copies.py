"""Copies of a deployment's file with other numbers, and a hunt for broken rules on each.

    python -m bench.mesh_copies FLEET SITE.toml... [--days 12] [--jobs 2] [--only slow,tight,sharp,wide]

FLEET is the path of the program whose `hunt` runs days. A copy changes numbers before the first day of the
file and nowhere else:

    slow    longer delays, heartbeats and bounds, fewer slots
    tight   shorter delays, heartbeats and bounds, more slots and a longer queue
    sharp   smaller core bounds and slacks, longer delays between zones and heartbeats, fewer connections
    wide    more machines, and other cold starts

Status 1 where a rule was broken, or a hunt failed or rejected the copy.
"""

from __future__ import annotations

import argparse
import re
import shutil
import subprocess
import sys
import tempfile
from collections.abc import Callable, Iterable
from pathlib import Path

FIRST_DAY = "[[day]]"
MAX_PRINTED_LINES = 40  # Lines of a hunt's output that are printed.
Edit = Callable[[str], str]


def scale_number(name: str, factor: float, least: float = 0.0) -> Edit:
    """Returns an edit that multiplies every `name = NUMBER`; integers stay integers, at least `least`."""
    pattern = re.compile(rf"(?<![\w]){re.escape(name)} = (\d+(?:\.\d+)?)")

    def number(match: re.Match[str]) -> str:
        value = max(least, float(match[1]) * factor)
        return f"{name} = {value:.6g}" if "." in match[1] else f"{name} = {round(value)}"

    def edit(text: str) -> str:
        changed, count = pattern.subn(number, text)
        if not count:
            raise ValueError(f"{name}: expected a number in the file, got none")
        return changed

    return edit


def change_counts(machine: str, change: Callable[[int, int], int]) -> Edit:
    """Returns an edit of the machine counts of a class: `change(index among its lines, count)`."""
    pattern = re.compile(rf'(\{{ class = "{machine}",[^\n]*?count = )(\d+)')

    def edit(text: str) -> str:
        indices = iter(range(text.count("\n")))
        changed, count = pattern.subn(lambda match: f"{match[1]}{change(next(indices), int(match[2]))}", text)
        if not count:
            raise ValueError(f"machines: expected some of class {machine}, got none")
        return changed

    return edit


DELAY_KEYS = ("in_zone_ms", "cross_zone_ms", "client_ms")
HEARTBEAT_KEYS = ("beat_ms", "lag_ms")
BOUND_KEYS = ("drain_ms", "config_ms")
CORE_BOUND_KEYS = ("touch_ms", "ack_ms", "outer_ms", "grace_s")


def scale_numbers(names: Iterable[str], factor: float) -> list[Edit]:
    """Returns edits that multiply several numbers by the same factor."""
    return [scale_number(name, factor) for name in names]


COPIES: dict[str, list[Edit]] = {
    "slow": [
        *scale_numbers((*DELAY_KEYS, *HEARTBEAT_KEYS, *BOUND_KEYS, *CORE_BOUND_KEYS), 2.0),
        scale_number("slots", 0.5, 2.0),
    ],
    "tight": [
        *scale_numbers((*DELAY_KEYS, *HEARTBEAT_KEYS, *BOUND_KEYS), 0.5),
        *scale_numbers(("slots", "queue"), 2.0),
        scale_number("cold_per_s", 0.7, 4.0),
    ],
    "sharp": [
        *scale_numbers((*CORE_BOUND_KEYS, "budget_slack", "cold_slack", "conn_cap"), 0.5),
        *scale_numbers(("cross_zone_ms", "beat_ms"), 3.0),
        scale_number("idle_close_ms", 0.3),
    ],
    "wide": [
        change_counts("side", lambda place, count: count + (place > 0)),
        change_counts("core", lambda place, count: 2 if place < 2 else count),
        *scale_numbers(("cold_s", "cold_per_s"), 1.5),
        scale_number("beat_ms", 0.7),
    ],
}


def copy_text(text: str, name: str) -> str:
    """Returns the text of a copy. ValueError where the file lacks a number."""
    text_before_days, day, days = text.partition(FIRST_DAY)
    for edit in COPIES[name]:
        text_before_days = edit(text_before_days)
    text_before_days = re.sub(r'^name = "([^"]+)"', rf'name = "\1-{name}"', text_before_days, count=1)
    return text_before_days + day + days


def write_copy(site: Path, name: str, folder: Path) -> Path:
    """Writes a copy with the files that belong to the site; returns its path."""
    for source in (site.with_suffix(".days"), site.with_name("wire.json")):
        if source.exists():
            target_name = source.name if source.suffix == ".json" else f"{site.stem}-{name}{source.suffix}"
            shutil.copyfile(source, folder / target_name)
    copy_path = folder / f"{site.stem}-{name}.toml"
    copy_path.write_text(copy_text(site.read_text("utf-8"), name), "utf-8")
    return copy_path


def run_hunt(fleet: str, site: Path, days: int, jobs: int) -> tuple[bool, list[str]]:
    """Runs a hunt; returns whether no rule was broken, and the last lines of its output."""
    command_line = [fleet, "hunt", str(site), "--days", str(days), "--jobs", str(jobs)]
    completed = subprocess.run(command_line, capture_output=True, text=True, check=False)
    lines = (completed.stdout + completed.stderr).splitlines()
    success_line = f"{days} days on {site.stem}, 0 with a rule broken"
    return completed.returncode == 0 and any(line.startswith(success_line) for line in lines), lines[
        -MAX_PRINTED_LINES:
    ]


def main(arguments: list[str]) -> int:
    """Runs a hunt on each copy of each site and prints their output."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else "")
    parser.add_argument("fleet")
    parser.add_argument("sites", nargs="+", type=Path)
    parser.add_argument("--days", type=int, default=12)
    parser.add_argument("--jobs", type=int, default=2)
    parser.add_argument("--only", default=",".join(COPIES))
    options = parser.parse_args(arguments)
    status = 0
    with tempfile.TemporaryDirectory() as folder:
        for site in options.sites:
            for name in options.only.split(","):
                copy_path = write_copy(site, name, Path(folder))
                is_clean, lines = run_hunt(options.fleet, copy_path, options.days, options.jobs)
                print(
                    f"{copy_path.stem}: {'no rule broken' if is_clean else 'BROKEN, or not played'}",
                    flush=True,
                )
                for line in lines:
                    print(f"    {line}", flush=True)
                status = status if is_clean else 1
    return status


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
