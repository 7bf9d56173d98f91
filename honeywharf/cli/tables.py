"""Tables and JSON on standard output, for all commands: with `rich` where it is installed, plain else."""

from __future__ import annotations

import importlib.util
import sys
from collections.abc import Callable, Sequence
from typing import Any

import click

WIDE = 240  # columns, where standard output is no terminal
GAP = "  "
HIGHER = {  # what of the extra requirements a command can't do without, by the file that names them
    "lab": ("jinja2", "matplotlib", "numpy", "rich"),
    "ops": ("textual",),
    "demo": ("lupa", "sortedcontainers"),
    "export": ("opentelemetry", "prometheus_client", "structlog"),
}


def needed(kind: str, only: Sequence[str] = ()) -> None:
    """ClickException where a library that `requirements-KIND.txt` names is not there; `only` some of them."""
    missing = [name for name in only or HIGHER[kind] if importlib.util.find_spec(name) is None]
    if missing:
        raise click.ClickException(
            f"found no {' and no '.join(missing)}, wanted what requirements-{kind}.txt"
            f" names: pip install -r requirements-{kind}.txt"
        )


def table(rows: Sequence[tuple[str, ...]], head: tuple[str, ...]) -> None:
    """A table on standard output; the first column to the left, the others to the right."""
    if importlib.util.find_spec("rich") is None:
        for line in plain(rows, head):
            click.echo(line)
        return
    from rich.console import Console
    from rich.table import Table
    from rich.text import Text

    made = Table(box=None, pad_edge=False)
    for i, name in enumerate(head):
        made.add_column(Text(name), justify="right" if i else "left", no_wrap=bool(i))
    for row in rows:
        made.add_row(*map(Text, row))  # guards against a name in brackets being taken for a style
    Console(width=None if sys.stdout.isatty() else WIDE).print(made)


def plain(rows: Sequence[tuple[str, ...]], head: tuple[str, ...]) -> list[str]:
    """The lines of a table, each column as wide as its widest text."""
    widths = [max(len(row[i]) for row in (head, *rows)) for i in range(len(head))]
    return [
        GAP.join(
            text.rjust(width) if i else text.ljust(width)
            for i, (text, width) in enumerate(zip(row, widths, strict=True))
        ).rstrip()
        for row in (head, *rows)
    ]


def show(data: object) -> None:
    """JSON on standard output."""
    import orjson

    click.echo(orjson.dumps(data, option=orjson.OPT_INDENT_2 | orjson.OPT_NON_STR_KEYS).decode())


def shown(data: Any, as_json: bool, words: Callable[[Any], None]) -> None:
    """As JSON, or in words."""
    if as_json:
        show(data)
    else:
        words(data)
