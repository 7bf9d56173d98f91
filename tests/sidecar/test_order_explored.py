"""One order over two sidecars under single faults; bench/order_explore.py plays pairs of faults too."""

from __future__ import annotations

import pytest

from tests.sidecar.order_model import MANNERS, SCENES, Scene, play, singles, watched
from tests.sidecar.order_mutants import MUTANTS, Mutant, caught


@pytest.mark.parametrize("scene", SCENES, ids=lambda scene: scene.name)
def test_no_single_fault_makes_an_order_run_twice_or_be_answered_wrongly(scene: Scene) -> None:
    with watched():
        for faults in singles(scene, "well"):
            assert play(scene, "well", faults).wrong == [], faults


@pytest.mark.parametrize("manner", MANNERS)
def test_no_backend_behaviour_makes_an_order_run_twice_or_be_answered_wrongly(manner: str) -> None:
    with watched():
        for scene in SCENES:
            assert play(scene, manner).wrong == []


def test_an_order_without_a_fault_runs_once_and_is_answered() -> None:
    with watched():
        for scene in SCENES:
            deployment = play(scene)
            assert [run for run in deployment.runs if run != "o1"] == ["t1"]
            assert deployment.statuses() == [200]


@pytest.mark.parametrize("mutant", MUTANTS, ids=lambda mutant: mutant.name)
def test_each_mutant_is_detected(mutant: Mutant) -> None:
    assert caught(mutant)[0]
