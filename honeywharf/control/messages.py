"""Messages between the members of the quorum register: one dataclass for each, and one codec for all.

A request names the disk that it is meant for and the newest decided membership that its sender knows; an
answer names the newest decided membership that its own sender knows. A packed message is a list: its kind,
then its fields in order. `KIND` and the order of the fields are part of the protocol between builds and never
change.
"""

from __future__ import annotations

from dataclasses import dataclass, fields
from typing import Any, ClassVar, NamedTuple

from honeywharf.control.mesh_state import MemberId, Membership, MeshState, unpack_membership

MAX_COUNTER = 1 << 62


class ProposalNumber(NamedTuple):
    """The number of one attempt to change the register; the highest counter wins, the proposer breaks ties.

    `proposer` is an address, "ip:port"; `incarnation` is drawn at the start of the proposer's process, so
    that no number is used twice.
    """

    counter: int
    proposer: str
    incarnation: int

    @staticmethod
    def unpack(packed: Any) -> ProposalNumber:
        """Reads a list of the fields. Raises ValueError or TypeError for anything else."""
        counter, proposer, incarnation = packed
        if not (
            isinstance(counter, int)
            and isinstance(proposer, str)
            and isinstance(incarnation, int)
            and 0 <= counter < MAX_COUNTER
        ):
            raise ValueError(f"proposal number: expected [counter, proposer, incarnation], got {packed!r}")
        return ProposalNumber(counter, proposer, incarnation)


NO_PROPOSAL = ProposalNumber(0, "", 0)


class DecidedMembership(NamedTuple):
    """A membership that is known to be in force. Epoch 0 stands for an unknown one."""

    epoch: int
    members: Membership

    @staticmethod
    def unpack(packed: Any) -> DecidedMembership:
        """Reads a list of the fields. Raises ValueError or TypeError for anything else."""
        epoch, members = packed
        if not isinstance(epoch, int):
            raise TypeError(f"epoch: expected an integer, got {epoch!r}")
        return DecidedMembership(epoch, unpack_membership(members))


@dataclass(frozen=True, slots=True)
class Prepare:
    """A proposer's request to promise to accept no lower number, and to report the value accepted last."""

    KIND: ClassVar[str] = "prepare"
    disk: str
    decided: DecidedMembership
    number: ProposalNumber


@dataclass(frozen=True, slots=True)
class Accept:
    """A proposer's request to accept this state under this number, after a quorum has promised."""

    KIND: ClassVar[str] = "accept"
    disk: str
    decided: DecidedMembership
    number: ProposalNumber
    state: MeshState


@dataclass(frozen=True, slots=True)
class Read:
    """A reader's request for the value accepted last."""

    KIND: ClassVar[str] = "read"
    disk: str
    decided: DecidedMembership


@dataclass(frozen=True, slots=True)
class Promised:
    """Answers `Prepare`: no lower number will be accepted; `state` was accepted last, under `accepted`."""

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
    """Answers `Read`: `state` was accepted last, under `accepted`; it comes without its version history."""

    KIND: ClassVar[str] = "current"
    decided: DecidedMembership
    accepted: ProposalNumber
    state: MeshState | None


@dataclass(frozen=True, slots=True)
class Rejected:
    """Answers `Prepare` or `Accept` with `number`: the higher number `promised` was promised before."""

    KIND: ClassVar[str] = "rejected"
    decided: DecidedMembership
    number: ProposalNumber
    promised: ProposalNumber


@dataclass(frozen=True, slots=True)
class NewerMembership:
    """Answers any request: a newer membership is decided than the one that the request names."""

    KIND: ClassVar[str] = "newer membership"
    decided: DecidedMembership


@dataclass(frozen=True, slots=True)
class DiskMismatch:
    """Answers any request: this machine does not vote with the disk that the request is meant for."""

    KIND: ClassVar[str] = "other disk"
    decided: DecidedMembership


@dataclass(frozen=True, slots=True)
class TextMissing:
    """Answers `Accept`: the state can't be accepted before the acceptor has the configuration's text."""

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
#: The decoder of a field by the field's name; other fields need none.
FIELD_DECODERS: dict[str, Any] = {
    "decided": DecidedMembership.unpack,
    "number": ProposalNumber.unpack,
    "accepted": ProposalNumber.unpack,
    "promised": ProposalNumber.unpack,
    "state": lambda packed: None if packed is None else MeshState.unpack(packed),
}


def pack(message: Request | Answer) -> list[Any]:
    """Returns a message in the form that msgpack encodes."""
    packed: list[Any] = [message.KIND]
    for field in fields(message):
        value = getattr(message, field.name)
        packed.append(value.pack() if isinstance(value, MeshState) else value)
    return packed


def unpack(packed: Any) -> Request | Answer:
    """Reads the result of `pack`. Raises ValueError, TypeError or LookupError for anything else."""
    kind, *values = packed
    message_class = KINDS[kind]
    names = [field.name for field in fields(message_class)]
    if len(names) != len(values):
        raise ValueError(f"{kind}: expected {len(names)} fields, got {len(values)}")
    arguments = [
        FIELD_DECODERS[name](value) if name in FIELD_DECODERS else value
        for name, value in zip(names, values, strict=True)
    ]
    message: Request | Answer = message_class(*arguments)
    if isinstance(message, Prepare | Accept | Read) and not isinstance(message.disk, str):
        raise TypeError(f"disk: expected a name, got {message.disk!r}")
    return message


def unpack_request(packed: Any) -> Request:
    """Reads a request. Raises ValueError, TypeError or LookupError for anything else."""
    message = unpack(packed)
    if isinstance(message, Prepare | Accept | Read):
        return message
    raise ValueError(f"message kind: expected prepare, accept or read, got {message.KIND!r}")


def unpack_answer(packed: Any) -> Answer:
    """Reads an answer. Raises ValueError, TypeError or LookupError for anything else."""
    message = unpack(packed)
    if isinstance(message, Prepare | Accept | Read):
        raise ValueError(f"message kind: expected an answer, got {message.KIND!r}")
    return message


class Heartbeat(NamedTuple):
    """The report of a member, a standby or a joiner about itself, sent in every heartbeat and in its answer.

    `epoch` is that of the newest decided membership that the sender knows; `revision` that of the newest
    committed state that it knows, -1 for none; `accepted` is the number that it accepted last; `digest` names
    the configuration of the known state if its text is on disk, else it is empty.
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
        """Returns the identity of the sender."""
        return MemberId(self.address, self.disk)

    @staticmethod
    def unpack(packed: Any) -> Heartbeat:
        """Reads a list of the fields. Raises ValueError or TypeError for anything else."""
        address, disk, epoch, revision, accepted, zone, digest = packed
        if not all(isinstance(text, str) for text in (address, disk, zone, digest)):
            raise TypeError(f"heartbeat: expected texts for address, disk, zone and digest, got {packed!r}")
        number = ProposalNumber.unpack(accepted)
        return Heartbeat(address, disk, int(epoch), int(revision), number, zone, digest)
