"""One order over two proxies under every single fault, and under every pair of them.

    python -m bench.order_explore [--pairs] [--jobs N] [--scene NAME] [--manner NAME]

Printed: for each scene and each manner of the backends how many schedules were played and what was wrong;
then how many schedules of its scene find out each proxy with a guard left out. `--pairs` adds a second fault
to each first one, with backends that answer well (or in the manner that is named). The exit status is 1 where
a schedule was wrong or a guard was not missed.
"""

from __future__ import annotations

import argparse
import sys
from concurrent.futures import ProcessPoolExecutor
from itertools import product

from tests.sidecar.order_model import MANNERS, SCENES, Fault, Scene, pairs, play, singles, watched
from tests.sidecar.order_mutants import MUTANTS, caught

SHOWN = 3  # wrong schedules of one part that are printed


class Part:
    """A part of the work: a scene, a manner, and the first fault where pairs are played."""

    def __init__(self, scene: Scene, manner: str, first: Fault | None = None) -> None:
        self.scene, self.manner, self.first = scene, manner, first

    def play(self) -> tuple[int, list[str]]:
        """How many schedules, and the wrong ones."""
        many, found = 0, []
        with watched():
            schedules = singles(self.scene, self.manner)
            if self.first is not None:
                schedules = pairs(self.scene, self.manner, self.first)
            for faults in schedules:
                many += 1
                wrong = play(self.scene, self.manner, faults).wrong
                if wrong:
                    found.append(f"{self.scene.name}, {self.manner}, {faults}: {wrong}")
        return many, found


def explore(parts: list[Part], jobs: int) -> int:
    """Play all parts and print; how many schedules were wrong."""
    bad = 0
    with ProcessPoolExecutor(jobs) as pool:
        totals: dict[tuple[str, str], tuple[int, int]] = {}
        for part, (many, found) in zip(parts, pool.map(Part.play, parts, chunksize=4), strict=True):
            key = part.scene.name, part.manner
            before = totals.get(key, (0, 0))
            totals[key] = before[0] + many, before[1] + len(found)
            bad += len(found)
            for line in found[:SHOWN]:
                print(f"  WRONG {line}")
        for (scene, manner), (many, wrong) in totals.items():
            print(f"{scene:<24}{manner:<14}{many:>9,} schedules{wrong:>6} wrong")
    print(f"{sum(many for many, _ in totals.values()):,} schedules in all, {bad} wrong")
    return bad


def guards(jobs: int) -> int:
    """Leave out each guard; how many were not missed."""
    missed = 0
    with ProcessPoolExecutor(jobs) as pool:
        for mutant, (count, rule) in zip(MUTANTS, pool.map(caught, MUTANTS), strict=True):
            told = f"{rule} after {count:,} schedules" if count else "NOT FOUND OUT"
            print(f"{mutant.name:<48}{told}")
            missed += not count
    return missed


def main() -> int:
    """Play and print."""
    parser = argparse.ArgumentParser(description="one order over two proxies under faults")
    parser.add_argument("--pairs", action="store_true")
    parser.add_argument("--jobs", type=int, default=2)
    parser.add_argument("--scene", default="")
    parser.add_argument("--manner", default="")
    args = parser.parse_args()
    scenes = [scene for scene in SCENES if args.scene in ("", scene.name)]
    manners = [manner for manner in MANNERS if args.manner in ("", manner)]
    bad = explore([Part(scene, manner) for scene, manner in product(scenes, manners)], args.jobs)
    if args.pairs:
        second = args.manner or "well"
        with watched():
            firsts = [(scene, faults[0]) for scene in scenes for faults in singles(scene, second) if faults]
        bad += explore([Part(scene, second, first) for scene, first in firsts], args.jobs)
    missed = 0 if args.scene or args.manner else guards(args.jobs)
    return 1 if bad or missed else 0


if __name__ == "__main__":
    sys.exit(main())
