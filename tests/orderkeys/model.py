"""Model of what the scripts do to one key, as plain functions; test_scripts.py compares both."""

from __future__ import annotations

from typing import NamedTuple

Place = tuple[str, int, int]  # zone, cell, when


class Entry(NamedTuple):
    """One key. `place_final`: "1" if the place is that of an ended request, "L" if the lease expired."""

    state: str
    holder: str
    payload: str
    until: int
    keep: int
    place: Place | None = None
    place_final: str = ""
    digest: str = ""
    answer: str = ""


def lease_expired(e: Entry) -> Entry:
    return e._replace(state="U", place_final="L", until=e.until + e.keep)


def claim(
    e: Entry | None,
    now: int,
    payload: str,
    holder: str,
    lease: int,
    keep: int,
) -> tuple[Entry | None, tuple[object, ...]]:
    """Return the new entry, and the verdict with its data."""
    if e is not None and e.state == "R" and e.until <= now:
        e = lease_expired(e)
    if e is not None and e.state != "R" and e.until <= now:
        e = None
    if e is None:
        return Entry("R", holder, payload, now + lease, keep), ("run",)
    if e.payload != payload:
        return e, ("payload",)
    if e.state == "R":
        return e, ("join", e.until - now)
    if e.state == "D" and not e.digest:
        return e, ("answer", e.answer)
    e = e._replace(state="R", holder=holder, until=now + lease, keep=keep, place_final="1")
    if e.place is None:
        return e, ("run", e.digest)
    return e, ("run", e.digest, e.place[0], e.place[1], now - e.place[2] + 1)


def note(e: Entry | None, holder: str, place: Place) -> tuple[Entry | None, int]:
    """Return the new entry, and 1 if the holder still has the key."""
    if e is None or e.state != "R" or e.holder != holder:
        return e, 0
    return (e if e.place_final else e._replace(place=place)), 1


def end(
    e: Entry | None,
    now: int,
    holder: str,
    how: str,
    kept: str,
    place: Place | None,
    keep: int,
    payload: str,
) -> tuple[Entry | None, int]:
    """Return the new entry, and 1 if the holder still had the key, or if nobody had it."""
    if e is not None and e.state == "D" and e.holder == holder:
        return e, 1
    if e is not None and e.holder != holder:
        return e, 0
    if e is None:
        if how == "none" and place is None:
            return None, 1
        e = Entry("R", holder, payload, 0, keep)
    keep, place_final = max(keep, e.keep), e.place_final == "1"
    if how == "none" and place is None and not place_final:
        return None, 1
    state = "U" if how == "none" and not e.digest else "D"
    return e._replace(
        state=state,
        until=now + keep,
        keep=keep,
        place_final="1",
        place=place if place and not place_final else e.place,
        answer=kept if how == "answer" else e.answer,
        digest=kept if how == "digest" else e.digest,
    ), 1
