"""`honeywharf traces|causes|explain`: queries over the kept traces of proxies.

Exit status 1 means that no trace or cause was found.
"""

from __future__ import annotations

import sys
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import click

from honeywharf.cli.tables import print_json, print_table

EXISTING_FILE = click.Path(exists=True, dir_okay=False, path_type=Path)
BAD_TRACES = "failed or refused or slow"
ORDINARY_TRACES = 'kept = "ordinary"'


def read_rows(files: tuple[Path, ...]) -> list[dict[str, Any]]:
    """Returns a row for each trace in the files, and prints how many lines are not traces."""
    from honeywharf.traces import store

    hops, damaged = store.read(files)
    if damaged:
        click.echo(f"{damaged} lines are no traces, and were left out", err=True)
    return list(store.rows_by_trace(hops))


def select_rows(rows: list[dict[str, Any]], expression: str, option: str) -> list[Mapping[str, Any]]:
    """Returns the rows that match an expression. Raises BadParameter with the position of a syntax error."""
    from honeywharf.traces import language

    try:
        return language.compile_expression(expression).select(list(rows))
    except language.ExpressionError as error:
        raise click.BadParameter(str(error), param_hint=option) from None


def json_row(row: Mapping[str, Any]) -> dict[str, Any]:
    """Returns a row with its sets as sorted lists, for JSON."""
    return {k: sorted(v) if isinstance(v, frozenset) else v for k, v in row.items()}


def end_state(row: Mapping[str, Any]) -> str:
    """Returns how the client's request ended."""
    return next((word for word in ("failed", "refused", "served") if row[word]), "gone")


@click.command()
@click.argument("expression")
@click.argument("files", nargs=-1, required=True, type=EXISTING_FILE)
@click.option("--by", help="Count by the values of a text field, such as server, instead of a list.")
@click.option(
    "--most", type=click.IntRange(1), default=20, show_default=True, help="Maximum number of lines."
)
@click.option("--json", "as_json", is_flag=True, help="Print JSON, with every span.")
def traces(expression: str, files: tuple[Path, ...], by: str | None, most: int, as_json: bool) -> None:
    """List the traces that match EXPRESSION, such as 'failed and attempts > 1 and zone = "tartu"'."""
    from honeywharf.traces import language

    matching = select_rows(read_rows(files), expression, "EXPRESSION")
    if by is not None:
        if language.FIELDS.get(by) != language.TEXT:
            texts = sorted(k for k, v in language.FIELDS.items() if v == language.TEXT)
            raise click.BadParameter(f"expected one of {', '.join(texts)}, got '{by}'", param_hint="--by")
        weights_by_text: dict[str, list[float]] = {}
        for row in matching:
            for text in row[by]:
                weights_by_text.setdefault(text, []).append(row["weight"])
        ranked = sorted(weights_by_text.items(), key=lambda item: (-sum(item[1]), item[0]))[:most]
        if as_json:
            print_json(
                [{by: text, "kept": len(weights), "estimated": sum(weights)} for text, weights in ranked]
            )
        else:
            print_table(
                [(text or "-", str(len(weights)), f"{sum(weights):.0f}") for text, weights in ranked],
                (by, "kept", "estimated"),
            )
    elif as_json:
        print_json([json_row(row) for row in matching[:most]])
    else:
        print_table(
            [
                (
                    next(iter(r["trace"])),
                    end_state(r),
                    f"{r['duration']:.1f}",
                    f"{r['attempts']:.0f}",
                    ",".join(sorted(r["reason"])) or "-",
                    ",".join(sorted(r["kept"])),
                )
                for r in matching[:most]
            ],
            ("trace", "end", "ms", "attempts", "reason", "kept for"),
        )
        if len(matching) > most:
            click.echo(f"and {len(matching) - most} more", err=True)
    sys.exit(0 if matching else 1)


@click.command()
@click.argument("files", nargs=-1, required=True, type=EXISTING_FILE)
@click.option("--bad", default=BAD_TRACES, show_default=True, help="An expression that bad traces match.")
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def causes(files: tuple[Path, ...], bad: str, as_json: bool) -> None:
    """Find what sets bad traces apart from ordinary ones, where they fail and where they spend their time."""
    from honeywharf.traces import causes as rules

    rows = read_rows(files)
    bad_rows, ordinary_rows = select_rows(rows, bad, "--bad"), select_rows(rows, ORDINARY_TRACES, "--good")
    causes_by_kind, groups = rules.by_kind(bad_rows, ordinary_rows), rules.failure_groups(bad_rows)
    if as_json:
        print_json(
            {
                "bad": len(bad_rows),
                "good": len(ordinary_rows),
                "causes": [
                    {
                        "kind": kind,
                        "field": c.field,
                        "text": c.text,
                        "bad": c.bad,
                        "of_bad": c.of_bad,
                        "share_good": c.share_good,
                        "evidence": c.evidence,
                    }
                    for kind, causes_of_kind in causes_by_kind.items()
                    for c in causes_of_kind
                ],
                "groups": [
                    {
                        "failing": failure_group.failing,
                        "number": failure_group.number,
                        "own_ms": failure_group.own_ms,
                    }
                    for failure_group in groups
                ],
            }
        )
        sys.exit(0 if any(causes_by_kind.values()) else 1)
    click.echo(f"{len(bad_rows)} bad traces beside {len(ordinary_rows)} ordinary ones")
    for kind, causes_of_kind in causes_by_kind.items():
        for cause in causes_of_kind:
            click.echo(f"  {kind}: {cause.description()}")
    if not any(causes_by_kind.values()):
        click.echo("  nothing is more frequent among the bad than chance makes it")
    for group in groups:
        spent = ", ".join(f"{hop} {ms:.0f} ms" for hop, ms in group.own_ms.items())
        click.echo(f"{group.number} first fail at {group.failing or 'no hop'}; own time, median: {spent}")
    sys.exit(0 if any(causes_by_kind.values()) else 1)


@click.command()
@click.argument("request")
@click.argument("files", nargs=-1, required=True, type=EXISTING_FILE)
@click.option("--json", "as_json", is_flag=True, help="Print JSON, with every span.")
def explain(request: str, files: tuple[Path, ...], as_json: bool) -> None:
    """Show the hops and attempts of REQUEST, the id of a request or a trace.

    Each attempt comes with the reason for the choice of its server.
    """
    matching = [r for r in read_rows(files) if request in r["request"] or request in r["trace"]]
    if as_json:
        print_json([json_row(row) for row in matching])
    for row in () if as_json else matching:
        click.echo(f"trace {next(iter(row['trace']))}: {end_state(row)} after {row['duration']:.1f} ms")
        for hop in row["spans"]:
            reason = f" ({hop['reason']})" if hop["reason"] else ""
            has_waited = hop["wait_ms"] >= 0.1
            wait_text = f", {hop['wait_ms']:.1f} of them before its first attempt" if has_waited else ""
            click.echo(
                f"  {hop['hop']} by {hop['node']} in {hop['zone']}: {hop['end']}{reason} after"
                f" {hop['duration_ms']:.1f} ms{wait_text}, kept for {', '.join(hop['kept'])}"
            )
            if "honeywharf.why" in hop:
                click.echo(f"    given up: {format_choice(hop['honeywharf.why'])}")
            for wait in hop.get("waits", ()):
                on = f", on {wait['link']}" if "link" in wait else ""
                text = WAIT_TEXTS.get(wait["for"], wait["for"])
                click.echo(f"    waited {wait['duration_ms']:.1f} ms for {text}{on}")
            for attempt in hop["attempts"]:
                click.echo(f"    {format_attempt(attempt)}")
            if "link" in hop:
                click.echo(f"    its answer was made for {hop['link']}")
    if not matching:
        click.echo(f"found no kept trace of {request}", err=True)
    sys.exit(0 if matching else 1)


WAIT_TEXTS = {
    "accept": "its connection to be accepted",
    "key joined": "the request of its key",
    "key claim": "the shared store's word on its key",
    "key note": "the note of where it goes",
}
LEVEL_TEXTS = ("own zone", "every zone", "all that is ready")


def format_attempt(attempt: Mapping[str, Any]) -> str:
    """Returns an attempt as one line."""
    line = (
        f"{attempt['server.address']} in {attempt['honeywharf.zone']}: {attempt['honeywharf.outcome']}"
        f" after {attempt['duration_ms']:.1f} ms, {attempt['honeywharf.proof'] or 'nothing is proven'}"
    )
    if attempt.get("honeywharf.copy"):
        line += "; a copy, as an earlier one hung"
    if attempt.get("honeywharf.after_answer"):
        line += "; it ended after the answer"
    why = attempt.get("honeywharf.why")
    if why:
        line += f"; chosen: {format_choice(why)}"
    return line


def format_choice(why: Mapping[str, Any]) -> str:
    """Returns the servers, calls and limit that a decision of the balancer was based on."""
    part = f" (of which {100 * why['room']:.0f} in 100 are open to it)" if why["room"] < 1.0 else ""
    return (
        f"{why['usable']} of {why['ready']} servers usable in {LEVEL_TEXTS[why['level']]},"
        f" {why['in_flight']} calls in flight of {why['limit']:.1f}{part},"
        f" {why['budget']:.1f} further attempts left"
    )
