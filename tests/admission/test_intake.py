"""Bodies on one link: bounds over random days, first come first asked, and what stalls holds up nobody."""

from __future__ import annotations

from random import Random

import pytest

from honeywharf.admission.intake import (
    EACH_OUT,
    FIRST,
    MAX_HELD,
    MAX_PLACES,
    MIN_OUT,
    STALL_S,
    UNTOLD,
    Intake,
    Place,
)

THIN = 337_500.0  # bytes a second of 2.7 Mbit/s


class Body:
    """A body that is sent as it is asked for."""

    def __init__(self, intake: Intake, now: float, length: int, told: bool = True) -> None:
        self.asked = self.sent = 0
        self.length = length
        place = intake.join(now, length if told else -1, self.give)
        assert place is not None
        self.place: Place = place

    def give(self, size: int) -> None:
        self.asked += size


@pytest.mark.parametrize("seed", range(6))
def test_bounds_hold_and_every_body_ends(seed: int) -> None:
    dice, intake, now = Random(seed), Intake(THIN), 0.0
    bodies: list[Body] = []
    done = 0
    while done < 200:
        now += 0.005
        if dice.random() < 0.1 and len(bodies) < 30:
            bodies.append(Body(intake, now, dice.randrange(1, 400_000), dice.random() < 0.8))
        room = int(THIN * 0.005)  # what the link brings in that time
        for body in list(bodies):
            size = min(room, min(body.asked, body.length) - body.sent)
            if size > 0 and dice.random() < 0.9:  # some are slow
                body.sent += size
                room -= size
                intake.took(now, body.place, size)
            if body.sent == body.length:
                intake.leave(body.place)
                bodies.remove(body)
                done += 1
        intake.pump(now)
        out = [body.asked - body.sent for body in bodies if now - body.place.at < STALL_S]
        assert sum(out) <= intake.most_out + FIRST * len(bodies)  # what was asked of stalled ones may come
        assert all(size <= max(EACH_OUT, FIRST) for size in out)
        assert intake.held <= MAX_HELD
    for body in bodies:
        intake.leave(body.place)
    assert (intake.held, intake.backlog_s()) == (0, 0.0)


def test_what_is_asked_for_at_once_is_the_link_s_share_and_goes_to_the_first() -> None:
    intake = Intake(THIN)
    one, two = Body(intake, 0.0, 100_000), Body(intake, 0.0, 100_000)
    assert not intake.pump(0.0)
    assert (one.asked, two.asked) == (FIRST, FIRST)  # each its first piece
    intake.took(0.01, one.place, FIRST)
    intake.pump(0.01)
    assert one.asked - FIRST + two.asked <= intake.most_out
    assert one.asked > two.asked
    assert intake.backlog_s() == pytest.approx((200_000 - FIRST) / THIN)


def test_one_that_stalls_holds_up_nobody() -> None:
    intake = Intake(THIN)
    slow, other = Body(intake, 0.0, 100_000), Body(intake, 0.0, 100_000)
    intake.pump(0.0)
    for _ in range(100):
        intake.took(0.1, other.place, other.asked - other.sent)
        other.sent = other.asked
        intake.pump(0.1)
    assert other.sent == other.length
    intake.leave(other.place)
    third, fourth = Body(intake, 0.2, 50_000), Body(intake, 0.2, 50_000)
    assert intake.pump(0.2)
    assert (third.asked, fourth.asked) == (FIRST, 0)
    intake.took(0.3, third.place, FIRST)
    assert not intake.pump(0.3)  # what was asked of the slow one is not waited for any more
    assert fourth.asked == FIRST
    assert slow.asked < 3 * FIRST  # nothing more, until what it was asked for has come


def test_a_link_without_a_bound_asks_for_a_window_of_each() -> None:
    intake = Intake()
    bodies = [Body(intake, 0.0, 300_000) for _ in range(20)]
    intake.pump(0.0)
    intake.pump(0.0)
    assert {body.asked for body in bodies} == {EACH_OUT}


def test_places_and_bytes_are_bounded_and_told_wrong_is_an_error() -> None:
    intake = Intake()
    places = [intake.join(0.0, 1, lambda size: None) for _ in range(MAX_PLACES)]
    assert None not in places
    assert intake.join(0.0, 1, lambda size: None) is None
    intake = Intake()
    assert intake.join(0.0, MAX_HELD + 1, lambda size: None) is None
    many = [intake.join(0.0, 512 * 1024, lambda size: None) for _ in range(40)]
    assert sum(place is not None for place in many) == MAX_HELD // (512 * 1024)
    with pytest.raises(ValueError, match="wanted more than 0"):
        Intake(0.0)


def test_a_body_without_a_length_grows_as_it_comes() -> None:
    intake = Intake(THIN)
    body = Body(intake, 0.0, 300_000, told=False)
    while body.sent < body.length:
        intake.pump(0.0)
        size = min(body.asked, body.length) - body.sent
        assert size > 0, "nothing more was asked for"
        intake.took(0.0, body.place, size)
        body.sent += size
    assert intake.held >= 300_000 - UNTOLD
    intake.leave(body.place)
    assert intake.held == 0


def test_least_out_bears_a_round_trip_of_the_thinnest_link() -> None:
    assert Intake(1.0).most_out == MIN_OUT
