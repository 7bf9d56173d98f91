"""Messages between the members of the quorum register: one dataclass each, and one codec for all of them.

A request names the disk that it is for and the newest decided membership that its sender knows; an answer
tells the newest one that its sender knows. Packed, a message is a list: its kind, then its fields in order.
`KIND` and the order of the fields are on the wire between builds and never change.
"""

from __future__ import annotations

from dataclasses import dataclass, fields
from typing import Any, ClassVar, NamedTuple

from honeywharf.control.mesh_state import MemberId, Membership, MeshState, unpack_membership

MAX_COUNTER = 1 << 62


class ProposalNumber(NamedTuple):
    """The number of one attempt to change the register; the highest counter wins, ties by proposer.

    `proposer`: an address, "ip:port"; `incarnation`: drawn at the start of the proposer's process, so that no
    number is used twice.
    """

    counter: int
    proposer: str
    incarnation: int

    @staticmethod
    def unpack(packed: Any) -> ProposalNumber:
        """From a list of its fields. ValueError or TypeError where it is something else."""
        counter, proposer, incarnation = packed
        if not (
            isinstance(counter, int)
            and isinstance(proposer, str)
            and isinstance(incarnation, int)
            and 0 <= counter < MAX_COUNTER
        ):
            raise ValueError(f"found {packed!r}, wanted a proposal number")
        return ProposalNumber(counter, proposer, incarnation)


NO_PROPOSAL = ProposalNumber(0, "", 0)


class DecidedMembership(NamedTuple):
    """A membership that is known to be in force. Epoch 0: none is known."""

    epoch: int
    members: Membership

    @staticmethod
    def unpack(packed: Any) -> DecidedMembership:
        """From a list of its fields. ValueError or TypeError where it is something else."""
        epoch, members = packed
        if not isinstance(epoch, int):
            raise TypeError(f"found {epoch!r}, wanted the number of an epoch")
        return DecidedMembership(epoch, unpack_membership(members))


@dataclass(frozen=True, slots=True)
class Prepare:
    """From a proposer: promise to accept no lower number, and tell what was accepted last."""

    KIND: ClassVar[str] = "prepare"
    disk: str
    decided: DecidedMembership
    number: ProposalNumber


@dataclass(frozen=True, slots=True)
class Accept:
    """From a proposer that a majority has promised: accept this state under this number."""

    KIND: ClassVar[str] = "accept"
    disk: str
    decided: DecidedMembership
    number: ProposalNumber
    state: MeshState


@dataclass(frozen=True, slots=True)
class Read:
    """From a reader: tell what was accepted last."""

    KIND: ClassVar[str] = "read"
    disk: str
    decided: DecidedMembership


@dataclass(frozen=True, slots=True)
class Promised:
    """Answers `Prepare`: no lower number will be accepted. `accepted`, `state`: what was accepted last."""

    KIND: ClassVar[str] = "promised"
    decided: DecidedMembership
    number: ProposalNumber
    accepted: ProposalNumber
    state: MeshState | None


@dataclass(frozen=True, slots=True)
class Accepted:
    """Answers `Accept`: the state is synced to disk."""

    KIND: ClassVar[str] = "accepted"
    decided: DecidedMembership
    number: ProposalNumber


@dataclass(frozen=True, slots=True)
class CurrentValue:
    """Answers `Read`: what was accepted last, without its version history."""

    KIND: ClassVar[str] = "current"
    decided: DecidedMembership
    accepted: ProposalNumber
    state: MeshState | None


@dataclass(frozen=True, slots=True)
class Rejected:
    """Answers `Prepare` or `Accept` under `number`: a higher number was promised."""

    KIND: ClassVar[str] = "rejected"
    decided: DecidedMembership
    number: ProposalNumber
    promised: ProposalNumber


@dataclass(frozen=True, slots=True)
class NewerMembership:
    """Answers any request: a newer membership is decided than the one it was made under."""

    KIND: ClassVar[str] = "newer membership"
    decided: DecidedMembership


@dataclass(frozen=True, slots=True)
class DiskMismatch:
    """Answers any request: the disk that it is for is not here."""

    KIND: ClassVar[str] = "other disk"
    decided: DecidedMembership


@dataclass(frozen=True, slots=True)
class TextMissing:
    """Answers `Accept`: the state can't be accepted before the configuration's text is here."""

    KIND: ClassVar[str] = "text missing"
    decided: DecidedMembership
    number: ProposalNumber


Request = Prepare | Accept | Read
Answer = Promised | Accepted | CurrentValue | Rejected | NewerMembership | DiskMismatch | TextMissing
KINDS = {
    message.KIND: message
    for message in (
        Prepare,
        Accept,
        Read,
        Promised,
        Accepted,
        CurrentValue,
        Rejected,
        NewerMembership,
        DiskMismatch,
        TextMissing,
    )
}
#: How the value of a field is read, by the field's name; others are taken as they come.
FIELD_READERS: dict[str, Any] = {
    "decided": DecidedMembership.unpack,
    "number": ProposalNumber.unpack,
    "accepted": ProposalNumber.unpack,
    "promised": ProposalNumber.unpack,
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
    kind, *values = packed
    message_class = KINDS[kind]
    names = [field.name for field in fields(message_class)]
    if len(names) != len(values):
        raise ValueError(f"found {len(values)} fields, wanted the {len(names)} of {kind}")
    arguments = [
        FIELD_READERS[name](value) if name in FIELD_READERS else value
        for name, value in zip(names, values, strict=True)
    ]
    message: Request | Answer = message_class(*arguments)
    if isinstance(message, Prepare | Accept | Read) and not isinstance(message.disk, str):
        raise TypeError(f"found {message.disk!r}, wanted the name of a disk")
    return message


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
    """What a member, a standby or a joiner reports about itself in every heartbeat, and in its answer to one.

    `epoch`: of the newest decided membership that it knows; `revision`: of the committed state that it knows,
    -1 for none; `accepted`: the number accepted last; `digest`: of that state's configuration where its text
    is on disk, else empty.
    """

    address: str
    disk: str
    epoch: int
    revision: int
    accepted: ProposalNumber
    zone: str
    digest: str

    @property
    def sender(self) -> MemberId:
        """Who it is."""
        return MemberId(self.address, self.disk)

    @staticmethod
    def unpack(packed: Any) -> Heartbeat:
        """From a list of its fields. ValueError or TypeError where it is something else."""
        address, disk, epoch, revision, accepted, zone, digest = packed
        if not all(isinstance(text, str) for text in (address, disk, zone, digest)):
            raise TypeError(f"found {packed!r}, wanted a heartbeat")
        number = ProposalNumber.unpack(accepted)
        return Heartbeat(address, disk, int(epoch), int(revision), number, zone, digest)
