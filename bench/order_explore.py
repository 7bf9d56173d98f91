"""One order over two proxies under every single fault, and under every pair of faults.

    python -m bench.order_explore [--pairs] [--jobs N] [--scene NAME] [--manner NAME]

Prints for each scene and each manner of the backends the number of schedules and of wrong ones, and for each
proxy with a guard removed how many schedules detect it. `--pairs` adds a second fault to each first one, with
backends of the manner `well` unless another is given. Status 1 where a schedule was wrong or a removed guard
was not detected.
"""

from __future__ import annotations

import argparse
import sys
from concurrent.futures import ProcessPoolExecutor
from itertools import product

from tests.sidecar.order_model import MANNERS, SCENES, Fault, Scene, pairs, play, singles, watched
from tests.sidecar.order_mutants import MUTANTS, caught

MAX_PRINTED_SCHEDULES = 3  # Wrong schedules that are printed for each unit of work.


class WorkUnit:
    """A unit of work: a scene, a manner, and the first fault where pairs are explored."""

    def __init__(self, scene: Scene, manner: str, first: Fault | None = None) -> None:
        self.scene, self.manner, self.first = scene, manner, first

    def play(self) -> tuple[int, list[str]]:
        """Returns the number of schedules and descriptions of the wrong ones."""
        count, wrong_schedules = 0, []
        with watched():
            schedules = singles(self.scene, self.manner)
            if self.first is not None:
                schedules = pairs(self.scene, self.manner, self.first)
            for faults in schedules:
                count += 1
                violation = play(self.scene, self.manner, faults).wrong
                if violation:
                    wrong_schedules.append(f"{self.scene.name}, {self.manner}, {faults}: {violation}")
        return count, wrong_schedules


def explore(units: list[WorkUnit], jobs: int) -> int:
    """Explores all units and prints the results; returns the number of wrong schedules."""
    wrong_count = 0
    with ProcessPoolExecutor(jobs) as pool:
        totals: dict[tuple[str, str], tuple[int, int]] = {}
        for unit, (count, wrong_schedules) in zip(
            units, pool.map(WorkUnit.play, units, chunksize=4), strict=True
        ):
            key = unit.scene.name, unit.manner
            earlier_counts = totals.get(key, (0, 0))
            totals[key] = earlier_counts[0] + count, earlier_counts[1] + len(wrong_schedules)
            wrong_count += len(wrong_schedules)
            for line in wrong_schedules[:MAX_PRINTED_SCHEDULES]:
                print(f"  WRONG {line}")
        for (scene, manner), (count, wrong_total) in totals.items():
            print(f"{scene:<24}{manner:<14}{count:>9,} schedules{wrong_total:>6} wrong")
    print(f"{sum(count for count, _ in totals.values()):,} schedules in all, {wrong_count} wrong")
    return wrong_count


def explore_mutants(jobs: int) -> int:
    """Removes each guard in turn; returns how many removals were not detected."""
    undetected = 0
    with ProcessPoolExecutor(jobs) as pool:
        for mutant, (count, rule) in zip(MUTANTS, pool.map(caught, MUTANTS), strict=True):
            outcome = f"{rule} after {count:,} schedules" if count else "NOT FOUND OUT"
            print(f"{mutant.name:<48}{outcome}")
            undetected += not count
    return undetected


def main() -> int:
    """Explores the schedules and prints the results; returns the exit status."""
    parser = argparse.ArgumentParser(description="one order over two proxies under faults")
    parser.add_argument("--pairs", action="store_true")
    parser.add_argument("--jobs", type=int, default=2)
    parser.add_argument("--scene", default="")
    parser.add_argument("--manner", default="")
    args = parser.parse_args()
    scenes = [scene for scene in SCENES if args.scene in ("", scene.name)]
    manners = [manner for manner in MANNERS if args.manner in ("", manner)]
    wrong_count = explore([WorkUnit(scene, manner) for scene, manner in product(scenes, manners)], args.jobs)
    if args.pairs:
        second_manner = args.manner or "well"
        with watched():
            first_faults = [
                (scene, faults[0]) for scene in scenes for faults in singles(scene, second_manner) if faults
            ]
        wrong_count += explore(
            [WorkUnit(scene, second_manner, first) for scene, first in first_faults], args.jobs
        )
    undetected = 0 if args.scene or args.manner else explore_mutants(args.jobs)
    return 1 if wrong_count or undetected else 0


if __name__ == "__main__":
    sys.exit(main())
