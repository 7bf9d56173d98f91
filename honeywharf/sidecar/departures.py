"""Which backends have said that they leave: kept by other processes, so that a restart does not forget it.

Theory of operation. A sidecar has no disk, and a heartbeat may come seconds late: after a restart, a late one
of a backend that has left looks like any other. What tells them apart is the departure, which a backend
states once (it drains, or deregisters), with its place among its calls (`admission.departures`).

    statement    before it is acknowledged, a majority of the known control nodes records it (`Replication`);
                 gossip brings it to all processes, as an attribute of the sidecar's entry
    survival     every process keeps the departures of every machine, whatever the machine's later starts say;
                 control nodes keep them on their disks too (`DepartureStorage`), for a kill of all at once
    restart      who sees an entry that lacks a departure notifies the machine (`DepartureRegistry`), each
                 after another wait, as one is enough; the gate then rejects what the backend said earlier

A process that is notified late is not in touch before: it needs a path to the control nodes for `contact`,
and these notify it within `MAX_NOTIFY_DELAY_S`. Departures are merged by their highest sequence, so
repetition, order and origin do not matter. Source: RULES (DRAIN), NEWS-22 ("A beat may come seconds late").
"""

from __future__ import annotations

import zlib

from honeywharf import rpc_methods
from honeywharf.admission.departures import (
    ATTRIBUTE,
    MAX_DEPARTURES,
    merge_departures,
    pack_departures,
    unpack_departures,
)

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable, Mapping
    from typing import Any, Protocol

    from honeywharf.admission.departures import Departures
    from honeywharf.transport.host import Address, Host
    from honeywharf.transport.rpc_client import RpcClient
    from honeywharf.transport.rpc_server import Reply

    class GossipEntry(Protocol):
        """What a machine has published."""

        attributes: dict[str, Any] | None

    class DepartureStorage(Protocol):
        """Where a control node keeps departures. Each method raises OSError if the disk fails."""

        def load(self) -> object:
            """Returns the rows as they were saved, if nothing has damaged them."""

        def save(self, rows: list[DepartureRow]) -> None:
            """Writes the departures of all machines."""

    #: A machine and its packed departures.
    DepartureRow = tuple[str, list[list[int]]]

    class Membership(Protocol):
        """The view of all machines, as `gossip.membership.Membership` has it."""

        @property
        def local_node(self) -> str:
            """The IP address of this machine."""

        def entries(self) -> Mapping[str, GossipEntry]:
            """All entries by machine."""

        def is_alive(self, node: str) -> bool:
            """Whether a machine is known, has not left and is not marked down."""


MAX_MACHINES = 4096
MAX_NOTIFY_DELAY_S = 0.3  # the longest wait of a process before it notifies a machine
NOTIFY_TIMEOUT_S = 0.5
SAVE_DELAY_S = 0.5  # from a departure that gossip brings to its write, which takes others along
CONFIRM_TIMEOUT_S = 0.25  # a departure is acknowledged after this time even without a majority


def notify_delay_s(local_node: str, node: str) -> float:
    """Returns the seconds to wait before `node` is notified, which differ among the notifying processes."""
    return MAX_NOTIFY_DELAY_S * zlib.crc32(f"{local_node} {node}".encode()) / (1 << 32)


class DepartureRegistry:
    """The departures of all machines; notifies a machine of those that its own entry lacks."""

    def __init__(self, host: Host, rpc_client: RpcClient, port: int, membership: Membership) -> None:
        """`port` is the internal port of every machine."""
        self.host, self.rpc_client, self.port, self.membership = host, rpc_client, port, membership
        self.departures: dict[str, Departures] = {}  # by machine; the one that departed last is at the end
        self.storage: DepartureStorage | None = None  # a sidecar has none
        self.is_save_scheduled = False
        self.has_unsaved = False  # whether the storage lacks a departure
        self.scheduled: set[str] = set()  # machines that are to be notified
        self.notifications = 0

    def methods(self) -> dict[str, Callable[[object, Reply, Address], None]]:
        """Returns the RPC methods that sidecars call."""
        return {rpc_methods.RECORD_DEPARTURES: self._record_called}

    def use_storage(self, storage: DepartureStorage) -> None:
        """Takes the departures that a storage holds, and keeps departures there if it can be read."""
        try:
            stored = storage.load()
        except OSError as fault:
            self.host.log(f"departures: the disk fails: {fault}")
            return
        self.storage = storage
        for row in stored if isinstance(stored, list) else ():
            if isinstance(row, list) and len(row) == 2 and isinstance(row[0], str):
                self.record(row[0], unpack_departures(row[1]))
        self.has_unsaved = False

    def _record_called(self, args: object, reply: Reply, peer: Address) -> None:
        """Records departures under the machine that the caller names: it may call from another address."""
        if isinstance(args, list) and len(args) == 2 and isinstance(args[0], str):
            self.record(args[0], unpack_departures(args[1]))
            reply(self._save() or None)
        else:
            reply(None)

    def record(self, node: str, departures: Departures) -> None:
        """Keeps the departures of a machine; beyond `MAX_MACHINES` the oldest machine is forgotten."""
        if not departures:
            return
        known = self.departures.pop(node, {})
        self.has_unsaved |= merge_departures(known, departures)
        self.departures[node] = known
        if len(self.departures) > MAX_MACHINES:
            del self.departures[next(iter(self.departures))]

    def _save(self) -> bool:
        """Writes what the storage lacks, if there is one; returns whether it lacks nothing."""
        if self.storage is None or not self.has_unsaved:
            return True
        try:
            self.storage.save([(node, pack_departures(each)) for node, each in self.departures.items()])
        except OSError as fault:
            self.host.log(f"departures: the disk fails: {fault}")
            return False
        self.has_unsaved = False
        return True

    def _save_soon(self) -> None:
        """Schedules a write for departures that gossip has brought, which nobody waits for."""
        if self.storage is not None and self.has_unsaved and not self.is_save_scheduled:
            self.is_save_scheduled = True
            self.host.after(SAVE_DELAY_S, self._save_scheduled)

    def _save_scheduled(self) -> None:
        self.is_save_scheduled = False
        self._save()

    def entry_changed(self, node: str, entry: GossipEntry | None) -> None:
        """Handles a changed gossip entry of another machine; None where it was dropped."""
        if entry is None or entry.attributes is None:
            return
        self.record(node, unpack_departures(entry.attributes.get(ATTRIBUTE)))
        self._save_soon()
        if self._missing(node):
            self._notify_later(node, 0.0)

    def _missing(self, node: str) -> Departures:
        """Returns the departures that a machine's entry lacks; empty for one that is not alive."""
        known, entry = self.departures.get(node), self.membership.entries().get(node)
        if not known or entry is None or entry.attributes is None or not self.membership.is_alive(node):
            return {}
        published = unpack_departures(entry.attributes.get(ATTRIBUTE))
        if len(published) >= MAX_DEPARTURES:  # it has forgotten the others, as they are the oldest
            return {}
        return {key: sequence for key, sequence in known.items() if published.get(key, -1) < sequence}

    def _notify_later(self, node: str, delay_s: float) -> None:
        if node not in self.scheduled:
            self.scheduled.add(node)
            delay_s += notify_delay_s(self.membership.local_node, node)
            self.host.after(delay_s, lambda: self._notify(node))

    def _notify(self, node: str) -> None:
        missing = self._missing(node)
        if not missing:  # another process was faster, or the machine has left
            self.scheduled.discard(node)
            return
        self.notifications += 1
        self.rpc_client.call(
            (node, self.port),
            rpc_methods.DEPARTURES_MISSED,
            pack_departures(missing),
            NOTIFY_TIMEOUT_S,
            lambda reply: self._notified(node),
        )

    def _notified(self, node: str) -> None:
        """Looks again after a while: the call may have failed, and gossip needs a moment."""
        self.scheduled.discard(node)
        if self._missing(node):
            self._notify_later(node, NOTIFY_TIMEOUT_S)


class Replication:
    """Has departures of this machine recorded by control nodes before they are acknowledged.

    `node` is this machine's IP address. `control_nodes()` returns the addresses of the known control nodes.
    """

    def __init__(
        self, host: Host, rpc_client: RpcClient, node: str, control_nodes: Callable[[], list[Address]]
    ) -> None:
        self.host, self.rpc_client, self.node, self.control_nodes = host, rpc_client, node, control_nodes
        self.recorded: Departures = {}  # by a majority
        self.unconfirmed = 0  # departures acknowledged without a majority

    def record(self, departures: Departures, done: Callable[[], None]) -> None:
        """Calls `done` once a majority has recorded the departures, or after `CONFIRM_TIMEOUT_S`."""
        control_nodes = self.control_nodes()
        is_new = any(self.recorded.get(key, -1) < sequence for key, sequence in departures.items())
        if not is_new or not control_nodes:
            done()
            return
        _Recording(self, dict(departures), len(control_nodes) // 2 + 1, len(control_nodes), done).send(
            control_nodes
        )


class _Recording:
    """One round of `Replication`."""

    def __init__(
        self,
        replication: Replication,
        departures: Departures,
        needed: int,
        pending: int,
        done: Callable[[], None],
    ) -> None:
        self.replication, self.departures, self.done = replication, departures, done
        self.needed, self.pending = needed, pending
        self.is_over = False

    def send(self, control_nodes: list[Address]) -> None:
        """Calls all control nodes."""
        args = [self.replication.node, pack_departures(self.departures)]
        for control_node in control_nodes:
            self.replication.rpc_client.call(
                control_node, rpc_methods.RECORD_DEPARTURES, args, CONFIRM_TIMEOUT_S, self._answered
            )

    def _answered(self, reply: object) -> None:
        self.pending -= 1
        self.needed -= reply is True
        if self.is_over or (self.needed > 0 and self.pending > 0):
            return
        self.is_over = True
        if self.needed > 0:
            self.replication.unconfirmed += 1
            self.replication.host.log("a departure is acknowledged that no majority has recorded")
        else:
            merge_departures(self.replication.recorded, self.departures)
        self.done()
