"""Load reports read or not: recovery, herding, stale and lying reports, and the cost of a request.

    python -m bench.reports [--proxies 3,9,31,93] [--seeds 2] [--jobs 8] [--quick]

All in virtual time with the real decision modules (`honeywharf.lab`): 42 nodes that jam, 0.75 of capacity
in use, 0.4 of the nodes dead from 10 to 16 s and then cold for 8 s; nodes report the calls that wait, as
`simulator.Reporting` has it. Printed, off beside on: the share answered within the aim while nodes are dead
and after, the time until it is back at 0.95 of before, and the widest swing of what waits at a node on the
mean, over two-second steps at ease; the same for reports by delay and noise, and for nodes that lie; the
loop by itself, a fluid queue; and the microseconds that a report adds to a request, on the installed build.
Status 1 where a report that is stale or a lie costs more than 0.03 of what is answered in time beside
reports off.
"""

from __future__ import annotations

import argparse
import statistics
import subprocess
import sys
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, replace

from bench.processes import HERE, command
from honeywharf.lab import days, measures
from honeywharf.lab.habits import MIXED
from honeywharf.lab.simulator import Day, Fault, Reporting, Simulation
from tests.reports.model import loop

WORSE = 0.03
NODES = {"a": 14, "b": 14, "c": 14}
LIES = {
    "half say nothing": Reporting(silent=0.5),
    "a third always 0": Reporting(liars=0.33, lie=0.0),
    "a third always 7": Reporting(liars=0.33, lie=7.0),
    "a third always 1000": Reporting(liars=0.33, lie=1000.0),
    "3 s later for a while": Reporting(swing_ms=3000.0),
}


@dataclass(frozen=True)
class Play:
    """One day and what came of it: shares of first tries in time, s, calls waiting for each node."""

    dead: float
    after: float
    recovery_s: float
    swing: float


def day(proxies: int, on: bool, load: Reporting, seed: int) -> Day:
    """The day."""
    made = Day(
        "reports",
        seed,
        100.0,
        NODES,
        days.no_arrivals,
        spec=days.TILE,
        retries=6,
        length_ms=40_000.0,
        habits=MIXED,
        marks=0.5,
        proxies=proxies,
        reports=on,
        load=load,
        faults=(Fault(10_000.0, "crash", part=0.4, for_ms=6000.0),),
    )
    return days.load(made, 0.75)


def play(what: tuple[int, bool, Reporting, int]) -> Play:
    """Play a day, and look each 100 ms at what waits while all is well."""
    proxies, on, load, seed = what
    shape = day(proxies, on, load, seed)
    simulation, waits = Simulation(shape), list[float]()

    def look() -> None:
        waits.append(statistics.fmean(len(n.waiting) for n in simulation.nodes.values()))
        if simulation.now < 9900.0:
            simulation.call_at(simulation.now + 100.0, look)

    simulation.call_at(4000.0, look)
    figures = measures.figures_of(shape, simulation.play())
    return Play(figures["dead"], figures["after"], figures["recovery_s"], max(waits) - min(waits))


def row(name: str, plays: list[Play]) -> str:
    """One line: means, and each recovery."""
    back = ", ".join(
        "never" if p.recovery_s >= measures.NOT_RECOVERED_S else f"{p.recovery_s:.1f}" for p in plays
    )
    return (
        f"{name:<34}{statistics.fmean(p.dead for p in plays):>7.3f}"
        f"{statistics.fmean(p.after for p in plays):>7.3f}"
        f"{statistics.fmean(p.swing for p in plays):>7.2f}  {back}"
    )


PLAY = """
import time
from honeywharf.policy import Balancer, interface as api
from honeywharf.reports import LoadReports

def play(on, number):
    settings = api.Settings(
        zone="a", classes=(api.RequestClass("read", 1000.0, 2000.0),), zones=3, balancers=30,
        limits=api.Limits(max_attempts=3), report_fields=("queue",))
    balancer = Balancer(settings, 1)
    if on:
        balancer.choice.loads = LoadReports(settings)
    balancer.handle(0.0, api.Started())
    balancer.handle(0.0, api.EndpointsListed(api.ListKind.FULL, tuple(
        api.Endpoint(f"{z}{i}", z) for z in "abc" for i in range(14))))
    begun = time.process_time()
    for i in range(number):
        now, name = i * 2.0, f"r{i}"
        for action in balancer.handle(now, api.RequestArrived(name, "read", 2000.0)):
            if isinstance(action, api.Send):
                balancer.handle(now + 1.0, api.AttemptEnded(
                    name, 0, api.Outcome.OK, 50.0, True, (float(i % 3),), action.endpoint))
    return (time.process_time() - begun) / number * 1e6

print(min(play(True, 60_000) for _ in range(3)) - min(play(False, 60_000) for _ in range(3)))
"""


def cost() -> float:
    """Microseconds that a report adds to a request's decisions, on what `deploy/build.sh` has installed."""
    done = subprocess.run(
        [*command(HERE)[:-2], "-c", PLAY], cwd="/", capture_output=True, text=True, check=True
    )
    return float(done.stdout)


def main() -> int:
    """Play and print."""
    parser = argparse.ArgumentParser(description="load reports read or not, in virtual time")
    parser.add_argument("--proxies", default="3,9,31,93")
    parser.add_argument("--seeds", type=int, default=2)
    parser.add_argument("--jobs", type=int, default=8)
    parser.add_argument("--quick", action="store_true", help="only the first table")
    args = parser.parse_args()
    seeds = range(1, args.seeds + 1)
    table: list[tuple[str, int, bool, Reporting]] = [
        (f"{n} proxies, reports {'on' if on else 'off'}", n, on, Reporting())
        for n in map(int, args.proxies.split(","))
        for on in (False, True)
    ]
    many = int(args.proxies.split(",")[-2]) if "," in args.proxies else int(args.proxies)
    stale: list[tuple[str, int, bool, Reporting]] = []
    if not args.quick:
        stale = [
            (
                f"{late:g} ms late, noise {noise:g}",
                many,
                True,
                replace(Reporting(), late_ms=late, noise=noise),
            )
            for late in (0.0, 450.0, 2000.0)
            for noise in (0.0, 0.5)
        ]
        stale += [(name, many, True, load) for name, load in LIES.items()]
    jobs = [(n, on, load, seed) for _, n, on, load in table + stale for seed in seeds]
    with ProcessPoolExecutor(args.jobs) as pool:
        plays = list(pool.map(play, jobs))
    print(f"{'':<34}{'dead':>7}{'after':>7}{'swing':>7}  back after, s")
    found: dict[str, list[Play]] = {}
    for i, (name, *_) in enumerate(table + stale):
        if i == len(table):
            print(f"behind {many} proxies, by what is reported:")
        found[name] = plays[i * args.seeds : (i + 1) * args.seeds]
        print(row(name, found[name]))
    for delay in (0.0, 200.0, 500.0, 1000.0, 2000.0):
        mean, swing = loop(delay, 31)
        print(f"the loop by itself, reports {delay:g} ms old: wait {mean:.2f}, swing {swing:.1f} references")
    print(f"a report costs {cost():.2f} us of a request's decisions")
    off = statistics.fmean(p.after for p in found[f"{many} proxies, reports off"])
    return 1 if any(statistics.fmean(p.after for p in found[name]) < off - WORSE for name, *_ in stale) else 0


if __name__ == "__main__":
    sys.exit(main())
