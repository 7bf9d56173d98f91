"""Imports go one way, protocols -> codecs -> core -> the decision module, and rules do no I/O."""

from __future__ import annotations

import ast
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent / "honeywharf"
PROTOCOLS = ("http", "coap", "discovery")
#: The packages and modules of honeywharf that each layer may import, besides its own package.
ALLOWED = {
    "limits": ("limits",),
    "terms": ("terms",),
    "policy": ("policy", "limits", "terms"),
    "flow": ("flow",),
    "service": ("service", "core", "policy"),
    "handover": ("handover", "service", "core", "policy", "limits"),
    "reports": ("reports", "core", "policy"),
    "storms": ("storms", "core", "policy"),
    "traces": ("VERSION", "traces", "core", "policy"),
    "admin": ("admin", "core", "policy"),
    "metrics": ("VERSION", "metrics", "admin", "core", "policy"),
    "logs.py": ("core",),
    "core": ("core", "flow", "policy"),
    "config": ("config", "core", "policy", "wire"),
    "lab": ("lab", "config", "core", "policy", "limits", "reports", "storms"),
    "codecs": ("codecs", "core", "flow", "policy"),
    **{name: (name, "codecs", "core", "flow", "policy") for name in PROTOCOLS},
    "proxy.py": (
        *PROTOCOLS,
        "admin",
        "config",
        "core",
        "flow",
        "handover",
        "limits",
        "logs",
        "metrics",
        "orderkeys",
        "policy",
        "reports",
        "service",
        "storms",
        "traces",
    ),
    "cli": (
        "VERSION",
        "admin",
        "cli",
        "config",
        "core",
        "simulation",
        "lab",
        "transport",
        "proxy",
        "control",
        "standins",
        "mesh_config",
        "traces",
    ),
    "__main__.py": ("cli", "proxy"),
    # The layers of the mesh are rules, transport between programs, and the programs with the simulation.
    "verdict.py": (),
    "admission": ("admission",),
    "failure_detector": ("failure_detector", "gossip"),
    "gossip": ("gossip", "hinted_handoff", "failure_detector"),
    "hinted_handoff": ("hinted_handoff",),
    "rpc_methods.py": (),
    "lease": ("lease", "rpc_methods", "transport"),
    "mesh_config": ("mesh_config",),
    "transport": ("transport", "codecs", "verdict"),
    "sidecar": (
        "sidecar",
        "codecs",
        "transport",
        "policy",
        "mesh_config",
        "rpc_methods",
        "verdict",
        "admission",
    ),
    "control": ("control", "transport", "mesh_config", "rpc_methods"),
    "sessions": ("sessions", "transport", "verdict"),
    "drift": ("drift", "lease", "mesh_config", "rpc_methods", "verdict"),
    "programs": (
        "programs",
        "drift",
        "hinted_handoff",
        "failure_detector",
        "transport",
        "sessions",
        "control",
        "gossip",
        "sidecar",
        "lease",
        "mesh_config",
        "rpc_methods",
        "verdict",
    ),
    "simulation": (
        "simulation",
        "drift",
        "codecs",
        "failure_detector",
        "transport",
        "sessions",
        "programs",
        "control",
        "gossip",
        "sidecar",
        "lease",
        "mesh_config",
        "verdict",
        "admission",
    ),
}
#: Modules that make decisions and use no sockets, no event loop and no clock.
PURE = (
    "policy",
    "terms",
    "limits",
    "flow",
    "reports",
    "storms",
    "codecs",
    "core/exchange.py",
    "core/validation.py",
    "core/probes.py",
    "core/hooks.py",
    "service/lifecycle.py",
    "service/bans.py",
    "service/operator_protocol.py",
    "handover/frames.py",
    "handover/learned_state.py",
    "handover/state.py",
    "orderkeys/table.py",
    "orderkeys/deduplicator.py",
    "orderkeys/shared_store.py",
    "orderkeys/scripts.py",
    "coap/options.py",
    "coap/blocks.py",
    "coap/messages.py",
    "coap/client.py",
    "lab/model.py",
    "lab/habits.py",
    "lab/http_server.py",
    "lab/population.py",
    "lab/simulator.py",
    "lab/days.py",
    "traces/context.py",
    "traces/spans.py",
    "traces/sampler.py",
    "traces/recorder.py",
    "traces/language.py",
    "traces/store.py",
    "traces/causes.py",
    "traces/notes.py",
    "traces/delivery.py",
    "metrics/durations.py",
    "metrics/families.py",
    "config/file_errors.py",
    "config/key_positions.py",
    "admin/protocol.py",
    "admin/views.py",
    "verdict.py",
    "rpc_methods.py",
    "admission",
    "failure_detector",
    "gossip",
    "mesh_config",
    "sidecar",
    "control",
    "programs/sidecar.py",
    "programs/control.py",
    "transport/address.py",
    "transport/host.py",
    "transport/framing.py",
    "transport/rpc_client.py",
    "transport/rpc_server.py",
    "transport/stream.py",
    "transport/link.py",
    "transport/link_server.py",
    "transport/http_server.py",
    "transport/url_matcher.py",
    "simulation",
    "drift",
    "sessions",
    "lease",
    "hinted_handoff",
    "programs/control_leases.py",
    "programs/control_handoff.py",
)
#: Rules of the mesh that are independent of their host: time and inputs are arguments.
RULES = {
    "verdict.py": (),
    "admission": ("admission",),
    "policy/levels.py": (),
    "failure_detector/ring.py": ("gossip",),
    "failure_detector/detector.py": ("failure_detector", "gossip"),
    "gossip/entry.py": (),
    "gossip/table.py": ("gossip",),
    "gossip/peers.py": ("gossip",),
    "gossip/dissemination.py": ("gossip",),
    "gossip/anti_entropy.py": ("gossip",),
    "gossip/gossip.py": ("gossip",),
    "control/register.py": ("control",),
    "control/mesh_state.py": ("control",),
    "control/messages.py": ("control",),
    "control/acceptor.py": ("control",),
    "control/quorum.py": ("control",),
    "sidecar/gate.py": ("verdict", "admission"),
    "drift/digests.py": (),
    "drift/reference_parser.py": ("drift",),
    "drift/destination_check.py": (),
    "drift/states.py": (),
    "drift/scan.py": ("drift",),
    "hinted_handoff": ("hinted_handoff",),
    "lease/grantor.py": (),
    "lease/lease.py": ("lease",),
    "mesh_config": ("mesh_config",),
    **{f"sessions/{name}.py": ("sessions", "verdict") for name in ("sender", "receiver", "relay")},
}
#: Modules that a sidecar must not load, because each of many processes would use memory for them.
HEAVY = {
    "absl",
    "asyncio",
    "attr",
    "attrs",
    "cappa",
    "dataclasses",
    "inspect",
    "jsonschema",
    "logging",
    "ssl",
    "threading",
    "hashlib",
    "honeywharf.policy.balancer",
    "honeywharf.control",
    "honeywharf.hinted_handoff",
    "honeywharf.lease",
    "honeywharf.mesh_config.configuration",
}
#: The only import cycle: drift checks and the data plane that they inspect use each other's types.
KNOWN_IMPORT_CYCLE = frozenset(
    {f"honeywharf.drift.{name}" for name in ("monitor", "periodic_scan", "scan", "remediation")}
    | {
        f"honeywharf.sidecar.{name}"
        for name in ("delegation", "client_connection", "outbound_request", "inbound", "outbound", "source")
    }
    | {"honeywharf.programs.sidecar"}
)
IO = {"asyncio", "socket", "select", "time", "ssl", "subprocess", "threading", "uvloop"}


def files(name: str) -> list[Path]:
    path = ROOT / name
    return sorted(path.rglob("*.py")) if path.is_dir() else [path] if path.exists() else []


def imported(path: Path) -> Iterator[str]:
    """Yields the imports of a module at load time and run time, without those for type checkers only."""
    tree = ast.parse(path.read_text("utf-8"))
    for node in ast.walk(tree):
        if isinstance(node, ast.If) and isinstance(node.test, ast.Name) and node.test.id == "TYPE_CHECKING":
            node.body = []
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module is not None:
            is_root = node.module == "honeywharf"
            yield from (f"honeywharf.{a.name}" for a in node.names) if is_root else (node.module,)


def module_of(path: Path) -> str:
    """Returns the name by which a file is imported."""
    parts = path.relative_to(ROOT.parent).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)


def import_graph() -> dict[str, set[str]]:
    """Returns all imports between modules, including those for type checkers only."""
    paths = {module_of(path): path for path in ROOT.rglob("*.py")}
    graph: dict[str, set[str]] = {}
    for name, path in paths.items():
        found = set[str]()
        for node in ast.walk(ast.parse(path.read_text("utf-8"))):
            if isinstance(node, ast.Import):
                found |= {alias.name for alias in node.names}
            elif isinstance(node, ast.ImportFrom) and node.module:
                inner = {f"{node.module}.{alias.name}" for alias in node.names}
                found |= inner & paths.keys() or {node.module}
        graph[name] = (found & paths.keys()) - {name}
    return graph


def import_cycles(graph: dict[str, set[str]]) -> set[frozenset[str]]:
    """Returns the groups of modules that import each other, directly or indirectly."""
    reached: dict[str, set[str]] = {}
    for name in graph:
        seen, pending = set[str](), list(graph[name])
        while pending:
            other = pending.pop()
            if other not in seen:
                seen.add(other)
                pending += graph[other]
        reached[name] = seen
    return {
        frozenset(other for other in reached[name] if name in reached[other])
        for name in graph
        if name in reached[name]
    }


def test_no_modules_import_each_other() -> None:
    assert import_cycles(import_graph()) == {KNOWN_IMPORT_CYCLE}


def test_a_cycle_is_detected() -> None:
    assert import_cycles({"a": {"b"}, "b": {"c"}, "c": {"a", "d"}, "d": set()}) == {frozenset("abc")}


@pytest.mark.parametrize("layer", ALLOWED)
def test_a_layer_imports_what_is_below_it_only(layer: str) -> None:
    for path in files(layer):
        for name in imported(path):
            if name.startswith("honeywharf."):
                assert name.split(".")[1] in ALLOWED[layer], f"{path.name} imports {name}"


@pytest.mark.parametrize("name", PURE)
def test_decision_modules_do_no_io(name: str) -> None:
    found = files(name)
    assert found
    for path in found:
        assert not IO & {module.split(".")[0] for module in imported(path)}, path.name


@pytest.mark.parametrize("name", RULES)
def test_rules_of_the_mesh_are_independent_of_the_host(name: str) -> None:
    found = files(name)
    assert found
    for path in found:
        for module in imported(path):
            if module.startswith("honeywharf."):
                assert module.split(".")[1] in RULES[name], f"{path.name} imports {module}"


def test_a_sidecar_loads_little() -> None:
    program = "import sys, honeywharf.programs.sidecar, honeywharf.transport.event_loop; print(*sys.modules)"
    loaded = subprocess.run(
        [sys.executable, "-c", program], cwd=ROOT.parent, capture_output=True, text=True, check=True
    ).stdout
    assert "honeywharf.sidecar.gate" in loaded.split()
    assert not HEAVY & set(loaded.split())


def test_the_scan_finds_imports_at_run_time_only() -> None:
    front = set(imported(ROOT / "http" / "front.py"))
    assert {"asyncio", "honeywharf.codecs", "honeywharf.core.driver"} <= front
    assert "honeywharf.config.features" not in set(
        imported(ROOT / "orderkeys" / "deduplicator.py")
    )  # imported for type checkers only
