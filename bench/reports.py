"""Effect of load reports: recovery, herding, stale and false reports, and the cost for a request.

    python -m bench.reports [--proxies 3,9,31,93] [--seeds 2] [--jobs 8] [--quick]

Runs the real decision modules (`honeywharf.lab`) in virtual time: 42 nodes at 0.75 of capacity; 0.4 of them
are dead from 10 to 16 s and then cold for 8 s. Prints, without and with reports: the share answered within
the latency target while nodes are dead and after, the recovery time to 0.95, and the swing of the waiting
calls per node; the same for stale, noisy and false reports; a fluid-queue model; and a report's cost in us.
Exit status 1 if stale or false reports lose more than 0.03 of the answers in time.
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

MAX_LOSS = 0.03
NODES = {"a": 14, "b": 14, "c": 14}
FALSE_REPORTS = {
    "half say nothing": Reporting(silent=0.5),
    "a third always 0": Reporting(liars=0.33, lie=0.0),
    "a third always 7": Reporting(liars=0.33, lie=7.0),
    "a third always 1000": Reporting(liars=0.33, lie=1000.0),
    "3 s later for a while": Reporting(swing_ms=3000.0),
}


@dataclass(frozen=True)
class DayResult:
    """The result of one day: shares of first attempts in time, seconds, waiting calls per node."""

    dead: float
    after: float
    recovery_s: float
    swing: float


def day(proxies: int, on: bool, load: Reporting, seed: int) -> Day:
    """Returns the day."""
    unloaded_day = Day(
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
    return days.load(unloaded_day, 0.75)


def run_day(task: tuple[int, bool, Reporting, int]) -> DayResult:
    """Runs a day and samples the waiting calls every 100 ms before the nodes die."""
    proxies, on, load, seed = task
    simulated_day = day(proxies, on, load, seed)
    simulation, waits = Simulation(simulated_day), list[float]()

    def sample() -> None:
        waits.append(statistics.fmean(len(n.waiting) for n in simulation.nodes.values()))
        if simulation.now < 9900.0:
            simulation.call_at(simulation.now + 100.0, sample)

    simulation.call_at(4000.0, sample)
    figures = measures.figures_of(simulated_day, simulation.play())
    return DayResult(figures["dead"], figures["after"], figures["recovery_s"], max(waits) - min(waits))


def format_row(name: str, results: list[DayResult]) -> str:
    """Returns one line with the means and each recovery time."""
    recoveries = ", ".join(
        "never" if result.recovery_s >= measures.NOT_RECOVERED_S else f"{result.recovery_s:.1f}"
        for result in results
    )
    return (
        f"{name:<34}{statistics.fmean(result.dead for result in results):>7.3f}"
        f"{statistics.fmean(result.after for result in results):>7.3f}"
        f"{statistics.fmean(result.swing for result in results):>7.2f}  {recoveries}"
    )


COST_PROGRAM = """
import time
from honeywharf.policy import Balancer, interface as api
from honeywharf.reports import LoadReports

def duration_us(on, number):
    settings = api.Settings(
        zone="a", classes=(api.RequestClass("read", 1000.0, 2000.0),), zones=3, balancers=30,
        limits=api.Limits(max_attempts=3), report_fields=("queue",))
    balancer = Balancer(settings, 1)
    if on:
        balancer.choice.loads = LoadReports(settings)
    balancer.handle(0.0, api.Started())
    balancer.handle(0.0, api.EndpointsListed(api.ListKind.FULL, tuple(
        api.Endpoint(f"{z}{i}", z) for z in "abc" for i in range(14))))
    started_at = time.process_time()
    for i in range(number):
        now, name = i * 2.0, f"r{i}"
        for action in balancer.handle(now, api.RequestArrived(name, "read", 2000.0)):
            if isinstance(action, api.Send):
                balancer.handle(now + 1.0, api.AttemptEnded(
                    name, 0, api.Outcome.OK, 50.0, True, (float(i % 3),), action.endpoint))
    return (time.process_time() - started_at) / number * 1e6

print(min(duration_us(True, 60_000) for _ in range(3)) - min(duration_us(False, 60_000) for _ in range(3)))
"""


def cost() -> float:
    """Returns the us that a report adds to a request's decisions, on the build by `deploy/build.sh`."""
    completed = subprocess.run(
        [*command(HERE)[:-2], "-c", COST_PROGRAM], cwd="/", capture_output=True, text=True, check=True
    )
    return float(completed.stdout)


def main() -> int:
    """Runs the days and prints the results."""
    parser = argparse.ArgumentParser(description="effect of load reports, in virtual time")
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
    proxy_count = int(args.proxies.split(",")[-2]) if "," in args.proxies else int(args.proxies)
    stale: list[tuple[str, int, bool, Reporting]] = []
    if not args.quick:
        stale = [
            (
                f"{delay_ms:g} ms late, noise {noise:g}",
                proxy_count,
                True,
                replace(Reporting(), late_ms=delay_ms, noise=noise),
            )
            for delay_ms in (0.0, 450.0, 2000.0)
            for noise in (0.0, 0.5)
        ]
        stale += [(name, proxy_count, True, load) for name, load in FALSE_REPORTS.items()]
    jobs = [(n, on, load, seed) for _, n, on, load in table + stale for seed in seeds]
    with ProcessPoolExecutor(args.jobs) as pool:
        results = list(pool.map(run_day, jobs))
    print(f"{'':<34}{'dead':>7}{'after':>7}{'swing':>7}  back after, s")
    results_by_name: dict[str, list[DayResult]] = {}
    for i, (name, *_) in enumerate(table + stale):
        if i == len(table):
            print(f"behind {proxy_count} proxies, by what is reported:")
        results_by_name[name] = results[i * args.seeds : (i + 1) * args.seeds]
        print(format_row(name, results_by_name[name]))
    for delay in (0.0, 200.0, 500.0, 1000.0, 2000.0):
        mean, swing = loop(delay, 31)
        print(f"the loop by itself, reports {delay:g} ms old: wait {mean:.2f}, swing {swing:.1f} references")
    print(f"a report costs {cost():.2f} us of a request's decisions")
    share_without_reports = statistics.fmean(
        result.after for result in results_by_name[f"{proxy_count} proxies, reports off"]
    )
    return (
        1
        if any(
            statistics.fmean(result.after for result in results_by_name[name])
            < share_without_reports - MAX_LOSS
            for name, *_ in stale
        )
        else 0
    )


if __name__ == "__main__":
    sys.exit(main())
