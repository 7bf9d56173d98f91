"""The drift monitor's part in a control node: history, slips that sidecars tell, and an operator's view of
all.

`GET /api/drift` asks every sidecar that news tell of what it runs, `BATCH` at a time, and answers with their
views, with those who did not answer, and with this machine's history. `GET /api/drift/between/r7/r12` tells
what changed. A register whose disk has given back something older than it had told, to this machine's own
history or to a peer, has no vote until it is admitted anew, as after a lost disk.
"""

from __future__ import annotations

import json
import zlib
from functools import partial
from typing import TYPE_CHECKING, Any

from honeywharf import rpc_methods
from honeywharf.drift import digests, second
from honeywharf.drift.history import History
from honeywharf.mesh_config.routes import version_number

if TYPE_CHECKING:
    from honeywharf.control.interfaces import ControlProgram
    from honeywharf.control.mesh_state import MemberId, MeshState
    from honeywharf.control.messages import Heartbeat
    from honeywharf.control.operator_api import HttpCall
    from honeywharf.transport.host import Address
    from honeywharf.transport.rpc_server import Reply

BATCH = 16  # sidecars asked at once
WITHIN_S = 0.8  # for each
MAX_NODES = 2000
MAX_PEERS = 64  # registers whose progress is remembered
SECOND_LOOK_S = 1.0  # between looks at our own register's progress


class Gather:
    """See the module."""

    def __init__(self, program: ControlProgram) -> None:
        self.program, self.host, self.replica = program, program.host, program.replica
        self.history = History(program.host)
        self.peers: dict[MemberId, tuple[Any, ...]] = {}  # the highest ballot that each has told
        self.went_back = 0
        tree = program.operator.routes
        tree.add("GET", "/api/drift", self._drift)
        tree.add("GET", "/api/drift/between/{before}/{after}", self._between)
        self.replica.methods[rpc_methods.DRIFT_REPORT] = self._slip
        self.replica.methods[rpc_methods.REGISTER_WENT_BACK] = self._told_older
        self.replica.membership.on_heartbeat = self.heartbeat

    def start(self) -> None:
        """The disk can be read: take the history up, and see whether the register is older than it says."""
        self.history.load()
        state = self.replica.state
        if self.history.went_back(state.disk, state.promised, state.accepted):
            self._disown("its history")
        self._progress()

    def _progress(self) -> None:
        state = self.replica.state
        self.history.register(state.disk, state.promised, state.accepted)
        self.host.after(SECOND_LOOK_S, self._progress)

    # Words and slips.

    def word(self, state: MeshState) -> None:
        """A word is in force."""
        text = self.replica.store.read_text(state.digest) if state.digest else None
        self.history.word(state, text)

    def _slip(self, args: Any, reply: Reply, peer: Address) -> None:
        node, _, by, cause, revision = args
        self.history.slip(node, by, cause, revision)
        self.host.log(
            f"drift monitor: {node} slipped from revision {revision}, found by {by}: {str(cause)[:160]}"
        )
        reply(True)

    # Registers that go back.

    def heartbeat(self, heartbeat: Heartbeat) -> None:
        """A peer has told of itself."""
        self.beat(heartbeat.sender, heartbeat.accepted)

    def beat(self, key: MemberId, accepted: tuple[Any, ...]) -> None:
        """A peer has told how far its register is: where that is less than before, ask it, with each beat.

        Beats may overtake one another, so nothing follows from one here: the peer looks at what it holds.
        """
        if key not in self.peers and len(self.peers) >= MAX_PEERS:
            self.peers.pop(next(iter(self.peers)))
        highest = self.peers[key] = max(self.peers.get(key, accepted), accepted)
        if accepted < highest:
            ip, _, port = key[0].rpartition(":")
            self.program.caller.call(
                (ip, int(port)),
                rpc_methods.REGISTER_WENT_BACK,
                [key[1], list(highest)],
                WITHIN_S,
                partial(self._answered, key),
            )

    def _answered(self, key: MemberId, went_back: Any) -> None:
        """A peer was asked about its register; True where it has given up its vote."""
        if went_back is True:
            self.host.log(f"drift monitor: the register of {key[0]} has gone back")
            self.history.slip(key[0], "peer", "its register is older than it had told", 0)

    def _told_older(self, args: Any, reply: Reply, peer: Address) -> None:
        """A peer says that this register had accepted more than it has now.

        An honest disk's has not, however late or often this comes: what it has accepted only grows under one
        name, and is told only once it is on disk. So no order of messages takes the vote of an honest member.
        """
        disk, accepted = args
        state = self.replica.state
        older = disk == state.disk and state.accepted < tuple(accepted)
        if older:
            self._disown(peer[0])
        reply(older)

    def _disown(self, by: str) -> None:
        self.went_back += 1
        self.host.log(f"drift monitor: this disk has given back an older register, says {by}: it has no vote")
        self.history.slip(self.host_name(), "register", f"older than told, says {by}", 0)
        try:
            self.replica.discard_vote()
        except OSError as fault:
            self.host.log(f"drift monitor: the disk fails: {fault}")

    def host_name(self) -> str:
        """This machine, as rosters hold it."""
        return self.replica.local_address

    # The operator's view.

    def _drift(self, call: HttpCall) -> None:
        nodes = (
            []
            if self.program.membership is None
            else [
                node
                for node, entry in self.program.membership.entries().items()
                if entry.attributes is not None and entry.attributes.get("s")
            ]
        )
        _Collecting(self, call, nodes[:MAX_NODES]).go_on()

    def answer(self, call: HttpCall, views: list[Any], silent: list[str]) -> None:
        """All have told, or have been given up."""
        made = {
            "views": views,
            "silent": silent,
            "told": self._told(),
            "words": self.history.words,
            "slips": self.history.slips,
            "registers-gone-back": self.went_back,
        }
        self.program.operator.answer(call, 200, json.dumps(made).encode())

    def _told(self) -> dict[str, Any]:
        """What a majority holds, as this machine knows it, with its tree."""
        state = self.replica.known_state
        packed = None if state is None or not state.digest else self.replica.store.read_text(state.digest)
        if state is None or packed is None:
            return {}
        evacuated = {zone for zone, on in state.evacuations.items() if on}
        branches = second.tree(zlib.decompress(packed), evacuated)
        return {
            "revision": state.revision,
            "version": f"r{state.version}",
            "digest": state.digest,
            "root": digests.root(branches).hex(),
            "branches": {name: made.hex() for name, made in branches.items()},
        }

    def _between(self, call: HttpCall, before: str, after: str) -> None:
        try:
            lines = self.history.between(
                version_number(before), version_number(after), self.replica.store.read_text
            )
        except (ValueError, LookupError) as fault:
            self.program.operator.answer(call, 404, str(fault.args[0] if fault.args else fault).encode())
            return
        self.program.operator.answer(call, 200, "".join(f"{line}\n" for line in lines).encode())


class _Collecting:
    """One view being collected."""

    def __init__(self, gather: Gather, call: HttpCall, nodes: list[str]) -> None:
        self.gather, self.call, self.nodes = gather, call, nodes
        self.views: list[Any] = []
        self.silent: list[str] = []
        self.at_work = 0

    def go_on(self) -> None:
        """Ask the next ones; answer when nobody is left."""
        while self.nodes and self.at_work < BATCH:
            self.at_work += 1
            node = self.nodes.pop()
            self.gather.program.caller.call(
                (node, self.gather.program.local_address[1]),
                rpc_methods.DRIFT_VIEW,
                None,
                WITHIN_S,
                partial(self._came, node),
            )
        if not self.at_work:
            self.gather.answer(self.call, self.views, sorted(self.silent))

    def _came(self, node: str, view: Any) -> None:
        self.at_work -= 1
        if isinstance(view, dict):
            self.views.append(view)
        else:
            self.silent.append(node)
        self.go_on()
