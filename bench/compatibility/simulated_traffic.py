"""Runs the same seeded days with two checkouts and compares every byte that their nodes send and store.

    python -m bench.compatibility.simulated_traffic OTHER_CHECKOUT [--seeds 1 2 3]
        [--days mesh regions drift] [--jobs 2]

Prints one line for each day, with the first event that differs. Status 1 where one differs. The faults of the
days are drawn from all kinds, which include restarts, lost disks and partitions.
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

THIS_CHECKOUT = Path(__file__).resolve().parents[2]
RECORDER = Path(__file__).with_name("record_traffic.py")
DAYS = ("mesh", "regions", "drift")


def record(checkout: Path, day: str, seed: int, path: Path) -> str:
    """Runs a day with a checkout; returns its output, or its error output."""
    completed = subprocess.run(
        [sys.executable, "-P", str(RECORDER), day, str(seed), str(path)],
        cwd=checkout,
        env={**os.environ, "PYTHONPATH": str(checkout), "PYTHONHASHSEED": "0"},
        capture_output=True,
        text=True,
        check=False,
    )
    return completed.stdout.strip() or completed.stderr.strip()[-2000:]


def first_difference(ours: Path, theirs: Path) -> str:
    """Returns the first event in which two recordings differ; empty where they are equal."""
    for path in (ours, theirs):
        if not path.exists():
            return f"{path.name}: was not recorded"
    with ours.open() as left, theirs.open() as right:
        for number, (our_event, other) in enumerate(zip_longest(left, right), 1):
            if our_event != other:
                return f"event {number}: {(our_event or 'none').strip()} | {(other or 'none').strip()}"
    return ""


def compare(other: Path, day: str, seed: int, folder: Path) -> tuple[bool, str]:
    """Runs one seed with both checkouts; returns whether they are equal, and the line to print."""
    paths = [folder / f"{day}-{seed}-{name}" for name in ("ours", "theirs")]
    outputs = [
        record(checkout, day, seed, path)
        for checkout, path in zip((THIS_CHECKOUT, other), paths, strict=True)
    ]
    difference = first_difference(*paths)
    if difference:
        return False, f"{day} {seed}: DIFFERENT at {difference} ({outputs[0]} | {outputs[1]})"
    return True, f"{day} {seed}: equal, {outputs[0]}"


def main(arguments: list[str]) -> int:
    """Compares the days; returns the exit status."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    parser.add_argument("checkout", type=Path)
    parser.add_argument("--seeds", type=int, nargs="+", default=[1, 2, 3])
    parser.add_argument("--days", choices=DAYS, nargs="+", default=DAYS)
    parser.add_argument("--jobs", type=int, default=2)
    options = parser.parse_args(arguments)
    with tempfile.TemporaryDirectory() as name, ThreadPoolExecutor(options.jobs) as pool:
        folder, other = Path(name), options.checkout.resolve()
        futures = [
            pool.submit(compare, other, day, seed, folder)
            for day, seed in itertools.product(options.days, options.seeds)
        ]
        results = [future.result() for future in futures]
    for _, line in results:
        print(line)
    return 0 if all(equal for equal, _ in results) else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
