"""Endpoints that are out by an operator's word, and those that may be. Without I/O; times are Unix ms.

A ban is of an endpoint's id: it holds over every new start, address and list until it is taken back. An id
that no list has ever named can't be banned: a slip of the pen is told, not kept. Both tables are bounded:
bans by refusing a further one, ids ever listed by forgetting those that went first (a listed one is never
forgotten)."""

from __future__ import annotations

from collections.abc import Iterable

MOST = 4096  # bans at once
MOST_KNOWN = 16384  # ids that lists have named, beyond those that they name now
MOST_ID = 256  # characters of an id


class BanError(ValueError):
    """Why an endpoint is not taken out or back: what was found, and what is wanted."""


class Bans:
    """The bans of one proxy. `since`: when each was made."""

    def __init__(self) -> None:
        self.since: dict[str, float] = {}
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
        while len(self.gone) > MOST_KNOWN:
            del self.gone[next(iter(self.gone))]

    def knows(self, name: str) -> bool:
        """Whether a list has ever named it, as far as is remembered."""
        return name in self.listed or name in self.gone or name in self.since

    def _asked(self, name: str) -> None:
        if not name or len(name) > MOST_ID:
            raise BanError(f"found an id of {len(name)} characters, wanted 1 to {MOST_ID}")
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
        return True

    def include(self, name: str) -> bool:
        """Use an endpoint again; False where it was not out. One call ends the ban. `BanError`."""
        self._asked(name)
        if name not in self.since:
            return False
        del self.since[name]
        if name not in self.listed:
            self.gone[name] = None
        return True

    def restore(self, since: dict[str, float]) -> None:
        """Take over another process's bans, in place of those held; those beyond the bound are left out."""
        kept = sorted(since.items(), key=lambda item: item[1])[:MOST]
        for name in self.since.keys() - {name for name, _ in kept} - self.listed:
            self.gone[name] = None
        self.since = dict(kept)

    def words(self) -> str:
        """Those that are out, for the operator."""
        return ", ".join(sorted(self.since)) or "none"
