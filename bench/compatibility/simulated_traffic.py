"""Plays the same seeded days with two checkouts and compares every byte that their nodes send and store.

    python -m bench.compatibility.simulated_traffic OTHER_CHECKOUT [--seeds 1 2 3]
        [--days mesh regions drift] [--jobs 2]

One line a day. Where the days differ, the first event that does is printed. Status 1 where one differs. The
days' faults are drawn from all kinds, so restarts, lost disks and partitions are among them.
"""

from __future__ import annotations

import argparse
import itertools
import os
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from itertools import zip_longest
from pathlib import Path

HERE = Path(__file__).resolve().parents[2]
RECORDER = Path(__file__).with_name("record_traffic.py")
DAYS = ("mesh", "regions", "drift")


def record(checkout: Path, day: str, seed: int, path: Path) -> str:
    """Play a day with a checkout; what it printed, or its error."""
    ran = subprocess.run(
        [sys.executable, "-P", str(RECORDER), day, str(seed), str(path)],
        cwd=checkout,
        env={**os.environ, "PYTHONPATH": str(checkout), "PYTHONHASHSEED": "0"},
        capture_output=True,
        text=True,
        check=False,
    )
    return ran.stdout.strip() or ran.stderr.strip()[-2000:]


def first_difference(ours: Path, theirs: Path) -> str:
    """The first event in which two recordings differ; empty where they are equal."""
    for path in (ours, theirs):
        if not path.exists():
            return f"{path.name}: was not recorded"
    with ours.open() as left, theirs.open() as right:
        for number, (one, other) in enumerate(zip_longest(left, right), 1):
            if one != other:
                return f"event {number}: {(one or 'none').strip()} | {(other or 'none').strip()}"
    return ""


def compare(other: Path, day: str, seed: int, folder: Path) -> tuple[bool, str]:
    """Play one seed with both checkouts: whether they are equal, and a line on it."""
    paths = [folder / f"{day}-{seed}-{name}" for name in ("ours", "theirs")]
    told = [record(checkout, day, seed, path) for checkout, path in zip((HERE, other), paths, strict=True)]
    difference = first_difference(*paths)
    if difference:
        return False, f"{day} {seed}: DIFFERENT at {difference} ({told[0]} | {told[1]})"
    return True, f"{day} {seed}: equal, {told[0]}"


def main(arguments: list[str]) -> int:
    """Compare; the exit status."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    parser.add_argument("checkout", type=Path)
    parser.add_argument("--seeds", type=int, nargs="+", default=[1, 2, 3])
    parser.add_argument("--days", choices=DAYS, nargs="+", default=DAYS)
    parser.add_argument("--jobs", type=int, default=2)
    asked = parser.parse_args(arguments)
    with tempfile.TemporaryDirectory() as name, ThreadPoolExecutor(asked.jobs) as pool:
        folder, other = Path(name), asked.checkout.resolve()
        plays = [
            pool.submit(compare, other, day, seed, folder)
            for day, seed in itertools.product(asked.days, asked.seeds)
        ]
        results = [play.result() for play in plays]
    for _, line in results:
        print(line)
    return 0 if all(equal for equal, _ in results) else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
