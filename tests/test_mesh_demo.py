"""`honeywharf demo --mesh` keeps every rule, and its counts detect violations."""

from __future__ import annotations

import json
from collections.abc import Iterator
from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast

import pytest

from honeywharf.mesh_config import configuration, settings
from honeywharf.simulation.invariants import Attempt
from honeywharf.standins import meshdemo
from honeywharf.standins.meshdemo import MOVED_PREFIX, ORDER_SERVICE, TILE_SERVICE, Mesh, MeshDemo


@pytest.fixture
def demo(tmp_path: Path) -> Iterator[MeshDemo]:
    """A demo that is not started, with a change acknowledged at 10 s and a leave at 20 s."""
    unstarted = MeshDemo(Mesh(tmp_path, "127.3.4", 0, 1), 5.0, 60.0, lambda line: None)
    unstarted.change.acked, unstarted.mesh.event_recorder.text = 10.0, unstarted.change.text
    unstarted.drained_backend = cast(Any, SimpleNamespace(id="i-1", service=TILE_SERVICE))
    unstarted.mesh.event_recorder.left_at["i-1"] = 20.0
    for program in unstarted.mesh.programs:
        program.log.touch()
    yield unstarted
    unstarted.mesh.loop.epoll.close()


def make_attempt(
    demo: MeshDemo, kind: str = "mutating", path: str = "/orders/1", at: float = 5.0, status: int = 200
) -> Attempt:
    attempt = Attempt(
        f"a{len(demo.mesh.invariant_checker.attempts)}",
        demo.mesh.sidecars[0].ip,
        TILE_SERVICE,
        "POST",
        "shop.example",
        path,
        kind,
    )
    attempt.sent, attempt.status = at, status
    demo.mesh.invariant_checker.attempts[attempt.id] = attempt
    return attempt


def counts(demo: MeshDemo) -> list[int]:
    return list(demo.violation_counts().values())


@pytest.mark.exclusive
def test_a_short_run_keeps_every_rule() -> None:
    lines: list[str] = []
    status = meshdemo.play(5.0, 60.0, 1, lines.append)
    text = "\n".join(lines)
    assert status == 0, text
    assert "BROKEN" not in text
    assert "drains" in text
    assert "killed by SIGKILL" in text
    assert "r13 is acknowledged" in text


def test_a_run_without_faults_counts_no_violations(demo: MeshDemo) -> None:
    other = SimpleNamespace(id="i-2", service=ORDER_SERVICE)
    make_attempt(demo).runs.append((5.1, other))
    make_attempt(demo, "read_only", MOVED_PREFIX + "1", 12.5).runs.extend([(12.6, other), (12.7, other)])
    make_attempt(demo, "read_only", MOVED_PREFIX + "2", 11.0).runs.append(
        (11.5, demo.drained_backend)
    )  # Not applied yet.
    make_attempt(demo, at=21.0).arrivals.append((21.9, demo.drained_backend))
    assert counts(demo) == [0] * 6
    assert demo.print_verdict() == 0


@pytest.mark.parametrize("place", range(6))
def test_each_count_detects_its_violation(demo: MeshDemo, place: int) -> None:
    other = SimpleNamespace(id="i-2", service=ORDER_SERVICE)
    for _ in range(20):  # Keeps the share of served requests high enough.
        make_attempt(demo, "read_only")
    if place == 0:
        make_attempt(demo).runs.extend([(5.1, other), (5.2, other)])
    elif place == 1:
        make_attempt(demo, status=503).runs.append((5.1, other))
    elif place == 2:
        make_attempt(demo, at=21.0).arrivals.append((22.1, demo.drained_backend))
    elif place == 3:
        make_attempt(demo, "read_only", MOVED_PREFIX + "1", 12.5).runs.append((12.6, demo.drained_backend))
    elif place == 4:
        demo.exit_statuses = [0, None]
    else:
        demo.mesh.control_nodes[0].log.write_text("control node: up\nfault 1: Traceback\n")
    assert counts(demo) == [int(each == place) for each in range(6)]
    assert demo.print_verdict() == 1


def test_the_settings_and_configurations_are_valid(demo: MeshDemo) -> None:
    assert not list(configuration.errors(demo.first.text))
    assert not list(configuration.errors(demo.change.text))
    for program in demo.mesh.programs:
        found = settings.load(str(program.file))
        assert found.ip == program.ip
        assert {ip for ip, _ in found.seeds} == set(demo.mesh.seeds)
    assert json.loads(demo.change.text)["config-version"] == "r13"
