"""Experiments: files, their cells, results, comparisons and reports."""

from __future__ import annotations

import copy
import json
import os
import re
import signal
import subprocess
import sys
import time
from contextlib import suppress
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from honeywharf.cli import main
from honeywharf.lab import measures, reports, runs
from honeywharf.lab.experiments import ExperimentError, cells, day_of, load
from honeywharf.lab.results import Results, ResultsError, fingerprint

ROOT = Path(__file__).parents[2]
FILES = sorted((ROOT / "bench" / "experiments").glob("*.toml"))
SMALL: dict[str, Any] = {
    "name": "small",
    "seeds": [1, 2],
    "day": {"length_ms": 6000.0},
    "fleet": {"zones": {"a": 2, "b": 2}, "proxies": 2},
    "troubles": [{"kind": "crash", "at_ms": 2000.0, "for_ms": 1000.0}],
    "sweep": [
        {"name": "storms", "path": "features.storms", "values": [False, True]},
        {
            "name": "clients",
            "cases": [
                {"label": "deaf", "set": {"clients.habits": "deaf"}},
                {"label": "many", "set": {"clients.number": 300, "troubles.0.part": 0.5}},
            ],
        },
    ],
}
TOML = """
name = "small"
seeds = [1, 2, 3]
[day]
length_ms = 4000.0
[fleet]
zones = { a = 2, b = 2 }
proxies = 2
[[sweep]]
path = "features.storms"
values = [false, true]
"""


def changed(path: str, value: Any) -> dict[str, Any]:
    raw = copy.deepcopy(SMALL)
    at: Any = raw
    *steps, last = path.split(".")
    for step in steps:
        at = at[int(step)] if isinstance(at, list) else at.setdefault(step, {})
    if isinstance(at, list):
        at[int(last)] = value
    else:
        at[last] = value
    return raw


@pytest.mark.parametrize("path", FILES, ids=lambda p: p.stem)
def test_the_experiments_of_the_bench_are_valid(path: Path) -> None:
    name, found = load(path)
    assert name == path.stem
    assert len({cell.key for cell in found}) == len(found) >= 2
    for cell in found:
        day_of(cell)


def test_a_sweep_has_a_cell_for_each_combination_and_seed() -> None:
    _, found = cells(SMALL)
    assert [(c.labels["storms"], c.labels["clients"], c.seed) for c in found] == [
        (storms, clients, seed)
        for storms in ("false", "true")
        for clients in ("deaf", "many")
        for seed in (1, 2)
    ]
    assert len({c.key for c in found}) == 8
    assert (found[-1].setting.clients.number, found[-1].setting.troubles[0].part) == (300, 0.5)
    assert found[0].setting.troubles[0].part == 0.15  # a case does not affect another


@pytest.mark.parametrize(
    ("path", "value", "message"),
    [
        ("name", "", "name: expected a string, got ''"),
        ("seeds", [1, "x"], "seeds: expected a list of integers or their number, got [1, 'x']"),
        ("seeds", [], "seeds: expected"),
        ("seeds", 0, "seeds: expected a list of integers or their number, got 0"),
        (
            "day.lenght_ms",
            1.0,
            "day.lenght_ms: expected one of length_ms, work_ms, spread, aim_ms, deadline_ms, load, peak,"
            " peak_from_ms, peak_ms, peak_random, got an unknown key",
        ),
        ("day.load", "high", "day.load: expected a number, got 'high'"),
        ("day.load", 11.0, "day.load: expected 0 to 10, got 11"),
        ("day.deadline_ms", 5.0, "day.deadline_ms: expected 2000 to 1e+06, got 5"),
        ("fleet.zones", {}, "fleet.zones: expected at least one node"),
        ("fleet.proxies", 1, "fleet.proxies: expected 2 to 2000, got 1"),
        ("clients.habits", {"shy": 1.0}, "habit: expected one of obedient"),
        ("clients.habits", {"deaf": 0.0}, "clients.habits: expected weights above 0"),
        ("features.limiter", "best", "features.limiter: expected one of lateness"),
        ("troubles.0.kind", "flood", "troubles[0].kind: expected one of crash"),
        ("troubles.0.part", 0.0, "troubles[0].part: expected above 0"),
        ("troubles.0.zone", "x", "troubles[0].zone: expected one of a, b"),
        ("sweep", {}, "sweep: expected a list of axes"),
        ("sweep.0", 3, "sweep[0]: expected a table, got 3"),
        ("sweep.0", {"path": "a", "values": []}, "sweep[0].values: expected a list, got []"),
        ("sweep.0", {"name": "n"}, "sweep[0]: expected name with cases, or path with values"),
        ("sweep.1.cases.0", {"label": "x"}, "sweep[1].cases[0]: expected a label and a table"),
        ("sweep.0.path", "troubles.7.part", "troubles.7.part: expected an index from 0 to 0, got '7'"),
        ("sweep.0.path", "troubles.0", "troubles.0: expected the name of a setting"),
        (
            "sweep.0.path",
            "name2.x",
            "name2: expected one of day, fleet, clients, features, load, troubles, got an unknown key",
        ),
        ("seeds", list(range(5000)), "sweep: expected up to 10000 cells, got 20000"),
    ],
)
def test_an_error_names_the_setting_and_what_was_expected(path: str, value: Any, message: str) -> None:
    with pytest.raises(ExperimentError) as error:
        cells(changed(path, value))
    assert message in str(error.value)


def test_a_cell_gives_identical_figures_in_another_process() -> None:
    _, found = cells(SMALL)
    cell = found[-1]  # a population, with storm control
    completed = subprocess.run(
        [
            sys.executable,
            "-c",
            (
                "import json, sys; from tests.lab.test_experiments import SMALL;"
                "from honeywharf.lab import runs; from honeywharf.lab.experiments import cells;"
                "print(json.dumps(runs.play(cells(SMALL)[1][-1])[1], sort_keys=True))"
            ),
        ],
        capture_output=True,
        check=True,
        text=True,
        cwd=ROOT,
        env={"PYTHONHASHSEED": "7", "PYTHONPATH": str(ROOT)},
    )
    assert completed.stdout.strip() == json.dumps(runs.play(cell)[1], sort_keys=True)
    other = runs.play(found[-2])[1]
    assert other != runs.play(cell)[1]


def test_a_run_skips_cells_that_have_a_result(tmp_path: Path) -> None:
    _, found = cells(SMALL)
    results = Results(tmp_path / "r")
    assert runs.run("small", found[:3], results, jobs=2, quiet=True) == (3, 0)
    results.close()
    results = Results(tmp_path / "r")
    assert runs.run("small", found, results, jobs=2, quiet=True) == (5, 3)
    assert runs.run("small", found, results, jobs=2, quiet=True) == (0, 8)
    assert len(list(results.rows("small"))) == 8
    assert not list(results.rows("other"))


def test_a_killed_run_keeps_its_results(tmp_path: Path) -> None:
    file, out = tmp_path / "e.toml", tmp_path / "e.results"
    file.write_text(TOML.replace("[1, 2, 3]", str(list(range(3000)))))
    run = subprocess.Popen(
        [sys.executable, "-m", "honeywharf", "lab", "run", str(file), "--jobs", "2", "--quiet"],
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
        cwd=ROOT,
        start_new_session=True,
    )
    until = time.monotonic() + 60.0
    done = 0
    while done < 3 and time.monotonic() < until:
        time.sleep(0.1)
        with suppress(ResultsError):  # the run has not created all tables yet
            done = len(Results(out).keys()) if out.exists() and out.stat().st_size else 0
    os.killpg(run.pid, signal.SIGKILL)
    run.wait()
    kept = Results(out).keys()
    assert 3 <= len(kept) < 6000
    assert kept <= {cell.key for cell in load(file)[1]}


def test_a_full_file_of_results_keeps_its_cells(tmp_path: Path) -> None:
    results = Results(tmp_path / "r", max_bytes=64 * 1024)
    result = {"figures": {"level": 1.0}, "lines": [[1] * 6] * 200, "latencies": [0.1]}

    def fill() -> None:
        for i in range(1000):
            results.add(f"k{i}", "e", {}, i, result)

    with pytest.raises(ResultsError, match="expected space for a cell within 65536 bytes"):
        fill()
    kept = len(results.keys())
    assert 5 < kept < 100
    assert len(list(results.rows())) == kept
    assert (tmp_path / "r").stat().st_size <= 64 * 1024


@pytest.mark.parametrize("data", [b"not a database at all, but long enough to be read as one" * 40, b""])
def test_a_file_that_holds_no_results_is_refused(tmp_path: Path, data: bytes) -> None:
    (tmp_path / "r").write_bytes(data)
    with pytest.raises(ResultsError, match="expected"):
        Results(tmp_path / "r")


def test_results_of_other_code_can_be_read_but_not_extended(tmp_path: Path) -> None:
    """Guards against mixing the results of two builds."""
    results = Results(tmp_path / "r", code="one")
    results.add("k", "e", {}, 1, {})
    results.close()
    with pytest.raises(ResultsError, match=r"expected results of this code \(two\), got those of one"):
        Results(tmp_path / "r", code="two")
    assert Results(tmp_path / "r").keys() == {"k"}
    assert len(fingerprint()) == 12


def row(labels: dict[str, str], seed: int, **figures: float) -> reports.Row:
    return (
        "e",
        labels,
        seed,
        {"figures": figures, "lines": [[10, 9, 1, 9, 2, 0]] * 20, "latencies": [0.1 * i for i in range(51)]},
    )


def test_a_comparison_uses_pairs_of_equal_seeds_and_settings() -> None:
    rows = [
        row({"on": on, "part": "0.1"}, seed, dead=0.5 + 0.1 * seed + (0.2 if on == "yes" else 0.0))
        for on in ("no", "yes")
        for seed in (1, 2, 3)
    ]
    rows.append(row({"on": "yes", "part": "0.1"}, 9, dead=0.0))  # a seed that has no pair
    (difference,) = reports.compare(rows, "on", "no", "yes")
    assert difference.pairs == 3
    assert difference.second - difference.first == pytest.approx(0.2)
    assert difference.low == pytest.approx(0.2)
    assert difference.high == pytest.approx(0.2)
    (back,) = reports.compare(rows, "on", "yes", "no")
    assert back.second - back.first == pytest.approx(-0.2)
    with pytest.raises(reports.ReportError, match="expected the cases 'no' and 'maybe', got no, yes"):
        reports.compare(rows, "on", "no", "maybe")
    with pytest.raises(reports.ReportError, match="got none"):
        reports.compare(rows, "else", "no", "yes")
    with pytest.raises(reports.ReportError, match="seeds with results of both"):
        reports.compare([rows[0], rows[4]], "on", "no", "yes")


def test_the_interval_of_a_difference_widens_with_the_spread_over_seeds() -> None:
    def width(spread: float) -> float:
        rows = [
            row({"on": on}, seed, dead=(spread * (seed % 4) if on == "yes" else 0.0))
            for on in ("no", "yes")
            for seed in range(12)
        ]
        (difference,) = reports.compare(rows, "on", "no", "yes")
        assert difference.low <= difference.second - difference.first <= difference.high
        return difference.high - difference.low

    assert 0.0 < width(0.1) < width(0.4)


def test_a_page_has_every_setting_escaped_and_is_the_same_each_time() -> None:
    rows = [
        row({"clients": str(10**n), "on": on}, 1, recovery_s=float(n))
        for n in (1, 2, 3)
        for on in ("<b>", "off")
    ]
    page = reports.page(rows)
    assert page == reports.page(rows)
    assert "<b>" not in page
    assert "clients 10, on &lt;b&gt;" in page
    assert page.count("<svg") == 3  # the day, the distributions, and the recovery over an axis of 3 cases
    assert not re.search(r'(src|href)="http', page)
    with pytest.raises(reports.ReportError, match="got none"):
        reports.page([])


def test_a_missing_recovery_is_shown_as_never() -> None:
    found = [{"figures": {"recovery_s": 1.0}}, {"figures": {"recovery_s": measures.NOT_RECOVERED_S}}]
    assert reports.format_figure(reports.mean(found, "recovery_s")) == "never"
    assert reports.format_figure(reports.mean(found, "swing")) == ""


def test_the_commands_run_compare_and_report(tmp_path: Path) -> None:
    file, out, page = tmp_path / "e.toml", tmp_path / "e.results", tmp_path / "page.html"
    file.write_text(TOML)
    outcome = CliRunner().invoke(main, ["lab", "run", str(file), "--jobs", "2", "--quiet"])
    assert (outcome.exit_code, "small: 6 days played, 0 were there" in outcome.output) == (0, True), (
        outcome.output
    )
    outcome = CliRunner().invoke(main, ["lab", "compare", str(out), "features.storms", "false", "true"])
    assert (outcome.exit_code, "pairs" in outcome.output) == (0, True), outcome.output
    outcome = CliRunner().invoke(main, ["lab", "report", str(out), str(page)])
    assert (outcome.exit_code, page.read_text()[:15]) == (0, "<!doctype html>"), outcome.output
    outcome = CliRunner().invoke(
        main, ["lab", "compare", str(out), "build", "earlier", "now", "--also", str(out)]
    )
    assert (outcome.exit_code, "+0.000" in outcome.output) == (0, True), outcome.output
    file.write_text("name = 3")
    outcome = CliRunner().invoke(main, ["lab", "run", str(file)])
    assert (outcome.exit_code, "name: expected a string, got 3" in outcome.output) == (1, True)
    outcome = CliRunner().invoke(main, ["lab", "compare", str(out), "features.storms", "false", "maybe"])
    assert (outcome.exit_code, "got false, true" in outcome.output) == (1, True)
