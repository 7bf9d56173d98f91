"""Reports on results: tables of means over seeds, comparisons of two settings, and an HTML page."""

from __future__ import annotations

import io
from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Any

import jinja2
import numpy as np

from honeywharf.lab.measures import NOT_RECOVERED_S, QUANTILES
from honeywharf.lab.simulator import WINDOW_MS

Row = tuple[str, dict[str, str], int, dict[str, Any]]
DEFAULT_FIGURES = (
    "former",
    "dead",
    "after",
    "recovery_s",
    "repeats",
    "repeats_most",
    "swing",
    "wrong_advice",
    "refused",
)
BOOTSTRAP_SAMPLES = 2000
MAX_PLOT_LINES = 12  # More lines cannot be distinguished.


class ReportError(ValueError):
    """The results lack what a report needs."""


def label(labels: dict[str, str]) -> str:
    """Returns the text that names a setting."""
    return ", ".join(f"{axis} {value}" for axis, value in labels.items()) or "all"


def results_by_setting(rows: Iterable[Row]) -> dict[str, list[dict[str, Any]]]:
    """Returns the results of all seeds by setting."""
    by_setting: dict[str, list[dict[str, Any]]] = defaultdict(list)
    for _, labels, _, result in rows:
        by_setting[label(labels)].append(result)
    return dict(by_setting)


def mean(results: Sequence[dict[str, Any]], name: str) -> float | None:
    """Returns a figure's mean over the seeds that have it, or NOT_RECOVERED_S if one did not recover."""
    values = [r["figures"][name] for r in results if name in r["figures"]]
    if not values:
        return None
    return NOT_RECOVERED_S if max(values) >= NOT_RECOVERED_S else float(np.mean(values))


def format_figure(value: float | None) -> str:
    """Returns the text of a figure."""
    if value is None:
        return ""
    if value >= NOT_RECOVERED_S:
        return "never"
    return f"{value:.3f}" if abs(value) < 100 else f"{value:,.0f}"


@dataclass(frozen=True)
class Difference:
    """A figure in two settings, and the mean difference over pairs of equal seeds with its 95 % interval."""

    setting: str
    figure: str
    first: float
    second: float
    low: float
    high: float
    pairs: int


def compare(
    rows: Iterable[Row],
    axis: str,
    first: str,
    second: str,
    figures: Sequence[str] = DEFAULT_FIGURES,
) -> list[Difference]:
    """Compares two cases of an axis, over pairs with equal seeds and otherwise equal labels.

    The interval is a percentile bootstrap over pairs (Efron, 1979) with a fixed seed. For one pair it is
    the difference of that pair.

    Raises:
        ReportError: if there is no pair.
    """
    cases: dict[tuple[str, int], dict[str, dict[str, Any]]] = defaultdict(dict)
    known: set[str] = set()
    for _, labels, seed, result in rows:
        if axis in labels:
            known.add(labels[axis])
            rest = {k: v for k, v in labels.items() if k != axis}
            cases[label(rest), seed][labels[axis]] = result
    if first not in known or second not in known:
        cases_found = ", ".join(sorted(known)) or "none"
        raise ReportError(f"{axis}: expected the cases {first!r} and {second!r}, got {cases_found}")
    pairs: dict[str, list[tuple[dict[str, Any], dict[str, Any]]]] = defaultdict(list)
    for (setting, _), by_case in sorted(cases.items()):
        if first in by_case and second in by_case:
            pairs[setting].append((by_case[first]["figures"], by_case[second]["figures"]))
    if not pairs:
        raise ReportError(
            f"{axis}: expected settings and seeds with results of both {first!r} and {second!r}, got none"
        )
    differences = []
    for setting, both in pairs.items():
        for name in figures:
            values = np.array([(a[name], b[name]) for a, b in both if name in a and name in b])
            if not len(values):
                continue
            gap = values[:, 1] - values[:, 0]
            draw = np.random.Generator(np.random.PCG64(len(gap)))
            means = gap[draw.integers(0, len(gap), (BOOTSTRAP_SAMPLES, len(gap)))].mean(axis=1)
            low, high = np.quantile(means, (0.025, 0.975))
            one, two = values.mean(axis=0)
            differences.append(
                Difference(setting, name, float(one), float(two), float(low), float(high), len(gap))
            )
    return differences


def _svg(figure: Any) -> str:
    """Returns a plot as reproducible SVG."""
    import matplotlib as mpl

    buffer = io.StringIO()
    with mpl.rc_context({"svg.hashsalt": "honeywharf"}):
        figure.savefig(buffer, format="svg", metadata={"Date": None})
    text = buffer.getvalue()
    return text[text.index("<svg") :]


def time_lines(by_setting: dict[str, list[dict[str, Any]]]) -> str:
    """Returns a plot of the level and the repeats of each setting over the day, as means over seeds."""
    from matplotlib.figure import Figure

    figure = Figure(figsize=(11, 6.5), layout="constrained")
    upper, lower = figure.subplots(2, 1, sharex=True)
    for name, results in list(by_setting.items())[:MAX_PLOT_LINES]:
        table = np.mean([np.array(r["lines"], float) for r in results], axis=0)
        at = (np.arange(len(table)) + 0.5) * WINDOW_MS / 1000.0
        upper.plot(at, table[:, 1] / np.maximum(1.0, table[:, 0]), label=name, linewidth=1.2)
        lower.plot(at, table[:, 4] / np.maximum(1.0, table[:, 0]), linewidth=1.2)
    upper.set_ylabel("answered within the aim, of first tries")
    upper.set_ylim(-0.02, 1.05)
    lower.set_ylabel("repeats begun for each first try")
    lower.set_xlabel("s of the day")
    upper.legend(fontsize="x-small", loc="lower left")
    return _svg(figure)


def distributions(by_setting: dict[str, list[dict[str, Any]]]) -> str:
    """Returns a plot of the latencies of served requests by setting."""
    from matplotlib.figure import Figure

    figure = Figure(figsize=(11, 4), layout="constrained")
    axes = figure.subplots()
    for name, results in list(by_setting.items())[:MAX_PLOT_LINES]:
        axes.plot(np.mean([r["latencies"] for r in results], axis=0), QUANTILES, label=name, linewidth=1.2)
    axes.set_xlabel("s from the first try to the answer")
    axes.set_ylabel("share of served")
    axes.legend(fontsize="x-small", loc="lower right")
    return _svg(figure)


def sweep(rows: Sequence[Row], axis: str, figure_name: str) -> str:
    """Returns a plot of a figure over the ordered cases of an axis, with a line for each other setting."""
    from matplotlib.figure import Figure

    points: dict[str, dict[str, list[float]]] = defaultdict(lambda: defaultdict(list))
    for _, labels, _, result in rows:
        if axis in labels and figure_name in result["figures"]:
            rest = label({k: v for k, v in labels.items() if k != axis})
            points[rest][labels[axis]].append(result["figures"][figure_name])
    order = sorted({c for by in points.values() for c in by}, key=_case_order)
    figure = Figure(figsize=(11, 4), layout="constrained")
    axes = figure.subplots()
    for rest, by in list(points.items())[:MAX_PLOT_LINES]:
        known = [c for c in order if c in by and max(by[c]) < NOT_RECOVERED_S]
        axes.plot([order.index(c) for c in known], [np.mean(by[c]) for c in known], marker="o", label=rest)
    axes.set_xticks(range(len(order)), order)
    axes.set_xlabel(axis)
    axes.set_ylabel(figure_name)
    axes.set_ylim(bottom=0.0)
    axes.legend(fontsize="x-small")
    return _svg(figure)


def _case_order(case: str) -> tuple[int, float, str]:
    try:
        return 0, float(case.replace(",", "")), case
    except ValueError:
        return 1, 0.0, case


PAGE = """<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{ name }}</title><style>
body { font: 14px/1.45 sans-serif; max-width: 70em; margin: 2em auto; padding: 0 1em }
table { border-collapse: collapse }
td, th { padding: .2em .7em; text-align: right; border-bottom: 1px solid #ddd }
td:first-child, th:first-child { text-align: left } svg { max-width: 100%; height: auto }
</style></head><body>
<h1>{{ name }}</h1>
<p>{{ cells }} days, {{ table|length }} settings; means over seeds.</p>
<h2>Sweep</h2>
<table><tr><th>setting</th><th>days</th>{% for one in figures %}<th>{{ one }}</th>{% endfor %}</tr>
{% for setting, days, values in table %}<tr><td>{{ setting }}</td><td>{{ days }}</td>
{%- for value in values %}<td>{{ value }}</td>{% endfor %}</tr>
{% endfor %}</table>
{% for title, plot in plots %}<h2>{{ title }}</h2>
{{ plot|safe }}
{% endfor %}</body></html>
"""


def page(
    rows: Sequence[Row], figures: Sequence[str] = DEFAULT_FIGURES, over: Sequence[str] = ("recovery_s",)
) -> str:
    """Returns the report as one HTML page without external files. Raises ReportError without results."""
    if not rows:
        raise ReportError("report: expected the results of a day, got none")
    by_setting = results_by_setting(rows)
    table = [
        (setting, len(results), [format_figure(mean(results, name)) for name in figures])
        for setting, results in by_setting.items()
    ]
    plots = [("The day", time_lines(by_setting)), ("How long answers took", distributions(by_setting))]
    for axis in rows[0][1]:
        if len({labels.get(axis) for _, labels, _, _ in rows}) > 2:
            plots += [(f"{name} over {axis}", sweep(rows, axis, name)) for name in over]
    template = jinja2.Environment(autoescape=True, undefined=jinja2.StrictUndefined).from_string(PAGE)
    return template.render(name=rows[0][0], cells=len(rows), table=table, figures=figures, plots=plots)
