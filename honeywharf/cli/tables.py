"""Prints tables and JSON to standard output. Tables use `rich` if it is installed, plain text otherwise."""

from __future__ import annotations

import importlib.util
import sys
from collections.abc import Callable, Sequence
from typing import Any

import click

DEFAULT_WIDTH_COLUMNS = 240  # Used if standard output is not a terminal.
COLUMN_SEPARATOR = "  "
#: The optional packages that commands depend on, by the suffix of the requirements file that lists them.
OPTIONAL_PACKAGES = {
    "lab": ("jinja2", "matplotlib", "numpy", "rich"),
    "ops": ("textual",),
    "demo": ("lupa", "sortedcontainers"),
    "export": ("opentelemetry", "prometheus_client", "structlog"),
}


def require_packages(kind: str, names: Sequence[str] = ()) -> None:
    """Raises ClickException unless the packages of `requirements-KIND.txt`, or only `names`, are there."""
    missing = [name for name in names or OPTIONAL_PACKAGES[kind] if importlib.util.find_spec(name) is None]
    if missing:
        raise click.ClickException(
            f"expected the packages of requirements-{kind}.txt, got no {' and no '.join(missing)}:"
            f" pip install -r requirements-{kind}.txt"
        )


def print_table(rows: Sequence[tuple[str, ...]], header: tuple[str, ...]) -> None:
    """Prints a table with the first column left-aligned and the others right-aligned."""
    if importlib.util.find_spec("rich") is None:
        for line in format_table(rows, header):
            click.echo(line)
        return
    from rich.console import Console
    from rich.table import Table
    from rich.text import Text

    rich_table = Table(box=None, pad_edge=False)
    for i, name in enumerate(header):
        rich_table.add_column(Text(name), justify="right" if i else "left", no_wrap=bool(i))
    for row in rows:
        rich_table.add_row(*map(Text, row))  # Text keeps rich from parsing a name in brackets as a style.
    Console(width=None if sys.stdout.isatty() else DEFAULT_WIDTH_COLUMNS).print(rich_table)


def format_table(rows: Sequence[tuple[str, ...]], header: tuple[str, ...]) -> list[str]:
    """Returns the lines of a table in which each column is as wide as its widest text."""
    widths = [max(len(row[i]) for row in (header, *rows)) for i in range(len(header))]
    return [
        COLUMN_SEPARATOR.join(
            text.rjust(width) if i else text.ljust(width)
            for i, (text, width) in enumerate(zip(row, widths, strict=True))
        ).rstrip()
        for row in (header, *rows)
    ]


def print_json(data: object) -> None:
    """Prints indented JSON."""
    import orjson

    click.echo(orjson.dumps(data, option=orjson.OPT_INDENT_2 | orjson.OPT_NON_STR_KEYS).decode())


def print_data(data: Any, as_json: bool, print_text: Callable[[Any], None]) -> None:
    """Prints the data as JSON, or as text by `print_text`."""
    if as_json:
        print_json(data)
    else:
        print_text(data)
