"""Which members are enough: a majority of each membership in question. No I/O."""

from __future__ import annotations

from collections.abc import Iterable

from honeywharf.control.mesh_state import Key, Membership, keys


class Quorums:
    """Memberships of which each must be covered by a majority."""

    __slots__ = ("memberships",)

    def __init__(self, memberships: Iterable[Membership]) -> None:
        self.memberships: list[list[Key]] = []
        for members in memberships:
            self.add(members)

    def add(self, members: Membership) -> bool:
        """Ask for one more; False where it is there already."""
        wanted = keys(members)
        if any(set(wanted) == set(one) for one in self.memberships):
            return False
        self.memberships.append(wanted)
        return True

    def members(self) -> list[Key]:
        """Everybody, once."""
        return list(dict.fromkeys(key for members in self.memberships for key in members))

    def covered(self, by: Iterable[Key]) -> bool:
        """Whether `by` has a majority of each."""
        there = set(by)
        return all(2 * sum(key in there for key in members) > len(members) for members in self.memberships)
