"""The mesh state as one sidecar has it in force: one revision at a time, never an older one.

Theory of operation. A mesh state is `(revision, version, digest, evacuated zones)`; the configuration's text
is fetched by its digest where it is another one. At the start a mesh state counts only if a control node has
read it from a majority ("word.read"); after that, any higher revision of any node ("word.known") is taken, as
control nodes announce only committed ones. Each node gives its mesh state to others, so control nodes need
not serve all. Without a majority, a sidecar that starts stays not ready, however long: the state of a control
node that is partitioned off may be old, and no node can detect that. Source: RULES, CONFIG and EVAC.
"""

from __future__ import annotations

import zlib

from honeywharf import rpc_methods
from honeywharf.mesh_config.routes import Limits, Route, RoutingTable

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

    from honeywharf.transport.host import Address, Host
    from honeywharf.transport.rpc_client import RpcClient
    from honeywharf.transport.rpc_server import Reply

CALL_TIMEOUT_S = 0.7
# The first and the longest time-out for a text; doubled after each failure, as a text may be long.
TEXT_TIMEOUTS_S = (0.8, 6.0)
RETRY_S = 0.15
MIN_FETCH_S = 0.25  # a fetch gets this long before an announcement starts another one
MAX_TEXT_BYTES = 80 << 20


class MeshStateReplica:
    """The mesh state in force here.

    `changed()` is called after each change; `control_nodes()` returns the addresses of control nodes.
    """

    def __init__(
        self,
        host: Host,
        rpc_client: RpcClient,
        control_nodes: Callable[[], list[Address]],
        changed: Callable[[], None],
    ) -> None:
        self.host, self.rpc_client, self.control_nodes, self.changed = (
            host,
            rpc_client,
            control_nodes,
            changed,
        )
        self.revision = 0
        self.version = 0
        self.digest = ""
        self.value: dict[str, Any] = {}
        self.evacuated: set[str] = set()
        self.table: RoutingTable | None = None
        self.packed = b""  # the configuration's text, compressed
        self.ready = False
        self.newest = 0  # the highest revision announced
        self.applications = 0  # the mesh states applied so far
        self.fetch_number = 0  # the number of the fetch under way; 0 without one
        self.fetches = 0
        self.fetched_at = 0.0
        self.failed_fetches = 0  # fetches in a row that got no text
        self.next_control_node = 0
        self._limits = Limits({})
        self.has_digest: Callable[[bytes, str], bool] = lambda text, digest: True

    # Used by the rest of the sidecar.

    def find(self, host: bytes, path: bytes) -> Route | None:
        """Returns the route of a request; None without one."""
        return None if self.table is None else self.table.find(host, path)

    def limits(self) -> Limits:
        """Returns the limits on clients' requests: sizes and times."""
        return self._limits if self.table is None else self.table.limits

    # Adopting a mesh state.

    def start(self) -> None:
        """Asks control nodes until one has read the mesh state from a majority."""
        if self.ready:
            return
        control_nodes = self.control_nodes()
        if control_nodes:
            self.next_control_node += 1
            control_node = control_nodes[self.next_control_node % len(control_nodes)]
            self.rpc_client.call(
                control_node,
                rpc_methods.READ_STATE,
                None,
                CALL_TIMEOUT_S,
                lambda value: self._majority_answered(control_node, value),
            )
        else:
            self.host.after(RETRY_S, self.start)

    def _majority_answered(self, control_node: Address, value: Any) -> None:
        if isinstance(value, dict) and value.get("digest"):
            self._adopt(control_node, value)
        if not self.ready and not self.fetch_number:
            self.host.after(RETRY_S, self.start)

    def revision_announced(self, revision: int, peer: Address) -> None:
        """Fetches an announced revision if it is newer, also while a fetch of an older one is late."""
        self.newest = max(self.newest, revision)
        busy = self.fetch_number and self.host.now() - self.fetched_at < MIN_FETCH_S
        if revision > self.revision and self.ready and not busy:
            fetch = self._begin_fetch()
            self.rpc_client.call(
                peer,
                rpc_methods.KNOWN_STATE,
                None,
                CALL_TIMEOUT_S,
                lambda value: self._peer_answered(fetch, peer, value),
            )

    def _begin_fetch(self) -> int:
        self.fetches += 1
        self.fetch_number, self.fetched_at = self.fetches, self.host.now()
        return self.fetch_number

    def _peer_answered(self, fetch: int, peer: Address, value: Any) -> None:
        if self.fetch_number == fetch:
            self.fetch_number = 0
        if isinstance(value, dict) and value.get("digest"):
            self._adopt(peer, value)
        else:
            self._retry_fetch()

    def _retry_fetch(self) -> None:
        """Asks a control node after `RETRY_S`, as long as a newer revision was announced."""
        if self.newest > self.revision and self.ready:
            control_nodes = self.control_nodes()
            if control_nodes:
                self.next_control_node += 1
                control_node = control_nodes[self.next_control_node % len(control_nodes)]
                self.host.after(RETRY_S, lambda: self.revision_announced(self.newest, control_node))

    def restore(self, value: dict[str, Any], table: RoutingTable, packed: bytes) -> None:
        """Applies a mesh state read from a majority, even an older one; used only to repair drift."""
        self.newest = value["rev"]
        self._apply(value, table, packed)

    def offer(self, peer: Address, value: dict[str, Any]) -> None:
        """Adopts a peer's mesh state if it is newer and this node has had one before."""
        if self.ready:
            self._adopt(peer, value)

    def _adopt(self, peer: Address, value: dict[str, Any]) -> None:
        if value["rev"] <= self.revision:
            return
        if value["digest"] == self.digest:
            self._apply(value, None, b"")
            return
        fetch = self._begin_fetch()
        first_s, longest_s = TEXT_TIMEOUTS_S
        timeout_s = min(longest_s, first_s * 2 ** min(self.failed_fetches, 4))
        self.rpc_client.call(
            peer,
            rpc_methods.CONFIGURATION_TEXT,
            value["digest"],
            timeout_s,
            lambda packed: self._text_received(fetch, peer, value, packed),
        )

    def _text_received(self, fetch: int, peer: Address, value: dict[str, Any], packed: Any) -> None:
        if self.fetch_number == fetch:
            self.fetch_number = 0
        table = None
        if isinstance(packed, bytes):
            try:
                text = zlib.decompressobj().decompress(packed, MAX_TEXT_BYTES)
                if not self.has_digest(text, value["digest"]):
                    raise ValueError(f"text: expected digest {value['digest']}, got another")
                table = RoutingTable(text)
            except (ValueError, KeyError, TypeError, zlib.error) as fault:
                self.host.log(f"configuration r{value['version']} from {peer[0]} can't be read: {fault}")
        self.failed_fetches = 0 if table is not None else self.failed_fetches + 1
        if table is not None and value["rev"] > self.revision:
            self._apply(value, table, packed)
        elif not self.ready:
            self.host.after(RETRY_S, self.start)
        self._retry_fetch()

    def _apply(self, value: dict[str, Any], table: RoutingTable | None, packed: bytes) -> None:
        if table is not None:
            self.table, self.packed, self.digest = table, packed, value["digest"]
        self.applications += 1
        self.value, self.revision, self.version = value, value["rev"], value["version"]
        self.newest = max(self.newest, self.revision)
        self.evacuated = {zone for zone, on in value["evac"].items() if on}
        self.ready = True
        evacuated = ",".join(sorted(self.evacuated)) or "none"
        self.host.log(f"mesh state {self.revision}: configuration r{self.version}, evacuated {evacuated}")
        self.changed()

    # Serving the mesh state to others.

    def methods(self) -> dict[str, Callable[[Any, Reply, Address], None]]:
        """Returns the RPC methods by which others fetch the mesh state and the text."""
        return {
            rpc_methods.KNOWN_STATE: lambda args, reply, peer: reply(self.value or None),
            rpc_methods.CONFIGURATION_TEXT: lambda args, reply, peer: reply(
                self.packed if args == self.digest else None
            ),
        }
