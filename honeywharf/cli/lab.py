"""`honeywharf lab run|compare|report`: experiments in virtual time. Wants requirements-lab.txt."""

from __future__ import annotations

from pathlib import Path

import click

from honeywharf.cli.tables import needed, table

PATH = click.Path(dir_okay=False, path_type=Path)
READ = click.Path(exists=True, dir_okay=False, path_type=Path)


@click.group()
def lab() -> None:
    """Experiments with the real decision modules in virtual time (docs/operators/lab.md)."""
    needed("lab")


@lab.command()
@click.argument("experiment", type=READ)
@click.option("--out", type=PATH, help="The file of results; beside the experiment else, with .results.")
@click.option("--jobs", type=click.IntRange(0, 512), default=0, help="Processes; 0 for one a core.")
@click.option("--quiet", is_flag=True, help="No progress bar.")
def run(experiment: Path, out: Path | None, jobs: int, quiet: bool) -> None:
    """Play the days of an experiment that are not in its results yet; go on where a run was killed."""
    from honeywharf.lab import experiments, reports, runs
    from honeywharf.lab.results import Results, ResultsError, fingerprint

    try:
        name, cells = experiments.load(experiment)
        results = Results(out or experiment.with_suffix(".results"), code=fingerprint())
        played, known = runs.run(name, cells, results, jobs, quiet)
        found = reports.results_by_setting(results.rows(name))
    except (experiments.ExperimentError, ResultsError) as fault:
        raise click.ClickException(str(fault)) from None
    click.echo(f"{name}: {played} days played, {known} were there")
    table(
        [
            (setting, *(reports.format_figure(reports.mean(some, one)) for one in reports.DEFAULT_FIGURES))
            for setting, some in found.items()
        ],
        ("setting", *reports.DEFAULT_FIGURES),
    )


@lab.command()
@click.argument("results", type=READ)
@click.argument("axis")
@click.argument("first")
@click.argument("second")
@click.option(
    "--also",
    type=READ,
    help="Results of an earlier build, to be put beside these: the axis is"
    " then build, with the cases earlier and now.",
)
def compare(results: Path, axis: str, first: str, second: str, also: Path | None) -> None:
    """Two cases of an axis side by side, over days of equal seeds and settings."""
    from honeywharf.lab import reports
    from honeywharf.lab.results import Results, ResultsError

    try:
        rows = list(Results(results).rows())
        if also is not None:
            rows = [
                (name, {**labels, "build": build}, seed, result)
                for build, some in (("earlier", Results(also).rows()), ("now", rows))
                for name, labels, seed, result in some
            ]
        told = reports.compare(rows, axis, first, second)
    except (reports.ReportError, ResultsError) as fault:
        raise click.ClickException(str(fault)) from None
    table(
        [
            (
                d.setting,
                d.figure,
                reports.format_figure(d.first),
                reports.format_figure(d.second),
                f"{d.second - d.first:+.3f}",
                f"{d.low:+.3f} to {d.high:+.3f}",
                str(d.pairs),
            )
            for d in told
        ],
        ("setting", "figure", first, second, "difference", "95 in 100", "pairs"),
    )


@lab.command()
@click.argument("results", type=READ)
@click.argument("page", type=PATH)
@click.option(
    "--over",
    multiple=True,
    default=("recovery_s",),
    help="Figures plotted over axes of three cases and more.",
)
def report(results: Path, page: Path, over: tuple[str, ...]) -> None:
    """Write one HTML page: the sweep's table, the day's lines, distributions, figures over an axis."""
    from honeywharf.lab import reports
    from honeywharf.lab.results import Results, ResultsError

    try:
        page.write_text(reports.page(list(Results(results).rows()), over=over), "utf-8")
    except (reports.ReportError, ResultsError, OSError) as fault:
        raise click.ClickException(str(fault)) from None
    click.echo(f"wrote {page}")
