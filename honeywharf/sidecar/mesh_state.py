"""The operator's word as one sidecar runs it: one revision at a time, never an older one.

Theory of operation. A word is `(revision, version, digest, evacuated zones)`; the configuration's text is
asked for by its digest where it is another one. At the start a word counts only if a control node has read it
from a majority ("word.read"); after that any word of a higher revision that anybody has ("word.known") is
taken, as control nodes tell of none that is not settled. Whoever has a word gives it to others, so control
nodes need not serve all. A start without a majority to be had waits, not ready, however long: what a control
node that is cut off knows may be old, and nobody beside it can tell. Source: RULES, CONFIG and EVAC.
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

WITHIN_S = 0.7  # for a call
BODY_WITHIN_S = (0.8, 6.0)  # for a text: at first, and at most after calls in vain, as it may be long
AGAIN_S = 0.15
PATIENT_S = 0.25  # for one holder, before news of another one is followed
MAX_TEXT = 80 << 20


class Word:
    """What is in force here. `changed()` is called after each change, `holders()` gives addresses to ask."""

    def __init__(
        self, host: Host, caller: RpcClient, cores: Callable[[], list[Address]], changed: Callable[[], None]
    ) -> None:
        self.host, self.caller, self.cores, self.changed = host, caller, cores, changed
        self.revision = 0
        self.version = 0
        self.digest = ""
        self.value: dict[str, Any] = {}
        self.evacuated: set[str] = set()
        self.table: RoutingTable | None = None
        self.packed = b""  # the text, compressed
        self.ready = False
        self.newest = 0  # the highest revision heard of
        self.fetch = 0  # number of the fetch under way; 0 without one
        self.fetches = 0
        self.fetched_at = 0.0
        self.vain = 0  # fetches in a row without a text
        self.turn = 0
        self._limits = Limits({})
        self.named: Callable[[bytes, str], bool] = lambda text, digest: True  # whether a text is a digest's

    # Used by the rest of the sidecar.

    def find(self, host: bytes, path: bytes) -> Route | None:
        """The route of a request; None without one."""
        return None if self.table is None else self.table.find(host, path)

    def limits(self) -> Limits:
        """What a client may send, and how long it may take."""
        return self._limits if self.table is None else self.table.limits

    # Taking a word over.

    def start(self) -> None:
        """Ask until a majority has told."""
        if self.ready:
            return
        cores = self.cores()
        if cores:
            self.turn += 1
            core = cores[self.turn % len(cores)]
            self.caller.call(
                core, rpc_methods.READ_STATE, None, WITHIN_S, lambda value: self._started(core, value)
            )
        else:
            self.host.after(AGAIN_S, self.start)

    def _started(self, core: Address, value: Any) -> None:
        if isinstance(value, dict) and value.get("digest"):
            self._take(core, value)
        if not self.ready and not self.fetch:
            self.host.after(AGAIN_S, self.start)

    def heard(self, revision: int, holder: Address) -> None:
        """News of a word: asked for if it is newer, though another holder may still owe an older one."""
        self.newest = max(self.newest, revision)
        busy = self.fetch and self.host.now() - self.fetched_at < PATIENT_S
        if revision > self.revision and self.ready and not busy:
            fetch = self._begin()
            self.caller.call(
                holder,
                rpc_methods.KNOWN_STATE,
                None,
                WITHIN_S,
                lambda value: self._known(fetch, holder, value),
            )

    def _begin(self) -> int:
        self.fetches += 1
        self.fetch, self.fetched_at = self.fetches, self.host.now()
        return self.fetch

    def _known(self, fetch: int, holder: Address, value: Any) -> None:
        if self.fetch == fetch:
            self.fetch = 0
        if isinstance(value, dict) and value.get("digest"):
            self._take(holder, value)
        else:
            self._again()

    def _again(self) -> None:
        """The holder did not tell: ask a control node, in a while."""
        if self.newest > self.revision and self.ready:
            cores = self.cores()
            if cores:
                self.turn += 1
                core = cores[self.turn % len(cores)]
                self.host.after(AGAIN_S, lambda: self.heard(self.newest, core))

    def restore(self, value: dict[str, Any], table: RoutingTable, packed: bytes) -> None:
        """Take over what a majority told, whatever is in force here: after a slip only."""
        self.newest = value["rev"]
        self._apply(value, table, packed)

    def take(self, holder: Address, value: dict[str, Any]) -> None:
        """A holder has told its word: taken over if it is newer and this node has had one."""
        if self.ready:
            self._take(holder, value)

    def _take(self, holder: Address, value: dict[str, Any]) -> None:
        if value["rev"] <= self.revision:
            return
        if value["digest"] == self.digest:
            self._apply(value, None, b"")
            return
        fetch = self._begin()
        first, most = BODY_WITHIN_S
        within = min(most, first * 2 ** min(self.vain, 4))
        self.caller.call(
            holder,
            rpc_methods.CONFIGURATION_TEXT,
            value["digest"],
            within,
            lambda packed: self._body(fetch, holder, value, packed),
        )

    def _body(self, fetch: int, holder: Address, value: dict[str, Any], packed: Any) -> None:
        if self.fetch == fetch:
            self.fetch = 0
        table = None
        if isinstance(packed, bytes):
            try:
                text = zlib.decompressobj().decompress(packed, MAX_TEXT)
                if not self.named(text, value["digest"]):
                    raise ValueError(f"not the text of {value['digest']}")
                table = RoutingTable(text)
            except (ValueError, KeyError, TypeError, zlib.error) as fault:
                self.host.log(f"word r{value['version']} from {holder[0]} can't be read: {fault}")
        self.vain = 0 if table is not None else self.vain + 1
        if table is not None and value["rev"] > self.revision:
            self._apply(value, table, packed)
        elif not self.ready:
            self.host.after(AGAIN_S, self.start)
        self._again()

    def _apply(self, value: dict[str, Any], table: RoutingTable | None, packed: bytes) -> None:
        if table is not None:
            self.table, self.packed, self.digest = table, packed, value["digest"]
        self.value, self.revision, self.version = value, value["rev"], value["version"]
        self.newest = max(self.newest, self.revision)
        self.evacuated = {zone for zone, on in value["evac"].items() if on}
        self.ready = True
        evacuated = ",".join(sorted(self.evacuated)) or "none"
        self.host.log(f"word {self.revision}: configuration r{self.version}, evacuated {evacuated}")
        self.changed()

    # Giving it to others.

    def methods(self) -> dict[str, Callable[[Any, Reply, Address], None]]:
        """What others may call."""
        return {
            rpc_methods.KNOWN_STATE: lambda args, reply, peer: reply(self.value or None),
            rpc_methods.CONFIGURATION_TEXT: lambda args, reply, peer: reply(
                self.packed if args == self.digest else None
            ),
        }
