"""Where each key of a TOML file stands: line and column, from 1, of its value.

The text has been found to be TOML by `tomllib` before, so the grammar (`toml.lark`) need only part keys,
values, tables and comments, not tell good ones from bad. Only faults are looked up: a good file is never read
twice. Places are by path, a tuple of keys and of places in arrays of tables or of values.
"""

from __future__ import annotations

from functools import cache
from pathlib import Path
from typing import Any

from lark import Lark, Token, Tree

Path_ = tuple[str | int, ...]
Place = tuple[int, int]  # line and column


@cache
def _parser() -> Lark:
    grammar = Path(__file__).with_name("toml.lark").read_text("utf-8")
    return Lark(grammar, parser="lalr", propagate_positions=True, maybe_placeholders=False)


def places(text: str) -> dict[Path_, Place]:
    """The place of every value and table of a TOML text; empty where the grammar can't follow it."""
    from lark.exceptions import LarkError

    found: dict[Path_, Place] = {}
    try:
        tree = _parser().parse(text if text.endswith("\n") else text + "\n")
    except LarkError:
        return found
    above: Path_ = ()
    counted: dict[Path_, int] = {}  # arrays of tables, by how many tables have come
    for line in tree.children:
        if not isinstance(line, Tree):
            continue
        if line.data == "pair":
            _value(line, above, found)
            continue
        names = _keys(line.children[0])
        above = ()
        for i, name in enumerate(names):  # a table below an array of tables belongs to its last one
            above = (*above, name)
            if line.data == "array_table" and i == len(names) - 1:
                counted[above] = counted.get(above, -1) + 1
            if above in counted:
                above = (*above, counted[above])
        found.setdefault(above, (line.meta.line, line.meta.column))
    return found


def place_of(found: dict[Path_, Place], path: Path_) -> Place | None:
    """The place of a value, or of the nearest thing above it that has one."""
    for end in range(len(path), 0, -1):
        if path[:end] in found:
            return found[path[:end]]
    return None


def _keys(node: Any) -> list[str]:
    return [_plain(str(token)) for token in node.children if isinstance(token, Token)]


def _plain(name: str) -> str:
    """A key without its quotes. An escaped one is left as it is: no key of ours has escapes."""
    return name[1:-1] if name[:1] in ('"', "'") else name


def _value(pair: Any, above: Path_, found: dict[Path_, Place]) -> None:
    key, value = pair.children
    at = (*above, *_keys(key))
    found[at] = (key.meta.line, key.meta.column)
    _into(value, at, found)


def _into(value: Any, at: Path_, found: dict[Path_, Place]) -> None:
    """Note what lies in arrays and inline tables."""
    if not isinstance(value, Tree):
        return
    if value.data == "array":
        for i, item in enumerate(c for c in value.children if c is not None):
            inner = item if isinstance(item, Tree) else None
            line, column = (
                (item.line, item.column) if isinstance(item, Token) else (item.meta.line, item.meta.column)
            )
            found[(*at, i)] = (int(line or 0), int(column or 0))
            _into(inner, (*at, i), found)
    elif value.data == "inline_table":
        for pair in value.children:
            _value(pair, at, found)
