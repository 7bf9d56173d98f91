"""Matches URL paths against patterns, in a tree by segment. `{name}` matches any one segment."""

from __future__ import annotations

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Any

MAX_SEGMENTS = 16  # Longer paths are not found.


class MethodNotAllowedError(Exception):
    """The path exists, but not with this method. `args[0]` is the list of allowed methods (bytes)."""


class _Node:
    """The node of one path prefix."""

    __slots__ = ("by_segment", "parameters", "targets", "wildcard")

    def __init__(self) -> None:
        self.by_segment: dict[bytes, _Node] = {}
        self.wildcard: _Node | None = None
        self.targets: dict[bytes, Any] = {}  # Targets by method.
        self.parameters: dict[bytes, list[str]] = {}  # Names of the wildcards, by method.


class UrlMatcher:
    """Maps methods and path patterns to targets. A fixed segment is preferred to a `{name}`."""

    __slots__ = ("_root",)

    def __init__(self) -> None:
        self._root: _Node = _Node()

    def add(self, method: str, pattern: str, target: Any) -> None:
        """Adds a target for a method and a pattern like `/a/{id}/b`. Raises ValueError for a duplicate."""
        node, names = self._root, []
        for segment in pattern.strip("/").split("/"):
            if segment.startswith("{") and segment.endswith("}"):
                names.append(segment[1:-1])
                node.wildcard = node = node.wildcard or _Node()
            else:
                node = node.by_segment.setdefault(segment.encode(), _Node())
        if method.encode() in node.targets:
            raise ValueError(f"{method} {pattern}: expected one target, got it twice")
        node.targets[method.encode()] = target
        node.parameters[method.encode()] = names

    def find(self, method: bytes, path: bytes) -> tuple[Any, dict[str, str]] | None:
        """Returns the target and its decoded parameters; None if there is no such path (404).

        Raises MethodNotAllowedError if the path exists with other methods only (405).
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


def _walk(node: _Node, segments: list[bytes], index: int, values: list[bytes]) -> _Node | None:
    """Returns the node at the end of the segments, and appends the wildcards' values to `values`."""
    if index == len(segments):
        return node if node.targets else None
    fixed = node.by_segment.get(segments[index])
    if fixed is not None:
        found = _walk(fixed, segments, index + 1, values)
        if found is not None:
            return found
    if node.wildcard is None or not segments[index]:
        return None
    values.append(segments[index])
    found = _walk(node.wildcard, segments, index + 1, values)
    if found is None:
        values.pop()
    return found


def unquote(segment: bytes) -> str:
    """Decodes a path segment: `%41` is "A", and invalid UTF-8 is replaced."""
    if b"%" not in segment:
        return segment.decode("utf-8", "replace")
    first, *rest = segment.split(b"%")
    decoded = [first]
    for piece in rest:
        try:
            decoded.append(bytes((int(piece[:2], 16),)) + piece[2:] if len(piece) > 1 else b"%" + piece)
        except ValueError:
            decoded.append(b"%" + piece)
    return b"".join(decoded).decode("utf-8", "replace")
