"""Clients by the million, and the doors they come to."""

from __future__ import annotations

import numpy as np
import pytest

from honeywharf.lab import days, habits, http_server
from honeywharf.lab.habits import MIXED
from honeywharf.lab.http_server import HttpServer
from honeywharf.lab.population import MOST, Population
from honeywharf.lab.simulator import Day, Result, Simulation, Trouble, play

RESTARTS = tuple(
    Trouble(3000.0 + 2000.0 * i, "restart", part=part, for_ms=1500.0, front_ms=1000.0)
    for i, part in enumerate((0.3, 0.3, 0.3, 0.1))
)


def day(**changes: object) -> Day:
    made = Day(
        "population",
        1,
        100.0,
        {"a": 4, "b": 4},
        days.none,
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


def test_a_million_clients_take_as_many_bytes_as_they_are_and_come_in_order() -> None:
    clients = Population(1_000_000, 100_000.0, 3, MIXED, 1)
    assert clients.size_bytes <= 23 * 1_000_000
    turns = clients.coming(100.0)
    assert 900 < len(turns) < 1100
    assert [t.when_ms for t in turns] == sorted(t.when_ms for t in turns)
    assert not clients.coming(100.0)  # each waits for what becomes of it
    for turn in turns:
        clients.rest(turn.client, 100.0)
    assert clients.due[[t.client for t in turns]].min() > 100.0
    shares = np.bincount(clients.habit, minlength=len(habits.NAMES)) / clients.size
    for name, weight in MIXED:
        assert shares[habits.NAMES.index(name)] == pytest.approx(weight, abs=0.005)


@pytest.mark.parametrize(
    ("size", "think_ms", "zones", "mix"),
    [
        (0, 1.0, 1, MIXED),
        (MOST + 1, 1.0, 1, MIXED),
        (1, 0.0, 1, MIXED),
        (1, 1.0, 0, MIXED),
        (1, 1.0, 1, (("shy", 1.0),)),
    ],
)
def test_what_is_no_population_is_refused(
    size: int,
    think_ms: float,
    zones: int,
    mix: tuple[tuple[str, float], ...],
) -> None:
    with pytest.raises(ValueError, match=r"wanted .* found"):
        Population(size, think_ms, zones, mix, 1)


def test_a_try_again_is_of_the_same_thing_and_a_new_wish_is_not() -> None:
    clients = Population(1, 10.0, 1, (("deaf", 1.0),), 1)
    (first,) = clients.coming(1e6)
    clients.again(0, 500.0, True)
    (second,) = clients.coming(1e6)
    assert (second.serial, second.tries, second.begun_ms, second.told) == (1, 2, first.begun_ms, True)
    clients.rest(0, 600.0)
    (third,) = clients.coming(1e6)
    assert (third.serial, third.tries, third.told) == (2, 1, False)


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
    """Each first try was served, or its client gave up after some tries; none is counted twice."""
    assert result.good <= result.served <= result.asked
    assert sum(w[0] for w in result.windows.values()) == result.asked
    assert result.double_charges == 0
    assert result.late_drains == 0


@pytest.mark.parametrize("storms", [False, True])
def test_all_proxies_are_restarted_while_the_front_sends_to_dead_ones(storms: bool) -> None:
    result = play(day(troubles=RESTARTS, storms=storms))
    accounted(result)
    assert result.cut > 50  # tries met dead proxies, or died with them
    assert result.goodput(10_500.0, 12_000.0) > 0.9
    assert result.goodput(3000.0, 10_500.0) < result.goodput(10_500.0, 12_000.0)
    assert play(day(storms=storms)).cut == 0


def test_while_descriptors_are_short_connections_wait_and_come_in_afterwards() -> None:
    trouble = Trouble(3000.0, "descriptors", part=1.0, for_ms=2000.0)
    simulation = Simulation(day(troubles=(trouble,)))
    result = simulation.play()
    accounted(result)
    assert {server.max_connections for server in simulation.servers} == {1000}
    assert result.goodput(3000.0, 5000.0) < 0.95 < result.goodput(6000.0, 12_000.0)


def test_a_restart_while_descriptors_are_short_cuts_who_waits_and_nothing_else() -> None:
    """Guards against a proxy that is back before who waited for a descriptor of the old one looks again."""
    troubles = (
        Trouble(3000.0, "descriptors", part=1.0, for_ms=2000.0),
        *(Trouble(3500.0 + 200.0 * i, "restart", part=1.0, for_ms=10.0) for i in range(5)),
    )
    accounted(play(day(troubles=troubles)))


def test_what_waits_to_be_accepted_is_begun_for_nobody_whose_patience_has_ended() -> None:
    made = play(day(accept_ms=60.0))  # a core takes 16 connections a second, and more come
    accounted(made)
    assert made.quantile(0.9) > 1000.0
    assert made.for_gone == 0


def test_clients_that_try_several_times_at_once_are_answered_once_and_counted_once() -> None:
    trouble = Trouble(3000.0, "crash", part=0.4, for_ms=3000.0)
    one = play(day(troubles=(trouble,)))
    several = play(Day(**{**vars(day(troubles=(trouble,))), "habits": (("several", 1.0),)}))
    accounted(several)
    assert several.refused > one.refused


def test_connections_that_are_idle_long_enough_are_closed() -> None:
    simulation = Simulation(day(keep_ms=500.0))
    simulation.play()
    assert simulation.population is not None
    held = int((simulation.population.proxy >= 0).sum())
    assert held == sum(server.open_connections for server in simulation.servers)
    assert held < 200
