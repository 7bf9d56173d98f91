"""Bodies on one link: bounds in random runs, order of arrival, and stalled bodies that delay no others."""

from __future__ import annotations

from random import Random

import pytest

from honeywharf.admission.body_flow_control import (
    ASSUMED_BODY_BYTES,
    FIRST_PIECE_BYTES,
    MAX_BODIES,
    MAX_BODY_IN_TRANSIT_BYTES,
    MAX_RESERVED_BYTES,
    MIN_IN_TRANSIT_BYTES,
    STALL_S,
    BodyFlowControl,
    PendingBody,
)

SLOW_LINK = 337_500.0  # bytes per second at 2.7 Mbit/s


class Body:
    """A body whose sender sends the bytes that are requested."""

    def __init__(
        self, body_flow_control: BodyFlowControl, now: float, length: int, length_known: bool = True
    ) -> None:
        self.requested = self.sent = 0
        self.length = length
        body = body_flow_control.add(now, length if length_known else -1, self.request_bytes)
        assert body is not None
        self.pending: PendingBody = body

    def request_bytes(self, size: int) -> None:
        self.requested += size


@pytest.mark.parametrize("seed", range(6))
def test_bounds_hold_and_every_body_completes(seed: int) -> None:
    rng, body_flow_control, now = Random(seed), BodyFlowControl(SLOW_LINK), 0.0
    bodies: list[Body] = []
    done = 0
    while done < 200:
        now += 0.005
        if rng.random() < 0.1 and len(bodies) < 30:
            bodies.append(Body(body_flow_control, now, rng.randrange(1, 400_000), rng.random() < 0.8))
        room = int(SLOW_LINK * 0.005)  # the link's capacity in that time
        for body in list(bodies):
            size = min(room, min(body.requested, body.length) - body.sent)
            if size > 0 and rng.random() < 0.9:  # some senders are slow
                body.sent += size
                room -= size
                body_flow_control.record_received(now, body.pending, size)
            if body.sent == body.length:
                body_flow_control.discard(body.pending)
                bodies.remove(body)
                done += 1
        body_flow_control.request_more(now)
        in_transit = [
            body.requested - body.sent for body in bodies if now - body.pending.last_byte_at < STALL_S
        ]
        # The requested bytes of stalled bodies may still arrive.
        assert sum(in_transit) <= body_flow_control.max_in_transit + FIRST_PIECE_BYTES * len(bodies)
        assert all(size <= max(MAX_BODY_IN_TRANSIT_BYTES, FIRST_PIECE_BYTES) for size in in_transit)
        assert body_flow_control.reserved_bytes <= MAX_RESERVED_BYTES
    for body in bodies:
        body_flow_control.discard(body.pending)
    assert (body_flow_control.reserved_bytes, body_flow_control.backlog_s()) == (0, 0.0)


def test_requests_are_bounded_by_the_link_and_serve_the_first_body_first() -> None:
    body_flow_control = BodyFlowControl(SLOW_LINK)
    one, two = Body(body_flow_control, 0.0, 100_000), Body(body_flow_control, 0.0, 100_000)
    assert not body_flow_control.request_more(0.0)
    assert (one.requested, two.requested) == (FIRST_PIECE_BYTES, FIRST_PIECE_BYTES)  # the first piece of each
    body_flow_control.record_received(0.01, one.pending, FIRST_PIECE_BYTES)
    body_flow_control.request_more(0.01)
    assert one.requested - FIRST_PIECE_BYTES + two.requested <= body_flow_control.max_in_transit
    assert one.requested > two.requested
    assert body_flow_control.backlog_s() == pytest.approx((200_000 - FIRST_PIECE_BYTES) / SLOW_LINK)


def test_a_stalled_body_delays_no_others() -> None:
    body_flow_control = BodyFlowControl(SLOW_LINK)
    slow, other = Body(body_flow_control, 0.0, 100_000), Body(body_flow_control, 0.0, 100_000)
    body_flow_control.request_more(0.0)
    for _ in range(100):
        body_flow_control.record_received(0.1, other.pending, other.requested - other.sent)
        other.sent = other.requested
        body_flow_control.request_more(0.1)
    assert other.sent == other.length
    body_flow_control.discard(other.pending)
    third, fourth = Body(body_flow_control, 0.2, 50_000), Body(body_flow_control, 0.2, 50_000)
    assert body_flow_control.request_more(0.2)
    assert (third.requested, fourth.requested) == (FIRST_PIECE_BYTES, 0)
    body_flow_control.record_received(0.3, third.pending, FIRST_PIECE_BYTES)
    assert not body_flow_control.request_more(0.3)  # the bytes of the stalled body do not count
    assert fourth.requested == FIRST_PIECE_BYTES
    assert slow.requested < 3 * FIRST_PIECE_BYTES  # no further request until the requested bytes arrive


def test_an_unbounded_link_requests_the_maximum_of_each_body() -> None:
    body_flow_control = BodyFlowControl()
    bodies = [Body(body_flow_control, 0.0, 300_000) for _ in range(20)]
    body_flow_control.request_more(0.0)
    body_flow_control.request_more(0.0)
    assert {body.requested for body in bodies} == {MAX_BODY_IN_TRANSIT_BYTES}


def test_bodies_and_bytes_are_bounded_and_an_invalid_rate_is_rejected() -> None:
    body_flow_control = BodyFlowControl()
    bodies = [body_flow_control.add(0.0, 1, lambda size: None) for _ in range(MAX_BODIES)]
    assert None not in bodies
    assert body_flow_control.add(0.0, 1, lambda size: None) is None
    body_flow_control = BodyFlowControl()
    assert body_flow_control.add(0.0, MAX_RESERVED_BYTES + 1, lambda size: None) is None
    many = [body_flow_control.add(0.0, 512 * 1024, lambda size: None) for _ in range(40)]
    assert sum(body is not None for body in many) == MAX_RESERVED_BYTES // (512 * 1024)
    with pytest.raises(ValueError, match=r"link: expected more than 0 bytes per second, got 0\.0"):
        BodyFlowControl(0.0)


def test_a_body_of_unknown_length_grows_as_it_arrives() -> None:
    body_flow_control = BodyFlowControl(SLOW_LINK)
    body = Body(body_flow_control, 0.0, 300_000, length_known=False)
    while body.sent < body.length:
        body_flow_control.request_more(0.0)
        size = min(body.requested, body.length) - body.sent
        assert size > 0, "no further bytes were requested"
        body_flow_control.record_received(0.0, body.pending, size)
        body.sent += size
    assert body_flow_control.reserved_bytes >= 300_000 - ASSUMED_BODY_BYTES
    body_flow_control.discard(body.pending)
    assert body_flow_control.reserved_bytes == 0


def test_the_minimum_in_transit_covers_a_round_trip_of_the_slowest_link() -> None:
    assert BodyFlowControl(1.0).max_in_transit == MIN_IN_TRANSIT_BYTES
