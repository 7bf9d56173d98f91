"""Bodies on one link: bounds in random runs, order of arrival, and stalled bodies that delay no others."""

from __future__ import annotations

from random import Random

import pytest

from honeywharf.admission.body_intake import (
    ASSUMED_BODY_BYTES,
    FIRST_PIECE_BYTES,
    MAX_BODIES,
    MAX_BODY_IN_TRANSIT_BYTES,
    MAX_RESERVED_BYTES,
    MIN_IN_TRANSIT_BYTES,
    STALL_S,
    Intake,
    PendingBody,
)

SLOW_LINK = 337_500.0  # bytes per second at 2.7 Mbit/s


class Body:
    """A body whose sender sends the bytes that are requested."""

    def __init__(self, intake: Intake, now: float, length: int, length_known: bool = True) -> None:
        self.requested = self.sent = 0
        self.length = length
        body = intake.add(now, length if length_known else -1, self.request_bytes)
        assert body is not None
        self.pending: PendingBody = body

    def request_bytes(self, size: int) -> None:
        self.requested += size


@pytest.mark.parametrize("seed", range(6))
def test_bounds_hold_and_every_body_completes(seed: int) -> None:
    rng, intake, now = Random(seed), Intake(SLOW_LINK), 0.0
    bodies: list[Body] = []
    done = 0
    while done < 200:
        now += 0.005
        if rng.random() < 0.1 and len(bodies) < 30:
            bodies.append(Body(intake, now, rng.randrange(1, 400_000), rng.random() < 0.8))
        room = int(SLOW_LINK * 0.005)  # the link's capacity in that time
        for body in list(bodies):
            size = min(room, min(body.requested, body.length) - body.sent)
            if size > 0 and rng.random() < 0.9:  # some senders are slow
                body.sent += size
                room -= size
                intake.record_received(now, body.pending, size)
            if body.sent == body.length:
                intake.discard(body.pending)
                bodies.remove(body)
                done += 1
        intake.request_more(now)
        in_transit = [
            body.requested - body.sent for body in bodies if now - body.pending.last_byte_at < STALL_S
        ]
        # The requested bytes of stalled bodies may still arrive.
        assert sum(in_transit) <= intake.max_in_transit + FIRST_PIECE_BYTES * len(bodies)
        assert all(size <= max(MAX_BODY_IN_TRANSIT_BYTES, FIRST_PIECE_BYTES) for size in in_transit)
        assert intake.reserved_bytes <= MAX_RESERVED_BYTES
    for body in bodies:
        intake.discard(body.pending)
    assert (intake.reserved_bytes, intake.backlog_s()) == (0, 0.0)


def test_requests_are_bounded_by_the_link_and_serve_the_first_body_first() -> None:
    intake = Intake(SLOW_LINK)
    one, two = Body(intake, 0.0, 100_000), Body(intake, 0.0, 100_000)
    assert not intake.request_more(0.0)
    assert (one.requested, two.requested) == (FIRST_PIECE_BYTES, FIRST_PIECE_BYTES)  # the first piece of each
    intake.record_received(0.01, one.pending, FIRST_PIECE_BYTES)
    intake.request_more(0.01)
    assert one.requested - FIRST_PIECE_BYTES + two.requested <= intake.max_in_transit
    assert one.requested > two.requested
    assert intake.backlog_s() == pytest.approx((200_000 - FIRST_PIECE_BYTES) / SLOW_LINK)


def test_a_stalled_body_delays_no_others() -> None:
    intake = Intake(SLOW_LINK)
    slow, other = Body(intake, 0.0, 100_000), Body(intake, 0.0, 100_000)
    intake.request_more(0.0)
    for _ in range(100):
        intake.record_received(0.1, other.pending, other.requested - other.sent)
        other.sent = other.requested
        intake.request_more(0.1)
    assert other.sent == other.length
    intake.discard(other.pending)
    third, fourth = Body(intake, 0.2, 50_000), Body(intake, 0.2, 50_000)
    assert intake.request_more(0.2)
    assert (third.requested, fourth.requested) == (FIRST_PIECE_BYTES, 0)
    intake.record_received(0.3, third.pending, FIRST_PIECE_BYTES)
    assert not intake.request_more(0.3)  # the bytes of the stalled body do not count
    assert fourth.requested == FIRST_PIECE_BYTES
    assert slow.requested < 3 * FIRST_PIECE_BYTES  # no further request until the requested bytes arrive


def test_an_unbounded_link_requests_the_maximum_of_each_body() -> None:
    intake = Intake()
    bodies = [Body(intake, 0.0, 300_000) for _ in range(20)]
    intake.request_more(0.0)
    intake.request_more(0.0)
    assert {body.requested for body in bodies} == {MAX_BODY_IN_TRANSIT_BYTES}


def test_bodies_and_bytes_are_bounded_and_an_invalid_rate_is_rejected() -> None:
    intake = Intake()
    bodies = [intake.add(0.0, 1, lambda size: None) for _ in range(MAX_BODIES)]
    assert None not in bodies
    assert intake.add(0.0, 1, lambda size: None) is None
    intake = Intake()
    assert intake.add(0.0, MAX_RESERVED_BYTES + 1, lambda size: None) is None
    many = [intake.add(0.0, 512 * 1024, lambda size: None) for _ in range(40)]
    assert sum(body is not None for body in many) == MAX_RESERVED_BYTES // (512 * 1024)
    with pytest.raises(ValueError, match=r"link: expected more than 0 bytes per second, got 0\.0"):
        Intake(0.0)


def test_a_body_of_unknown_length_grows_as_it_arrives() -> None:
    intake = Intake(SLOW_LINK)
    body = Body(intake, 0.0, 300_000, length_known=False)
    while body.sent < body.length:
        intake.request_more(0.0)
        size = min(body.requested, body.length) - body.sent
        assert size > 0, "no further bytes were requested"
        intake.record_received(0.0, body.pending, size)
        body.sent += size
    assert intake.reserved_bytes >= 300_000 - ASSUMED_BODY_BYTES
    intake.discard(body.pending)
    assert intake.reserved_bytes == 0


def test_the_minimum_in_transit_covers_a_round_trip_of_the_slowest_link() -> None:
    assert Intake(1.0).max_in_transit == MIN_IN_TRANSIT_BYTES
