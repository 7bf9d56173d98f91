"""What is wrong with a file that a typed model was to be made of, in an operator's words.

Each fault names the key, what was found there and what is wanted, with its range; where the file's text is at
hand, also the line and column. All faults of a file are told at once: it is mended in one go. The models are
`msgspec` structures; what they want is read from their types, so that words and checks can't drift apart.
"""

from __future__ import annotations

import re
import types
from collections.abc import Iterator
from typing import Any, Union, get_args, get_origin

import msgspec
from msgspec import inspect

Where = tuple[str | int, ...]
_STEP = re.compile(r"([^.\[\]]+)|\[(\d+)\]")


class Fault(msgspec.Struct, frozen=True):
    """One thing that is wrong: where, and what was found and is wanted."""

    where: Where
    words: str

    def __str__(self) -> str:
        """As it is told."""
        return f"{dotted(self.where)}: {self.words}" if self.where else self.words


def dotted(where: Where) -> str:
    """A path as it is written: `troubles[0].part`."""
    told = ""
    for step in where:
        told += f"[{step}]" if isinstance(step, int) else f".{step}" if told else step
    return told


def undotted(told: str) -> Where:
    """The path that is written so."""
    return tuple(int(m[2]) if m[2] else m[1] for m in _STEP.finditer(told))


def found(value: Any) -> str:
    """A value as the file has it, cut where it is long."""
    told = repr(value).lower() if isinstance(value, bool) else repr(value)
    return told if len(told) <= 80 else told[:77] + "..."


def faults(raw: Any, kind: Any, where: Where = ()) -> Iterator[Fault]:
    """Everything for which a value can't be made the type `kind`, each key by itself."""
    model = _struct(kind)
    if model is not None:
        if not isinstance(raw, dict):
            yield Fault(where, f"found {found(raw)}, wanted a table")
            return
        fields = {f.encode_name: f for f in msgspec.structs.fields(model)}
        for name, value in raw.items():
            if name in fields:
                yield from faults(value, fields[name].type, (*where, name))
            else:
                yield Fault(
                    (*where, str(name)), f"found a key that there is not, wanted one of {', '.join(fields)}"
                )
        for name, field in fields.items():
            if field.required and name not in raw:
                yield Fault((*where, name), f"found nothing, wanted {wanted(field.type)}")
        return
    origin, inner = get_origin(kind), get_args(kind)
    if origin is list and isinstance(raw, list) and _struct(inner[0]) is not None:
        for i, item in enumerate(raw):
            yield from faults(item, inner[0], (*where, i))
        return
    if origin is dict and isinstance(raw, dict):
        for name, value in raw.items():
            yield from faults(value, inner[1], (*where, str(name)))
        return
    try:
        msgspec.convert(raw, kind)
    except msgspec.ValidationError:
        if origin in (list, tuple) and isinstance(raw, list):
            for i, item in enumerate(raw):
                yield from faults(item, inner[0], (*where, i))
            return
        yield Fault(where, f"found {found(raw)}, wanted {wanted(kind)}")


def _struct(kind: Any) -> type[msgspec.Struct] | None:
    return kind if isinstance(kind, type) and issubclass(kind, msgspec.Struct) else None


def wanted(kind: Any) -> str:
    """What a type wants, in words, with its range."""
    if get_origin(kind) in (Union, types.UnionType):
        return " or ".join(wanted(one) for one in get_args(kind) if one is not type(None))
    told = inspect.type_info(kind)
    if isinstance(told, inspect.BoolType):
        return "true or false"
    if isinstance(told, inspect.IntType):
        return "a whole number" + _range(told)
    if isinstance(told, inspect.FloatType):
        return "a number" + _range(told)
    if isinstance(told, inspect.StrType):
        least, most = told.min_length, told.max_length
        size = (
            f" of {least or 0} to {most} characters"
            if most is not None
            else (f" of at least {least} character{'s' if least != 1 else ''}" if least else "")
        )
        return "text in quotes" + size
    if isinstance(told, inspect.LiteralType):
        return "one of " + ", ".join(str(v) for v in get_args(kind))
    if isinstance(told, inspect.ListType | inspect.VarTupleType):
        return f"a list, each of it {wanted(get_args(kind)[0])}"
    if isinstance(told, inspect.DictType):
        return f"a table, each of it {wanted(get_args(kind)[1])}"
    return "a table"


def _range(told: inspect.IntType | inspect.FloatType) -> str:
    least = (
        [f"at least {told.ge:g}"]
        if told.ge is not None
        else ([f"over {told.gt:g}"] if told.gt is not None else [])
    )
    most = (
        [f"at most {told.le:g}"]
        if told.le is not None
        else ([f"under {told.lt:g}"] if told.lt is not None else [])
    )
    return " " + " and ".join([*least, *most]) if least or most else ""


def located(file: object, text: str, told: str, where: Where | None = None) -> str:
    """A line for the operator: the file, the place of what is wrong, and the words.

    `where` is read from the words' head, `a.b[0]: ...`, if it is not given. Without a place the file alone is
    named.
    """
    from honeywharf.config import places

    head = told.partition(": ")[0]
    at = undotted(head) if where is None and re.fullmatch(r"[\w.\[\]-]+", head) else where
    place = places.place_of(places.places(text), at) if at else None
    return f"{file}:{place[0]}:{place[1]}: {told}" if place is not None else f"{file}: {told}"
