"""Scheduling of frames: short frames overtake bodies, sessions take turns, order and bounds hold."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import pytest

from honeywharf.sessions import send_scheduler
from honeywharf.sessions.frames import CHUNK_BYTES, DATA, END, HAVE, HEAD, LEAVE, PART, WHOLE
from honeywharf.sessions.send_scheduler import BODY_SHARE, BURST_BYTES, SendScheduler

RATE = 1_000_000.0


class Link:
    """A link that records the frames it was given."""

    def __init__(self, carries_short_bodies: bool = False) -> None:
        self.carries_short_bodies, self.is_closed, self.unsent = carries_short_bodies, False, 0
        self.sent: list[list[Any]] = []

    def send(self, frame: list[Any]) -> int:
        self.sent.append(frame)
        return 40 + (len(frame[4]) if frame[0] in (DATA, PART) else 0)

    def drop(self) -> None:
        self.is_closed = True

    def bytes(self) -> int:
        return sum(len(frame[4]) for frame in self.sent if frame[0] in (DATA, PART))


class Clock:
    def __init__(self) -> None:
        self.now = 0.0
        self.due: list[tuple[float, Callable[[], None]]] = []

    def after(self, seconds: float, call: Callable[[], None]) -> None:
        self.due.append((self.now + seconds, call))

    def run(self, until: float) -> None:
        while self.due and min(self.due, key=lambda one: one[0])[0] <= until:
            one = min(self.due, key=lambda one: one[0])
            self.due.remove(one)
            self.now = max(self.now, one[0])
            one[1]()
        self.now = until


def made(rate: float = RATE) -> tuple[SendScheduler, Clock]:
    clock = Clock()
    return SendScheduler(lambda: clock.now, clock.after, rate), clock


def body(session: int, number: int = 0, kind: int = DATA) -> list[Any]:
    return [kind, bytes([session]) * 16, 1, number * CHUNK_BYTES, bytes(CHUNK_BYTES)]


def test_a_short_frame_waits_behind_at_most_a_burst_of_bodies() -> None:
    one, clock = made()
    bulk, quick = Link(), Link(True)
    for session in range(50):
        for number in range(16):
            one.send(bulk, body(session, number))
    assert bulk.bytes() <= BURST_BYTES + CHUNK_BYTES
    one.send(quick, [HAVE, b"q" * 16, 1, b"", 0, 0, 0])
    one.send(quick, body(99))  # The body of a short request.
    one.send(quick, body(98, 0, PART))  # The first chunk of an answer.
    assert len(quick.sent) == 3
    clock.run(1.0)
    assert bulk.bytes() <= BODY_SHARE * RATE + BURST_BYTES + CHUNK_BYTES
    assert bulk.bytes() >= 0.9 * BODY_SHARE * RATE
    clock.run(60.0)
    assert bulk.bytes() == 50 * 16 * CHUNK_BYTES
    assert (one.queues, one.queued_bytes, clock.due) == ({}, 0, [])


def test_queued_sessions_take_turns() -> None:
    one, clock = made()
    bulk = Link()
    for session in range(4):
        for number in range(20):
            one.send(bulk, body(session, number))
    clock.run(0.6)
    counts = [sum(frame[1][0] == session for frame in bulk.sent) for session in range(1, 4)]
    assert max(counts) - min(counts) <= 1 < min(counts)


def test_order_within_a_session_is_kept_and_frames_that_move_it_are_not_queued() -> None:
    for seed in range(50):
        draw = random.Random(seed)
        one, clock = made()
        link = Link()
        given: dict[int, list[list[Any]]] = {session: [] for session in range(5)}
        for _ in range(120):
            session = draw.randrange(5)
            kind = draw.choice((DATA, DATA, END, HEAD, PART, WHOLE))
            frame = (
                body(session, draw.randrange(4), kind)
                if kind in (DATA, PART)
                else [kind, bytes([session]) * 16, 1, 0]
            )
            given[session].append(frame)
            one.send(link, frame)
            if draw.random() < 0.2:
                link.unsent = draw.choice((0, 100))
            if draw.random() < 0.3:
                clock.run(clock.now + 0.02)
        one.send(link, [LEAVE, b"\0" * 16, 1])
        assert link.sent[-1][0] == LEAVE
        link.unsent = 0
        clock.run(clock.now + 30.0)
        for session, frames in given.items():
            assert [f for f in link.sent if f[1][0] == session and f[0] != LEAVE] == frames


def test_a_blocked_link_delays_only_its_own_frames_and_a_lost_one_drops_them() -> None:
    one, clock = made()
    full, lost, free = Link(), Link(), Link()
    full.unsent = 1
    for number in range(8):
        for session, link in enumerate((full, lost, free)):
            one.send(link, body(session, number))
    lost.is_closed = True
    clock.run(5.0)
    assert full.sent == []
    assert free.bytes() == 8 * CHUNK_BYTES
    assert one.queued_bytes == 8 * CHUNK_BYTES
    full.unsent = 0
    clock.run(6.0)
    assert full.bytes() == 8 * CHUNK_BYTES
    assert (one.queued_bytes, one.queues) == (0, {})


def test_queued_bytes_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(send_scheduler, "MAX_QUEUED_BYTES", 10 * CHUNK_BYTES)
    one, _ = made()
    link = Link()
    link.unsent = 1
    for number in range(11):
        one.send(link, body(1, number))
    assert link.is_closed
    with pytest.raises(ValueError, match="rate: expected more than 0 bytes/s, got 0"):
        made(0.0)
