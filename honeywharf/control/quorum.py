"""Decides whether a set of members is a quorum: a majority of each required membership. There is no I/O."""

from __future__ import annotations

from collections.abc import Iterable

from honeywharf.control.mesh_state import MemberId, Membership, member_ids


class Quorums:
    """A set of memberships; a quorum contains a majority of each."""

    __slots__ = ("memberships",)

    def __init__(self, memberships: Iterable[Membership]) -> None:
        self.memberships: list[list[MemberId]] = []
        for members in memberships:
            self.add(members)

    def add(self, members: Membership) -> bool:
        """Requires one more membership; returns False if it is required already."""
        added = member_ids(members)
        if any(set(added) == set(required) for required in self.memberships):
            return False
        self.memberships.append(added)
        return True

    def members(self) -> list[MemberId]:
        """Returns the members of all memberships, each once."""
        return list(dict.fromkeys(member for members in self.memberships for member in members))

    def covered(self, by: Iterable[MemberId]) -> bool:
        """Returns whether `by` contains a majority of each membership."""
        present = set(by)
        return all(
            2 * sum(member in present for member in members) > len(members) for members in self.memberships
        )
