"""`honeywharf demo --mesh` plays to its end, and its figures see what they are to see."""

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
from honeywharf.standins.meshdemo import MOVED, ORDERS, TILES, Day, Mesh


@pytest.fixture
def day(tmp_path: Path) -> Iterator[Day]:
    """A mesh that was not started, after a change that was acknowledged at 10 s and a leave at 20 s."""
    made = Day(Mesh(tmp_path, "127.3.4", 0, 1), 5.0, 60.0, lambda line: None)
    made.change.acked, made.mesh.heard.text = 10.0, made.change.text
    made.left = cast(Any, SimpleNamespace(id="i-1", service=TILES))
    made.mesh.heard.left["i-1"] = 20.0
    for program in made.mesh.programs:
        program.log.touch()
    yield made
    made.mesh.loop.epoll.close()


def asked(
    day: Day, kind: str = "mutating", path: str = "/orders/1", at: float = 5.0, status: int = 200
) -> Attempt:
    ask = Attempt(
        f"a{len(day.mesh.invariant_checker.attempts)}",
        day.mesh.sides[0].ip,
        TILES,
        "POST",
        "shop.example",
        path,
        kind,
    )
    ask.sent, ask.status = at, status
    day.mesh.invariant_checker.attempts[ask.id] = ask
    return ask


def told(day: Day) -> list[int]:
    return list(day.figures().values())


@pytest.mark.exclusive
def test_a_short_day_keeps_every_rule() -> None:
    lines: list[str] = []
    status = meshdemo.play(5.0, 60.0, 1, lines.append)
    text = "\n".join(lines)
    assert status == 0, text
    assert "BROKEN" not in text
    assert "drains" in text
    assert "killed by SIGKILL" in text
    assert "r13 is acknowledged" in text


def test_a_day_without_faults_counts_nothing(day: Day) -> None:
    other = SimpleNamespace(id="i-2", service=ORDERS)
    asked(day).runs.append((5.1, other))
    asked(day, "read_only", MOVED + "1", 12.5).runs.extend([(12.6, other), (12.7, other)])
    asked(day, "read_only", MOVED + "2", 11.0).runs.append((11.5, day.left))  # not applied yet
    asked(day, at=21.0).arrivals.append((21.9, day.left))
    assert told(day) == [0] * 6
    assert day.judge() == 0


@pytest.mark.parametrize("place", range(6))
def test_each_figure_sees_its_fault(day: Day, place: int) -> None:
    other = SimpleNamespace(id="i-2", service=ORDERS)
    for _ in range(20):  # enough are served
        asked(day, "read_only")
    if place == 0:
        asked(day).runs.extend([(5.1, other), (5.2, other)])
    elif place == 1:
        asked(day, status=503).runs.append((5.1, other))
    elif place == 2:
        asked(day, at=21.0).arrivals.append((22.1, day.left))
    elif place == 3:
        asked(day, "read_only", MOVED + "1", 12.5).runs.append((12.6, day.left))
    elif place == 4:
        day.ends = [0, None]
    else:
        day.mesh.cores[0].log.write_text("control node: up\nfault 1: Traceback\n")
    assert told(day) == [int(each == place) for each in range(6)]
    assert day.judge() == 1


def test_what_it_gives_the_programs_is_valid(day: Day) -> None:
    assert not list(configuration.errors(day.first.text))
    assert not list(configuration.errors(day.change.text))
    for program in day.mesh.programs:
        found = settings.load(str(program.file))
        assert found.ip == program.ip
        assert {ip for ip, _ in found.seeds} == set(day.mesh.seeds)
    assert json.loads(day.change.text)["config-version"] == "r13"
