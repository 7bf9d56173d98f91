"""Operators' bans of endpoints, and the endpoints that may be banned. Without I/O; times are Unix ms.

A ban applies to an endpoint's id, across restarts, changes of address and new lists, until an operator lifts
it. An id that discovery has never listed can't be banned, so a typing error is reported. Both tables are
bounded: a ban over the bound is rejected, and the ids that left the list first are forgotten first.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

MAX_BANS = 4096
MAX_FORMERLY_LISTED = 16384  # ids
MAX_ID_CHARS = 256


class BanError(ValueError):
    """An endpoint can't be excluded or included; the message says what was found and what is expected."""


class Bans:
    """The bans of one proxy."""

    def __init__(self) -> None:
        self.excluded_ms: dict[str, float] = {}  # The time of each ban, by endpoint id.
        # The times at which bans were lifted, oldest first, at most `MAX_BANS`.
        self.included_ms: dict[str, float] = {}
        self.listed: set[str] = set()
        self.formerly_listed: dict[str, None] = {}  # The ids are in the order in which they left the list.

    def set_listed(self, names: Iterable[str]) -> None:
        """Sets the ids that discovery lists now."""
        now = set(names)
        for name in self.listed - now:
            self.formerly_listed[name] = None
        for name in now & self.formerly_listed.keys():
            del self.formerly_listed[name]
        self.listed = now
        while len(self.formerly_listed) > MAX_FORMERLY_LISTED:
            del self.formerly_listed[next(iter(self.formerly_listed))]

    def add_formerly_listed(self, names: Iterable[str]) -> None:
        """Adds ids that another process of this proxy has seen listed."""
        for name in names:
            if name not in self.listed:
                self.formerly_listed[name] = None
        while len(self.formerly_listed) > MAX_FORMERLY_LISTED:
            del self.formerly_listed[next(iter(self.formerly_listed))]

    def is_known(self, name: str) -> bool:
        """Whether the id is listed, banned, or among the remembered ids that were listed before."""
        return name in self.listed or name in self.formerly_listed or name in self.excluded_ms

    def _check_id(self, name: str) -> None:
        if not name or len(name) > MAX_ID_CHARS:
            raise BanError(f"found an id of {len(name)} characters, wanted 1 to {MAX_ID_CHARS}")
        if not self.is_known(name):
            raise BanError(f"found {name!r}, which no list has named, wanted the id of a backend")

    def exclude(self, name: str, now_ms: float) -> bool:
        """Bans an endpoint; False if it is banned already. Raises BanError."""
        self._check_id(name)
        if name in self.excluded_ms:
            return False
        if len(self.excluded_ms) >= MAX_BANS:
            raise BanError(f"found {MAX_BANS} backends out by hand, wanted fewer: include some first")
        self.excluded_ms[name] = now_ms
        self.included_ms.pop(name, None)
        return True

    def include(self, name: str, now_ms: float) -> bool:
        """Lifts the ban of an endpoint; False if it was not banned. Raises BanError."""
        self._check_id(name)
        if name not in self.excluded_ms:
            return False
        self._lift_ban(name, now_ms)
        return True

    def _lift_ban(self, name: str, at_ms: float) -> None:
        if self.excluded_ms.pop(name, None) is not None and name not in self.listed:
            self.formerly_listed[name] = None
        self.included_ms.pop(name, None)
        self.included_ms[name] = at_ms
        if len(self.included_ms) > MAX_BANS:
            del self.included_ms[next(iter(self.included_ms))]

    def merge(self, other_excluded_ms: Mapping[str, float], other_included_ms: Mapping[str, float]) -> bool:
        """Merges the bans of another process: for each endpoint the later command applies.

        Bans over the bound are dropped. Returns whether the set of banned endpoints has changed.
        """
        before = set(self.excluded_ms)
        for name, at in sorted(other_included_ms.items(), key=lambda item: item[1]):
            if at >= max(self.excluded_ms.get(name, -1.0), self.included_ms.get(name, -1.0)):
                self._lift_ban(name, at)
        for name, at in sorted(other_excluded_ms.items(), key=lambda item: item[1]):
            if at > max(self.excluded_ms.get(name, -1.0), self.included_ms.get(name, -1.0)) and (
                name in self.excluded_ms or len(self.excluded_ms) < MAX_BANS
            ):
                self.excluded_ms[name] = at
        return set(self.excluded_ms) != before

    def summary(self) -> str:
        """The ids of the banned endpoints, as text for the operator."""
        return ", ".join(sorted(self.excluded_ms)) or "none"
