"""Drains and kills of live gateways: on loopback with real processes, or a working day in virtual time.

    python -m bench.gateway [--drains 20] [--kills 20] [--rate 80] [--seed 1] [--sessions on|off|both]
    python -m bench.gateway --simulation [--days 5] [--seed 1] [--compare] [--plan bench/days/gateway.toml]
    ... [--plot FOLDER]: an SVG of uploads by gateway for each run beside the text

Loopback: two regions, two gateways each; the busiest gateway is drained and taken back, killed and started
again, in turn. Printed: uploads and orders begun and how they ended, bytes sent twice, what a backend
recorded twice or not at all, p50 and p99 of inner calls in the second before, during and after.
`--simulation`: the experiment's day with a drain, then a kill, at its hours; with `--compare` also without
lanes and without sessions. The same seed gives the same figures on any machine. Below each run: how many
uploads each gateway carried.
"""

from __future__ import annotations

import argparse
import os
import tomllib
from collections import Counter
from pathlib import Path

from honeywharf.simulation.gateway_scenario import (
    WINDOWS,
    GatewayScenario,
    ScenarioPlan,
    ScenarioRequest,
    quantile,
)
from honeywharf.simulation.regions import READ, UPLOAD, Source
from honeywharf.standins import gatewaydemo

COLUMNS = 110
Samples = list[tuple[float, list[int]]]


def chart(names: list[str], samples: Samples, troubles: list[float]) -> list[str]:
    """Uploads by gateway over time: a row for each, a digit (or +) for the mean of each column."""
    if not samples:
        return []
    begin, span = samples[0][0], max(1e-9, samples[-1][0] - samples[0][0])
    cells: list[list[list[int]]] = [[[] for _ in range(COLUMNS)] for _ in names]
    marks = [" "] * COLUMNS
    for at, counts in samples:
        for row, count in zip(cells, counts, strict=True):
            row[min(COLUMNS - 1, int((at - begin) / span * COLUMNS))].append(count)
    for at in troubles:
        marks[max(0, min(COLUMNS - 1, int((at - begin) / span * COLUMNS)))] = "v"
    lines = [f"{'':18}{''.join(marks)}"]
    for name, row in zip(names, cells, strict=True):
        means: list[float] = []
        for cell in row:  # a column without a sample shows the one before
            means.append(sum(cell) / len(cell) if cell else means[-1] if means else 0.0)
        digits = "".join(
            "." if mean == 0 else "+" if mean >= 9.5 else f"{max(1, round(mean))}" for mean in means
        )
        lines.append(f"{name:18}{digits}")
    return [*lines, f"{'':18}{span:.0f} s; v: a trouble begins; a digit: uploads, +: ten or more"]


def plot(folder: str, title: str, names: list[str], samples: Samples, troubles: list[float]) -> None:
    """The same as a file FOLDER/TITLE.svg; nothing where no folder is named."""
    if not folder or not samples:
        return
    from matplotlib.figure import Figure

    figure = Figure(figsize=(10, 3.5))
    axes = figure.subplots()
    begin = samples[0][0]
    for number, name in enumerate(names):
        axes.step([at - begin for at, _ in samples], [counts[number] for _, counts in samples], label=name)
    for at in troubles:
        axes.axvline(at - begin, color="grey", linewidth=0.5)
    axes.set(xlabel="seconds", ylabel="uploads by gateway", title=title)
    axes.legend()
    path = Path(folder) / f"{title.replace(' ', '-').replace(',', '')}.svg"
    path.parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(path)


def loopback(chosen: argparse.Namespace) -> None:
    """Real processes; the figures."""
    print(f"{os.cpu_count()} processors, load {os.getloadavg()[0]:.1f} at the start")
    for name in ("on", "off"):
        if chosen.sessions not in (name, "both"):
            continue
        days: list[gatewaydemo.GatewayDemo] = []
        figures = gatewaydemo.run(
            chosen.drains,
            chosen.kills,
            chosen.rate,
            chosen.seed,
            name == "on",
            lambda line: None,
            before_close=days.append,
        )
        load = os.getloadavg()[0]
        print(f"sessions {name}: {chosen.drains} drains, {chosen.kills} kills, load {load:.1f}")
        for key, value in sorted(figures.items()):
            print(f"  {key}: {value}")
        for day in days:
            told = ([*day.session_client.paths], day.samples, [at for at, _ in day.fault_times])
            print("\n".join(chart(*told)))
            plot(chosen.plot, f"loopback, sessions {name}", *told)


def simulation(chosen: argparse.Namespace) -> None:
    """Working days in virtual time; the figures."""
    plan = ScenarioPlan(tomllib.loads(Path(chosen.plan).read_text("utf-8")))
    for trouble in ("drain", "kill"):
        kinds = [("", True, True), (", lanes off", True, False), (", sessions off", False, True)]
        for title, sessions, lanes in kinds if chosen.compare else kinds[:1]:
            days = [
                GatewayScenario(seed, plan, trouble, sessions, lanes).run_scenario()
                for seed in range(chosen.seed, chosen.seed + chosen.days)
            ]
            report(f"{trouble}{title}", days, chosen.plot)


def report(title: str, days: list[GatewayScenario], folder: str) -> None:
    """Print what some days of one kind showed."""
    troubles = sum(len(day.fault_times) for day in days)
    print(f"{title}: {len(days)} days, {troubles} troubles")
    for name in ("inner", "manifest", "tile"):
        took = {
            window: [t for day in days for t in day.durations_s(name)[window]] for window, _, _ in WINDOWS
        }
        p99 = {window: quantile(values, 0.99) for window, values in took.items()}
        words = ", ".join(
            f"{window} {quantile(values, 0.5) * 1e3:.1f} / {p99[window] * 1e3:.1f} of {len(values)}"
            for window, values in took.items()
        )
        ratio = p99["during"] / max(1e-9, p99["before"])
        print(f"  {name} p50 / p99 ms: {words}; during / before {ratio:.2f}")
    ends: Counter[str] = Counter()
    for day in days:
        for one in day.clients:
            group = "uploads" if one.kind == UPLOAD else "reads" if one.kind == READ else "orders"
            ends[f"{group} begun"] += 1
            ends[f"{group} {one.outcome}"] += 1
            ends[f"{group} sent again whole"] += one.kind == UPLOAD and one.tries > 1
            if isinstance(one, ScenarioRequest) and one.kind == READ and one.outcome == "done":
                ends["reads over 0.4 s"] += one.ended_at - one.begun_at > 0.4
    sides = [side.program for day in days for side in day.sources if isinstance(side.program, Source)]
    twice = sum(side.session_client.retransmitted_bytes for side in sides)
    print("  " + ", ".join(f"{key} {value}" for key, value in sorted(ends.items()) if value))
    print(
        f"  bytes twice {twice}; broken {sum(bool(day.faults) for day in days)}"
        f"; {[fault for day in days for fault in day.faults][:2]}"
    )
    empty = sorted(took for day in days for took in day.empty_s)
    if empty:
        print(f"  empty after: median {empty[len(empty) // 2]:.2f} s, longest {empty[-1]:.2f} s")
    told = ([keeper.machine.ip for keeper in days[0].gateways], days[0].samples, days[0].fault_times)
    print("\n".join(chart(*told)), flush=True)
    plot(folder, f"simulation, {title}", *told)


def main() -> None:
    """Run, and print the figures."""
    parser = argparse.ArgumentParser()
    for name, default in (("drains", 20), ("kills", 20), ("seed", 1), ("days", 5)):
        parser.add_argument(f"--{name}", type=int, default=default)
    parser.add_argument("--rate", type=float, default=80.0, help="short requests a second")
    parser.add_argument("--sessions", choices=("on", "off", "both"), default="both")
    parser.add_argument("--simulation", action="store_true", help="in virtual time")
    parser.add_argument("--compare", action="store_true", help="without lanes, without sessions too")
    parser.add_argument("--plan", default="bench/days/gateway.toml")
    parser.add_argument("--plot", default="", help="a folder for SVG files")
    chosen = parser.parse_args()
    (simulation if chosen.simulation else loopback)(chosen)


if __name__ == "__main__":
    main()
