"""Drains and kills of live gateways on loopback, real processes, with sessions and without.

    python -m bench.gateway [--drains 20] [--kills 20] [--rate 80] [--seed 1] [--sessions on|off|both]

Two regions, two gateways each; the busiest gateway is drained and taken back, killed and started again, in
turn. Printed: uploads and orders begun and how they ended, bytes sent twice, what a backend recorded twice or
not at all, p50 and p99 of inner calls in the second before, during and after.
"""

from __future__ import annotations

import argparse
import os

from honeywharf.standins import gatewaydemo


def main() -> None:
    """Run, and print the figures."""
    parser = argparse.ArgumentParser()
    for name, default in (("drains", 20), ("kills", 20), ("seed", 1)):
        parser.add_argument(f"--{name}", type=int, default=default)
    parser.add_argument("--rate", type=float, default=80.0, help="short requests a second")
    parser.add_argument("--sessions", choices=("on", "off", "both"), default="both")
    chosen = parser.parse_args()
    print(f"{os.cpu_count()} processors, load {os.getloadavg()[0]:.1f} at the start")
    for name in ("on", "off"):
        if chosen.sessions in (name, "both"):
            figures = gatewaydemo.run(
                chosen.drains, chosen.kills, chosen.rate, chosen.seed, name == "on", lambda line: None)
            load = os.getloadavg()[0]
            print(f"sessions {name}: {chosen.drains} drains, {chosen.kills} kills, load {load:.1f}")
            for key, value in sorted(figures.items()):
                print(f"  {key}: {value}")


if __name__ == "__main__":
    main()
