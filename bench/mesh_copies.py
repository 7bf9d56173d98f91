"""Copies of a deployment's file with other numbers, and a hunt for broken rules on each.

    python -m bench.mesh_copies FLEET SITE.toml... [--days 12] [--jobs 2] [--only slow,tight,sharp,wide]

FLEET is the path of the program that plays days; its `hunt` is run in this folder. A copy changes numbers
before the first day of the file and nowhere else (traffic, seeds and troubles of the days stay):

    slow    links and beats take twice as long, the list lags twice, half of the slots, bounds doubled
    tight   links and beats take half as long, two bounds halved, slots and queue doubled
    sharp   core bounds, grace and slacks halved, zones and beats three times as far apart, fewer connections
    wide    one more machine beside each but the first kind, five core machines instead of three, other colds

A copy that the program does not take is told of as such. Status 1 where a rule was broken or a hunt failed.
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
KEPT_LINES = 40  # of what a hunt prints
Edit = Callable[[str], str]


def scaled(name: str, factor: float, least: float = 0.0) -> Edit:
    """Multiply every `name = NUMBER`; whole numbers stay whole, and none gets below `least`."""
    found = re.compile(rf"(?<![\w]){re.escape(name)} = (\d+(?:\.\d+)?)")

    def number(match: re.Match[str]) -> str:
        value = max(least, float(match[1]) * factor)
        return f"{name} = {value:.6g}" if "." in match[1] else f"{name} = {round(value)}"

    def edit(text: str) -> str:
        changed, count = found.subn(number, text)
        if not count:
            raise ValueError(f"found no {name}, wanted it in the file")
        return changed

    return edit


def counted(machine: str, change: Callable[[int, int], int]) -> Edit:
    """Change how many machines there are of a class: `change(place among its lines, count)`."""
    found = re.compile(rf'(\{{ class = "{machine}",[^\n]*?count = )(\d+)')

    def edit(text: str) -> str:
        places = iter(range(text.count("\n")))
        changed, count = found.subn(lambda match: f"{match[1]}{change(next(places), int(match[2]))}", text)
        if not count:
            raise ValueError(f"found no machines of class {machine}, wanted some")
        return changed

    return edit


DELAYS = ("in_zone_ms", "cross_zone_ms", "client_ms")
BEATS = ("beat_ms", "lag_ms")
BOUNDS = ("drain_ms", "config_ms")
CORE_BOUNDS = ("touch_ms", "ack_ms", "outer_ms", "grace_s")


def each(names: Iterable[str], factor: float) -> list[Edit]:
    """Multiply several by the same factor."""
    return [scaled(name, factor) for name in names]


COPIES: dict[str, list[Edit]] = {
    "slow": [*each((*DELAYS, *BEATS, *BOUNDS, *CORE_BOUNDS), 2.0), scaled("slots", 0.5, 2.0)],
    "tight": [
        *each((*DELAYS, *BEATS, *BOUNDS), 0.5),
        *each(("slots", "queue"), 2.0),
        scaled("cold_per_s", 0.7, 4.0),
    ],
    "sharp": [
        *each((*CORE_BOUNDS, "budget_slack", "cold_slack", "conn_cap"), 0.5),
        *each(("cross_zone_ms", "beat_ms"), 3.0),
        scaled("idle_close_ms", 0.3),
    ],
    "wide": [
        counted("side", lambda place, count: count + (place > 0)),
        counted("core", lambda place, count: 2 if place < 2 else count),
        *each(("cold_s", "cold_per_s"), 1.5),
        scaled("beat_ms", 0.7),
    ],
}


def copy(text: str, name: str) -> str:
    """The text of a copy. ValueError where the file lacks what it changes."""
    head, day, days = text.partition(FIRST_DAY)
    for edit in COPIES[name]:
        head = edit(head)
    head = re.sub(r'^name = "([^"]+)"', rf'name = "\1-{name}"', head, count=1)
    return head + day + days


def written(site: Path, name: str, folder: Path) -> Path:
    """Write a copy, with the files that lie beside the site and belong to it."""
    for beside in (site.with_suffix(".days"), site.with_name("wire.json")):
        if beside.exists():
            known = beside.name if beside.suffix == ".json" else f"{site.stem}-{name}{beside.suffix}"
            shutil.copyfile(beside, folder / known)
    to = folder / f"{site.stem}-{name}.toml"
    to.write_text(copy(site.read_text("utf-8"), name), "utf-8")
    return to


def hunt(fleet: str, site: Path, days: int, jobs: int) -> tuple[bool, list[str]]:
    """Whether no rule was broken, and the last lines that were printed."""
    call = [fleet, "hunt", str(site), "--days", str(days), "--jobs", str(jobs)]
    done = subprocess.run(call, capture_output=True, text=True, check=False)
    lines = (done.stdout + done.stderr).splitlines()
    clean = f"{days} days on {site.stem}, 0 with a rule broken"
    return done.returncode == 0 and any(line.startswith(clean) for line in lines), lines[-KEPT_LINES:]


def main(arguments: list[str]) -> int:
    """Hunt on each copy of each site; print what each hunt printed."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else "")
    parser.add_argument("fleet")
    parser.add_argument("sites", nargs="+", type=Path)
    parser.add_argument("--days", type=int, default=12)
    parser.add_argument("--jobs", type=int, default=2)
    parser.add_argument("--only", default=",".join(COPIES))
    asked = parser.parse_args(arguments)
    status = 0
    with tempfile.TemporaryDirectory() as folder:
        for site in asked.sites:
            for name in asked.only.split(","):
                made = written(site, name, Path(folder))
                clean, lines = hunt(asked.fleet, made, asked.days, asked.jobs)
                print(f"{made.stem}: {'no rule broken' if clean else 'BROKEN, or not played'}", flush=True)
                for line in lines:
                    print(f"    {line}", flush=True)
                status = status if clean else 1
    return status


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
