"""Populations of clients, and the servers of the proxies they connect to."""

from __future__ import annotations

import numpy as np
import pytest

from honeywharf.lab import days, habits, http_server
from honeywharf.lab.habits import MIXED
from honeywharf.lab.http_server import HttpServer
from honeywharf.lab.population import MAX_CLIENTS, Population
from honeywharf.lab.simulator import Day, Fault, Result, Simulation, play

RESTARTS = tuple(
    Fault(3000.0 + 2000.0 * i, "restart", part=part, for_ms=1500.0, front_ms=1000.0)
    for i, part in enumerate((0.3, 0.3, 0.3, 0.1))
)


def day(**changes: object) -> Day:
    made = Day(
        "population",
        1,
        100.0,
        {"a": 4, "b": 4},
        days.no_arrivals,
        spec=days.TILE,
        retries=6,
        length_ms=14_000.0,
        habits=MIXED,
        marks=0.5,
        proxies=4,
        clients=2000,
        think_ms=2000.0 / 0.09,
        **changes,  # type: ignore[arg-type]
    )
    return made


def test_a_million_clients_take_23_bytes_each_and_attempts_are_in_order() -> None:
    clients = Population(1_000_000, 100_000.0, 3, MIXED, 1)
    assert clients.size_bytes <= 23 * 1_000_000
    attempts = clients.take_due(100.0)
    assert 900 < len(attempts) < 1100
    assert [t.when_ms for t in attempts] == sorted(t.when_ms for t in attempts)
    assert not clients.take_due(100.0)  # each client waits for its answer
    for attempt in attempts:
        clients.think(attempt.client, 100.0)
    assert clients.due[[t.client for t in attempts]].min() > 100.0
    shares = np.bincount(clients.habit, minlength=len(habits.NAMES)) / clients.size
    for name, weight in MIXED:
        assert shares[habits.NAMES.index(name)] == pytest.approx(weight, abs=0.005)


@pytest.mark.parametrize(
    ("size", "think_ms", "zones", "mix"),
    [
        (0, 1.0, 1, MIXED),
        (MAX_CLIENTS + 1, 1.0, 1, MIXED),
        (1, 0.0, 1, MIXED),
        (1, 1.0, 0, MIXED),
        (1, 1.0, 1, (("shy", 1.0),)),
    ],
)
def test_an_invalid_population_is_refused(
    size: int,
    think_ms: float,
    zones: int,
    mix: tuple[tuple[str, float], ...],
) -> None:
    with pytest.raises(ValueError, match=r"expected .* got"):
        Population(size, think_ms, zones, mix, 1)


def test_a_retry_is_of_the_same_request_and_a_new_request_is_not() -> None:
    clients = Population(1, 10.0, 1, (("deaf", 1.0),), 1)
    (first,) = clients.take_due(1e6)
    clients.retry_at(0, 500.0, True)
    (second,) = clients.take_due(1e6)
    assert (second.serial, second.attempts, second.begun_ms, second.as_advised) == (
        1,
        2,
        first.begun_ms,
        True,
    )
    clients.think(0, 600.0)
    (third,) = clients.take_due(1e6)
    assert (third.serial, third.attempts, third.as_advised) == (2, 1, False)


def test_a_server_accepts_at_its_rate_as_its_core_and_descriptors_allow() -> None:
    server = HttpServer(accept_ms=2.0, max_connections=4)
    assert [server.accept(0.0), server.accept(0.0)] == [2.0, 4.0]
    server.queued = 2
    server.set_accept_rate(10.0, 100.0)
    assert [server.accept(10.0), server.accept(10.0)] == [22.0, 32.0]
    server.queued = 4
    assert server.accept(10.0) == http_server.FULL
    server.max_connections, server.queued = 10_000, http_server.ACCEPT_BACKLOG - 1
    assert server.accept(10.0) != http_server.FULL
    server.queued = http_server.ACCEPT_BACKLOG
    assert server.accept(10.0) == http_server.FULL
    server.crash(50.0)
    assert (server.up, server.open_connections, server.queued) == (False, 0, 0)
    server.start(60.0)
    assert server.accept(60.0) == 62.0  # the new process has no bound


def accounted(result: Result) -> None:
    """Asserts that each request is counted once, and that no key is charged twice and no drain broken."""
    assert result.good <= result.served <= result.requests
    assert sum(w[0] for w in result.windows.values()) == result.requests
    assert result.double_charges == 0
    assert result.late_drains == 0


@pytest.mark.parametrize("storms", [False, True])
def test_all_proxies_restart_while_the_front_sends_to_dead_ones(storms: bool) -> None:
    result = play(day(faults=RESTARTS, storms=storms))
    accounted(result)
    assert result.disconnected > 50  # attempts met dead proxies, or died with them
    assert result.goodput(10_500.0, 12_000.0) > 0.9
    assert result.goodput(3000.0, 10_500.0) < result.goodput(10_500.0, 12_000.0)
    assert play(day(storms=storms)).disconnected == 0


def test_connections_wait_while_descriptors_are_short_and_are_accepted_later() -> None:
    fault = Fault(3000.0, "descriptors", part=1.0, for_ms=2000.0)
    simulation = Simulation(day(faults=(fault,)))
    result = simulation.play()
    accounted(result)
    assert {server.max_connections for server in simulation.servers} == {1000}
    assert result.goodput(3000.0, 5000.0) < 0.95 < result.goodput(6000.0, 12_000.0)


def test_a_restart_while_descriptors_are_short_cuts_only_waiting_connections() -> None:
    """Guards against a proxy that restarts before connections waiting for a descriptor are tried again."""
    faults = (
        Fault(3000.0, "descriptors", part=1.0, for_ms=2000.0),
        *(Fault(3500.0 + 200.0 * i, "restart", part=1.0, for_ms=10.0) for i in range(5)),
    )
    accounted(play(day(faults=faults)))


def test_no_attempt_is_sent_for_a_client_whose_deadline_passed_in_the_accept_queue() -> None:
    made = play(day(accept_ms=60.0))  # a core accepts 16 connections per second, and more arrive
    accounted(made)
    assert made.quantile(0.9) > 1000.0
    assert made.sent_past_deadline == 0


def test_clients_with_parallel_copies_are_answered_and_counted_once() -> None:
    fault = Fault(3000.0, "crash", part=0.4, for_ms=3000.0)
    one = play(day(faults=(fault,)))
    several = play(Day(**{**vars(day(faults=(fault,))), "habits": (("several", 1.0),)}))
    accounted(several)
    assert several.refused > one.refused


def test_idle_connections_are_closed() -> None:
    simulation = Simulation(day(keep_ms=500.0))
    simulation.play()
    assert simulation.population is not None
    held = int((simulation.population.proxy >= 0).sum())
    assert held == sum(server.open_connections for server in simulation.servers)
    assert held < 200
