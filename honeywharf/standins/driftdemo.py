"""`honeywharf demo --drift`: a mesh on loopback, traffic of all kinds, five slips, each caught and healed.

Theory of operation. The mesh is that of `meshdemo`; its sidecars run this module, which is the program of a
sidecar that takes SIGUSR1 as "put in the slip that is named in the file beside the settings". Whether it was
caught is asked of a control node (`GET /api/drift`), as an operator would.
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
from honeywharf.simulation.actors import Flow, Message
from honeywharf.simulation.slips import DriftKinds
from honeywharf.standins.meshdemo import LOOK_S, ROUTES, Day, Mesh, Program, place

SLIPS = ("kind", "weights", "lost", "evacuation", "timeout")
NAMED = ".slip"  # ends the file that names the slip to come
EVERY_S, LOOK_AGAIN_S = 3.0, 0.1


class _Slippery(Mesh):
    """A mesh whose sidecars take slips."""

    def program(self, name: str, ip: str, zone: str, service: str = "") -> Program:
        """A program with its settings."""
        made = super().program(name, ip, zone, service)
        if service:
            made.module = "honeywharf.standins.driftdemo"
        return made


class _Put:
    """One slip: where, what, when, and how it was caught."""

    def __init__(self, ip: str, kind: str, at: float) -> None:
        self.ip, self.kind, self.at = ip, kind, at
        self.caught_s, self.by, self.state, self.sent = -1.0, "", "", 0


class _Play:
    """Puts slips in and looks whether they were caught."""

    def __init__(self, day: Day) -> None:
        self.day, self.mesh = day, day.mesh
        self.puts: list[_Put] = []
        self.before: dict[str, int] = {}

    def run(self) -> None:
        """Traffic, and the slips one after the other."""
        mesh = self.mesh
        span = EVERY_S * len(SLIPS) + 1.0
        flows = [Flow(*row[:3], self.day.rate * row[4] / len(mesh.sides), *row[5:]) for row in ROUTES]
        for side in mesh.sides:
            side.drive(flows, mesh.world.now + LOOK_S + span)
        mesh.wait(LOOK_S + 0.5)
        for n, kind in enumerate(SLIPS):
            mesh.loop.after(EVERY_S * n, partial(self._put, kind, mesh.sides[n % len(mesh.sides)].proxy))
        mesh.wait(span + 2.5)

    def _put(self, kind: str, proxy: Program) -> None:
        put = _Put(proxy.ip, kind, self.mesh.world.now)
        self.puts.append(put)
        Path(f"{proxy.file}{NAMED}").write_text(kind)
        self.day.say(f"  {kind}: put into {proxy.ip}")
        proxy.send(signal.SIGUSR1)
        self._look(put)

    def _look(self, put: _Put) -> None:
        core = self.mesh.cores[0]
        self.mesh.ask((core.ip, self.mesh.port(deployment.CONTROL)), "/api/drift", partial(self._seen, put))

    def _seen(self, put: _Put, message: Message | None) -> None:
        views = json.loads(message.body)["views"] if message is not None and message.status == 200 else []
        view = next((one for one in views if one["node"] == put.ip), None)
        if view is not None and sum(view["caught"].values()) > 0:
            put.caught_s, put.state = self.mesh.world.now - put.at, view["state"]
            put.by = ", ".join(sorted(view["caught"]))
            put.sent = sum(
                ask.machine == put.ip and put.at <= ask.sent <= self.mesh.world.now
                for ask in self.mesh.invariant_checker.attempts.values()
            )
            self.day.say(f"  {put.kind}: caught by {put.by}, {put.state}: {view['slips'][-1][2]}")
        elif self.mesh.world.now < put.at + EVERY_S - LOOK_AGAIN_S:
            self.mesh.loop.after(LOOK_AGAIN_S, partial(self._look, put))

    def judge(self) -> int:
        """Say the table; the exit status."""
        attempts = list(self.mesh.invariant_checker.attempts.values())
        figures = {
            "requests run twice that may not be": sum(
                not ask.repeatable and len(ask.runs) > 1 for ask in attempts
            ),
            "requests run by a service that no rule names": sum(
                name != at.service
                for ask in attempts
                for _, at in ask.runs
                for name in self.day.first.services(ask.host, ask.path)
            ),
            "requests refused though their rule is there": sum(ask.status == 404 for ask in attempts),
            "slips not caught": sum(put.caught_s < 0 for put in self.puts),
            "slips not healed": sum(put.state not in ("healed", "agreed") for put in self.puts),
        }
        self.day.say(f"{'slip':<12} {'at':<14} {'seen after':>10} {'requests there':>15}  by, state")
        for put in self.puts:
            self.day.say(
                f"{put.kind:<12} {put.ip:<14} {put.caught_s:>8.2f} s {put.sent:>15}  "
                f"{put.by or 'nobody'}, {put.state}"
            )
        served = sum(200 <= ask.status < 300 for ask in attempts)
        self.day.say(f"{served} of {len(attempts)} requests served")
        for what, number in figures.items():
            self.day.say(f"{number:>8}  {what}")
        for rule, when, what in self.mesh.invariant_checker.violations:
            self.day.say(f"  BROKEN: {rule} at {when:.1f} s: {what}")
        return (
            1
            if any(figures.values())
            or self.mesh.invariant_checker.violations
            or served < 0.95 * len(attempts)
            else 0
        )


def play(seconds: float, rate: float, seed: int, say: Callable[[str], None]) -> int:
    """Play the demo; `seconds` is not used, each slip has its time. Exit status."""
    subnet, shift = place()
    with tempfile.TemporaryDirectory() as name:
        mesh = _Slippery(Path(name), subnet, shift, seed)
        day = Day(mesh, seconds, rate, say)
        say(f"{len(mesh.sides)} sidecars at {subnet}.x, {rate:g} requests/s, {len(SLIPS)} slips, seed {seed}")
        try:
            if not day.up():
                say("not all proxies became ready")
                return 1
            drift = _Play(day)
            drift.run()
            day.end()
            return drift.judge()
        finally:
            mesh.stop()


def _slip(sidecar: Any, file: str) -> None:
    """Put the slip in that the file names."""
    kind = Path(file).read_text()
    trial = cast(Any, SimpleNamespace(older=b"", newest=b""))
    getattr(DriftKinds(trial), kind)(sidecar, random.Random(kind))


def main() -> int:
    """A sidecar that takes slips; the exit status."""
    from honeywharf.mesh_config.settings import load
    from honeywharf.programs.sidecar import Sidecar
    from honeywharf.transport.event_loop import EventLoop

    file = os.environ["HONEYWHARF_SETTINGS"]
    loop = EventLoop(None)
    sidecar = Sidecar(loop, load(file))
    loop.on_signal(signal.SIGTERM, sidecar.terminate)
    loop.on_signal(signal.SIGUSR1, lambda: _slip(sidecar, file + NAMED))
    return loop.run()


if __name__ == "__main__":
    sys.exit(main())
