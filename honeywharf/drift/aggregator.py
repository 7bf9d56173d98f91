"""The drift aggregator of a control node: history, the sidecars' drift reports, and the operator's view.

`GET /api/drift` fetches the view of every sidecar in the membership, `MAX_CALLS_IN_FLIGHT` at a time. The
response holds the views, the sidecars that did not answer, and this machine's history.
`GET /api/drift/between/r7/r12` lists the changes between two versions. If a disk returns an acceptor state
that is older than the one that its machine's history or a peer knows, this member has no vote until it is
admitted again, as after the loss of a disk.
"""

from __future__ import annotations

import json
import zlib
from functools import partial
from typing import TYPE_CHECKING, Any

from honeywharf import rpc_methods
from honeywharf.drift import digests, reference_parser
from honeywharf.drift.history import History
from honeywharf.mesh_config.routes import version_number

if TYPE_CHECKING:
    from honeywharf.control.interfaces import ControlProgram
    from honeywharf.control.mesh_state import MemberId, MeshState
    from honeywharf.control.messages import Heartbeat
    from honeywharf.control.operator_api import HttpCall
    from honeywharf.transport.host import Address
    from honeywharf.transport.rpc_server import Reply

MAX_CALLS_IN_FLIGHT = 16
CALL_TIMEOUT_S = 0.8
MAX_NODES = 2000
MAX_PEERS = 64  # The highest accepted proposal is stored for this many peers.
PROGRESS_INTERVAL_S = 1.0  # The interval between records of this machine's own progress.


class DriftAggregator:
    """Collects drift reports and views on one control node."""

    def __init__(self, program: ControlProgram) -> None:
        self.program, self.host, self.replica = program, program.host, program.replica
        self.history = History(program.host)
        self.highest_accepted: dict[
            MemberId, tuple[Any, ...]
        ] = {}  # The highest reported proposal of each peer.
        self.acceptor_regressions = 0
        tree = program.operator.routes
        tree.add("GET", "/api/drift", self._send_views)
        tree.add("GET", "/api/drift/between/{before}/{after}", self._send_differences)
        self.replica.methods[rpc_methods.DRIFT_REPORT] = self._on_drift_report
        self.replica.methods[rpc_methods.REGISTER_WENT_BACK] = self._on_regression_report
        self.replica.membership.on_heartbeat = self.heartbeat

    def start(self) -> None:
        """Loads the history once the disk is readable, and compares the acceptor state with it."""
        self.history.load()
        state = self.replica.state
        if self.history.has_regressed(state.disk, state.promised, state.accepted):
            self._discard_vote("its history")
        self._record_progress()

    def _record_progress(self) -> None:
        state = self.replica.state
        self.history.record_acceptor(state.disk, state.promised, state.accepted)
        self.host.after(PROGRESS_INTERVAL_S, self._record_progress)

    # Revisions and drift reports.

    def add_revision(self, state: MeshState) -> None:
        """Adds the state that has come into force to the history."""
        text = self.replica.store.read_text(state.digest) if state.digest else None
        self.history.add_revision(state, text)

    def _on_drift_report(self, args: Any, reply: Reply, peer: Address) -> None:
        node, _, method, cause, revision = args
        self.history.add_drift_report(node, method, cause, revision)
        self.host.log(
            f"drift monitor: {node} drifted from revision {revision}, found by {method}: {str(cause)[:160]}"
        )
        reply(True)

    # Acceptor regressions.

    def heartbeat(self, heartbeat: Heartbeat) -> None:
        """Handles a peer's heartbeat."""
        self.check_accepted(heartbeat.sender, heartbeat.accepted)

    def check_accepted(self, member: MemberId, accepted: tuple[Any, ...]) -> None:
        """Compares a peer's accepted proposal with its highest one. If it is lower, calls the peer to check.

        Heartbeats may arrive out of order, so a lower one proves nothing: the peer checks its own state. The
        call is repeated with each such heartbeat.
        """
        if member not in self.highest_accepted and len(self.highest_accepted) >= MAX_PEERS:
            self.highest_accepted.pop(next(iter(self.highest_accepted)))
        highest = self.highest_accepted[member] = max(self.highest_accepted.get(member, accepted), accepted)
        if accepted < highest:
            ip, _, port = member[0].rpartition(":")
            self.program.caller.call(
                (ip, int(port)),
                rpc_methods.REGISTER_WENT_BACK,
                [member[1], list(highest)],
                CALL_TIMEOUT_S,
                partial(self._on_regression_answer, member),
            )

    def _on_regression_answer(self, member: MemberId, has_discarded_vote: Any) -> None:
        """Handles a peer's answer, which is True if the peer has discarded its vote."""
        if has_discarded_vote is True:
            self.host.log(f"drift monitor: the register of {member[0]} is older than it had reported")
            self.history.add_drift_report(member[0], "peer", "its register is older than it had told", 0)

    def _on_regression_report(self, args: Any, reply: Reply, peer: Address) -> None:
        """Handles a peer's claim that this acceptor had accepted a higher proposal than it has now.

        With an intact disk the claim is never true, however late or often it arrives: the accepted proposal
        of one disk id only grows, and is sent only once it is on disk. No order of messages can therefore
        take the vote of a member with an intact disk.
        """
        disk, accepted = args
        state = self.replica.state
        is_older = disk == state.disk and state.accepted < tuple(accepted)
        if is_older:
            self._discard_vote(peer[0])
        reply(is_older)

    def _discard_vote(self, source: str) -> None:
        self.acceptor_regressions += 1
        self.host.log(
            f"drift monitor: the disk returned an older acceptor state, by {source}: the vote is given up"
        )
        self.history.add_drift_report(self.host_name(), "register", f"older than told, says {source}", 0)
        try:
            self.replica.discard_vote()
        except OSError as fault:
            self.host.log(f"drift monitor: giving up the vote on disk failed: {fault}")

    def host_name(self) -> str:
        """Returns this machine's address as in member lists."""
        return self.replica.local_address

    # The operator's view.

    def _send_views(self, call: HttpCall) -> None:
        nodes = (
            []
            if self.program.membership is None
            else [
                node
                for node, entry in self.program.membership.entries().items()
                if entry.attributes is not None and entry.attributes.get("s")
            ]
        )
        _ViewCollection(self, call, nodes[:MAX_NODES]).call_next()

    def send_response(self, call: HttpCall, views: list[Any], silent: list[str]) -> None:
        """Responds to the call once every sidecar has answered or timed out."""
        response = {
            "views": views,
            "silent": silent,
            "told": self._majority_view(),
            "words": self.history.revisions,
            "slips": self.history.drift_reports,
            "registers-gone-back": self.acceptor_regressions,
        }
        self.program.operator.answer(call, 200, json.dumps(response).encode())

    def _majority_view(self) -> dict[str, Any]:
        """Returns the state of the majority as this machine knows it, with its tree of digests."""
        state = self.replica.known_state
        packed = None if state is None or not state.digest else self.replica.store.read_text(state.digest)
        if state is None or packed is None:
            return {}
        evacuated = {zone for zone, on in state.evacuations.items() if on}
        branches = reference_parser.tree(zlib.decompress(packed), evacuated)
        return {
            "revision": state.revision,
            "version": f"r{state.version}",
            "digest": state.digest,
            "root": digests.root(branches).hex(),
            "branches": {name: branch.hex() for name, branch in branches.items()},
        }

    def _send_differences(self, call: HttpCall, before: str, after: str) -> None:
        try:
            lines = self.history.differences(
                version_number(before), version_number(after), self.replica.store.read_text
            )
        except (ValueError, LookupError) as fault:
            self.program.operator.answer(call, 404, str(fault.args[0] if fault.args else fault).encode())
            return
        self.program.operator.answer(call, 200, "".join(f"{line}\n" for line in lines).encode())


class _ViewCollection:
    """The collection of the sidecars' views for one call."""

    def __init__(self, aggregator: DriftAggregator, call: HttpCall, nodes: list[str]) -> None:
        self.aggregator, self.call, self.nodes = aggregator, call, nodes
        self.views: list[Any] = []
        self.silent: list[str] = []
        self.calls_in_flight = 0

    def call_next(self) -> None:
        """Calls the next sidecars, and responds when no call is left."""
        while self.nodes and self.calls_in_flight < MAX_CALLS_IN_FLIGHT:
            self.calls_in_flight += 1
            node = self.nodes.pop()
            self.aggregator.program.caller.call(
                (node, self.aggregator.program.local_address[1]),
                rpc_methods.DRIFT_VIEW,
                None,
                CALL_TIMEOUT_S,
                partial(self._on_view, node),
            )
        if not self.calls_in_flight:
            self.aggregator.send_response(self.call, self.views, sorted(self.silent))

    def _on_view(self, node: str, view: Any) -> None:
        self.calls_in_flight -= 1
        if isinstance(view, dict):
            self.views.append(view)
        else:
            self.silent.append(node)
        self.call_next()
