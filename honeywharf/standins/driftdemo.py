"""`honeywharf demo --drift`: a mesh on loopback with traffic and five injected kinds of drift.

Theory of operation. The mesh is that of `meshdemo`. Its sidecars run this module, which is the sidecar's
program with one addition: on SIGUSR1 it injects the kind of drift that is named in a file next to the
settings. Whether the drift was detected is read from a control node (`GET /api/drift`), as an operator would.
"""

from __future__ import annotations

import json
import os
import random
import signal
import sys
import tempfile
from collections.abc import Callable
from functools import partial
from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast

from honeywharf.simulation import deployment
from honeywharf.simulation.clients import Flow
from honeywharf.simulation.http_peer import Message
from honeywharf.simulation.slips import DriftKinds
from honeywharf.standins.meshdemo import READINESS_WAIT_S, ROUTES, Mesh, MeshDemo, Program, find_free_subnet

KINDS = ("kind", "weights", "lost", "evacuation", "timeout")
KIND_FILE_SUFFIX = ".slip"  # The file with this suffix names the kind of drift to inject.
INTERVAL_S, POLL_INTERVAL_S = 3.0, 0.1


class _MeshWithDrift(Mesh):
    """A mesh into whose sidecars drift can be injected."""

    def program(self, name: str, ip: str, zone: str, service: str = "") -> Program:
        """Returns a program with its settings."""
        sidecar_program = super().program(name, ip, zone, service)
        if service:
            sidecar_program.module = "honeywharf.standins.driftdemo"
        return sidecar_program


class _InjectedDrift:
    """One injected drift: its node, kind and time, and its detection."""

    def __init__(self, ip: str, kind: str, at: float) -> None:
        self.ip, self.kind, self.at = ip, kind, at
        self.detected_s, self.by, self.state, self.sent = -1.0, "", "", 0


class _Run:
    """Injects drift and polls a control node until it is detected."""

    def __init__(self, demo: MeshDemo) -> None:
        self.demo, self.mesh = demo, demo.mesh
        self.drifts: list[_InjectedDrift] = []
        self.before: dict[str, int] = {}

    def run(self) -> None:
        """Runs the traffic and injects the kinds of drift one after the other."""
        mesh = self.mesh
        span = INTERVAL_S * len(KINDS) + 1.0
        flows = [Flow(*row[:3], self.demo.rate * row[4] / len(mesh.sidecars), *row[5:]) for row in ROUTES]
        for sidecar in mesh.sidecars:
            sidecar.start_clients(flows, mesh.world.now + READINESS_WAIT_S + span)
        mesh.wait(READINESS_WAIT_S + 0.5)
        for n, kind in enumerate(KINDS):
            mesh.loop.after(
                INTERVAL_S * n, partial(self._inject, kind, mesh.sidecars[n % len(mesh.sidecars)].proxy)
            )
        mesh.wait(span + 2.5)

    def _inject(self, kind: str, proxy: Program) -> None:
        drift = _InjectedDrift(proxy.ip, kind, self.mesh.world.now)
        self.drifts.append(drift)
        Path(f"{proxy.file}{KIND_FILE_SUFFIX}").write_text(kind)
        self.demo.say(f"  {kind}: put into {proxy.ip}")
        proxy.send(signal.SIGUSR1)
        self._poll(drift)

    def _poll(self, drift: _InjectedDrift) -> None:
        control_node = self.mesh.control_nodes[0]
        self.mesh.fetch(
            (control_node.ip, self.mesh.port(deployment.CONTROL)),
            "/api/drift",
            partial(self._on_views, drift),
        )

    def _on_views(self, drift: _InjectedDrift, message: Message | None) -> None:
        views = json.loads(message.body)["views"] if message is not None and message.status == 200 else []
        view = next((candidate for candidate in views if candidate["node"] == drift.ip), None)
        if view is not None and sum(view["caught"].values()) > 0:
            drift.detected_s, drift.state = self.mesh.world.now - drift.at, view["state"]
            drift.by = ", ".join(sorted(view["caught"]))
            drift.sent = sum(
                attempt.machine == drift.ip and drift.at <= attempt.sent <= self.mesh.world.now
                for attempt in self.mesh.invariant_checker.attempts.values()
            )
            self.demo.say(f"  {drift.kind}: caught by {drift.by}, {drift.state}: {view['slips'][-1][2]}")
        elif self.mesh.world.now < drift.at + INTERVAL_S - POLL_INTERVAL_S:
            self.mesh.loop.after(POLL_INTERVAL_S, partial(self._poll, drift))

    def print_summary(self) -> int:
        """Prints the table. Returns the exit status."""
        attempts = list(self.mesh.invariant_checker.attempts.values())
        figures = {
            "requests run twice that may not be": sum(
                not attempt.repeatable and len(attempt.runs) > 1 for attempt in attempts
            ),
            "requests run by a service that no rule names": sum(
                name != run.service
                for attempt in attempts
                for _, run in attempt.runs
                for name in self.demo.first.services(attempt.host, attempt.path)
            ),
            "requests refused though their rule is there": sum(attempt.status == 404 for attempt in attempts),
            "slips not caught": sum(drift.detected_s < 0 for drift in self.drifts),
            "slips not healed": sum(drift.state not in ("healed", "agreed") for drift in self.drifts),
        }
        self.demo.say(f"{'slip':<12} {'at':<14} {'seen after':>10} {'requests there':>15}  by, state")
        for drift in self.drifts:
            self.demo.say(
                f"{drift.kind:<12} {drift.ip:<14} {drift.detected_s:>8.2f} s {drift.sent:>15}  "
                f"{drift.by or 'nobody'}, {drift.state}"
            )
        served = sum(200 <= attempt.status < 300 for attempt in attempts)
        self.demo.say(f"{served} of {len(attempts)} requests served")
        for title, number in figures.items():
            self.demo.say(f"{number:>8}  {title}")
        for rule, at, description in self.mesh.invariant_checker.violations:
            self.demo.say(f"  BROKEN: {rule} at {at:.1f} s: {description}")
        return (
            1
            if any(figures.values())
            or self.mesh.invariant_checker.violations
            or served < 0.95 * len(attempts)
            else 0
        )


def play(seconds: float, rate: float, seed: int, say: Callable[[str], None]) -> int:
    """Runs the demo and returns its exit status. `seconds` has no effect: each kind has a fixed time."""
    subnet, shift = find_free_subnet()
    with tempfile.TemporaryDirectory() as name:
        mesh = _MeshWithDrift(Path(name), subnet, shift, seed)
        demo = MeshDemo(mesh, seconds, rate, say)
        say(
            f"{len(mesh.sidecars)} sidecars at {subnet}.x, {rate:g} requests/s, {len(KINDS)} slips, "
            f"seed {seed}"
        )
        try:
            if not demo.bring_up():
                say("not all proxies became ready")
                return 1
            demo_run = _Run(demo)
            demo_run.run()
            demo.shut_down()
            return demo_run.print_summary()
        finally:
            mesh.stop()


def _inject_named_kind(sidecar: Any, file: str) -> None:
    """Injects the kind of drift that the file names."""
    kind = Path(file).read_text()
    trial = cast(Any, SimpleNamespace(older=b"", newest=b""))
    getattr(DriftKinds(trial), kind)(sidecar, random.Random(kind))


def main() -> int:
    """Runs a sidecar into which drift can be injected. Returns the exit status."""
    from honeywharf.mesh_config.settings import load
    from honeywharf.programs.sidecar import Sidecar
    from honeywharf.transport.event_loop import EventLoop

    file = os.environ["HONEYWHARF_SETTINGS"]
    loop = EventLoop(None)
    sidecar = Sidecar(loop, load(file))
    loop.on_signal(signal.SIGTERM, sidecar.terminate)
    loop.on_signal(signal.SIGUSR1, lambda: _inject_named_kind(sidecar, file + KIND_FILE_SUFFIX))
    return loop.run()


if __name__ == "__main__":
    sys.exit(main())
