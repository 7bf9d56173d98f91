"""A tree of matchers for the paths of calls: one step a segment, `{name}` takes any one segment."""

from __future__ import annotations

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Any

MAX_SEGMENTS = 16  # segments of a path; longer ones are not found


class MethodNotAllowedError(Exception):
    """The path is there, but not with this method. `args[0]` is the list of methods that are (bytes)."""


class _Node:
    """What may follow one beginning of a path."""

    __slots__ = ("by_segment", "parameters", "targets", "wildcard")

    def __init__(self) -> None:
        self.by_segment: dict[bytes, _Node] = {}
        self.wildcard: _Node | None = None
        self.targets: dict[bytes, Any] = {}  # by method
        self.parameters: dict[bytes, list[str]] = {}  # names of the wildcards, by method


class UrlMatcher:
    """Patterns of paths and what they lead to. A fixed segment goes before a `{name}`."""

    __slots__ = ("_root",)

    def __init__(self) -> None:
        self._root: _Node = _Node()

    def add(self, method: str, pattern: str, target: Any) -> None:
        """Lead a method and a pattern, like `/a/{id}/b`, to a target; ValueError where one is there."""
        node, names = self._root, []
        for segment in pattern.strip("/").split("/"):
            if segment.startswith("{") and segment.endswith("}"):
                names.append(segment[1:-1])
                node.wildcard = node = node.wildcard or _Node()
            else:
                node = node.by_segment.setdefault(segment.encode(), _Node())
        if method.encode() in node.targets:
            raise ValueError(f"found {method} {pattern} twice, wanted it once")
        node.targets[method.encode()] = target
        node.parameters[method.encode()] = names

    def find(self, method: bytes, path: bytes) -> tuple[Any, dict[str, str]] | None:
        """The target and its decoded parameters; None where no such path is (404).

        MethodNotAllowedError where the path is there with other methods only (405).
        """
        segments = path.strip(b"/").split(b"/")
        if len(segments) > MAX_SEGMENTS:
            return None
        values: list[bytes] = []
        node = _walk(self._root, segments, 0, values)
        if node is None:
            return None
        if method not in node.targets:
            raise MethodNotAllowedError(sorted(node.targets))
        return node.targets[method], dict(zip(node.parameters[method], map(unquote, values), strict=True))


def _walk(node: _Node, segments: list[bytes], at: int, values: list[bytes]) -> _Node | None:
    """The node at the end of the segments; `values` gets what stood in place of names."""
    if at == len(segments):
        return node if node.targets else None
    fixed = node.by_segment.get(segments[at])
    if fixed is not None:
        found = _walk(fixed, segments, at + 1, values)
        if found is not None:
            return found
    if node.wildcard is None or not segments[at]:
        return None
    values.append(segments[at])
    found = _walk(node.wildcard, segments, at + 1, values)
    if found is None:
        values.pop()
    return found


def unquote(segment: bytes) -> str:
    """A segment of a path as text: `%41` is "A"; what is no UTF-8 is replaced."""
    if b"%" not in segment:
        return segment.decode("utf-8", "replace")
    first, *rest = segment.split(b"%")
    made = [first]
    for piece in rest:
        try:
            made.append(bytes((int(piece[:2], 16),)) + piece[2:] if len(piece) > 1 else b"%" + piece)
        except ValueError:
            made.append(b"%" + piece)
    return b"".join(made).decode("utf-8", "replace")
