"""One example of each message and stored value that has a class in the code.

`write_golden` wrote the bytes of these examples with the build of 3af6ad9; the tests build them again, and
read the old bytes with the current code.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple

import msgpack  # type: ignore[import-untyped]

from honeywharf.control import backup as control_backup, messages
from honeywharf.control.acceptor import AcceptorState
from honeywharf.control.mesh_state import Member, MeshState
from honeywharf.control.messages import DecidedMembership, Heartbeat, ProposalNumber
from honeywharf.control.store import decode_register, encode_register
from honeywharf.control.version_history import MAX_VERSIONS, VersionHistory
from honeywharf.failure_detector.detector import FailureDetector
from honeywharf.gossip import entry as gossip_entry
from honeywharf.gossip.entry import Entry
from honeywharf.handover import frames as handover_frames
from honeywharf.handover.frames import Kind
from honeywharf.mesh_config.configuration import digest
from honeywharf.transport import framing
from honeywharf.transport.stream import ForwardedRequest

ADDRESSES = ("10.0.0.1:7620", "10.0.0.2:7620", "10.0.0.3:7620")
MEMBERS = tuple(
    Member(address, "first" if zone != "c" else "5eed", zone, zone != "c")
    for address, zone in zip(ADDRESSES, "abc", strict=True)
)
TEXT = b'{"version": "r9", "routes": []}'
NUMBER, EARLIER = ProposalNumber(12, ADDRESSES[0], 281474976710655), ProposalNumber(11, ADDRESSES[1], 7)
DECIDED = DecidedMembership(3, MEMBERS)


def full_history() -> VersionHistory:
    """Returns a full version history with a floor."""
    records = b"".join(
        version.to_bytes(8, "big") + b"%016x" % (version * 0x9E3779B97F4A7C15 % (1 << 64))
        for version in range(1000, 1000 + MAX_VERSIONS)
    )
    return VersionHistory(records, 999)


def mesh_state(history: VersionHistory | None = None) -> MeshState:
    """Returns a state after some changes."""
    short = VersionHistory().add(7, "a" * 32).add(9, digest(TEXT))
    return MeshState(21, 9, digest(TEXT), {"a": True, "b": False}, MEMBERS, 3, 3, history or short)


def acceptor_state(history: VersionHistory | None = None) -> AcceptorState:
    """Returns the durable state of one member."""
    return AcceptorState("first", 3, MEMBERS, NUMBER, NUMBER, mesh_state(history))


REGISTER_MESSAGES: dict[str, messages.Request | messages.Answer] = {
    "register prepare": messages.Prepare("first", DECIDED, NUMBER),
    "register accept": messages.Accept("first", DECIDED, NUMBER, mesh_state()),
    "register read": messages.Read("5eed", DECIDED),
    "register promised": messages.Promised(DECIDED, NUMBER, EARLIER, mesh_state()),
    "register promised, nothing accepted": messages.Promised(DECIDED, NUMBER, messages.NO_PROPOSAL, None),
    "register accepted": messages.Accepted(DECIDED, NUMBER),
    "register current": messages.CurrentValue(DECIDED, NUMBER, mesh_state().without_history()),
    "register rejected": messages.Rejected(DECIDED, EARLIER, NUMBER),
    "register newer membership": messages.NewerMembership(DECIDED),
    "register other disk": messages.DiskMismatch(DECIDED),
    "register text missing": messages.TextMissing(DECIDED, NUMBER),
}
HEARTBEAT = Heartbeat(ADDRESSES[1], "first", 3, 21, NUMBER, "b", digest(TEXT))
REQUEST = ForwardedRequest(
    service="tile-vault",
    attempt_id=b"0123456789abcdef",
    kind=1,
    remaining_s=1.5,
    max_queue_wait_s=0.25,
    priority=3,
    latency_target_s=0.125,
    caller="10.1.0.8/4711",
    method=b"POST",
    target=b"/tiles/7?z=1",
    fields=b"Host: maps.example\r\n",
    length=-1,
    revision=21,
    rule=b"12345678",
)


def node_entry() -> Entry:
    """Returns the gossip entry of a node."""
    return Entry(0x0A000001, 1700000000123, 42, "a", {"core": True, "disk": "first", "rev": 21})


def tombstone() -> Entry:
    """Returns the gossip entry of a node that has left."""
    return Entry(0x0A000002, 1700000000124, 43, "b", None)


def failure_detector_heartbeat() -> bytes:
    """Returns a heartbeat of a node with a known revision."""
    detector = FailureDetector("10.0.0.1", "a", {})
    detector.revision = 70000
    return detector.heartbeat()


def backup() -> bytes:
    """Returns a backup file with the state and its text."""
    return control_backup.Backup(3, 12, mesh_state(), TEXT).pack()


class Golden(NamedTuple):
    """`build` returns the current bytes; `rewrite` reads old bytes and writes the result again."""

    build: Callable[[], bytes]
    rewrite: Callable[[bytes], bytes]


def _packed(message: messages.Request | messages.Answer) -> bytes:
    return framing.encode_frame(messages.pack(message))


def _unframed(data: bytes) -> Any:
    (body,) = framing.FrameReader().feed(data)
    return body


def _rewrite_register(data: bytes) -> bytes:
    return _packed(messages.unpack(_unframed(data)))


def _rewrite_entries(data: bytes) -> bytes:
    kind, body = data[:1], data[1:]
    entries = [gossip_entry.unpack_entry(value) for value in msgpack.unpackb(body)]
    (datagram,) = gossip_entry.pack_datagrams(kind, [entry.pack(hops) for entry, hops in entries], 1)
    return datagram


def _entries_datagram(kind: bytes) -> bytes:
    (datagram,) = gossip_entry.pack_datagrams(kind, [node_entry().pack(0), tombstone().pack(2)], 1)
    return datagram


def _pairs_rewritten(data: bytes) -> bytes:
    return b"".join(
        key.to_bytes(4, "big") + stamp.to_bytes(4, "big")
        for key, stamp in gossip_entry.unpack_stamps(data).items()
    )


def _register_file(data: bytes) -> bytes:
    state = decode_register(data)
    assert state is not None
    return encode_register(state)


def _handover_frame(data: bytes) -> bytes:
    kind, value = handover_frames.decode(data)
    return b"".join(handover_frames.encode(kind, value))


GOLDEN: dict[str, Golden] = {
    **{
        name: Golden(lambda message=message: _packed(message), _rewrite_register)  # type: ignore[misc]
        for name, message in REGISTER_MESSAGES.items()
    },
    "control heartbeat": Golden(
        lambda: framing.encode_frame(HEARTBEAT),
        lambda data: framing.encode_frame(Heartbeat.unpack(_unframed(data))),
    ),
    "public mesh state": Golden(
        lambda: framing.encode_frame(mesh_state().pack_public()),
        lambda data: framing.encode_frame(MeshState.unpack(_unframed(data)).pack_public()),
    ),
    "gossip rumour": Golden(lambda: _entries_datagram(gossip_entry.RUMOUR), _rewrite_entries),
    "gossip hello": Golden(lambda: _entries_datagram(gossip_entry.HELLO), _rewrite_entries),
    "gossip digest pairs": Golden(
        lambda: gossip_entry.pack_stamps([node_entry(), tombstone()]), _pairs_rewritten
    ),
    "failure detector heartbeat": Golden(failure_detector_heartbeat, lambda data: data),
    "stream open": Golden(
        lambda: REQUEST.pack(5),
        lambda data: ForwardedRequest.unpack(_unframed(data)).pack(_unframed(data)[1]),
    ),
    "file register": Golden(lambda: encode_register(acceptor_state()), _register_file),
    "file register, full history": Golden(
        lambda: encode_register(acceptor_state(full_history())), _register_file
    ),
    "file register, empty": Golden(lambda: encode_register(AcceptorState("5eed")), _register_file),
    "file backup": Golden(backup, lambda data: control_backup.Backup.unpack(data).pack()),
    **{
        f"handover {kind.name.lower()}": Golden(
            lambda kind=kind: b"".join(  # type: ignore[misc]
                handover_frames.encode(kind, {"out": {"s-1": 17.0}, "evacuated": False})
            ),
            _handover_frame,
        )
        for kind in Kind
    },
}
