"""`honeywharf traces|causes|explain`: ask the kept traces of one proxy or of many. Status 1 where none is
found.
"""

from __future__ import annotations

import sys
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import click

from honeywharf.cli.tables import print_json, print_table

FILES = click.Path(exists=True, dir_okay=False, path_type=Path)
BAD = "failed or refused or slow"
GOOD = 'kept = "ordinary"'


def rows_of(files: tuple[Path, ...]) -> list[dict[str, Any]]:
    """A row for each trace in the files; lines that are no traces are told of."""
    from honeywharf.traces import store

    hops, damaged = store.read(files)
    if damaged:
        click.echo(f"{damaged} lines are no traces, and were left out", err=True)
    return list(store.joined(hops))


def selected(rows: list[dict[str, Any]], asked: str, option: str) -> list[Mapping[str, Any]]:
    """The rows for which an expression holds; a usage error with the place of what is wrong."""
    from honeywharf.traces import language

    try:
        return language.compiled(asked).select(list(rows))
    except language.ExpressionError as fault:
        raise click.BadParameter(str(fault), param_hint=option) from None


def said(row: Mapping[str, Any]) -> dict[str, Any]:
    """A row as it is printed in JSON."""
    return {k: sorted(v) if isinstance(v, frozenset) else v for k, v in row.items()}


def end_of(row: Mapping[str, Any]) -> str:
    """How the client's request ended."""
    return next((word for word in ("failed", "refused", "served") if row[word]), "gone")


@click.command()
@click.argument("expression")
@click.argument("files", nargs=-1, required=True, type=FILES)
@click.option("--by", help="Count by the texts of a field, such as server, in place of a list.")
@click.option("--most", type=click.IntRange(1), default=20, show_default=True, help="Lines at most.")
@click.option("--json", "as_json", is_flag=True, help="JSON, with every span.")
def traces(expression: str, files: tuple[Path, ...], by: str | None, most: int, as_json: bool) -> None:
    """List the traces for which EXPRESSION holds, such as 'failed and attempts > 1 and zone = "tartu"'."""
    from honeywharf.traces import language

    found = selected(rows_of(files), expression, "EXPRESSION")
    if by is not None:
        if language.FIELDS.get(by) != language.TEXT:
            texts = sorted(k for k, v in language.FIELDS.items() if v == language.TEXT)
            raise click.BadParameter(f"found '{by}', wanted one of {', '.join(texts)}", param_hint="--by")
        counted: dict[str, list[float]] = {}
        for row in found:
            for text in row[by]:
                counted.setdefault(text, []).append(row["weight"])
        ranked = sorted(counted.items(), key=lambda item: (-sum(item[1]), item[0]))[:most]
        if as_json:
            print_json([{by: text, "kept": len(w), "estimated": sum(w)} for text, w in ranked])
        else:
            print_table(
                [(text or "-", str(len(w)), f"{sum(w):.0f}") for text, w in ranked], (by, "kept", "estimated")
            )
    elif as_json:
        print_json([said(row) for row in found[:most]])
    else:
        print_table(
            [
                (
                    next(iter(r["trace"])),
                    end_of(r),
                    f"{r['duration']:.1f}",
                    f"{r['attempts']:.0f}",
                    ",".join(sorted(r["reason"])) or "-",
                    ",".join(sorted(r["kept"])),
                )
                for r in found[:most]
            ],
            ("trace", "end", "ms", "attempts", "reason", "kept for"),
        )
        if len(found) > most:
            click.echo(f"and {len(found) - most} more", err=True)
    sys.exit(0 if found else 1)


@click.command()
@click.argument("files", nargs=-1, required=True, type=FILES)
@click.option("--bad", default=BAD, show_default=True, help="Which traces are bad: an expression.")
@click.option("--json", "as_json", is_flag=True, help="JSON.")
def causes(files: tuple[Path, ...], bad: str, as_json: bool) -> None:
    """Tell what bad traces have in common that ordinary ones lack, where they fail and where their
    time went.
    """
    from honeywharf.traces import causes as rules

    rows = rows_of(files)
    wrong, good = selected(rows, bad, "--bad"), selected(rows, GOOD, "--good")
    named, where = rules.by_kind(wrong, good), rules.groups(wrong)
    if as_json:
        print_json(
            {
                "bad": len(wrong),
                "good": len(good),
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
                    for kind, some in named.items()
                    for c in some
                ],
                "groups": [{"failing": w.failing, "number": w.number, "own_ms": w.own_ms} for w in where],
            }
        )
        sys.exit(0 if any(named.values()) else 1)
    click.echo(f"{len(wrong)} bad traces beside {len(good)} ordinary ones")
    for kind, some in named.items():
        for cause in some:
            click.echo(f"  {kind}: {cause.words()}")
    if not any(named.values()):
        click.echo("  nothing is more frequent among the bad than chance makes it")
    for group in where:
        spent = ", ".join(f"{hop} {ms:.0f} ms" for hop, ms in group.own_ms.items())
        click.echo(f"{group.number} first fail at {group.failing or 'no hop'}; own time, median: {spent}")
    sys.exit(0 if any(named.values()) else 1)


@click.command()
@click.argument("request")
@click.argument("files", nargs=-1, required=True, type=FILES)
@click.option("--json", "as_json", is_flag=True, help="JSON, with every span.")
def explain(request: str, files: tuple[Path, ...], as_json: bool) -> None:
    """Tell what became of REQUEST, an id of a request or a trace.

    Each hop, each attempt, and why that server.
    """
    found = [r for r in rows_of(files) if request in r["request"] or request in r["trace"]]
    if as_json:
        print_json([said(row) for row in found])
    for row in () if as_json else found:
        click.echo(f"trace {next(iter(row['trace']))}: {end_of(row)} after {row['duration']:.1f} ms")
        for hop in row["spans"]:
            reason = f" ({hop['reason']})" if hop["reason"] else ""
            waits = hop["wait_ms"] >= 0.1
            waited = f", {hop['wait_ms']:.1f} of them before its first attempt" if waits else ""
            click.echo(
                f"  {hop['hop']} by {hop['node']} in {hop['zone']}: {hop['end']}{reason} after"
                f" {hop['duration_ms']:.1f} ms{waited}, kept for {', '.join(hop['kept'])}"
            )
            if "honeywharf.why" in hop:
                click.echo(f"    given up: {reasons(hop['honeywharf.why'])}")
            for wait in hop.get("waits", ()):
                on = f", on {wait['link']}" if "link" in wait else ""
                told = WAITED.get(wait["for"], wait["for"])
                click.echo(f"    waited {wait['duration_ms']:.1f} ms for {told}{on}")
            for attempt in hop["attempts"]:
                click.echo(f"    {words(attempt)}")
            if "link" in hop:
                click.echo(f"    its answer was made for {hop['link']}")
    if not found:
        click.echo(f"found no kept trace of {request}", err=True)
    sys.exit(0 if found else 1)


WAITED = {
    "accept": "its connection to be accepted",
    "key joined": "the request of its key",
    "key claim": "the shared store's word on its key",
    "key note": "the note of where it goes",
}
LEVELS = ("own zone", "every zone", "all that is ready")


def words(attempt: Mapping[str, Any]) -> str:
    """One attempt in a line."""
    told = (
        f"{attempt['server.address']} in {attempt['honeywharf.zone']}: {attempt['honeywharf.outcome']}"
        f" after {attempt['duration_ms']:.1f} ms, {attempt['honeywharf.proof'] or 'nothing is proven'}"
    )
    if attempt.get("honeywharf.copy"):
        told += "; a copy, as an earlier one hung"
    if attempt.get("honeywharf.after_answer"):
        told += "; it ended after the answer"
    why = attempt.get("honeywharf.why")
    if why:
        told += f"; chosen: {reasons(why)}"
    return told


def reasons(why: Mapping[str, Any]) -> str:
    """What the decision module chose from, or found no room in."""
    part = f" (of which {100 * why['room']:.0f} in 100 are open to it)" if why["room"] < 1.0 else ""
    return (
        f"{why['usable']} of {why['ready']} servers usable in {LEVELS[why['level']]},"
        f" {why['in_flight']} calls in flight of {why['limit']:.1f}{part},"
        f" {why['budget']:.1f} further attempts left"
    )
