"""Finds the positions of keys in a TOML file: line and column, counted from 1.

`tomllib` has accepted the text before, so the grammar (`toml.lark`) only separates keys, values, tables and
comments and does not validate them. A file without errors is not parsed again. A key path is a tuple of keys
and of indices in arrays.
"""

from __future__ import annotations

from functools import cache
from pathlib import Path
from typing import Any

from lark import Lark, Token, Tree

KeyPath = tuple[str | int, ...]
Position = tuple[int, int]  # The line and the column.


@cache
def _parser() -> Lark:
    grammar = Path(__file__).with_name("toml.lark").read_text("utf-8")
    return Lark(grammar, parser="lalr", propagate_positions=True, maybe_placeholders=False)


def positions(text: str) -> dict[KeyPath, Position]:
    """Returns the position of every value and table of a TOML text, or nothing if the grammar rejects it."""
    from lark.exceptions import LarkError

    positions_by_path: dict[KeyPath, Position] = {}
    try:
        tree = _parser().parse(text if text.endswith("\n") else text + "\n")
    except LarkError:
        return positions_by_path
    table_path: KeyPath = ()
    last_indices: dict[KeyPath, int] = {}  # The index of the last table of each array of tables.
    for line in tree.children:
        if not isinstance(line, Tree):
            continue
        if line.data == "pair":
            _add_pair(line, table_path, positions_by_path)
            continue
        names = _keys(line.children[0])
        table_path = ()
        for i, name in enumerate(names):  # A table below an array of tables belongs to its last element.
            table_path = (*table_path, name)
            if line.data == "array_table" and i == len(names) - 1:
                last_indices[table_path] = last_indices.get(table_path, -1) + 1
            if table_path in last_indices:
                table_path = (*table_path, last_indices[table_path])
        positions_by_path.setdefault(table_path, (line.meta.line, line.meta.column))
    return positions_by_path


def nearest_position(positions_by_path: dict[KeyPath, Position], path: KeyPath) -> Position | None:
    """Returns the position of a key path, or of its nearest ancestor that has one."""
    for end in range(len(path), 0, -1):
        if path[:end] in positions_by_path:
            return positions_by_path[path[:end]]
    return None


def _keys(node: Any) -> list[str]:
    return [_unquote(str(token)) for token in node.children if isinstance(token, Token)]


def _unquote(name: str) -> str:
    """Returns a key without its quotes. Escapes are not decoded, because no known key has any."""
    return name[1:-1] if name[:1] in ('"', "'") else name


def _add_pair(pair: Any, table_path: KeyPath, positions_by_path: dict[KeyPath, Position]) -> None:
    key, value = pair.children
    path = (*table_path, *_keys(key))
    positions_by_path[path] = (key.meta.line, key.meta.column)
    _add_nested(value, path, positions_by_path)


def _add_nested(value: Any, path: KeyPath, positions_by_path: dict[KeyPath, Position]) -> None:
    """Adds the positions of values in arrays and inline tables."""
    if not isinstance(value, Tree):
        return
    if value.data == "array":
        for i, item in enumerate(c for c in value.children if c is not None):
            inner = item if isinstance(item, Tree) else None
            line, column = (
                (item.line, item.column) if isinstance(item, Token) else (item.meta.line, item.meta.column)
            )
            positions_by_path[(*path, i)] = (int(line or 0), int(column or 0))
            _add_nested(inner, (*path, i), positions_by_path)
    elif value.data == "inline_table":
        for pair in value.children:
            _add_pair(pair, path, positions_by_path)
