"""Errors of a file that is decoded into a typed model, worded for operators.

Each error names the key, the expected type with its range, and the value in the file; `with_position` adds
the line and column. All errors of a file are reported at once. The models are `msgspec` structures, and the
texts are derived from their types, so they always match the checks.
"""

from __future__ import annotations

import re
import types
from collections.abc import Iterator
from typing import Any, Union, get_args, get_origin

import msgspec
from msgspec import inspect

KeyPath = tuple[str | int, ...]
_KEY_PATH_STEP = re.compile(r"([^.\[\]]+)|\[(\d+)\]")


class FileError(msgspec.Struct, frozen=True):
    """An error at one key: its path, and a text with the expected and the actual value."""

    where: KeyPath
    words: str

    def __str__(self) -> str:
        """Returns the key and the text."""
        return f"{format_key_path(self.where)}: {self.words}" if self.where else self.words


def format_key_path(where: KeyPath) -> str:
    """Returns a key path as text, such as `troubles[0].part`."""
    text = ""
    for step in where:
        text += f"[{step}]" if isinstance(step, int) else f".{step}" if text else step
    return text


def parse_key_path(text: str) -> KeyPath:
    """Parses the text of a key path; the inverse of `format_key_path`."""
    return tuple(int(m[2]) if m[2] else m[1] for m in _KEY_PATH_STEP.finditer(text))


def format_value(value: Any) -> str:
    """Returns a value roughly as the file has it, truncated to 80 characters."""
    text = repr(value).lower() if isinstance(value, bool) else repr(value)
    return text if len(text) <= 80 else text[:77] + "..."


def find_errors(raw: Any, value_type: Any, where: KeyPath = ()) -> Iterator[FileError]:
    """Yields an error for each key of a value that does not match the expected type."""
    model = _struct_type(value_type)
    if model is not None:
        if not isinstance(raw, dict):
            yield FileError(where, f"expected a table, got {format_value(raw)}")
            return
        fields = {f.encode_name: f for f in msgspec.structs.fields(model)}
        for name, value in raw.items():
            if name in fields:
                yield from find_errors(value, fields[name].type, (*where, name))
            else:
                yield FileError(
                    (*where, str(name)), f"expected one of {', '.join(fields)}, got an unknown key"
                )
        for name, field in fields.items():
            if field.required and name not in raw:
                yield FileError((*where, name), f"expected {describe_type(field.type)}, got nothing")
        return
    origin, type_arguments = get_origin(value_type), get_args(value_type)
    if origin is list and isinstance(raw, list) and _struct_type(type_arguments[0]) is not None:
        for i, item in enumerate(raw):
            yield from find_errors(item, type_arguments[0], (*where, i))
        return
    if origin is dict and isinstance(raw, dict):
        for name, value in raw.items():
            yield from find_errors(value, type_arguments[1], (*where, str(name)))
        return
    try:
        msgspec.convert(raw, value_type)
    except msgspec.ValidationError:
        if origin in (list, tuple) and isinstance(raw, list):
            for i, item in enumerate(raw):
                yield from find_errors(item, type_arguments[0], (*where, i))
            return
        yield FileError(where, f"expected {describe_type(value_type)}, got {format_value(raw)}")


def _struct_type(value_type: Any) -> type[msgspec.Struct] | None:
    return value_type if isinstance(value_type, type) and issubclass(value_type, msgspec.Struct) else None


def describe_type(value_type: Any) -> str:
    """Returns a description of a type with its range, such as `a number over 0`."""
    if get_origin(value_type) in (Union, types.UnionType):
        return " or ".join(describe_type(one) for one in get_args(value_type) if one is not type(None))
    info = inspect.type_info(value_type)
    if isinstance(info, inspect.BoolType):
        return "true or false"
    if isinstance(info, inspect.IntType):
        return "a whole number" + _format_range(info)
    if isinstance(info, inspect.FloatType):
        return "a number" + _format_range(info)
    if isinstance(info, inspect.StrType):
        minimum, maximum = info.min_length, info.max_length
        size = (
            f" of {minimum or 0} to {maximum} characters"
            if maximum is not None
            else (f" of at least {minimum} character{'s' if minimum != 1 else ''}" if minimum else "")
        )
        return "text in quotes" + size
    if isinstance(info, inspect.LiteralType):
        return "one of " + ", ".join(str(v) for v in get_args(value_type))
    if isinstance(info, inspect.ListType | inspect.VarTupleType):
        return f"a list, each item {describe_type(get_args(value_type)[0])}"
    if isinstance(info, inspect.DictType):
        return f"a table, each value {describe_type(get_args(value_type)[1])}"
    return "a table"


def _format_range(info: inspect.IntType | inspect.FloatType) -> str:
    minimum = (
        [f"at least {info.ge:g}"]
        if info.ge is not None
        else ([f"over {info.gt:g}"] if info.gt is not None else [])
    )
    maximum = (
        [f"at most {info.le:g}"]
        if info.le is not None
        else ([f"under {info.lt:g}"] if info.lt is not None else [])
    )
    return " " + " and ".join([*minimum, *maximum]) if minimum or maximum else ""


def with_position(file: object, text: str, message: str, where: KeyPath | None = None) -> str:
    """Returns an error line for the operator: the file, the position of the key, and the message.

    If `where` is not given, it is parsed from the start of the message, `a.b[0]: ...`. If the position is
    unknown, the line has only the file and the message.
    """
    from honeywharf.config import key_positions

    key_text = message.partition(": ")[0]
    key_path = parse_key_path(key_text) if where is None and re.fullmatch(r"[\w.\[\]-]+", key_text) else where
    position = key_positions.nearest_position(key_positions.positions(text), key_path) if key_path else None
    return f"{file}:{position[0]}:{position[1]}: {message}" if position is not None else f"{file}: {message}"
