"""The admission queue: bounds, order, and that no request waits longer than it may."""

from __future__ import annotations

from random import Random

from honeywharf.admission.admission_queue import MAX_WAITING_PER_SLOT, Admission, Waiter


class Harness:
    """An admission queue, with the names of the requests that it has started and refused."""

    def __init__(self, slots: int) -> None:
        self.admission = Admission(slots)
        self.admission.mean_s = 0.001
        self.started: list[str] = []
        self.refused: list[str] = []

    def enqueue(
        self,
        name: str,
        now: float = 0.0,
        priority: int = 0,
        max_wait_s: float = 1.0,
        target_s: float = 1.0,
    ) -> Waiter | None:
        return self.admission.enqueue(
            now,
            (priority, target_s),
            max_wait_s,
            lambda: self.started.append(name),
            lambda: self.refused.append(name),
        )

    def start_one(self, now: float = 0.0, short: bool = False) -> None:
        """Starts one request."""
        self.admission.start(now, short)

    def finish(self, service_time_s: float | None = None, now: float = 0.0, short: bool = False) -> None:
        """Ends one request."""
        self.admission.finish(now, short, service_time_s)

    def start_ready(self, now: float) -> None:
        """Starts all requests that may run."""
        while (waiter := self.admission.pop_next(now)) is not None:
            self.start_one()
            waiter.start()


def test_requests_start_by_priority_then_shortest_target_then_age() -> None:
    harness = Harness(4)
    for name, priority, target_s in (
        ("c1", 2, 1.0),
        ("a1", 0, 1.0),
        ("b1", 1, 0.1),
        ("a2", 0, 1.0),
        ("a0", 0, 0.4),
        ("c2", 2, 1.0),
    ):
        harness.enqueue(name, priority=priority, target_s=target_s)
    harness.start_ready(0.1)
    assert harness.started == ["a0", "a1", "a2", "b1"]
    harness.finish()
    harness.start_ready(0.1)
    assert harness.started[4:] == ["c1"]


def test_the_queue_length_is_bounded_per_slot() -> None:
    harness = Harness(3)
    taken = [harness.enqueue(str(n)) is not None for n in range(20)]
    assert taken == [True] * (3 * MAX_WAITING_PER_SLOT) + [False] * (20 - 3 * MAX_WAITING_PER_SLOT)


def test_a_request_whose_expected_wait_is_too_long_is_not_queued() -> None:
    harness = Harness(2)
    harness.admission.mean_s = 0.4
    assert harness.enqueue("first", max_wait_s=0.25) is not None  # 0.2 s by the mean
    assert harness.enqueue("second", max_wait_s=0.25) is None
    assert harness.enqueue("higher", priority=-1, max_wait_s=0.25) is not None


def test_no_request_starts_after_it_expires_and_each_ends_once() -> None:
    rng, harness, now = Random(11), Harness(3), 0.0
    expires_at: dict[str, float] = {}
    started_at: dict[str, float] = {}
    removed: set[str] = set()
    waiters: dict[str, Waiter] = {}
    for n in range(3000):
        now += rng.expovariate(50.0)
        expiry = harness.admission.next_expiry()
        if expiry is not None and expiry <= now:
            for waiter in harness.admission.pop_expired(now):
                waiter.refuse()
        draw, name = rng.random(), str(n)
        if draw < 0.5:
            added = harness.enqueue(name, now, rng.randrange(3), max_wait := rng.uniform(0.01, 0.4))
            if added is not None:
                expires_at[name], waiters[name] = now + 2 * max_wait, added  # the next to run may wait twice
        elif draw < 0.8 and harness.admission.running:
            harness.finish(rng.uniform(0.0, 0.002))
        elif draw < 0.85 and waiters:
            name = rng.choice(list(waiters))
            if waiters[name].queued:
                removed.add(name)
            harness.admission.remove(waiters[name])
        before = len(harness.started)
        harness.start_ready(now)
        started_at.update((name, now) for name in harness.started[before:])
        assert harness.admission.running <= 3
        assert (
            harness.admission.waiting == sum(w.queued for w in waiters.values()) <= 3 * MAX_WAITING_PER_SLOT
        )
    assert len(started_at) > 300
    assert all(when < expires_at[name] for name, when in started_at.items())
    for later in (10.0, 20.0):  # the next to run wait once more
        for waiter in harness.admission.pop_expired(now + later):
            waiter.refuse()
    ends = harness.started + harness.refused + sorted(removed)
    assert sorted(ends) == sorted(expires_at)


def test_removed_requests_do_not_accumulate_while_all_slots_are_taken() -> None:
    harness = Harness(2)
    for _ in range(2):
        harness.start_one()
    for n in range(5000):
        waiter = harness.enqueue(str(n), now=n / 1000.0, max_wait_s=30.0)
        assert waiter is not None
        harness.admission.remove(waiter)
    assert harness.admission.waiting == 0
    assert len(harness.admission.queue) <= 100


def test_the_mean_service_time_follows_the_backend() -> None:
    harness = Harness(1)
    for _ in range(200):
        harness.start_one()
        harness.finish(0.5)
    assert 0.49 < harness.admission.mean_s < 0.51
    harness.start_one()
    harness.finish()  # gives no service time
    assert 0.49 < harness.admission.mean_s < 0.51


def test_slots_that_short_requests_have_used_are_reserved_from_long_ones() -> None:
    harness, now = Harness(8), 0.0
    admission = harness.admission
    assert not admission.is_short(0.5)
    assert admission.is_short(0.1)
    for _ in range(200):  # two short requests run all the time, so one slot is reserved
        for _ in range(2):
            harness.start_one(now, short=True)
        now += 0.05
        for _ in range(2):
            harness.finish(now=now, short=True)
    while admission.can_start(now, short=False):
        harness.start_one(now)
    assert admission.running == 7
    assert admission.can_start(now, short=True)
    assert harness.enqueue("long", now=now, target_s=0.5) is not None
    assert admission.can_start(now, short=True)  # the waiting request could not take the slot
    harness.start_ready(now)
    assert harness.started == []
    harness.start_ready(now + 5.0)  # no short request has come for long, so no slot is reserved
    assert (harness.started, harness.refused) == ([], ["long"])
    assert admission.can_start(now + 5.0, short=False)


def test_a_long_request_finds_a_slot_on_an_idle_backend() -> None:
    harness = Harness(1)
    harness.admission.is_short(1.0)
    harness.start_one(0.0, short=True)
    harness.finish(now=0.9, short=True)
    assert harness.admission.short_slots > 0.1
    assert harness.admission.can_start(0.9, short=False)


def test_the_next_to_run_wait_once_more_and_no_longer() -> None:
    harness = Harness(4)
    for _ in range(4):
        harness.start_one()
    for name in ("next", "behind"):
        harness.enqueue(name, now=0.0, max_wait_s=0.1)
    for waiter in harness.admission.pop_expired(0.1):
        waiter.refuse()
    assert harness.refused == ["behind"]
    for waiter in harness.admission.pop_expired(0.25):
        waiter.refuse()
    assert harness.refused == ["behind", "next"]
    assert harness.admission.waiting == 0
