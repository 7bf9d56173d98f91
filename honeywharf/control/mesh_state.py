"""The mesh state: the one value that the register keeps, and its changes. There is no I/O.

A `MeshState` is immutable. A change is a function from a state to a pair: the new state, or None if nothing
changes, and an answer for the caller that requested it. The register may apply a change more than once, to
different states and to its own result, so a change must be idempotent: applied to its own result it changes
nothing.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field, replace
from enum import Enum
from typing import Any, NamedTuple

from honeywharf.control.version_history import VersionHistory

MAX_MEMBERS = 15
MAX_ZONES = 256  # The number of zones whose evacuation is stored is bounded.
NO_VERSION = -1  # The version before the first configuration.
NO_REVISION = -1  # Below the revision of the first state.
INITIAL_DISK = "first"  # The disk name of a seed at the first start of the system.


class MemberId(NamedTuple):
    """The identity of a member: a machine whose disk was lost is a different member at the same address.

    `address` is "ip:port"; `disk` is a name that is drawn when a disk is first used.
    """

    address: str
    disk: str


class Member(NamedTuple):
    """One entry of the membership. `address` is "ip:port"; `is_initial`: it joined at the first start."""

    address: str
    disk: str
    zone: str
    is_initial: bool

    @property
    def id(self) -> MemberId:
        """Returns the identity of this member."""
        return MemberId(self.address, self.disk)


Membership = tuple[Member, ...]


def unpack_membership(packed: Any) -> Membership:
    """Reads members from a message or a file. Raises TypeError or ValueError for anything else."""
    return tuple(Member(*fields) for fields in packed)


@dataclass(frozen=True, slots=True)
class MeshState:
    """The value of the register: the configuration by version and digest, evacuations, and the membership.

    `revision` grows by one with each change, `epoch` by one with each change of the membership. `digest`
    names the configuration's text and is empty before the first configuration. `evacuations` maps each zone
    that was ever evacuated to whether it is evacuated now. `target_size` is the number of members after the
    first start, which later changes of the membership maintain. `history` maps versions to the content that
    was confirmed under them, and includes the version in force.
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
        """Returns the form that msgpack encodes, on disk and between members."""
        return {**self.pack_public(), "history": self.history.pack()}

    def pack_public(self) -> dict[str, Any]:
        """Returns the result of `pack` without the version history, for readers that make no changes."""
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
        """Returns a copy without the version history, for readers only: no change may be applied to it."""
        return replace(self, history=VersionHistory())

    def with_changes(self, **fields: Any) -> MeshState:
        """Returns a copy with the given fields replaced and the next revision."""
        return replace(self, revision=self.revision + 1, **fields)

    def with_members(self, members: Membership, target_size: int) -> MeshState:
        """Returns a copy with another membership and the next epoch."""
        return self.with_changes(members=members, epoch=self.epoch + 1, target_size=target_size)

    @staticmethod
    def unpack(packed: Any) -> MeshState:
        """Reads the result of `pack`. Raises KeyError, TypeError or ValueError for anything else."""
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
    """Reads the version history; a state from an older build yields one with only the version in force."""
    if "history" in packed:
        return VersionHistory.unpack(packed["history"])
    version = packed["version"]
    if version == NO_VERSION:
        return VersionHistory()
    return VersionHistory(floor=version - 1).add(version, packed["digest"])


Change = Callable[[MeshState], tuple[MeshState | None, Any]]


def member_ids(members: Membership) -> list[MemberId]:
    """Returns the identities of the members, in the order of the membership."""
    return [member.id for member in members]


def initial_membership(seeds: Sequence[str]) -> Membership:
    """Returns the membership of the first start: the seeds, each with its first disk."""
    return tuple(Member(seed, INITIAL_DISK, "", True) for seed in seeds)


def initial_state(members: Membership) -> MeshState:
    """Returns the state before the first change, with the membership of the first start."""
    return MeshState(0, NO_VERSION, "", {}, members, 1, len(members))


def no_change(state: MeshState) -> tuple[MeshState | None, Any]:
    """Changes nothing; a member that proposes this change brings itself up to date."""
    return None, None


class Outcome(Enum):
    """The outcome of a request to replace the configuration."""

    IN_FORCE = "in force"  # The configuration is in force from now on.
    CONFIRMED = "confirmed"  # The configuration is confirmed; it is in force or a higher version is.
    CONFLICT = "conflict"  # Another content is confirmed under this version.
    FORGOTTEN = "forgotten"  # The version is older than the history: whether it was confirmed is unknown.


class Confirmation(NamedTuple):
    """The answer to `replace_configuration`.

    `digest` belongs to the content that was sent, `confirmed_digest` to the content that was confirmed under
    the version; the latter is complete for the configuration in force, else only its first digits
    (`version_history`).
    """

    outcome: Outcome
    version: int
    digest: str
    confirmed_digest: str


def replace_configuration(version: int, digest: str) -> Change:
    """Puts a configuration in force if its version is the highest; the change answers a `Confirmation`.

    Each version is confirmed with one content: the first that the register accepts for it, even if a higher
    version is in force already. Source: RULES, CONFIG.
    """

    def change(state: MeshState) -> tuple[MeshState | None, Confirmation]:
        def answer(outcome: Outcome, confirmed: str = digest) -> Confirmation:
            return Confirmation(outcome, version, digest, confirmed)

        history = state.history
        if version > state.version:
            replaced = state.with_changes(
                version=version, digest=digest, history=history.add(version, digest)
            )
            return replaced, answer(Outcome.IN_FORCE)
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


class EvacuationOutcome(Enum):
    """The outcome of an order to begin or end an evacuation."""

    IN_FORCE = "in force"
    SUPERSEDED = "superseded"  # The state has changed since the fence; the order has changed nothing.
    TOO_MANY_ZONES = "too many zones"


class EvacuationAnswer(NamedTuple):
    """The answer to `set_evacuation`; `revision` is that of the state that the order met or made."""

    outcome: EvacuationOutcome
    revision: int


def set_evacuation(zone: str, begin: bool, fence: int) -> Change:
    """Begins or ends the evacuation of a zone; the change answers an `EvacuationAnswer`.

    `fence` is a revision that was known to be committed before the caller was last seen waiting. A state with
    a higher revision may hold a newer order of the same operator, so it supersedes this order. Each order
    makes a revision, even if it leaves the zone as it is, so that it supersedes the orders before it.
    Source: RULES, EVAC.
    """

    def change(state: MeshState) -> tuple[MeshState | None, EvacuationAnswer]:
        if state.revision > fence:
            return None, EvacuationAnswer(EvacuationOutcome.SUPERSEDED, state.revision)
        if zone not in state.evacuations and len(state.evacuations) >= MAX_ZONES:
            return None, EvacuationAnswer(EvacuationOutcome.TOO_MANY_ZONES, state.revision)
        changed = state.with_changes(evacuations={**state.evacuations, zone: begin})
        return changed, EvacuationAnswer(EvacuationOutcome.IN_FORCE, changed.revision)

    return change


class Admission(Enum):
    """The outcome of a change of the membership. The values are names of counters for operators."""

    MEMBER = "admitted"  # The joiner is a member, by this change or an earlier one.
    STANDBY = "no-place"  # There is no free place now.
    FULL = "full"  # The membership has its maximum size.
    CHANGED = "superseded"  # The membership has changed since the change was requested.
    NOT_JOINED = "not-joined"  # The joiner did not accept its own admission in time.
    NO_LEASE = "no-lease"  # The change was not submitted: the lease was refused.
    NOT_COMMITTED = "not-committed"  # No majority accepted the change in time.
    NOT_DECIDED_HERE = "not-decided-here"  # This node is no member, or the joiner is one already.


def enlarges(members: Membership, joiner: Member) -> bool:
    """Returns whether a joiner of the first start enlarges the membership instead of taking a place.

    Once a member was replaced, which leaves a later one in its place, the first start is over: a joiner that
    claims to belong to it may have been a member before.
    """
    return joiner.is_initial and all(member.is_initial for member in members)


def admit(joiner: Member, unreachable: Sequence[MemberId]) -> Change:
    """Makes a machine a member; the change answers an `Admission`. `unreachable` members may be replaced.

    An entry with the joiner's address and another disk stands for a lost disk, and the joiner replaces it. If
    no place is free, the joiner stays a standby.
    """

    def change(state: MeshState) -> tuple[MeshState | None, Admission]:
        members = state.members
        if joiner.id in member_ids(members):
            return None, Admission.MEMBER
        index = _index_to_replace(state, joiner, unreachable)
        if index is not None:
            replaced = _replace_at(members, index, joiner._replace(is_initial=False))
            return state.with_members(replaced, state.target_size), Admission.MEMBER
        is_added = enlarges(members, joiner)
        if not is_added and len(members) >= state.target_size:
            return None, Admission.STANDBY
        if len(members) >= MAX_MEMBERS:
            return None, Admission.FULL
        return state.with_members((*members, joiner), state.target_size + is_added), Admission.MEMBER

    return change


def hand_over(leaver: MemberId, standby: Member) -> Change:
    """Replaces a member that leaves by a standby; the change answers an `Admission`."""

    def change(state: MeshState) -> tuple[MeshState | None, Admission]:
        members = member_ids(state.members)
        if leaver not in members:
            return None, Admission.MEMBER
        if standby.id in members:
            return None, Admission.CHANGED
        new_members = _replace_at(state.members, members.index(leaver), standby)
        return state.with_members(new_members, state.target_size), Admission.MEMBER

    return change


def _replace_at(members: Membership, index: int, joiner: Member) -> Membership:
    return (*members[:index], joiner, *members[index + 1 :])


def _index_to_replace(state: MeshState, joiner: Member, unreachable: Sequence[MemberId]) -> int | None:
    """Returns the index of the member that a joiner replaces, None if there is none.

    That is the joiner's own lost disk, else an unreachable member, preferably of the joiner's zone.
    """
    members = state.members
    for index, member in enumerate(members):
        if member.address == joiner.address:
            return index
    if len(members) < state.target_size or enlarges(members, joiner):
        return None
    candidates = [index for index, member in enumerate(members) if member.id in unreachable]
    return min(candidates, key=lambda index: (members[index].zone != joiner.zone, index), default=None)


def remove_unreachable(unreachable: Sequence[MemberId]) -> Change:
    """Removes one unreachable member from a membership that is larger than its target size."""

    def change(state: MeshState) -> tuple[MeshState | None, bool]:
        removed = next((member for member in state.members if member.id in unreachable), None)
        if removed is None or len(state.members) <= state.target_size:
            return None, False
        remaining = tuple(member for member in state.members if member is not removed)
        return state.with_members(remaining, state.target_size), True

    return change


def fenced(change: Change, epoch: int, is_allowed: Callable[[], bool] = lambda: True) -> Change:
    """Returns a change that applies only to the membership of `epoch`, and while `is_allowed()` is true."""

    def fence(state: MeshState) -> tuple[MeshState | None, Any]:
        return change(state) if state.epoch == epoch and is_allowed() else (None, Admission.CHANGED)

    return fence


def combine(changes: Sequence[Change]) -> Callable[[MeshState], tuple[MeshState | None, list[Any]]]:
    """Combines several changes into one, with an answer for each."""

    def change(state: MeshState) -> tuple[MeshState | None, list[Any]]:
        current, answers = state, []
        for step in changes:
            changed, answer = step(current)
            current = current if changed is None else changed
            answers.append(answer)
        return (None if current is state else current), answers

    return change
