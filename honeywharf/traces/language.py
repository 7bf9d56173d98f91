"""Expressions over traces: parsed by `lark` (expressions.lark), checked for types, compiled once to closures.

A field is a yes or no, a number, or texts: a trace passes several hops, so `zone = "tartu"` holds where one
of its texts is equal, and `zone != "tartu"` where none is. `p50(class)`, `p90`, `p99` give the quantile of
`duration` over the traces that share the text of that field. What is wrong is told with the place, what was
found and what is wanted.
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

MAX_LENGTH = 2000  # characters of an expression
MAX_NODES = 200  # of its tree: bounds what one trace costs
BOOL, NUMBER, TEXT = "a yes or no", "a number", "a text"
QUANTILES = {"p50": 0.50, "p90": 0.90, "p99": 0.99}
#: The fields of a trace, and what each is.
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
#: Those that one hop alone knows at the end of a request: what a sampler's rule may ask.
OF_A_HOP = frozenset(FIELDS) - {"hops", "hop", "node", "kept"}

Row = Mapping[str, Any]
Evaluated = Callable[[Row, "Figures"], Any]


class ExpressionError(ValueError):
    """What is wrong with an expression, with its place."""

    def __init__(self, text: str, at: int, words: str) -> None:
        super().__init__(f"{words}\n  {text}\n  {' ' * at}^")
        self.at = at


@dataclass
class Figures:
    """Quantiles of `duration`, by function, field and text; made once over all rows."""

    known: dict[tuple[str, str, str], float] = field(default_factory=dict)

    @classmethod
    def over(cls, rows: Iterable[Row], wanted: Iterable[tuple[str, str]]) -> Figures:
        """The quantiles that an expression wants."""
        made, by = cls(), defaultdict[tuple[str, str], list[float]](list)
        wanted = list(wanted)
        for row in rows:
            for name in {name for _, name in wanted}:
                for text in row[name]:
                    by[name, text].append(row["duration"])
        for function, name in wanted:
            for (of, text), times in by.items():
                if of == name:
                    times.sort()
                    at = min(len(times) - 1, int(QUANTILES[function] * len(times)))
                    made.known[function, name, text] = times[at]
        return made


@dataclass(frozen=True)
class Expression:
    """A compiled expression, and the quantiles that it wants."""

    text: str
    holds: Evaluated
    wants: tuple[tuple[str, str], ...]

    def select(self, rows: list[Row]) -> list[Row]:
        """The rows for which it holds."""
        figures = Figures.over(rows, self.wants)
        return [row for row in rows if self.holds(row, figures)]


def _parser() -> Lark:
    grammar = resources.files(__package__).joinpath("expressions.lark").read_text("utf-8")
    return Lark(grammar, parser="lalr", propagate_positions=True)


_made: list[Lark] = []


def compiled(text: str, fields: Iterable[str] = FIELDS, *, quantiles: bool = True) -> Expression:
    """The expression, checked; `ExpressionError` tells the place of what is wrong."""
    if len(text) > MAX_LENGTH:
        raise ExpressionError(text[:60], 0, f"found {len(text)} characters, wanted {MAX_LENGTH} at most")
    if not _made:
        _made.append(_parser())
    try:
        tree = _made[0].parse(text)
    except UnexpectedInput as fault:
        raise _unexpected(text, fault) from None
    maker = _Maker(text, frozenset(fields), quantiles)
    kind, holds = maker.make(tree)
    if kind != BOOL:
        raise ExpressionError(text, 0, f"found {kind}, wanted {BOOL}")
    return Expression(text, holds, tuple(sorted(maker.wants)))


NAMES = {
    "NAME": "a field",
    "NUMBER": "a number",
    "ESCAPED_STRING": "a text in quotes",
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


def _unexpected(text: str, fault: UnexpectedInput) -> ExpressionError:
    wanted: set[str] = set()
    found = "the end"
    at: int = len(text)
    if isinstance(fault, UnexpectedToken):
        wanted = set(fault.accepts or fault.expected)
        if fault.token.type != "$END":
            found, at = f"'{fault.token}'", fault.token.start_pos or 0
    elif isinstance(fault, UnexpectedCharacters):
        wanted, at = set(fault.allowed or ()), fault.pos_in_stream or 0
        found = f"'{text[at]}'"
    elif isinstance(fault, UnexpectedEOF):
        wanted = set(fault.expected)
    words = ", ".join(sorted(NAMES.get(w, w.lower()) for w in wanted)) or "nothing more"
    return ExpressionError(text, at, f"found {found}, wanted {words}")


class _Maker:
    """Turns a tree into a closure, and checks what each part is."""

    def __init__(self, text: str, fields: frozenset[str], quantiles: bool) -> None:
        self.text, self.fields, self.quantiles = text, fields, quantiles
        self.wants: set[tuple[str, str]] = set()
        self.nodes = 0

    def fault(self, node: Tree[Token] | Token, words: str) -> ExpressionError:
        at = node.start_pos if isinstance(node, Token) else node.meta.start_pos
        return ExpressionError(self.text, at or 0, words)

    def make(self, tree: Tree[Token] | Token) -> tuple[str, Evaluated]:
        """What the part is, and how it is evaluated."""
        assert isinstance(tree, Tree)
        self.nodes += 1
        if self.nodes > MAX_NODES:
            raise ExpressionError(self.text, 0, f"found over {MAX_NODES} parts, wanted so many at most")
        made: tuple[str, Evaluated] = getattr(self, f"_{tree.data}")(tree)
        return made

    def of(self, tree: Tree[Token] | Token, kind: str) -> Evaluated:
        """A part that has to be of that kind."""
        found, value = self.make(tree)
        if found != kind:
            raise self.fault(tree, f"found {found}, wanted {kind}")
        return value

    def _either(self, tree: Tree[Token]) -> tuple[str, Evaluated]:
        parts = [self.of(c, BOOL) for c in tree.children]
        return BOOL, lambda row, figures: any(p(row, figures) for p in parts)

    def _both(self, tree: Tree[Token]) -> tuple[str, Evaluated]:
        parts = [self.of(c, BOOL) for c in tree.children]
        return BOOL, lambda row, figures: all(p(row, figures) for p in parts)

    def _negated(self, tree: Tree[Token]) -> tuple[str, Evaluated]:
        part = self.of(tree.children[0], BOOL)
        return BOOL, lambda row, figures: not part(row, figures)

    def _compared(self, tree: Tree[Token]) -> tuple[str, Evaluated]:
        left, sign, right = tree.children
        kind, first = self.make(left)
        second = self.of(right, kind)
        if kind == NUMBER:
            compare = {
                "<": operator.lt,
                "<=": operator.le,
                ">": operator.gt,
                ">=": operator.ge,
                "=": operator.eq,
                "!=": operator.ne,
            }[str(sign)]
            return BOOL, lambda row, figures: compare(first(row, figures), second(row, figures))
        if sign not in ("=", "!="):
            assert isinstance(sign, Token)
            raise self.fault(sign, f"found '{sign}' between {kind} and another, wanted = or !=")
        equal = str(sign) == "="
        if kind == BOOL:
            return BOOL, lambda row, figures: (first(row, figures) == second(row, figures)) is equal
        return BOOL, lambda row, figures: bool(first(row, figures) & second(row, figures)) is equal

    def _among(self, tree: Tree[Token]) -> tuple[str, Evaluated]:
        kind, first = self.make(tree.children[0])
        others = [self.of(c, kind) for c in tree.children[1:]]
        if kind == TEXT:
            return BOOL, lambda row, figures: any(first(row, figures) & o(row, figures) for o in others)
        return BOOL, lambda row, figures: any(first(row, figures) == o(row, figures) for o in others)

    def _arithmetic(self, tree: Tree[Token], of: Callable[[float, float], float]) -> tuple[str, Evaluated]:
        first, second = self.of(tree.children[0], NUMBER), self.of(tree.children[1], NUMBER)
        return NUMBER, lambda row, figures: of(first(row, figures), second(row, figures))

    def _plus(self, tree: Tree[Token]) -> tuple[str, Evaluated]:
        return self._arithmetic(tree, operator.add)

    def _minus(self, tree: Tree[Token]) -> tuple[str, Evaluated]:
        return self._arithmetic(tree, operator.sub)

    def _times(self, tree: Tree[Token]) -> tuple[str, Evaluated]:
        return self._arithmetic(tree, operator.mul)

    def _over(self, tree: Tree[Token]) -> tuple[str, Evaluated]:
        return self._arithmetic(tree, lambda a, b: a / b if b else float("inf"))

    def _number(self, tree: Tree[Token]) -> tuple[str, Evaluated]:
        value = float(str(tree.children[0]))
        if len(tree.children) > 1 and str(tree.children[1]) == "s":
            value *= 1000.0
        return NUMBER, lambda row, figures: value

    def _text(self, tree: Tree[Token]) -> tuple[str, Evaluated]:
        value = frozenset((str(orjson.loads(str(tree.children[0]))),))
        return TEXT, lambda row, figures: value

    def _field(self, tree: Tree[Token]) -> tuple[str, Evaluated]:
        name = self._name(tree.children[0])
        return FIELDS[name], lambda row, figures: row[name]

    def _quantile(self, tree: Tree[Token]) -> tuple[str, Evaluated]:
        function, name = str(tree.children[0]), self._name(tree.children[1])
        if function not in QUANTILES or not self.quantiles:
            wanted = ", ".join(QUANTILES) if self.quantiles else "none here"
            raise self.fault(tree.children[0], f"found function '{function}', wanted {wanted}")
        if FIELDS[name] != TEXT:
            raise self.fault(tree.children[1], f"found {FIELDS[name]}, wanted {TEXT}")
        self.wants.add((function, name))

        def value(row: Row, figures: Figures) -> float:
            known = [figures.known.get((function, name, text), 0.0) for text in row[name]]
            return max(known, default=0.0)

        return NUMBER, value

    def _name(self, token: Tree[Token] | Token) -> str:
        name = str(token)
        if name not in self.fields:
            raise self.fault(token, f"found field '{name}', wanted one of {', '.join(sorted(self.fields))}")
        return name
