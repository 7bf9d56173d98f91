"""Simulated days with conflicting, repeated and unacknowledged configuration requests, and with faults.

    PYTHONHASHSEED=0 python -m bench.operator_days FIRST COUNT [--shape 1,1,1/3]

Each day sends two contents of one version at the same time, repeats older changes, and draws four to eight
more faults of the control machines; two of five days end with a closing fault. Prints the days that break a
rule with the end of their history; status 1 where one did. PYTHONHASHSEED is fixed because the order of sets
affects a day.
"""

from __future__ import annotations

import argparse
import random
import sys

from honeywharf.simulation.deployment import Shape
from honeywharf.simulation.fault_schedule import CLOSING_VARIANTS, Fault
from honeywharf.simulation.run import run

FAULT_VARIANTS = (
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
FIRST_FAULT_S, LAST_FAULT_S = 10.0, 26.0
CLOSING_FAULT_S = 30.0
CLOSING_FAULT_SHARE = 0.4  # Share of the days that end with a closing fault.
TRAFFIC_AFTER_FAULTS_S = 20.0  # Duration of the traffic after the last fault.
MAX_HISTORY_LINES = 40  # Lines of a broken day's history that are printed.


def draw_faults(seed: int) -> list[Fault]:
    """Returns the faults of a day."""
    rng = random.Random(seed)
    faults = [
        Fault(rng.uniform(FIRST_FAULT_S, LAST_FAULT_S - 2.0), "config_race", "", seed),
        Fault(rng.uniform(FIRST_FAULT_S + 8.0, LAST_FAULT_S), "late_again", "", seed + 1),
    ]
    for _ in range(rng.randint(4, 8)):
        starts_at = rng.uniform(FIRST_FAULT_S, LAST_FAULT_S)
        faults.append(Fault(starts_at, *rng.choice(FAULT_VARIANTS), rng.getrandbits(32)))
    faults.sort(key=lambda fault: fault.at)
    if rng.random() < CLOSING_FAULT_SHARE:
        faults.append(Fault(CLOSING_FAULT_S, "closing", rng.choice(CLOSING_VARIANTS), seed))
    return faults


def main(arguments: list[str]) -> int:
    """Runs `count` days from a seed on."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else "")
    parser.add_argument("first", type=int)
    parser.add_argument("count", type=int)
    parser.add_argument("--shape", type=Shape.from_text, default=Shape.from_text("1,1,1/3"))
    options = parser.parse_args(arguments)
    broken_days = 0
    for seed in range(options.first, options.first + options.count):
        report = run(seed, draw_faults(seed), shape=options.shape, after=TRAFFIC_AFTER_FAULTS_S)
        if report.broken:
            broken_days += 1
            print(report)
            for line in report.history()[-MAX_HISTORY_LINES:]:
                print(f"    {line}", flush=True)
    print(f"{broken_days} of {options.count} days broke a rule")
    return 1 if broken_days else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
