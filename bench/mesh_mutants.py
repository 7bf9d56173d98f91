"""Wrong meshes in the simulated network: after how many seeds each is found out, and by which rule.

    python -m bench.mesh_mutants [--most 12] [--first 1] [--jobs 3] [--only WORDS,...]

Each mutant of tests/simulation/mutants.py leaves one thing out, or does it wrong, and plays its days by seed
until a rule tells. Printed for each: seeds needed, the rule, seconds. Status 1 where one was not found out.
"""

from __future__ import annotations

import argparse
import os
import sys
import time
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context

from tests.simulation.mutants import MUTANTS, seeds_until_detected


def one(number: int, first: int, most: int) -> tuple[str, int, str, float]:
    """Play one mutant: its name, the seeds needed (0: not found), the rule, seconds."""
    begun = time.monotonic()
    count, rule = seeds_until_detected(MUTANTS[number], first, most)
    return MUTANTS[number].name, count, rule, time.monotonic() - begun


def main(arguments: list[str]) -> int:
    """Play all, or those whose names hold some words."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else "")
    parser.add_argument("--most", type=int, default=12)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--jobs", type=int, default=3)
    parser.add_argument("--only", default="")
    asked = parser.parse_args(arguments)
    os.environ["PYTHONHASHSEED"] = "0"  # the order of sets of texts belongs to a day
    words = asked.only.split(",")
    numbers = [number for number, mutant in enumerate(MUTANTS) if any(word in mutant.name for word in words)]
    missed = []
    with ProcessPoolExecutor(asked.jobs, mp_context=get_context("spawn")) as pool:
        played = [pool.submit(one, number, asked.first, asked.most) for number in numbers]
        for done in played:
            name, count, rule, spent = done.result()
            told = f"{rule} after {count}" if count else f"NOT FOUND in {asked.most}"
            print(f"{name:42} {told:24} {spent:6.1f} s", flush=True)
            missed += [] if count else [name]
    print(f"{len(numbers) - len(missed)} of {len(numbers)} found out")
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
