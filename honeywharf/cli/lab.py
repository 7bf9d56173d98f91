"""`honeywharf lab run|compare|report`: experiments in virtual time. Needs requirements-lab.txt."""

from __future__ import annotations

from pathlib import Path

import click

from honeywharf.cli.tables import print_table, require_packages

NEW_FILE = click.Path(dir_okay=False, path_type=Path)
EXISTING_FILE = click.Path(exists=True, dir_okay=False, path_type=Path)


@click.group()
def lab() -> None:
    """Run experiments with the real decision modules in virtual time (docs/operators/lab.md)."""
    require_packages("lab")


@lab.command()
@click.argument("experiment", type=EXISTING_FILE)
@click.option(
    "--out", type=NEW_FILE, help="The file of results; default: the experiment's path, with .results."
)
@click.option("--jobs", type=click.IntRange(0, 512), default=0, help="Number of processes; 0: one per core.")
@click.option("--quiet", is_flag=True, help="No progress bar.")
def run(experiment: Path, out: Path | None, jobs: int, quiet: bool) -> None:
    """Simulate the days of an experiment that its results lack; a killed run is resumed."""
    from honeywharf.lab import experiments, reports, runs
    from honeywharf.lab.results import Results, ResultsError, fingerprint

    try:
        name, cells = experiments.load(experiment)
        results = Results(out or experiment.with_suffix(".results"), code=fingerprint())
        played_days, known_days = runs.run(name, cells, results, jobs, quiet)
        groups_by_setting = reports.results_by_setting(results.rows(name))
    except (experiments.ExperimentError, ResultsError) as error:
        raise click.ClickException(str(error)) from None
    click.echo(f"{name}: {played_days} days played, {known_days} were there")
    print_table(
        [
            (
                setting,
                *(
                    reports.format_figure(reports.mean(rows_of_case, metric))
                    for metric in reports.DEFAULT_FIGURES
                ),
            )
            for setting, rows_of_case in groups_by_setting.items()
        ],
        ("setting", *reports.DEFAULT_FIGURES),
    )


@lab.command()
@click.argument("results", type=EXISTING_FILE)
@click.argument("axis")
@click.argument("first")
@click.argument("second")
@click.option(
    "--also",
    type=EXISTING_FILE,
    help="Results of an earlier build: the axis is then build, with the cases earlier and now.",
)
def compare(results: Path, axis: str, first: str, second: str, also: Path | None) -> None:
    """Compare two cases of an axis over days with equal seeds and settings."""
    from honeywharf.lab import reports
    from honeywharf.lab.results import Results, ResultsError

    try:
        rows = list(Results(results).rows())
        if also is not None:
            rows = [
                (name, {**labels, "build": build}, seed, result)
                for build, rows_of_case in (("earlier", Results(also).rows()), ("now", rows))
                for name, labels, seed, result in rows_of_case
            ]
        differences = reports.compare(rows, axis, first, second)
    except (reports.ReportError, ResultsError) as error:
        raise click.ClickException(str(error)) from None
    print_table(
        [
            (
                difference.setting,
                difference.figure,
                reports.format_figure(difference.first),
                reports.format_figure(difference.second),
                f"{difference.second - difference.first:+.3f}",
                f"{difference.low:+.3f} to {difference.high:+.3f}",
                str(difference.pairs),
            )
            for difference in differences
        ],
        ("setting", "figure", first, second, "difference", "95 in 100", "pairs"),
    )


@lab.command()
@click.argument("results", type=EXISTING_FILE)
@click.argument("page", type=NEW_FILE)
@click.option(
    "--over",
    multiple=True,
    default=("recovery_s",),
    help="Metrics to plot over axes of three or more cases.",
)
def report(results: Path, page: Path, over: tuple[str, ...]) -> None:
    """Write an HTML page: the sweep's table, time series, distributions, and metrics over an axis."""
    from honeywharf.lab import reports
    from honeywharf.lab.results import Results, ResultsError

    try:
        page.write_text(reports.page(list(Results(results).rows()), over=over), "utf-8")
    except (reports.ReportError, ResultsError, OSError) as error:
        raise click.ClickException(str(error)) from None
    click.echo(f"wrote {page}")
