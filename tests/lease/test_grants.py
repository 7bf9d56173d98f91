"""A grantor's votes and a holder's count, one rule at a time; and what is bounded."""

from __future__ import annotations

from honeywharf.lease import grants
from honeywharf.lease.grants import FULL, GRANTED, HELD, LOW, NONE, ROSTER, TERMS, WAITS, Grantor
from honeywharf.lease.lease import MARGIN, Lease

UPKEEP = ("upkeep", "", 0)
TERM = TERMS["upkeep"]
KEYS = [("10.0.0.1:1", "a"), ("10.0.0.2:1", "b"), ("10.0.0.3:1", "c")]


def awake(places: int = 1) -> Grantor:
    """One that has waited long enough; its time is 100."""
    grantor = Grantor(0.0, lambda kind, scope: places)
    grantor.roster(100.0, 1, 1)
    return grantor


def test_a_vote_goes_to_one_until_it_ends_or_is_given_back() -> None:
    grantor = awake()
    assert grantor.ask(100.0, UPKEEP, "a", 5, 1) == (GRANTED, 5)
    assert grantor.ask(100.0 + TERM - 0.01, UPKEEP, "b", 9, 1) == (HELD, 5)
    assert grantor.ask(100.5, UPKEEP, "a", 5, 1) == (GRANTED, 5), "a renewal"
    grantor.free(UPKEEP, "a", 4)  # a late word of an earlier lease
    assert grantor.ask(101.2, UPKEEP, "b", 9, 1)[0] == HELD
    grantor.free(UPKEEP, "a", 5)
    assert grantor.ask(101.2, UPKEEP, "b", 9, 1) == (GRANTED, 9)
    assert grantor.ask(101.2 + TERM, UPKEEP, "c", 10, 1) == (GRANTED, 10)


def test_numbers_only_grow_and_a_late_act_is_known() -> None:
    grantor = awake()
    assert grantor.ask(100.0, UPKEEP, "a", 5, 1) == (GRANTED, 5)
    grantor.free(UPKEEP, "a", 5)
    assert grantor.ask(100.1, UPKEEP, "a", 5, 1) == (LOW, 5), "a renewal that was held up"
    assert grantor.ask(100.1, UPKEEP, "b", 6, 1) == (GRANTED, 6)
    assert not grantor.passes(UPKEEP, 5)
    assert grantor.passes(UPKEEP, 6)


def test_who_has_started_grants_nothing_for_one_term_of_the_kind() -> None:
    grantor = Grantor(50.0, lambda kind, scope: 1)
    grantor.roster(50.0, 1, 1)
    assert grantor.ask(50.0 + TERM - 0.01, UPKEEP, "a", 5, 1)[0] == WAITS
    assert grantor.ask(50.0 + TERM, UPKEEP, "a", 5, 1)[0] == GRANTED
    assert grantor.ask(50.0 + TERM, ("aside", "", 0), "a", 6, 1)[0] == WAITS
    assert grantor.ask(50.0 + TERMS["aside"], ("aside", "", 0), "a", 6, 1)[0] == GRANTED


def test_votes_count_for_one_roster() -> None:
    grantor = awake()
    assert grantor.ask(100.0, UPKEEP, "a", 5, 2)[0] == ROSTER
    grantor.roster(100.0, 1, 2)
    assert grantor.ask(100.0, UPKEEP, "a", 5, 1)[0] == ROSTER, "it has accepted another one"
    grantor.roster(101.0, 2, 2)
    assert grantor.ask(101.0, UPKEEP, "a", 5, 2)[0] == WAITS
    assert grantor.ask(101.0 + TERM, UPKEEP, "a", 5, 2)[0] == GRANTED


def test_places_and_votes_are_bounded() -> None:
    grantor = awake(places=2000)
    assert grantor.ask(100.0, ("aside", "", 2000), "a", 5, 1)[0] == NONE
    assert grantor.ask(100.0, ("aside", "", -1), "a", 5, 1)[0] == NONE
    assert grantor.ask(100.0, ("else", "", 0), "a", 5, 1)[0] == NONE
    assert grantor.ask(100.0, ("aside", "z" * 129, 0), "a", 5, 1)[0] == NONE
    assert grantor.ask(100.0, UPKEEP, "a", 1 << 62, 1)[0] == NONE
    for place in range(grants.MAX_VOTES):
        assert grantor.ask(100.0, ("aside", "", place), "a", 6 + place, 1)[0] == GRANTED
    assert grantor.ask(100.0, ("aside", "", 1000), "a", 9000, 1)[0] == FULL
    assert len(grantor.votes) == grants.MAX_VOTES
    later = 100.0 + TERMS["aside"]
    assert grantor.ask(later, ("aside", "", 1000), "a", 9000, 1)[0] == GRANTED, "ended ones make room"
    assert [one[2] for one in grantor.view(later)] == [1000]


def test_a_holder_counts_from_before_it_asked_and_wants_a_majority_of_all() -> None:
    lease = Lease(UPKEEP, "a", 0)
    assert lease.begin(10.0, 1, KEYS, 700) == KEYS
    assert lease.number == 700
    assert not lease.heard(10.2, lease.round, KEYS[0], GRANTED, 700)
    lease.lost(lease.round, KEYS[1])
    assert not lease.hopeless()
    assert not lease.heard(10.2, lease.round - 1, KEYS[2], GRANTED, 700), "an answer of another round"
    assert not lease.heard(10.2, lease.round, ("10.9.9.9:1", "x"), GRANTED, 700), "nobody of the roster"
    assert lease.heard(10.3, lease.round, KEYS[2], GRANTED, 700)
    assert lease.holds(10.0 + 0.98 * TERM - MARGIN - 0.001)
    assert not lease.holds(10.0 + 0.98 * TERM - MARGIN)
    lease.begin(10.5, 1, KEYS, 100)
    assert lease.number == 700, "a renewal keeps its number"
    lease.stop()
    assert not lease.holds(10.5)
    lease.begin(10.6, 1, KEYS, 100)
    assert lease.number == 701, "above its own last one, whatever the time of day"


def test_a_round_that_wants_a_higher_number_only_is_known() -> None:
    lease = Lease(UPKEEP, "a", 0)
    lease.begin(10.0, 1, KEYS, 700)
    lease.heard(10.0, lease.round, KEYS[0], LOW, 900)
    lease.heard(10.0, lease.round, KEYS[1], LOW, 850)
    assert lease.hopeless()
    assert lease.raised()
    lease.begin(10.0, 1, KEYS, 700)
    assert lease.number == 901
    lease.heard(10.0, lease.round, KEYS[0], HELD, 900)
    assert not lease.raised()
