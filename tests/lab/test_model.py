"""The models of a node and a rack."""

from __future__ import annotations

import pytest

from honeywharf.lab.model import Node, NodeSpec, Rack


def test_calls_run_on_cores_then_wait_then_are_rejected() -> None:
    node = Node(NodeSpec(cores=2, queue=1, warm_ms=0.0))
    assert [node.offer(0.0, name, 10.0) for name in "abcd"] == [True, True, True, False]
    assert node.due() == 10.0
    assert sorted(node.finish(10.0)) == ["a", "b"]
    assert node.due() == 20.0
    assert node.finish(20.0) == ["c"]
    assert node.in_flight == 0


def test_a_cold_node_is_slow_and_falls_over_under_far_too_much_work() -> None:
    node = Node(NodeSpec(cores=2, queue=1000, cold_share=0.25, warm_ms=10000.0), started_ms=0.0)
    assert node.offer(0.0, "a", 10.0)
    assert node.due() == pytest.approx(40.0)
    assert node.speed_share(10000.0) == 1.0
    for i in range(1000):  # 8 ms of work each ms, while the cold node can do 0.5
        node.offer(float(i), f"x{i}", 8.0)
    assert node.fallen
    assert not node.offer(1000.0, "y", 1.0)


def test_a_crowded_node_jams_and_recovers_when_idle() -> None:
    node = Node(
        NodeSpec(
            cores=1,
            queue=100,
            warm_ms=0.0,
            jam_at=4.0,
            jam_over_ms=1000.0,
            jam_rest_ms=500.0,
            jam_most_ms=1e9,
        )
    )
    for i in range(20):
        node.offer(0.0, f"a{i}", 1000.0)
    node.offer(900.0, "b", 1000.0)
    assert node.current_speed(900.0) == pytest.approx(1.0 / 3.0)
    while node.in_flight:
        node.finish(node.due())
    end = node.observed_ms
    node.finish(end + 400.0)
    assert node.current_speed(end + 400.0) < 1.0
    node.finish(end + 600.0)
    assert node.current_speed(end + 600.0) == 1.0


def test_a_crash_loses_the_calls_in_flight_and_the_node_restarts_cold() -> None:
    node = Node(NodeSpec(cores=1))
    node.offer(0.0, "a", 10.0)
    node.offer(0.0, "b", 10.0)
    assert node.crash() == ["a", "b"]
    assert not node.offer(1.0, "c", 10.0)
    node.restart(100.0)
    assert node.offer(100.0, "d", 10.0)
    assert node.speed_share(100.0) == 0.25


def test_a_rack_drops_a_repeat_within_the_window_and_charges_after_it() -> None:
    rack = Rack(window_ms=7500.0)
    assert rack.charge("k", 0.0)
    assert not rack.charge("k", 7499.0)
    assert rack.charge("k", 7500.0)
    assert rack.charges == {"k": 2}


def test_the_keys_of_a_rack_are_bounded() -> None:
    rack = Rack(window_ms=1e9, max_keys=100)
    for i in range(1000):
        rack.charge(f"k{i}", float(i))
    assert len(rack.seen) == len(rack.charges) == 100
    assert "k999" in rack.charges


def test_a_node_without_a_core_is_refused() -> None:
    with pytest.raises(ValueError, match=r"node\.cores: expected at least 1, got 0"):
        NodeSpec(cores=0)
