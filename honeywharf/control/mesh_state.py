"""The mesh state: the one value that the register keeps, and the changes that may be made to it. No I/O.

A `MeshState` is never changed once made. A change is a function from a state to (the new state, or None where
nothing changes; an answer for who wanted it). The register may apply a change more than once, to different
states and to its own result, so a change must be idempotent: applied to its own result it changes nothing.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field, replace
from enum import Enum
from typing import Any, NamedTuple

from honeywharf.control.version_history import VersionHistory

MAX_MEMBERS = 15
MAX_ZONES = 256  # whose evacuation is remembered
NO_VERSION = -1  # before the first configuration
INITIAL_DISK = "first"  # the disk name of a seed at the first start of the whole system


class MemberId(NamedTuple):
    """What tells members apart: a machine whose disk was lost is another member at the same address.

    `address`: "ip:port"; `disk`: a name that is drawn when a disk is first used.
    """

    address: str
    disk: str


class Member(NamedTuple):
    """One entry of the membership. `address`: "ip:port"; `is_initial`: it joined at the first start."""

    address: str
    disk: str
    zone: str
    is_initial: bool

    @property
    def id(self) -> MemberId:
        """What tells it from other members."""
        return MemberId(self.address, self.disk)


Membership = tuple[Member, ...]


def unpack_membership(packed: Any) -> Membership:
    """Members as a message or a file holds them. TypeError or ValueError where they are something else."""
    return tuple(Member(*one) for one in packed)


@dataclass(frozen=True, slots=True)
class MeshState:
    """What a majority holds: the configuration by version and digest, evacuations, and the membership.

    `revision` is one more for each change, `epoch` one more for each change of the membership. `digest` names
    the configuration's text and is empty before the first. `evacuations` tells of each zone that was ever
    evacuated whether it is so now. `target_size`: the number of members after the first start, which later
    changes of the membership keep. `history`: which content was confirmed under which version, the one in
    force included.
    """

    revision: int
    version: int
    digest: str
    evacuations: Mapping[str, bool]
    members: Membership
    epoch: int
    target_size: int
    history: VersionHistory = field(default_factory=VersionHistory)

    def pack(self) -> dict[str, Any]:
        """As msgpack holds it, on disk and between members."""
        return {**self.pack_public(), "history": self.history.pack()}

    def pack_public(self) -> dict[str, Any]:
        """The same without the version history, for those who make no changes."""
        return {
            "rev": self.revision,
            "version": self.version,
            "digest": self.digest,
            "evac": dict(self.evacuations),
            "roster": [list(member) for member in self.members],
            "epoch": self.epoch,
            "wanted": self.target_size,
        }

    def without_history(self) -> MeshState:
        """A copy without the version history: for those who only read, and never to be changed."""
        return replace(self, history=VersionHistory())

    def with_changes(self, **fields: Any) -> MeshState:
        """A copy with other fields and the next revision."""
        return replace(self, revision=self.revision + 1, **fields)

    def with_members(self, members: Membership, target_size: int) -> MeshState:
        """A copy under another membership, of the next epoch."""
        return self.with_changes(members=members, epoch=self.epoch + 1, target_size=target_size)

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
    """The version history; of a state written before there was one, the version in force alone."""
    if "history" in packed:
        return VersionHistory.unpack(packed["history"])
    version = packed["version"]
    if version == NO_VERSION:
        return VersionHistory()
    return VersionHistory(floor=version - 1).add(version, packed["digest"])


Change = Callable[[MeshState], tuple[MeshState | None, Any]]


def member_ids(members: Membership) -> list[MemberId]:
    """Who is in a membership, in its order."""
    return [member.id for member in members]


def initial_membership(seeds: Sequence[str]) -> Membership:
    """The membership of the first start: the seeds, each with its first disk."""
    return tuple(Member(seed, INITIAL_DISK, "", True) for seed in seeds)


def initial_state(members: Membership) -> MeshState:
    """The state before the first change, under the membership of the first start."""
    return MeshState(0, NO_VERSION, "", {}, members, 1, len(members))


def no_change(state: MeshState) -> tuple[MeshState | None, Any]:
    """The change that changes nothing; a member that proposes it brings itself up to date."""
    return None, None


class Outcome(Enum):
    """What became of a request to replace the configuration."""

    IN_FORCE = "in force"  # from now on
    CONFIRMED = "confirmed"  # it was confirmed before, and is in force or was overtaken
    CONFLICT = "conflict"  # another content is confirmed under this version
    FORGOTTEN = "forgotten"  # it is older than what is remembered: nothing can be said of it


class Confirmation(NamedTuple):
    """The answer to `replace_configuration`.

    `digest`: of the content that was sent. `confirmed_digest`: of the content that the version was confirmed
    with; whole for the configuration in force, else its first digits (`version_history`).
    """

    outcome: Outcome
    version: int
    digest: str
    confirmed_digest: str


def replace_configuration(version: int, digest: str) -> Change:
    """Put a configuration in force where its version is the highest; answers a `Confirmation`.

    Each version is confirmed with one content: the first that the register takes for it, also where a higher
    version is in force already. Source: RULES, CONFIG.
    """

    def change(state: MeshState) -> tuple[MeshState | None, Confirmation]:
        def answer(outcome: Outcome, confirmed: str = digest) -> Confirmation:
            return Confirmation(outcome, version, digest, confirmed)

        history = state.history
        if version > state.version:
            made = state.with_changes(version=version, digest=digest, history=history.add(version, digest))
            return made, answer(Outcome.IN_FORCE)
        if version == state.version and digest != state.digest:
            return None, answer(Outcome.CONFLICT, state.digest)
        if history.is_forgotten(version):
            return None, answer(Outcome.FORGOTTEN, "")
        confirmed = history.confirmed_prefix(version)
        if not confirmed:
            return state.with_changes(history=history.add(version, digest)), answer(Outcome.CONFIRMED)
        if not history.has(version, digest):
            return None, answer(Outcome.CONFLICT, confirmed)
        return None, answer(Outcome.CONFIRMED)

    return change


def set_evacuation(zone: str, begin: bool) -> Change:
    """Begin or end the evacuation of a zone. Answers False where too many zones are remembered."""

    def change(state: MeshState) -> tuple[MeshState | None, bool]:
        if state.evacuations.get(zone, False) == begin:
            return None, True
        if zone not in state.evacuations and len(state.evacuations) >= MAX_ZONES:
            return None, False
        return state.with_changes(evacuations={**state.evacuations, zone: begin}), True

    return change


class Admission(Enum):
    """What became of a change of the membership."""

    MEMBER = "member"  # it is one, by this or before
    STANDBY = "standby"  # there is no place for it now
    BEHIND = "behind"  # it does not hold the newest configuration's text yet
    FULL = "full"  # there are as many members as there may be
    CHANGED = "changed"  # the membership is not the one that was judged by


def admit(joiner: Member, unreachable: Sequence[MemberId]) -> Change:
    """Make a machine a member. `unreachable`: members whose place it may take.

    Where its address is there with another disk, that entry is lost and the joiner takes its place. Where no
    place is free it stays a standby. Answers an `Admission`.
    """

    def change(state: MeshState) -> tuple[MeshState | None, Admission]:
        members = state.members
        if joiner.id in member_ids(members):
            return None, Admission.MEMBER
        index = _index_to_replace(state, joiner, unreachable)
        if index is not None:
            return state.with_members(_put(members, index, joiner), state.target_size), Admission.MEMBER
        if not joiner.is_initial and len(members) >= state.target_size:
            return None, Admission.STANDBY
        if len(members) >= MAX_MEMBERS:
            return None, Admission.FULL
        target_size = state.target_size + bool(joiner.is_initial)
        return state.with_members((*members, joiner), target_size), Admission.MEMBER

    return change


def hand_over(leaver: MemberId, standby: Member) -> Change:
    """Put a standby in the place of a member that leaves. Answers an `Admission`."""

    def change(state: MeshState) -> tuple[MeshState | None, Admission]:
        members = member_ids(state.members)
        if leaver not in members:
            return None, Admission.MEMBER
        if standby.id in members:
            return None, Admission.CHANGED
        made = _put(state.members, members.index(leaver), standby)
        return state.with_members(made, state.target_size), Admission.MEMBER

    return change


def require_text(change: Change, digest: str) -> Change:
    """A change that gives a vote only to a machine that holds the text of the newest configuration.

    `digest`: of the configuration whose text it holds.
    """

    def guarded(state: MeshState) -> tuple[MeshState | None, Any]:
        if state.digest and state.digest != digest:
            return None, Admission.BEHIND
        return change(state)

    return guarded


def _put(members: Membership, index: int, joiner: Member) -> Membership:
    return (*members[:index], joiner, *members[index + 1 :])


def _index_to_replace(state: MeshState, joiner: Member, unreachable: Sequence[MemberId]) -> int | None:
    """Whose place a joiner takes: that of its own lost disk, else an unreachable member, best of its zone."""
    members = state.members
    for index, member in enumerate(members):
        if member.address == joiner.address:
            return index
    if len(members) < state.target_size or joiner.is_initial:
        return None
    candidates = [index for index, member in enumerate(members) if member.id in unreachable]
    return min(candidates, key=lambda index: (members[index].zone != joiner.zone, index), default=None)


def remove_unreachable(unreachable: Sequence[MemberId]) -> Change:
    """Take one unreachable member out of a membership that is larger than its target size."""

    def change(state: MeshState) -> tuple[MeshState | None, bool]:
        removed = next((member for member in state.members if member.id in unreachable), None)
        if removed is None or len(state.members) <= state.target_size:
            return None, False
        rest = tuple(member for member in state.members if member is not removed)
        return state.with_members(rest, state.target_size), True

    return change


def fenced(change: Change, epoch: int, is_allowed: Callable[[], bool]) -> Change:
    """A change that is made only to the membership that it was judged by, while its proposer may make it."""

    def fence(state: MeshState) -> tuple[MeshState | None, Any]:
        return change(state) if state.epoch == epoch and is_allowed() else (None, Admission.CHANGED)

    return fence


def combine(changes: Sequence[Change]) -> Callable[[MeshState], tuple[MeshState | None, list[Any]]]:
    """Several changes as one, with an answer for each."""

    def change(state: MeshState) -> tuple[MeshState | None, list[Any]]:
        current, answers = state, []
        for one in changes:
            made, answer = one(current)
            current = current if made is None else made
            answers.append(answer)
        return (None if current is state else current), answers

    return change
