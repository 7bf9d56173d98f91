"""The mesh state: the one value that the register keeps, and the changes that may be made to it. No I/O.

A `MeshState` is never changed once made. A change takes a state and gives (the new one, or None where nothing
changes; an answer). It may be applied more than once, to different states, and to its own result: what it
does the second time is nothing.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field, replace as copied
from enum import Enum
from typing import Any, NamedTuple

from honeywharf.control.version_history import VersionHistory

Key = tuple[str, str]  # a member's address and disk name

MAX_MEMBERS = 15
MAX_ZONES = 256  # evacuations told apart
NO_VERSION = -1  # before the first configuration


class Member(NamedTuple):
    """One entry of the membership. `address`: "ip:port"; `first`: it joined at the first start."""

    address: str
    disk: str
    zone: str
    first: bool

    @property
    def key(self) -> Key:
        """What tells it from other members: a machine whose disk was lost is another one."""
        return self.address, self.disk


Membership = tuple[Member, ...]


def unpack_membership(packed: Any) -> Membership:
    """Members as a message or a file holds them. TypeError or ValueError where they are something else."""
    return tuple(Member(*one) for one in packed)


@dataclass(frozen=True, slots=True)
class MeshState:
    """What a majority holds: the configuration by version and digest, evacuations, and the membership.

    `revision` is one more for each change, `epoch` one more for each change of the membership. `digest` names
    the configuration's text and is empty before the first. `evacuations` tells of each zone that was ever
    evacuated whether it is so now. `wanted`: members that there were after the first start. `history`: which
    content was confirmed under which version, the one in force included.
    """

    revision: int
    version: int
    digest: str
    evacuations: Mapping[str, bool]
    members: Membership
    epoch: int
    wanted: int
    history: VersionHistory = field(default_factory=VersionHistory)

    def pack(self) -> dict[str, Any]:
        """As msgpack holds it, on disk and between members."""
        return {**self.pack_public(), "history": self.history.pack()}

    def pack_public(self) -> dict[str, Any]:
        """The same without the memory of versions, for those who make no changes."""
        return {
            "rev": self.revision,
            "version": self.version,
            "digest": self.digest,
            "evac": dict(self.evacuations),
            "roster": [list(member) for member in self.members],
            "epoch": self.epoch,
            "wanted": self.wanted,
        }

    def without_history(self) -> MeshState:
        """A copy that remembers no versions: for those who only read, and never to be changed."""
        return copied(self, history=VersionHistory())

    @staticmethod
    def unpack(packed: Any) -> MeshState:
        """From `pack`. KeyError, TypeError or ValueError where it is something else."""
        return MeshState(
            packed["rev"],
            packed["version"],
            packed["digest"],
            packed["evac"],
            unpack_membership(packed["roster"]),
            packed["epoch"],
            packed["wanted"],
            _unpack_history(packed),
        )


def _unpack_history(packed: Any) -> VersionHistory:
    """The memory of versions; of a state written before there was one, the version in force alone."""
    if "history" in packed:
        return VersionHistory.unpack(packed["history"])
    version = packed["version"]
    if version == NO_VERSION:
        return VersionHistory()
    return VersionHistory(floor=version - 1).add(version, packed["digest"])


Change = Callable[[MeshState], tuple[MeshState | None, Any]]


def keys(members: Membership) -> list[Key]:
    """Who is in a membership, in its order."""
    return [member.key for member in members]


def seeded(seeds: Sequence[str]) -> Membership:
    """The membership of the first start: the seeds, each with its first disk."""
    return tuple(Member(seed, "first", "", True) for seed in seeds)


def initial(members: Membership) -> MeshState:
    """The state before the first change, under the membership of the first start."""
    return MeshState(0, NO_VERSION, "", {}, members, 1, len(members))


def changed(state: MeshState, **fields: Any) -> MeshState:
    """A copy with other fields and the next revision."""
    return copied(state, revision=state.revision + 1, **fields)


def same(state: MeshState) -> tuple[MeshState | None, Any]:
    """The change that changes nothing."""
    return None, None


class Outcome(Enum):
    """What became of an order to replace the configuration."""

    IN_FORCE = "in force"  # from now on
    CONFIRMED = "confirmed"  # it was confirmed before, and is in force or was overtaken
    CONFLICT = "conflict"  # another content is confirmed under this version
    FORGOTTEN = "forgotten"  # it is older than what is remembered: nothing can be said of it


class Confirmation(NamedTuple):
    """The answer to an order. `digest` is that of the order, `confirmed` what the version was confirmed with:
    the whole digest of the configuration in force, else its first digits.
    """

    outcome: Outcome
    version: int
    digest: str
    confirmed: str


def replace(version: int, digest: str) -> Change:
    """Take a configuration over where its version is the highest; answers a `Confirmation`.

    Each version is confirmed with one content: the first that the register takes for it, also where a higher
    version is in force already.
    """

    def change(state: MeshState) -> tuple[MeshState | None, Confirmation]:
        def answer(outcome: Outcome, confirmed: str = digest) -> Confirmation:
            return Confirmation(outcome, version, digest, confirmed)

        history = state.history
        if version > state.version:
            made = changed(state, version=version, digest=digest, history=history.add(version, digest))
            return made, answer(Outcome.IN_FORCE)
        if version == state.version and digest != state.digest:
            return None, answer(Outcome.CONFLICT, state.digest)
        if history.is_forgotten(version):
            return None, answer(Outcome.FORGOTTEN, "")
        if not history.mark(version):
            return changed(state, history=history.add(version, digest)), answer(Outcome.CONFIRMED)
        if not history.has(version, digest):
            return None, answer(Outcome.CONFLICT, history.mark(version))
        return None, answer(Outcome.CONFIRMED)

    return change


def evacuate(zone: str, begin: bool) -> Change:
    """Begin or end the evacuation of a zone. Answers False where there are too many zones."""

    def change(state: MeshState) -> tuple[MeshState | None, Any]:
        if state.evacuations.get(zone, False) == begin:
            return None, True
        if zone not in state.evacuations and len(state.evacuations) >= MAX_ZONES:
            return None, False
        return changed(state, evacuations={**state.evacuations, zone: begin}), True

    return change


def with_members(state: MeshState, members: Membership, wanted: int) -> MeshState:
    """The state under another membership, of the next epoch."""
    return changed(state, members=members, epoch=state.epoch + 1, wanted=wanted)


class Admission(Enum):
    """What became of a change of the membership."""

    MEMBER = "member"  # it is one, by this or before
    STANDBY = "standby"  # there is no place for it now
    BEHIND = "behind"  # it does not hold the newest configuration's text yet
    FULL = "full"  # there are as many members as there may be
    CHANGED = "changed"  # the membership is not the one that was judged by


def admit(joiner: Member, silent: Sequence[Key]) -> Change:
    """Take a machine into the membership. `silent`: members unheard for a second, whose place it may take.

    Where its address is there with another disk, that entry is lost and the joiner takes its place. Where no
    place is free it stays a standby. Answers an `Admission`.
    """

    def change(state: MeshState) -> tuple[MeshState | None, Admission]:
        members = state.members
        if joiner.key in keys(members):
            return None, Admission.MEMBER
        place = _place(state, joiner, silent)
        if place is not None:
            return with_members(state, _put(members, place, joiner), state.wanted), Admission.MEMBER
        if not joiner.first and len(members) >= state.wanted:
            return None, Admission.STANDBY
        if len(members) >= MAX_MEMBERS:
            return None, Admission.FULL
        wanted = state.wanted + bool(joiner.first)
        return with_members(state, (*members, joiner), wanted), Admission.MEMBER

    return change


def hand_over(leaver: Key, standby: Member) -> Change:
    """Put a standby in the place of a member that leaves. Answers an `Admission`."""

    def change(state: MeshState) -> tuple[MeshState | None, Admission]:
        members = keys(state.members)
        if leaver not in members:
            return None, Admission.MEMBER
        if standby.key in members:
            return None, Admission.CHANGED
        made = _put(state.members, members.index(leaver), standby)
        return with_members(state, made, state.wanted), Admission.MEMBER

    return change


def when_holding(change: Change, digest: str) -> Change:
    """A change that gives a vote only to a machine that holds the text of the newest configuration.

    `digest`: of the configuration whose text it holds.
    """

    def guarded(state: MeshState) -> tuple[MeshState | None, Any]:
        if state.digest and state.digest != digest:
            return None, Admission.BEHIND
        return change(state)

    return guarded


def _put(members: Membership, place: int, joiner: Member) -> Membership:
    return (*members[:place], joiner, *members[place + 1 :])


def _place(state: MeshState, joiner: Member, silent: Sequence[Key]) -> int | None:
    """Where a joiner stands in place of another: its lost disk, else a silent member, best of its zone."""
    members = state.members
    for at, member in enumerate(members):
        if member.address == joiner.address:
            return at
    if len(members) < state.wanted or joiner.first:
        return None
    places = [at for at, member in enumerate(members) if member.key in silent]
    return min(places, key=lambda at: (members[at].zone != joiner.zone, at), default=None)


def drop(silent: Sequence[Key]) -> Change:
    """Take one silent member out of a membership that is larger than wanted."""

    def change(state: MeshState) -> tuple[MeshState | None, Any]:
        gone = next((member for member in state.members if member.key in silent), None)
        if gone is None or len(state.members) <= state.wanted:
            return None, False
        rest = tuple(member for member in state.members if member is not gone)
        return with_members(state, rest, state.wanted), True

    return change


def fenced(change: Change, epoch: int, still: Callable[[], bool]) -> Change:
    """A change that is made only to the membership it was judged by, while its maker may still make it."""

    def fence(state: MeshState) -> tuple[MeshState | None, Any]:
        return change(state) if state.epoch == epoch and still() else (None, Admission.CHANGED)

    return fence


def together(changes: Sequence[Change]) -> Callable[[MeshState], tuple[MeshState | None, list[Any]]]:
    """Several changes as one, with an answer for each."""

    def change(state: MeshState) -> tuple[MeshState | None, list[Any]]:
        now, answers = state, []
        for one in changes:
            made, answer = one(now)
            now = now if made is None else made
            answers.append(answer)
        return (None if now is state else now), answers

    return change
