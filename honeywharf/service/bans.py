"""Endpoints that are out by an operator's word, and those that may be. Without I/O; times are Unix ms.

A ban is of an endpoint's id: it holds over every new start, address and list until it is taken back. An id
that no list has ever named can't be banned: a slip of the pen is told, not kept. Both tables are bounded:
bans by refusing a further one, ids ever listed by forgetting those that went first (a listed one is never
forgotten).
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

MOST = 4096  # bans at once
MAX_KNOWN = 16384  # ids that lists have named, beyond those that they name now
MAX_ID = 256  # characters of an id


class BanError(ValueError):
    """Why an endpoint is not taken out or back: what was found, and what is wanted."""


class Bans:
    """The bans of one proxy. `since`: when each was made."""

    def __init__(self) -> None:
        self.since: dict[str, float] = {}
        self.back: dict[str, float] = {}  # when each was let back, the first at the front; bounded by MOST
        self.listed: set[str] = set()
        self.gone: dict[str, None] = {}  # listed once, the one that went first at the front

    def saw(self, names: Iterable[str]) -> None:
        """A list has named all of these, and no others."""
        now = set(names)
        for name in self.listed - now:
            self.gone[name] = None
        for name in now & self.gone.keys():
            del self.gone[name]
        self.listed = now
        while len(self.gone) > MAX_KNOWN:
            del self.gone[next(iter(self.gone))]

    def remember(self, names: Iterable[str]) -> None:
        """These have been listed before, as another process of this proxy knows."""
        for name in names:
            if name not in self.listed:
                self.gone[name] = None
        while len(self.gone) > MAX_KNOWN:
            del self.gone[next(iter(self.gone))]

    def knows(self, name: str) -> bool:
        """Whether a list has ever named it, as far as is remembered."""
        return name in self.listed or name in self.gone or name in self.since

    def _asked(self, name: str) -> None:
        if not name or len(name) > MAX_ID:
            raise BanError(f"found an id of {len(name)} characters, wanted 1 to {MAX_ID}")
        if not self.knows(name):
            raise BanError(f"found {name!r}, which no list has named, wanted the id of a backend")

    def exclude(self, name: str, now_ms: float) -> bool:
        """Take an endpoint out; False where it is out already. `BanError`."""
        self._asked(name)
        if name in self.since:
            return False
        if len(self.since) >= MOST:
            raise BanError(f"found {MOST} backends out by hand, wanted fewer: include some first")
        self.since[name] = now_ms
        self.back.pop(name, None)
        return True

    def include(self, name: str, now_ms: float) -> bool:
        """Use an endpoint again; False where it was not out. One call ends the ban. `BanError`."""
        self._asked(name)
        if name not in self.since:
            return False
        self._let_back(name, now_ms)
        return True

    def _let_back(self, name: str, at_ms: float) -> None:
        if self.since.pop(name, None) is not None and name not in self.listed:
            self.gone[name] = None
        self.back.pop(name, None)
        self.back[name] = at_ms
        if len(self.back) > MOST:
            del self.back[next(iter(self.back))]

    def merge(self, out: Mapping[str, float], back: Mapping[str, float]) -> bool:
        """Take over what was said to another process: of each backend the later word holds.

        Whether the bans are others now. Those beyond the bound are left out.
        """
        before = set(self.since)
        for name, at in sorted(back.items(), key=lambda item: item[1]):
            if at >= max(self.since.get(name, -1.0), self.back.get(name, -1.0)):
                self._let_back(name, at)
        for name, at in sorted(out.items(), key=lambda item: item[1]):
            if at > max(self.since.get(name, -1.0), self.back.get(name, -1.0)) and (
                name in self.since or len(self.since) < MOST
            ):
                self.since[name] = at
        return set(self.since) != before

    def words(self) -> str:
        """Those that are out, for the operator."""
        return ", ".join(sorted(self.since)) or "none"
