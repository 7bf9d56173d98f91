"""Drains and kills of live gateways: on loopback with real processes, or a working day in virtual time.

    python -m bench.gateway [--drains 20] [--kills 20] [--rate 80] [--seed N] [--sessions on|off|both]
    python -m bench.gateway --simulation [--days 5] [--seed N] [--compare] [--plan bench/days/gateway.toml]
    ... [--plot FOLDER]: also an SVG of uploads by gateway for each run

Loopback: two regions of two gateways; the busiest one is drained and killed in turn. `--simulation`:
the plan's day with a drain, then with a kill; `--compare` also without lanes and without sessions. Prints
outcomes, retransmitted bytes, quantiles of inner calls, and a chart of uploads by gateway.
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


def chart(names: list[str], samples: Samples, fault_times: list[float]) -> list[str]:
    """Returns lines with the uploads of each gateway over time, as the rounded mean of each column."""
    if not samples:
        return []
    first_time_s, span = samples[0][0], max(1e-9, samples[-1][0] - samples[0][0])
    cells: list[list[list[int]]] = [[[] for _ in range(COLUMNS)] for _ in names]
    marks = [" "] * COLUMNS
    for time_s, counts in samples:
        for row, count in zip(cells, counts, strict=True):
            row[min(COLUMNS - 1, int((time_s - first_time_s) / span * COLUMNS))].append(count)
    for time_s in fault_times:
        marks[max(0, min(COLUMNS - 1, int((time_s - first_time_s) / span * COLUMNS)))] = "v"
    lines = [f"{'':18}{''.join(marks)}"]
    for name, row in zip(names, cells, strict=True):
        means: list[float] = []
        for cell in row:  # A column without a sample repeats the previous one.
            means.append(sum(cell) / len(cell) if cell else means[-1] if means else 0.0)
        digits = "".join(
            "." if mean == 0 else "+" if mean >= 9.5 else f"{max(1, round(mean))}" for mean in means
        )
        lines.append(f"{name:18}{digits}")
    return [*lines, f"{'':18}{span:.0f} s; v: a trouble begins; a digit: uploads, +: ten or more"]


def plot(folder: str, title: str, names: list[str], samples: Samples, fault_times: list[float]) -> None:
    """Writes the same chart to FOLDER/TITLE.svg; nothing if no folder is given."""
    if not folder or not samples:
        return
    from matplotlib.figure import Figure

    figure = Figure(figsize=(10, 3.5))
    axes = figure.subplots()
    first_time_s = samples[0][0]
    for number, name in enumerate(names):
        axes.step(
            [time_s - first_time_s for time_s, _ in samples],
            [counts[number] for _, counts in samples],
            label=name,
        )
    for time_s in fault_times:
        axes.axvline(time_s - first_time_s, color="grey", linewidth=0.5)
    axes.set(xlabel="seconds", ylabel="uploads by gateway", title=title)
    axes.legend()
    path = Path(folder) / f"{title.replace(' ', '-').replace(',', '')}.svg"
    path.parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(path)


def loopback(args: argparse.Namespace) -> None:
    """Runs real processes and prints the figures."""
    print(f"{os.cpu_count()} processors, load {os.getloadavg()[0]:.1f} at the start")
    for name in ("on", "off"):
        if args.sessions not in (name, "both"):
            continue
        days: list[gatewaydemo.GatewayDemo] = []
        figures = gatewaydemo.run(
            args.drains,
            args.kills,
            args.rate,
            args.seed,
            name == "on",
            lambda line: None,
            before_close=days.append,
        )
        load = os.getloadavg()[0]
        print(f"sessions {name}: {args.drains} drains, {args.kills} kills, load {load:.1f}")
        for key, value in sorted(figures.items()):
            print(f"  {key}: {value}")
        for day in days:
            chart_arguments = (
                [*day.session_client.paths],
                day.samples,
                [time_s for time_s, _ in day.fault_times],
            )
            print("\n".join(chart(*chart_arguments)))
            plot(args.plot, f"loopback, sessions {name}", *chart_arguments)


def simulation(args: argparse.Namespace) -> None:
    """Runs working days in virtual time and prints the figures."""
    plan = ScenarioPlan(tomllib.loads(Path(args.plan).read_text("utf-8")))
    for fault_kind in ("drain", "kill"):
        variants = [("", True, True), (", lanes off", True, False), (", sessions off", False, True)]
        for title, sessions, lanes in variants if args.compare else variants[:1]:
            days = [
                GatewayScenario(seed, plan, fault_kind, sessions, lanes).run_scenario()
                for seed in range(args.seed, args.seed + args.days)
            ]
            report(f"{fault_kind}{title}", days, args.plot)


def report(title: str, days: list[GatewayScenario], folder: str) -> None:
    """Prints the figures of some days of one kind."""
    fault_count = sum(len(day.fault_times) for day in days)
    print(f"{title}: {len(days)} days, {fault_count} troubles")
    for name in ("inner", "manifest", "tile"):
        durations_by_window = {
            window: [call_s for day in days for call_s in day.durations_s(name)[window]]
            for window, _, _ in WINDOWS
        }
        p99 = {window: quantile(values, 0.99) for window, values in durations_by_window.items()}
        windows_text = ", ".join(
            f"{window} {quantile(values, 0.5) * 1e3:.1f} / {p99[window] * 1e3:.1f} of {len(values)}"
            for window, values in durations_by_window.items()
        )
        ratio = p99["during"] / max(1e-9, p99["before"])
        print(f"  {name} p50 / p99 ms: {windows_text}; during / before {ratio:.2f}")
    outcomes: Counter[str] = Counter()
    for day in days:
        for client in day.clients:
            group = "uploads" if client.kind == UPLOAD else "reads" if client.kind == READ else "orders"
            outcomes[f"{group} begun"] += 1
            outcomes[f"{group} {client.outcome}"] += 1
            outcomes[f"{group} sent again whole"] += client.kind == UPLOAD and client.tries > 1
            if isinstance(client, ScenarioRequest) and client.kind == READ and client.outcome == "done":
                outcomes["reads over 0.4 s"] += client.ended_at - client.begun_at > 0.4
    source_programs = [
        source.program for day in days for source in day.sources if isinstance(source.program, Source)
    ]
    resent_bytes = sum(source.session_client.retransmitted_bytes for source in source_programs)
    print("  " + ", ".join(f"{key} {value}" for key, value in sorted(outcomes.items()) if value))
    print(
        f"  bytes twice {resent_bytes}; broken {sum(bool(day.faults) for day in days)}"
        f"; {[fault for day in days for fault in day.faults][:2]}"
    )
    empty_after_s = sorted(duration_s for day in days for duration_s in day.empty_s)
    if empty_after_s:
        print(
            f"  empty after: median {empty_after_s[len(empty_after_s) // 2]:.2f} s,"
            f" longest {empty_after_s[-1]:.2f} s"
        )
    chart_arguments = (
        [gateway.machine.ip for gateway in days[0].gateways],
        days[0].samples,
        days[0].fault_times,
    )
    print("\n".join(chart(*chart_arguments)), flush=True)
    plot(folder, f"simulation, {title}", *chart_arguments)


def main() -> None:
    """Runs the selected mode."""
    parser = argparse.ArgumentParser()
    for name, default in (("drains", 20), ("kills", 20), ("seed", 1), ("days", 5)):
        parser.add_argument(f"--{name}", type=int, default=default)
    parser.add_argument("--rate", type=float, default=80.0, help="short requests per second")
    parser.add_argument("--sessions", choices=("on", "off", "both"), default="both")
    parser.add_argument("--simulation", action="store_true", help="in virtual time")
    parser.add_argument("--compare", action="store_true", help="also without lanes and without sessions")
    parser.add_argument("--plan", default="bench/days/gateway.toml")
    parser.add_argument("--plot", default="", help="a folder for SVG files")
    args = parser.parse_args()
    (simulation if args.simulation else loopback)(args)


if __name__ == "__main__":
    main()
