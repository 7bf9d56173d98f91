"""Mutants of the mesh in the simulated network: the seeds until each is detected, and the broken rule.

    python -m bench.mesh_mutants [--most 12] [--first 1] [--jobs 3] [--only WORDS,...]

Each mutant of tests/simulation/mutants.py omits or falsifies one mechanism and runs seeded days until a rule
is broken. Prints for each the number of seeds, the rule, and seconds. Status 1 where one was not detected.
"""

from __future__ import annotations

import argparse
import os
import sys
import time
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context

from tests.simulation.mutants import MUTANTS, seeds_until_detected


def run_mutant(number: int, first: int, most: int) -> tuple[str, int, str, float]:
    """Runs one mutant; returns its name, the number of seeds (0: not detected), the rule, and seconds."""
    started_at = time.monotonic()
    count, rule = seeds_until_detected(MUTANTS[number], first, most)
    return MUTANTS[number].name, count, rule, time.monotonic() - started_at


def main(arguments: list[str]) -> int:
    """Runs all mutants, or those whose names contain one of the words."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else "")
    parser.add_argument("--most", type=int, default=12)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--jobs", type=int, default=3)
    parser.add_argument("--only", default="")
    options = parser.parse_args(arguments)
    os.environ["PYTHONHASHSEED"] = "0"  # The order of sets of texts affects a day.
    words = options.only.split(",")
    numbers = [number for number, mutant in enumerate(MUTANTS) if any(word in mutant.name for word in words)]
    undetected = []
    with ProcessPoolExecutor(options.jobs, mp_context=get_context("spawn")) as pool:
        futures = [pool.submit(run_mutant, number, options.first, options.most) for number in numbers]
        for future in futures:
            name, count, rule, duration_s = future.result()
            outcome = f"{rule} after {count}" if count else f"NOT FOUND in {options.most}"
            print(f"{name:42} {outcome:24} {duration_s:6.1f} s", flush=True)
            undetected += [] if count else [name]
    print(f"{len(numbers) - len(undetected)} of {len(numbers)} found out")
    return 1 if undetected else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
