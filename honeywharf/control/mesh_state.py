"""The word: the one value that the register keeps, and the changes that may be made to it. No I/O.

A value is a plain mapping that msgpack holds, and is never changed once made:
    rev      int, one more for each change
    version  int, of the configuration; -1 before the first
    digest   str, the name of the configuration's text; "" before the first
    evac     zone -> whether it is evacuated
    roster   members: [address, disk, zone, first], `first`: it joined at the first start
    epoch    int, one more for each change of the roster
    wanted   int, members that there were after the first start
A change takes a value and gives (the new one, or None where nothing changes; an answer). It may be applied
more than once, to different values, and to its own result: what it does the second time is nothing.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any

Value = dict[str, Any]
Key = tuple[str, str]  # address, disk
Roster = list[list[Any]]
Change = Callable[[Value], tuple[Value | None, Any]]

MOST_MEMBERS = 15
MOST_ZONES = 256  # evacuations told apart


def member(address: str, disk: str, zone: str, first: bool) -> list[Any]:
    """One entry of a roster. `address` is "ip:port"."""
    return [address, disk, zone, first]


def keys(roster: Roster) -> list[Key]:
    """Who stands in a roster, in its order."""
    return [(one[0], one[1]) for one in roster]


def seeded(seeds: Sequence[str]) -> Roster:
    """The roster of the first start: the seeds, each with its first disk."""
    return [member(seed, "first", "", True) for seed in seeds]


def initial(roster: Roster) -> Value:
    """The value before the first change, under the roster of the first start."""
    value: Value = {"rev": 0, "version": -1, "digest": "", "evac": {}}
    return {**value, "roster": roster, "epoch": 1, "wanted": len(roster)}


def changed(value: Value, **fields: object) -> Value:
    """A copy with other fields and the next revision."""
    return {**value, **fields, "rev": value["rev"] + 1}


def same(value: Value) -> tuple[Value | None, Any]:
    """The change that changes nothing."""
    return None, None


def replace(version: int, digest: str) -> Change:
    """Take a configuration over where its version is above the one held; answers whether it was."""

    def change(value: Value) -> tuple[Value | None, Any]:
        if version <= value["version"]:
            return None, False
        return changed(value, version=version, digest=digest), True

    return change


def evacuate(zone: str, begin: bool) -> Change:
    """Begin or end the evacuation of a zone. Answers False where there are too many zones."""

    def change(value: Value) -> tuple[Value | None, Any]:
        evac: dict[str, bool] = value["evac"]
        if evac.get(zone, False) == begin:
            return None, True
        if zone not in evac and len(evac) >= MOST_ZONES:
            return None, False
        return changed(value, evac={**evac, zone: begin}), True

    return change


def _rostered(value: Value, roster: Roster, wanted: int) -> Value:
    return changed(value, roster=roster, epoch=value["epoch"] + 1, wanted=wanted)


def admit(joiner: list[Any], silent: Sequence[Key]) -> Change:
    """Take a machine into the roster. `silent`: members unheard for a second, whose place it may take.

    Where the roster holds its address with another disk, that entry is lost and the joiner takes its place.
    Answers False where the roster is full.
    """

    def change(value: Value) -> tuple[Value | None, Any]:
        roster: Roster = value["roster"]
        if (joiner[0], joiner[1]) in keys(roster):
            return None, True
        place = _place(value, joiner, silent)
        if place is not None:
            return _rostered(value, [*roster[:place], joiner, *roster[place + 1 :]], value["wanted"]), True
        if len(roster) >= MOST_MEMBERS:
            return None, False
        return _rostered(value, [*roster, joiner], value["wanted"] + bool(joiner[3])), True

    return change


def _place(value: Value, joiner: list[Any], silent: Sequence[Key]) -> int | None:
    """Where a joiner stands in place of another: its lost disk, else a silent member, best of its zone."""
    roster: Roster = value["roster"]
    for at, one in enumerate(roster):
        if one[0] == joiner[0]:
            return at
    if len(roster) < value["wanted"] or joiner[3]:
        return None
    places = [at for at, one in enumerate(roster) if (one[0], one[1]) in silent]
    return min(places, key=lambda at: (roster[at][2] != joiner[2], at), default=None)


def drop(silent: Sequence[Key]) -> Change:
    """Take one silent member out of a roster that is larger than wanted."""

    def change(value: Value) -> tuple[Value | None, Any]:
        roster: Roster = value["roster"]
        gone = [one for one in roster if (one[0], one[1]) in silent]
        if not gone or len(roster) <= value["wanted"]:
            return None, False
        return _rostered(value, [one for one in roster if one is not gone[0]], value["wanted"]), True

    return change


def fenced(change: Change, epoch: int, still: Callable[[], bool]) -> Change:
    """A change that is made only to the roster it was judged by, and while its maker may still make it."""

    def fence(value: Value) -> tuple[Value | None, Any]:
        return change(value) if value["epoch"] == epoch and still() else (None, False)

    return fence


def together(changes: Sequence[Change]) -> Callable[[Value], tuple[Value | None, list[Any]]]:
    """Several changes as one, with an answer for each."""

    def change(value: Value) -> tuple[Value | None, list[Any]]:
        now, answers = value, []
        for one in changes:
            made, answer = one(now)
            now = now if made is None else made
            answers.append(answer)
        return (None if now is value else now), answers

    return change
