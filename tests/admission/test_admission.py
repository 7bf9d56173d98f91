"""Slots and the short queue before them: bounds, order, and that nobody waits longer than they may."""

from __future__ import annotations

from random import Random

from honeywharf.admission.admission import QUEUE_SLOTS, Admission, Waiter


class Bench:
    """An admission whose waiters note what becomes of them."""

    def __init__(self, slots: int) -> None:
        self.admission = Admission(slots)
        self.admission.mean_s = 0.001
        self.gone: list[str] = []
        self.refused: list[str] = []

    def wait(
        self,
        name: str,
        now: float = 0.0,
        priority: int = 0,
        patience_s: float = 1.0,
        aim_s: float = 1.0,
    ) -> Waiter | None:
        return self.admission.wait(
            now,
            (priority, aim_s),
            patience_s,
            lambda: self.gone.append(name),
            lambda: self.refused.append(name),
        )

    def start(self, now: float = 0.0, short: bool = False) -> None:
        """One runs."""
        self.admission.start(now, short)

    def ended(self, took_s: float | None = None, now: float = 0.0, short: bool = False) -> None:
        """One runs no more."""
        self.admission.ended(now, short, took_s)

    def pump(self, now: float) -> None:
        """Let those run who may."""
        while (waiter := self.admission.next(now)) is not None:
            self.start()
            waiter.go()


def test_the_highest_rank_goes_first_then_the_shortest_aim_then_the_oldest() -> None:
    bench = Bench(4)
    for name, priority, aim_s in (
        ("c1", 2, 1.0),
        ("a1", 0, 1.0),
        ("b1", 1, 0.1),
        ("a2", 0, 1.0),
        ("a0", 0, 0.4),
        ("c2", 2, 1.0),
    ):
        bench.wait(name, priority=priority, aim_s=aim_s)
    bench.pump(0.1)
    assert bench.gone == ["a0", "a1", "a2", "b1"]
    bench.ended()
    bench.pump(0.1)
    assert bench.gone[4:] == ["c1"]


def test_the_queue_holds_so_many_for_a_slot_and_no_more() -> None:
    bench = Bench(3)
    taken = [bench.wait(str(n)) is not None for n in range(20)]
    assert taken == [True] * (3 * QUEUE_SLOTS) + [False] * (20 - 3 * QUEUE_SLOTS)


def test_one_that_would_wait_longer_than_it_may_is_not_queued() -> None:
    bench = Bench(2)
    bench.admission.mean_s = 0.4
    assert bench.wait("first", patience_s=0.25) is not None  # 0.2 s by the mean
    assert bench.wait("second", patience_s=0.25) is None
    assert bench.wait("higher", priority=-1, patience_s=0.25) is not None


def test_nobody_goes_after_their_time_and_each_ends_once() -> None:
    rng, bench, now = Random(11), Bench(3), 0.0
    until: dict[str, float] = {}
    went: dict[str, float] = {}
    left: set[str] = set()
    waiters: dict[str, Waiter] = {}
    for n in range(3000):
        now += rng.expovariate(50.0)
        due = bench.admission.due()
        if due is not None and due <= now:
            for waiter in bench.admission.expired(now):
                waiter.refuse()
        draw, name = rng.random(), str(n)
        if draw < 0.5:
            queued = bench.wait(name, now, rng.randrange(3), patience := rng.uniform(0.01, 0.4))
            if queued is not None:
                until[name], waiters[name] = now + 2 * patience, queued  # one that is next waits twice
        elif draw < 0.8 and bench.admission.running:
            bench.ended(rng.uniform(0.0, 0.002))
        elif draw < 0.85 and waiters:
            name = rng.choice(list(waiters))
            if waiters[name].live:
                left.add(name)
            bench.admission.leave(waiters[name])
        before = len(bench.gone)
        bench.pump(now)
        went.update((name, now) for name in bench.gone[before:])
        assert bench.admission.running <= 3
        assert bench.admission.waiting == sum(w.live for w in waiters.values()) <= 3 * QUEUE_SLOTS
    assert len(went) > 300
    assert all(when < until[name] for name, when in went.items())
    for later in (10.0, 20.0):  # those who were next wait once more
        for waiter in bench.admission.expired(now + later):
            waiter.refuse()
    ends = bench.gone + bench.refused + sorted(left)
    assert sorted(ends) == sorted(until)


def test_those_who_left_do_not_pile_up_behind_slots_that_stay_taken() -> None:
    bench = Bench(2)
    for _ in range(2):
        bench.start()
    for n in range(5000):
        waiter = bench.wait(str(n), now=n / 1000.0, patience_s=30.0)
        assert waiter is not None
        bench.admission.leave(waiter)
    assert bench.admission.waiting == 0
    assert len(bench.admission.queue) <= 100


def test_the_mean_follows_the_backends_pace() -> None:
    bench = Bench(1)
    for _ in range(200):
        bench.start()
        bench.ended(0.5)
    assert 0.49 < bench.admission.mean_s < 0.51
    bench.start()
    bench.ended()  # told nothing of the pace
    assert 0.49 < bench.admission.mean_s < 0.51


def test_slots_that_short_requests_have_held_are_not_given_to_long_ones() -> None:
    bench, now = Bench(8), 0.0
    admission = bench.admission
    assert not admission.is_short(0.5)
    assert admission.is_short(0.1)
    for _ in range(200):  # two short ones run all the time: one slot is kept
        for _ in range(2):
            bench.start(now, short=True)
        now += 0.05
        for _ in range(2):
            bench.ended(now=now, short=True)
    while admission.free(now, short=False):
        bench.start(now)
    assert admission.running == 7
    assert admission.free(now, short=True)
    assert bench.wait("long", now=now, aim_s=0.5) is not None
    assert admission.free(now, short=True)  # who waits could not take the slot
    bench.pump(now)
    assert bench.gone == []
    bench.pump(now + 5.0)  # none has come for long: nothing is kept any more
    assert (bench.gone, bench.refused) == ([], ["long"])
    assert admission.free(now + 5.0, short=False)


def test_one_long_request_always_finds_a_slot_where_nothing_runs() -> None:
    bench = Bench(1)
    bench.admission.is_short(1.0)
    bench.start(0.0, short=True)
    bench.ended(now=0.9, short=True)
    assert bench.admission.held > 0.1
    assert bench.admission.free(0.9, short=False)


def test_who_is_next_to_run_waits_once_more_and_no_longer() -> None:
    bench = Bench(4)
    for _ in range(4):
        bench.start()
    for name in ("next", "behind"):
        bench.wait(name, now=0.0, patience_s=0.1)
    for waiter in bench.admission.expired(0.1):
        waiter.refuse()
    assert bench.refused == ["behind"]
    for waiter in bench.admission.expired(0.25):
        waiter.refuse()
    assert bench.refused == ["behind", "next"]
    assert bench.admission.waiting == 0
