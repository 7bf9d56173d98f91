"""The mesh state at a sidecar's start: only one that a control node has read from a majority."""

from __future__ import annotations

import json
import zlib
from typing import Any, cast

from honeywharf.sidecar.mesh_state import MeshStateReplica
from honeywharf.simulation.deployment import ROUTES
from tests.control.virtual_network import VirtualNetwork

CONTROL_NODES = [("10.0.0.1", 7620), ("10.0.0.2", 7620)]
HOST, PREFIX = ROUTES[0][:2]


def configuration(version: int) -> bytes:
    """Returns the text of a configuration with one route."""
    route = {
        "name": "r-1",
        "hostname": HOST,
        "path-prefix": PREFIX,
        "route-kind": "read_only",
        "timeout": "3000ms",
        "target-latency": "600ms",
        "priority": 1,
        "max-attempts": 2,
        "target-service": "tile-vault",
    }
    limits = {
        "max-header-bytes": 16384,
        "max-body-bytes": 67108864,
        "header-timeout": "3000ms",
        "idle-timeout": "15000ms",
    }
    whole = {"config-version": f"r{version}", "routes": [route], "services": [], "limits": limits}
    return json.dumps(whole).encode()


def state(revision: int, version: int, digest: str) -> dict[str, Any]:
    """Returns a mesh state as control nodes send it."""
    return {"rev": revision, "version": version, "digest": digest, "evac": {}}


class FakeRpcClient:
    """An RPC client that records its calls and answers each method from `answers`."""

    def __init__(self, answers: dict[str, Any]) -> None:
        self.answers, self.methods = answers, list[str]()
        self.machine = VirtualNetwork(1).machine("10.0.0.9")

    def call(self, to: object, method: str, args: object, within: float, done: Any) -> None:
        self.methods.append(method)
        self.machine.after(within, lambda: done(self.answers.get(method)))


def started(answers: dict[str, Any], seconds: float) -> tuple[MeshStateReplica, FakeRpcClient]:
    """Returns a sidecar's mesh state `seconds` after its start."""
    rpc_client = FakeRpcClient(answers)
    rpc_client.machine.start(lambda machine: None)
    mesh_state = MeshStateReplica(
        cast(Any, rpc_client.machine), cast(Any, rpc_client), lambda: CONTROL_NODES, lambda: None
    )
    mesh_state.start()
    rpc_client.machine.network.run(rpc_client.machine.network.time + seconds)
    return mesh_state, rpc_client


def test_version_0_is_taken_over() -> None:
    answers = {"word.read": state(1, 0, "zero"), "word.body": zlib.compress(configuration(0))}
    mesh_state, _ = started(answers, 3.0)
    assert mesh_state.ready
    assert mesh_state.version == 0
    assert mesh_state.find(HOST.encode(), PREFIX.encode()) is not None


def test_a_state_that_is_told_late_does_not_replace_a_newer_one() -> None:
    """Guards against EVAC: an older state arrives after a newer one, with the same text or another."""
    answers = {"word.read": state(5, 0, "zero"), "word.body": zlib.compress(configuration(0))}
    mesh_state, rpc_client = started(answers, 3.0)
    for late in (state(4, 0, "zero"), state(4, 0, "one")):
        mesh_state.offer(CONTROL_NODES[0], late)
        rpc_client.machine.network.run(rpc_client.machine.network.time + 3.0)
        assert (mesh_state.revision, mesh_state.digest) == (5, "zero")


def test_a_mesh_state_without_a_configuration_makes_no_sidecar_ready() -> None:
    mesh_state, rpc_client = started({"word.read": state(7, -1, "")}, 20.0)
    assert not mesh_state.ready
    assert rpc_client.methods.count("word.read") > 10


def test_without_a_majority_it_takes_nothing_however_long_it_waits() -> None:
    old = {"rev": 3, "version": 5, "digest": "five", "evac": {}}
    rpc_client = FakeRpcClient({"word.known": old, "word.body": b"text"})
    rpc_client.machine.start(lambda machine: None)
    state = MeshStateReplica(
        cast(Any, rpc_client.machine), cast(Any, rpc_client), lambda: CONTROL_NODES, lambda: None
    )
    state.start()
    for _ in range(60):
        state.revision_announced(4, CONTROL_NODES[0])
        rpc_client.machine.network.run(rpc_client.machine.network.time + 1.0)
    assert not state.ready
    assert len(rpc_client.methods) > 50
    assert set(rpc_client.methods) == {"word.read"}
