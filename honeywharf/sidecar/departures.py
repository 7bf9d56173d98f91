"""Which backends have said that they leave: kept by other processes, so that a restart does not forget it.

Theory of operation. A sidecar has no disk, and a heartbeat may come seconds late: after a restart, a late one
of a backend that has left looks like any other. What tells them apart is the departure, which a backend
states once (it drains, or deregisters), with its place among its calls (`admission.departures`).

    statement    before it is acknowledged, a majority of the known control nodes records it (`Replication`);
                 gossip brings it to all processes, as an attribute of the sidecar's entry
    survival     every process keeps the departures of every machine, whatever the machine's later starts say
    restart      who sees an entry that lacks a departure tells the machine (`DepartureKeeper`), after a
                 random wait, as one is enough; the gate then rejects earlier statements of that backend

A process that is told late is not in touch before: it needs a path to the control nodes for `contact`, and
these tell it within `MAX_TELL_DELAY_S`. Departures are merged by their highest sequence, so repetition, order
and origin do not matter. Source: RULES (DRAIN), NEWS-22 ("A beat may come seconds late").
"""

from __future__ import annotations

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
    from collections.abc import Callable
    from typing import Any

    from honeywharf.admission.departures import Departures
    from honeywharf.transport.host import Address, Host
    from honeywharf.transport.rpc_client import RpcClient
    from honeywharf.transport.rpc_server import Reply

MAX_MACHINES = 4096
MAX_TELL_DELAY_S = 0.3  # the longest random wait before a machine is told
TELL_TIMEOUT_S = 0.5
CONFIRM_TIMEOUT_S = 0.25  # a departure is acknowledged after this time even without a majority


class DepartureKeeper:
    """Keeps the departures of all machines, and tells a machine what its own entry lacks.

    `published(node)` returns the gossip attributes of a live machine, None for any other.
    """

    def __init__(
        self,
        host: Host,
        rpc_client: RpcClient,
        port: int,
        published: Callable[[str], dict[str, Any] | None],
        draw: Callable[[], float],
    ) -> None:
        self.host, self.rpc_client, self.port = host, rpc_client, port
        self.published, self.draw = published, draw
        self.departures: dict[str, Departures] = {}  # by machine
        self.telling: set[str] = set()  # machines that are to be told
        self.told = 0

    def methods(self) -> dict[str, Callable[[Any, Reply, Address], None]]:
        """Returns the RPC methods that sidecars call."""
        return {rpc_methods.RECORD_DEPARTURES: self._record_called}

    def _record_called(self, args: Any, reply: Reply, peer: Address) -> None:
        self.record(peer[0], unpack_departures(args))
        reply(True)

    def record(self, node: str, departures: Departures) -> None:
        """Keeps the departures of a machine."""
        if departures and (node in self.departures or len(self.departures) < MAX_MACHINES):
            merge_departures(self.departures.setdefault(node, {}), departures)

    def entry_changed(self, node: str, attributes: dict[str, Any] | None) -> None:
        """Handles a changed gossip entry of another machine."""
        if attributes is None:
            return
        if ATTRIBUTE in attributes:
            self.record(node, unpack_departures(attributes[ATTRIBUTE]))
        if self._missing(node):
            self._tell_later(node, 0.0)

    def _missing(self, node: str) -> Departures:
        """Returns the departures that a machine's entry lacks; empty for one that is not alive."""
        known, attributes = self.departures.get(node), self.published(node)
        if not known or attributes is None or "s" not in attributes:
            return {}
        published = unpack_departures(attributes.get(ATTRIBUTE))
        if len(published) >= MAX_DEPARTURES:  # it has forgotten the others, as they are the oldest
            return {}
        return {key: sequence for key, sequence in known.items() if published.get(key, -1) < sequence}

    def _tell_later(self, node: str, delay_s: float) -> None:
        if node not in self.telling:
            self.telling.add(node)
            self.host.after(delay_s + self.draw() * MAX_TELL_DELAY_S, lambda: self._tell(node))

    def _tell(self, node: str) -> None:
        missing = self._missing(node)
        if not missing:  # another process has told it, or it has left
            self.telling.discard(node)
            return
        self.told += 1
        self.rpc_client.call(
            (node, self.port),
            rpc_methods.DEPARTED,
            pack_departures(missing),
            TELL_TIMEOUT_S,
            lambda reply: self._answered(node),
        )

    def _answered(self, node: str) -> None:
        """Looks again after a while: the call may have failed, and gossip needs a moment."""
        self.telling.discard(node)
        if self._missing(node):
            self._tell_later(node, TELL_TIMEOUT_S)


class Replication:
    """Has departures of this machine recorded by control nodes before they are acknowledged.

    `control_nodes()` returns the addresses of the known control nodes.
    """

    def __init__(self, host: Host, rpc_client: RpcClient, control_nodes: Callable[[], list[Address]]) -> None:
        self.host, self.rpc_client, self.control_nodes = host, rpc_client, control_nodes
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
        packed = pack_departures(self.departures)
        for control_node in control_nodes:
            self.replication.rpc_client.call(
                control_node, rpc_methods.RECORD_DEPARTURES, packed, CONFIRM_TIMEOUT_S, self._answered
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
