"""Expressions over traces: parsed by `lark` (expressions.lark), type-checked and compiled to closures.

A field is a boolean, a number, or a set of texts, as a trace passes through several hops: `zone = "tartu"`
holds if one of the texts is equal, and `zone != "tartu"` if none is. `p50(class)`, `p90` and `p99` are
quantiles of `duration` over the traces that share a text of that field. Errors give the position in the
expression, what was expected and what was got.
"""

from __future__ import annotations

import operator
from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from importlib import resources
from typing import Any

import orjson
from lark import Lark, Token, Tree
from lark.exceptions import UnexpectedCharacters, UnexpectedEOF, UnexpectedInput, UnexpectedToken

MAX_CHARS = 2000
MAX_NODES = 200  # The limit of the expression's tree, which limits the cost for each trace.
BOOL, NUMBER, TEXT = "a boolean", "a number", "a text"
QUANTILES = {"p50": 0.50, "p90": 0.90, "p99": 0.99}
#: The fields of a trace and their types.
FIELDS = {
    "failed": BOOL,
    "refused": BOOL,
    "served": BOOL,
    "retried": BOOL,
    "copied": BOOL,
    "slow": BOOL,
    "late": BOOL,
    "duration": NUMBER,
    "attempts": NUMBER,
    "errors": NUMBER,
    "hops": NUMBER,
    "class": TEXT,
    "tenant": TEXT,
    "zone": TEXT,
    "server": TEXT,
    "hop": TEXT,
    "node": TEXT,
    "outcome": TEXT,
    "reason": TEXT,
    "kept": TEXT,
    "request": TEXT,
    "trace": TEXT,
}
#: The fields that one hop knows at the end of a request; only these are allowed in a sampler's rule.
SINGLE_HOP_FIELDS = frozenset(FIELDS) - {"hops", "hop", "node", "kept"}

Row = Mapping[str, Any]
Evaluator = Callable[[Row, "Quantiles"], Any]


class ExpressionError(ValueError):
    """An error of an expression. `position`: index of the character where it is."""

    def __init__(self, text: str, position: int, message: str) -> None:
        super().__init__(f"{message}\n  {text}\n  {' ' * position}^")
        self.position = position


@dataclass
class Quantiles:
    """Quantiles of `duration` over all rows, by function, field and text."""

    values: dict[tuple[str, str, str], float] = field(default_factory=dict)

    @classmethod
    def from_rows(cls, rows: Iterable[Row], needed: Iterable[tuple[str, str]]) -> Quantiles:
        """Computes the quantiles that an expression needs, each a function and a field."""
        quantiles, durations_by_text = cls(), defaultdict[tuple[str, str], list[float]](list)
        needed = list(needed)
        for row in rows:
            for name in {name for _, name in needed}:
                for text in row[name]:
                    durations_by_text[name, text].append(row["duration"])
        for function, name in needed:
            for (field_name, text), durations in durations_by_text.items():
                if field_name == name:
                    durations.sort()
                    index = min(len(durations) - 1, int(QUANTILES[function] * len(durations)))
                    quantiles.values[function, name, text] = durations[index]
        return quantiles


@dataclass(frozen=True)
class Expression:
    """A compiled expression, and the quantiles that it needs."""

    text: str
    holds: Evaluator
    needed_quantiles: tuple[tuple[str, str], ...]

    def select(self, rows: list[Row]) -> list[Row]:
        """Returns the rows for which the expression holds."""
        quantiles = Quantiles.from_rows(rows, self.needed_quantiles)
        return [row for row in rows if self.holds(row, quantiles)]


def _make_parser() -> Lark:
    grammar = resources.files(__package__).joinpath("expressions.lark").read_text("utf-8")
    return Lark(grammar, parser="lalr", propagate_positions=True)


_parsers: list[Lark] = []


def compile_expression(
    text: str, fields: Iterable[str] = FIELDS, *, allow_quantiles: bool = True
) -> Expression:
    """Parses, checks and compiles an expression; ExpressionError if it is invalid."""
    if len(text) > MAX_CHARS:
        raise ExpressionError(text[:60], 0, f"expected at most {MAX_CHARS} characters, got {len(text)}")
    if not _parsers:
        _parsers.append(_make_parser())
    try:
        tree = _parsers[0].parse(text)
    except UnexpectedInput as error:
        raise _unexpected(text, error) from None
    compiler = _Compiler(text, frozenset(fields), allow_quantiles)
    kind, holds = compiler.compile(tree)
    if kind != BOOL:
        raise ExpressionError(text, 0, f"expected {BOOL}, got {kind}")
    return Expression(text, holds, tuple(sorted(compiler.needed_quantiles)))


TOKEN_NAMES = {
    "NAME": "a field",
    "NUMBER": "a number",
    "ESCAPED_STRING": "a quoted text",
    "COMPARED": "a comparison",
    "LPAR": "(",
    "RPAR": ")",
    "LSQB": "[",
    "RSQB": "]",
    "STAR": "*",
    "SLASH": "/",
    "PLUS": "+",
    "MINUS": "-",
    "COMMA": ",",
    "UNIT": "ms or s",
    "$END": "the end",
}


def _unexpected(text: str, error: UnexpectedInput) -> ExpressionError:
    expected_tokens: set[str] = set()
    found = "the end"
    position: int = len(text)
    if isinstance(error, UnexpectedToken):
        expected_tokens = set(error.accepts or error.expected)
        if error.token.type != "$END":
            found, position = f"'{error.token}'", error.token.start_pos or 0
    elif isinstance(error, UnexpectedCharacters):
        expected_tokens, position = set(error.allowed or ()), error.pos_in_stream or 0
        found = f"'{text[position]}'"
    elif isinstance(error, UnexpectedEOF):
        expected_tokens = set(error.expected)
    expected_text = (
        ", ".join(sorted(TOKEN_NAMES.get(w, w.lower()) for w in expected_tokens)) or "nothing more"
    )
    return ExpressionError(text, position, f"expected {expected_text}, got {found}")


class _Compiler:
    """Compiles a tree to closures, and checks the type of each part."""

    def __init__(self, text: str, fields: frozenset[str], allow_quantiles: bool) -> None:
        self.text, self.fields, self.allow_quantiles = text, fields, allow_quantiles
        self.needed_quantiles: set[tuple[str, str]] = set()
        self.nodes = 0

    def error(self, node: Tree[Token] | Token, message: str) -> ExpressionError:
        position = node.start_pos if isinstance(node, Token) else node.meta.start_pos
        return ExpressionError(self.text, position or 0, message)

    def compile(self, tree: Tree[Token] | Token) -> tuple[str, Evaluator]:
        """Returns the type of a part, and its evaluator."""
        assert isinstance(tree, Tree)
        self.nodes += 1
        if self.nodes > MAX_NODES:
            raise ExpressionError(self.text, 0, f"expected at most {MAX_NODES} parts, got more")
        compiled: tuple[str, Evaluator] = getattr(self, f"_{tree.data}")(tree)
        return compiled

    def compile_as(self, tree: Tree[Token] | Token, kind: str) -> Evaluator:
        """Returns the evaluator of a part that has to be of that type."""
        found, value = self.compile(tree)
        if found != kind:
            raise self.error(tree, f"expected {kind}, got {found}")
        return value

    def _either(self, tree: Tree[Token]) -> tuple[str, Evaluator]:
        parts = [self.compile_as(c, BOOL) for c in tree.children]
        return BOOL, lambda row, quantiles: any(p(row, quantiles) for p in parts)

    def _both(self, tree: Tree[Token]) -> tuple[str, Evaluator]:
        parts = [self.compile_as(c, BOOL) for c in tree.children]
        return BOOL, lambda row, quantiles: all(p(row, quantiles) for p in parts)

    def _negated(self, tree: Tree[Token]) -> tuple[str, Evaluator]:
        part = self.compile_as(tree.children[0], BOOL)
        return BOOL, lambda row, quantiles: not part(row, quantiles)

    def _compared(self, tree: Tree[Token]) -> tuple[str, Evaluator]:
        left, sign, right = tree.children
        kind, first = self.compile(left)
        second = self.compile_as(right, kind)
        if kind == NUMBER:
            compare = {
                "<": operator.lt,
                "<=": operator.le,
                ">": operator.gt,
                ">=": operator.ge,
                "=": operator.eq,
                "!=": operator.ne,
            }[str(sign)]
            return BOOL, lambda row, quantiles: compare(first(row, quantiles), second(row, quantiles))
        if sign not in ("=", "!="):
            assert isinstance(sign, Token)
            raise self.error(sign, f"expected = or != between {kind} and another, got '{sign}'")
        equal = str(sign) == "="
        if kind == BOOL:
            return BOOL, lambda row, quantiles: (first(row, quantiles) == second(row, quantiles)) is equal
        return (
            BOOL,
            lambda row, quantiles: bool(first(row, quantiles) & second(row, quantiles)) is equal,
        )

    def _among(self, tree: Tree[Token]) -> tuple[str, Evaluator]:
        kind, first = self.compile(tree.children[0])
        others = [self.compile_as(c, kind) for c in tree.children[1:]]
        if kind == TEXT:
            return BOOL, lambda row, quantiles: any(first(row, quantiles) & o(row, quantiles) for o in others)
        return BOOL, lambda row, quantiles: any(first(row, quantiles) == o(row, quantiles) for o in others)

    def _arithmetic(
        self, tree: Tree[Token], operation: Callable[[float, float], float]
    ) -> tuple[str, Evaluator]:
        first, second = self.compile_as(tree.children[0], NUMBER), self.compile_as(tree.children[1], NUMBER)
        return NUMBER, lambda row, quantiles: operation(first(row, quantiles), second(row, quantiles))

    def _plus(self, tree: Tree[Token]) -> tuple[str, Evaluator]:
        return self._arithmetic(tree, operator.add)

    def _minus(self, tree: Tree[Token]) -> tuple[str, Evaluator]:
        return self._arithmetic(tree, operator.sub)

    def _times(self, tree: Tree[Token]) -> tuple[str, Evaluator]:
        return self._arithmetic(tree, operator.mul)

    def _over(self, tree: Tree[Token]) -> tuple[str, Evaluator]:
        return self._arithmetic(tree, lambda a, b: a / b if b else float("inf"))

    def _number(self, tree: Tree[Token]) -> tuple[str, Evaluator]:
        value = float(str(tree.children[0]))
        if len(tree.children) > 1 and str(tree.children[1]) == "s":
            value *= 1000.0
        return NUMBER, lambda row, quantiles: value

    def _text(self, tree: Tree[Token]) -> tuple[str, Evaluator]:
        value = frozenset((str(orjson.loads(str(tree.children[0]))),))
        return TEXT, lambda row, quantiles: value

    def _field(self, tree: Tree[Token]) -> tuple[str, Evaluator]:
        name = self._resolve_name(tree.children[0])
        return FIELDS[name], lambda row, quantiles: row[name]

    def _quantile(self, tree: Tree[Token]) -> tuple[str, Evaluator]:
        function, name = str(tree.children[0]), self._resolve_name(tree.children[1])
        if function not in QUANTILES or not self.allow_quantiles:
            expected = ", ".join(QUANTILES) if self.allow_quantiles else "none here"
            raise self.error(tree.children[0], f"function: expected {expected}, got '{function}'")
        if FIELDS[name] != TEXT:
            raise self.error(tree.children[1], f"expected {TEXT}, got {FIELDS[name]}")
        self.needed_quantiles.add((function, name))

        def value(row: Row, quantiles: Quantiles) -> float:
            values = [quantiles.values.get((function, name, text), 0.0) for text in row[name]]
            return max(values, default=0.0)

        return NUMBER, value

    def _resolve_name(self, token: Tree[Token] | Token) -> str:
        name = str(token)
        if name not in self.fields:
            raise self.error(token, f"field: expected one of {', '.join(sorted(self.fields))}, got '{name}'")
        return name
