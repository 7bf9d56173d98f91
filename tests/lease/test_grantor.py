"""The rules and bounds of a grantor's votes and of a holder's lease, one at a time."""

from __future__ import annotations

from honeywharf.lease.grantor import (
    MAX_VOTES,
    MEMBER_REMOVAL,
    QUARANTINE,
    TERMS,
    Grantor,
    Role,
    VoteAnswer,
)
from honeywharf.lease.lease import CALL_MARGIN_S, Lease

REMOVAL = Role(MEMBER_REMOVAL, "", 0)
TERM = TERMS[MEMBER_REMOVAL]
KEYS = [("10.0.0.1:1", "a"), ("10.0.0.2:1", "b"), ("10.0.0.3:1", "c")]


def ready_grantor(slots: int = 1) -> Grantor:
    """Returns a grantor that has waited its term; its time is 100."""
    grantor = Grantor(0.0, lambda kind, scope: slots)
    grantor.adopt_epoch(100.0, 1, 1)
    return grantor


def test_a_vote_goes_to_one_holder_until_it_ends_or_is_released() -> None:
    grantor = ready_grantor()
    assert grantor.request(100.0, REMOVAL, "a", 5, 1) == (VoteAnswer.GRANTED, 5)
    assert grantor.request(100.0 + TERM - 0.01, REMOVAL, "b", 9, 1) == (VoteAnswer.HELD, 5)
    assert grantor.request(100.5, REMOVAL, "a", 5, 1) == (VoteAnswer.GRANTED, 5), "a renewal"
    grantor.release(REMOVAL, "a", 4)  # A delayed call for an earlier lease.
    assert grantor.request(101.2, REMOVAL, "b", 9, 1)[0] == VoteAnswer.HELD
    grantor.release(REMOVAL, "a", 5)
    assert grantor.request(101.2, REMOVAL, "b", 9, 1) == (VoteAnswer.GRANTED, 9)
    assert grantor.request(101.2 + TERM, REMOVAL, "c", 10, 1) == (VoteAnswer.GRANTED, 10)


def test_fencing_tokens_only_grow_and_reject_a_late_action() -> None:
    grantor = ready_grantor()
    assert grantor.request(100.0, REMOVAL, "a", 5, 1) == (VoteAnswer.GRANTED, 5)
    grantor.release(REMOVAL, "a", 5)
    assert grantor.request(100.1, REMOVAL, "a", 5, 1) == (VoteAnswer.LOW_NUMBER, 5), (
        "a renewal that was delayed"
    )
    assert grantor.request(100.1, REMOVAL, "b", 6, 1) == (VoteAnswer.GRANTED, 6)
    assert not grantor.allows(REMOVAL, 5)
    assert grantor.allows(REMOVAL, 6)


def test_a_restarted_grantor_grants_nothing_for_one_term_of_the_kind() -> None:
    grantor = Grantor(50.0, lambda kind, scope: 1)
    grantor.adopt_epoch(50.0, 1, 1)
    assert grantor.request(50.0 + TERM - 0.01, REMOVAL, "a", 5, 1)[0] == VoteAnswer.WAITING
    assert grantor.request(50.0 + TERM, REMOVAL, "a", 5, 1)[0] == VoteAnswer.GRANTED
    assert grantor.request(50.0 + TERM, Role(QUARANTINE, "", 0), "a", 6, 1)[0] == VoteAnswer.WAITING
    assert (
        grantor.request(50.0 + TERMS[QUARANTINE], Role(QUARANTINE, "", 0), "a", 6, 1)[0] == VoteAnswer.GRANTED
    )


def test_votes_count_for_one_membership() -> None:
    grantor = ready_grantor()
    assert grantor.request(100.0, REMOVAL, "a", 5, 2)[0] == VoteAnswer.OTHER_EPOCH
    grantor.adopt_epoch(100.0, 1, 2)
    assert grantor.request(100.0, REMOVAL, "a", 5, 1)[0] == VoteAnswer.OTHER_EPOCH, (
        "another membership was accepted"
    )
    grantor.adopt_epoch(101.0, 2, 2)
    assert grantor.request(101.0, REMOVAL, "a", 5, 2)[0] == VoteAnswer.WAITING
    assert grantor.request(101.0 + TERM, REMOVAL, "a", 5, 2)[0] == VoteAnswer.GRANTED


def test_slots_and_votes_are_bounded() -> None:
    grantor = ready_grantor(slots=2000)
    assert grantor.request(100.0, Role(QUARANTINE, "", 2000), "a", 5, 1)[0] == VoteAnswer.NO_SLOT
    assert grantor.request(100.0, Role(QUARANTINE, "", -1), "a", 5, 1)[0] == VoteAnswer.NO_SLOT
    assert grantor.request(100.0, Role("else", "", 0), "a", 5, 1)[0] == VoteAnswer.NO_SLOT
    assert grantor.request(100.0, Role(QUARANTINE, "z" * 129, 0), "a", 5, 1)[0] == VoteAnswer.NO_SLOT
    assert grantor.request(100.0, REMOVAL, "a", 1 << 62, 1)[0] == VoteAnswer.NO_SLOT
    for slot in range(MAX_VOTES):
        assert grantor.request(100.0, Role(QUARANTINE, "", slot), "a", 6 + slot, 1)[0] == VoteAnswer.GRANTED
    assert grantor.request(100.0, Role(QUARANTINE, "", 1000), "a", 9000, 1)[0] == VoteAnswer.FULL
    assert len(grantor.votes) == MAX_VOTES
    later = 100.0 + TERMS[QUARANTINE]
    assert grantor.request(later, Role(QUARANTINE, "", 1000), "a", 9000, 1)[0] == VoteAnswer.GRANTED, (
        "expired votes make room"
    )
    assert [vote[2] for vote in grantor.view(later)] == [1000]


def test_a_lease_counts_from_the_start_of_its_round_and_needs_a_majority_of_all() -> None:
    lease = Lease(REMOVAL, "a", 0)
    assert lease.begin(10.0, 1, KEYS, 700) == KEYS
    assert lease.number == 700
    assert not lease.received(10.2, lease.round, KEYS[0], VoteAnswer.GRANTED, 700)
    lease.timed_out(lease.round, KEYS[1])
    assert not lease.cannot_reach_majority()
    assert not lease.received(10.2, lease.round - 1, KEYS[2], VoteAnswer.GRANTED, 700), (
        "an answer of another round"
    )
    assert not lease.received(10.2, lease.round, ("10.9.9.9:1", "x"), VoteAnswer.GRANTED, 700), "not a member"
    assert lease.received(10.3, lease.round, KEYS[2], VoteAnswer.GRANTED, 700)
    assert lease.holds(10.0 + 0.98 * TERM - CALL_MARGIN_S - 0.001)
    assert not lease.holds(10.0 + 0.98 * TERM - CALL_MARGIN_S)
    lease.begin(10.5, 1, KEYS, 100)
    assert lease.number == 700, "a renewal keeps its number"
    lease.stop()
    assert not lease.holds(10.5)
    lease.begin(10.6, 1, KEYS, 100)
    assert lease.number == 701, "above its last number, whatever the time of day"


def test_a_round_that_lacks_only_a_higher_number_is_recognized() -> None:
    lease = Lease(REMOVAL, "a", 0)
    lease.begin(10.0, 1, KEYS, 700)
    lease.received(10.0, lease.round, KEYS[0], VoteAnswer.LOW_NUMBER, 900)
    lease.received(10.0, lease.round, KEYS[1], VoteAnswer.LOW_NUMBER, 850)
    assert lease.cannot_reach_majority()
    assert lease.needs_higher_number()
    lease.begin(10.0, 1, KEYS, 700)
    assert lease.number == 901
    lease.received(10.0, lease.round, KEYS[0], VoteAnswer.HELD, 900)
    assert not lease.needs_higher_number()
