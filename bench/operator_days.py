"""Simulated days that try an operator's orders: raced, sent again, unacknowledged, struck by losses.

    PYTHONHASHSEED=0 python -m bench.operator_days FIRST COUNT [--shape 1,1,1/3]

Each day races two contents under one version, sends older changes again, and draws four to eight more
troubles of the control machines; two of five days end with a closing fault. Prints the days that break a rule
with what led there; status 1 where one did. The order of sets belongs to a day, so PYTHONHASHSEED is fixed.
"""

from __future__ import annotations

import argparse
import random
import sys

from honeywharf.simulation.deployment import Shape
from honeywharf.simulation.fault_schedule import CLOSING_VARIANTS, Fault
from honeywharf.simulation.run import run

TROUBLES = (
    ("config_race", ""),
    ("config_race", "versions"),
    ("late_again", ""),
    ("ack_lost", ""),
    ("config_storm", "long"),
    ("after_ack_kill", "timed"),
    ("after_ack_kill", ""),
    ("after_ack_wipe", ""),
    ("after_ack_wipe", "timed"),
    ("core_replace", "planned"),
    ("core_replace", "twice"),
    ("core_replace", "then killed"),
    ("core_cut", "one_way"),
    ("core_cut", "both"),
    ("core_cut", "short"),
    ("core_kill", "power"),
    ("core_freeze", ""),
    ("disk_stall", ""),
    ("disk_full", ""),
    ("core_resets", ""),
    ("core_herd", ""),
    ("evacuate", ""),
    ("config_storm", ""),
)
BEGIN, END = 10.0, 26.0  # seconds
CLOSES_AT = 30.0
CLOSED = 0.4  # share of the days that end with a closing fault
AFTER = 20.0  # seconds of traffic after the last trouble may have begun
KEPT_LINES = 40  # of a broken day's history


def drawn(seed: int) -> list[Fault]:
    """The troubles of a day."""
    chance = random.Random(seed)
    faults = [
        Fault(chance.uniform(BEGIN, END - 2.0), "config_race", "", seed),
        Fault(chance.uniform(BEGIN + 8.0, END), "late_again", "", seed + 1),
    ]
    for _ in range(chance.randint(4, 8)):
        at = chance.uniform(BEGIN, END)
        faults.append(Fault(at, *chance.choice(TROUBLES), chance.getrandbits(32)))
    faults.sort(key=lambda fault: fault.at)
    if chance.random() < CLOSED:
        faults.append(Fault(CLOSES_AT, "closing", chance.choice(CLOSING_VARIANTS), seed))
    return faults


def main(arguments: list[str]) -> int:
    """Play days from a seed on."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else "")
    parser.add_argument("first", type=int)
    parser.add_argument("count", type=int)
    parser.add_argument("--shape", type=Shape.from_text, default=Shape.from_text("1,1,1/3"))
    asked = parser.parse_args(arguments)
    broken = 0
    for seed in range(asked.first, asked.first + asked.count):
        report = run(seed, drawn(seed), shape=asked.shape, after=AFTER)
        if report.broken:
            broken += 1
            print(report)
            for line in report.history()[-KEPT_LINES:]:
                print(f"    {line}", flush=True)
    print(f"{broken} of {asked.count} days broke a rule")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
