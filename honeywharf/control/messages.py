"""What members of the quorum register say to each other: typed messages, and one codec for all of them.

A request names the disk that it is for and the newest decided membership that its sender knows; an answer
tells the newest that its sender knows. Packed, a message is a list whose first item names its kind.
"""

from __future__ import annotations

from dataclasses import dataclass, fields
from typing import Any, ClassVar, NamedTuple

from honeywharf.control.mesh_state import Membership, MeshState, unpack_membership

MAX_COUNTER = 1 << 62


class Ballot(NamedTuple):
    """The number of one try to change the register; the highest counter wins, ties by proposer."""

    counter: int
    proposer: str
    incarnation: int

    @staticmethod
    def unpack(packed: Any) -> Ballot:
        """From a list of its fields. ValueError or TypeError where it is something else."""
        counter, proposer, incarnation = packed
        if not (
            isinstance(counter, int)
            and isinstance(proposer, str)
            and isinstance(incarnation, int)
            and 0 <= counter < MAX_COUNTER
        ):
            raise ValueError(f"found {packed!r}, wanted a ballot")
        return Ballot(counter, proposer, incarnation)


NO_BALLOT = Ballot(0, "", 0)


class Decided(NamedTuple):
    """A membership that is known to be in force. Epoch 0: none is known."""

    epoch: int
    members: Membership

    @staticmethod
    def unpack(packed: Any) -> Decided:
        """From a list of its fields. ValueError or TypeError where it is something else."""
        epoch, members = packed
        if not isinstance(epoch, int):
            raise TypeError(f"found {epoch!r}, wanted the number of an epoch")
        return Decided(epoch, unpack_membership(members))


@dataclass(frozen=True, slots=True)
class Prepare:
    """Asks for a promise to heed no lower ballot, and for what was accepted last."""

    KIND: ClassVar[str] = "prepare"
    disk: str
    decided: Decided
    ballot: Ballot


@dataclass(frozen=True, slots=True)
class Accept:
    """Asks to accept a state under a ballot."""

    KIND: ClassVar[str] = "accept"
    disk: str
    decided: Decided
    ballot: Ballot
    state: MeshState


@dataclass(frozen=True, slots=True)
class Read:
    """Asks for what was accepted last."""

    KIND: ClassVar[str] = "read"
    disk: str
    decided: Decided


@dataclass(frozen=True, slots=True)
class Promised:
    """No lower ballot will be heeded."""

    KIND: ClassVar[str] = "promised"
    decided: Decided
    ballot: Ballot
    accepted: Ballot
    state: MeshState | None


@dataclass(frozen=True, slots=True)
class Accepted:
    """The state is on disk."""

    KIND: ClassVar[str] = "accepted"
    decided: Decided
    ballot: Ballot


@dataclass(frozen=True, slots=True)
class Current:
    """What was accepted last, for a reader."""

    KIND: ClassVar[str] = "current"
    decided: Decided
    accepted: Ballot
    state: MeshState | None


@dataclass(frozen=True, slots=True)
class Rejected:
    """A higher ballot was promised."""

    KIND: ClassVar[str] = "rejected"
    decided: Decided
    ballot: Ballot
    promised: Ballot


@dataclass(frozen=True, slots=True)
class NewerMembership:
    """A newer membership is decided than the one asked under."""

    KIND: ClassVar[str] = "newer membership"
    decided: Decided


@dataclass(frozen=True, slots=True)
class OtherDisk:
    """The disk that was asked for is not here."""

    KIND: ClassVar[str] = "other disk"
    decided: Decided


@dataclass(frozen=True, slots=True)
class TextMissing:
    """The state can't be accepted before the configuration's text is here."""

    KIND: ClassVar[str] = "text missing"
    decided: Decided
    ballot: Ballot


Request = Prepare | Accept | Read
Answer = Promised | Accepted | Current | Rejected | NewerMembership | OtherDisk | TextMissing
KINDS = {
    kind.KIND: kind
    for kind in (
        Prepare,
        Accept,
        Read,
        Promised,
        Accepted,
        Current,
        Rejected,
        NewerMembership,
        OtherDisk,
        TextMissing,
    )
}
UNPACK: dict[str, Any] = {
    "decided": Decided.unpack,
    "ballot": Ballot.unpack,
    "accepted": Ballot.unpack,
    "promised": Ballot.unpack,
    "state": lambda packed: None if packed is None else MeshState.unpack(packed),
}


def pack(message: Request | Answer) -> list[Any]:
    """A message as msgpack holds it."""
    packed: list[Any] = [message.KIND]
    for field in fields(message):
        value = getattr(message, field.name)
        packed.append(value.pack() if isinstance(value, MeshState) else value)
    return packed


def unpack(packed: Any) -> Request | Answer:
    """From `pack`. ValueError, TypeError or LookupError where it is something else."""
    name, *values = packed
    kind = KINDS[name]
    names = [field.name for field in fields(kind)]
    if len(names) != len(values):
        raise ValueError(f"found {len(values)} fields, wanted the {len(names)} of {name}")
    read = [
        UNPACK[field](value) if field in UNPACK else value for field, value in zip(names, values, strict=True)
    ]
    made: Request | Answer = kind(*read)
    if isinstance(made, Prepare | Accept | Read) and not isinstance(made.disk, str):
        raise TypeError(f"found {made.disk!r}, wanted the name of a disk")
    return made


def unpack_request(packed: Any) -> Request:
    """A request; ValueError, TypeError or LookupError where it is something else."""
    message = unpack(packed)
    if isinstance(message, Prepare | Accept | Read):
        return message
    raise ValueError(f"found {message.KIND!r}, wanted prepare, accept or read")


def unpack_answer(packed: Any) -> Answer:
    """An answer; ValueError, TypeError or LookupError where it is something else."""
    message = unpack(packed)
    if isinstance(message, Prepare | Accept | Read):
        raise ValueError(f"found {message.KIND!r}, wanted an answer")
    return message


class Heartbeat(NamedTuple):
    """What a member or a joiner tells of itself, every beat.

    `epoch`: of the newest decided membership that it knows; `revision`: of the state in force that it knows,
    -1 for none; `accepted`: the ballot accepted last; `digest`: of that state's configuration where its text
    is on disk, else empty.
    """

    address: str
    disk: str
    epoch: int
    revision: int
    accepted: Ballot
    zone: str
    digest: str

    @property
    def key(self) -> tuple[str, str]:
        """Who it is."""
        return self.address, self.disk

    @staticmethod
    def unpack(packed: Any) -> Heartbeat:
        """From a list of its fields. ValueError or TypeError where it is something else."""
        address, disk, epoch, revision, accepted, zone, digest = packed
        if not all(isinstance(text, str) for text in (address, disk, zone, digest)):
            raise TypeError(f"found {packed!r}, wanted a heartbeat")
        return Heartbeat(address, disk, int(epoch), int(revision), Ballot.unpack(accepted), zone, digest)
