"""The message layer without sockets: duplicates, lost replies, separate responses, limits."""

from __future__ import annotations

import pytest

from honeywharf.coap import messages
from honeywharf.coap.messages import (
    ACK_DELAY_MS,
    ACK_TIMEOUT,
    EXCHANGE_LIFETIME,
    NON_LIFETIME,
    Exchange,
    MessageLayer,
)
from honeywharf.codecs import coap

PEER, OTHER = ("127.0.0.1", 1), ("127.0.0.1", 2)


class Scene:
    """A message layer with a manual clock, which records the messages sent and the exchanges served."""

    def __init__(self, **bounds: int) -> None:
        self.now, self.sent, self.served = 0.0, list[tuple[coap.Message, tuple[str, int]]](), list[Exchange]()
        self.layer = MessageLayer(
            lambda: self.now,
            lambda data, peer: self.sent.append((coap.decode(data), peer)),
            lambda exchange, message: self.served.append(exchange),
            1,
            **bounds,
        )

    def get(
        self,
        mid: int,
        peer: tuple[str, int] = PEER,
        mtype: int = coap.CON,
        token: bytes = b"t",
        code: int = coap.GET,
    ) -> None:
        self.layer.received(coap.encode(coap.Message(mtype, code, mid, token)), peer)

    def empty(self, mtype: int, mid: int, peer: tuple[str, int] = PEER) -> None:
        self.layer.received(coap.encode(coap.Message(mtype, coap.EMPTY, mid)), peer)

    def pass_time(self, ms: float) -> None:
        end = self.now + ms
        while self.layer.next_timer_ms() <= end:
            self.now = max(self.now, self.layer.next_timer_ms())
            self.layer.handle_timers()
        self.now = end
        self.layer.handle_timers()

    def kinds(self) -> list[tuple[int, int]]:
        return [(m.mtype, m.code) for m, _ in self.sent]


def test_a_fast_response_is_piggybacked_and_a_duplicate_gets_the_same_bytes() -> None:
    s = Scene()
    s.get(7)
    s.get(7)  # a duplicate before the response: no reply
    assert not s.sent
    s.layer.answer(s.served[0], coap.CONTENT, payload=b"tile")
    s.get(7)  # the reply was lost
    assert len(s.served) == 1
    first, second = (m for m, _ in s.sent)
    assert s.kinds() == [(coap.ACK, coap.CONTENT)] * 2
    for message in (first, second):
        assert (message.mid, message.token, message.payload) == (7, b"t", b"tile")


def test_a_slow_response_is_separate_and_retransmitted_until_acknowledged() -> None:
    s = Scene()
    s.get(7)
    s.pass_time(ACK_DELAY_MS)
    assert s.kinds() == [(coap.ACK, coap.EMPTY)]
    s.get(7)  # the ACK was lost
    assert s.kinds() == [(coap.ACK, coap.EMPTY)] * 2
    s.layer.answer(s.served[0], coap.CONTENT, payload=b"tile")
    answer = s.sent[-1][0]
    assert (answer.mtype, answer.code, answer.token) == (coap.CON, coap.CONTENT, b"t")
    s.pass_time(1.5 * ACK_TIMEOUT)
    assert len(s.sent) == 4  # one retransmission
    assert s.sent[-1][0].mid == answer.mid
    s.get(7)  # a late duplicate of the request: only the ACK again
    assert s.kinds()[-1] == (coap.ACK, coap.EMPTY)
    s.empty(coap.ACK, answer.mid)
    s.pass_time(100_000.0)
    assert len(s.sent) == 5
    assert len(s.served) == 1
    assert not s.layer.separate_responses


def test_an_unacknowledged_response_is_sent_five_times_within_the_span() -> None:
    s = Scene()
    s.get(7)
    s.pass_time(ACK_DELAY_MS)
    s.layer.answer(s.served[0], coap.CONTENT)
    s.pass_time(messages.MAX_TRANSMIT_SPAN + 2 * ACK_TIMEOUT * 16)
    assert s.kinds().count((coap.CON, coap.CONTENT)) == 1 + messages.MAX_RETRANSMIT
    assert s.layer.counts["coap:not acknowledged"] == 1
    assert not s.layer.separate_responses


def test_a_reset_after_an_empty_ack_ends_retransmission() -> None:
    s = Scene()
    s.get(7)
    s.pass_time(ACK_DELAY_MS)
    s.layer.answer(s.served[0], coap.CONTENT)
    s.empty(coap.RST, s.sent[-1][0].mid)
    s.pass_time(100_000.0)
    assert len(s.sent) == 2
    assert s.layer.counts["coap:reset"] == 1


def test_an_ack_from_another_peer_is_ignored() -> None:
    s = Scene()
    s.get(7)
    s.pass_time(ACK_DELAY_MS)
    s.layer.answer(s.served[0], coap.CONTENT)
    s.empty(coap.ACK, s.sent[-1][0].mid, OTHER)
    assert len(s.layer.separate_responses) == 1


def test_a_non_is_answered_by_a_non_and_its_duplicate_by_the_same_one() -> None:
    s = Scene()
    s.get(7, mtype=coap.NON)
    s.pass_time(10_000.0)  # no ACK for it
    s.layer.answer(s.served[0], coap.CONTENT)
    s.get(7, mtype=coap.NON)
    assert s.kinds() == [(coap.NON, coap.CONTENT)] * 2
    assert s.sent[0][0].mid == s.sent[1][0].mid


@pytest.mark.parametrize(("mtype", "life"), [(coap.CON, EXCHANGE_LIFETIME), (coap.NON, NON_LIFETIME)])
def test_a_message_id_is_a_new_request_only_after_its_lifetime(mtype: int, life: float) -> None:
    s = Scene()
    s.get(7, mtype=mtype, code=coap.POST)
    s.layer.answer(s.served[0], coap.CHANGED)
    s.now = life - 1.0
    s.get(7, mtype=mtype, code=coap.POST)
    assert len(s.served) == 1
    s.now = life + messages.SEEN_GROUP_SPAN_MS
    s.get(7, mtype=mtype, code=coap.POST)
    assert len(s.served) == 2


def test_the_same_id_and_token_of_another_peer_is_another_request() -> None:
    s = Scene()
    s.get(7)
    s.get(7, OTHER)
    assert [e.peer for e in s.served] == [PEER, OTHER]


def test_lifetimes_are_those_of_the_rfc() -> None:
    assert (messages.MAX_TRANSMIT_SPAN, EXCHANGE_LIFETIME, NON_LIFETIME) == (45_000.0, 247_000.0, 145_000.0)


def test_pings_and_unexpected_responses_are_reset_and_malformed_nons_ignored() -> None:
    s = Scene()
    s.empty(coap.CON, 9)
    s.layer.received(coap.encode(coap.Message(coap.CON, coap.CONTENT, 10, b"t")), PEER)
    s.layer.received(coap.encode(coap.Message(coap.CON, coap.GET, 11)) + b"\xff", PEER)
    s.layer.received(b"\x80\x01\x00\x01", PEER)
    s.layer.received(coap.encode(coap.Message(coap.NON, coap.GET, 12)) + b"\xff", PEER)
    assert [(m.mtype, m.mid) for m, _ in s.sent] == [(coap.RST, 9), (coap.RST, 10), (coap.RST, 11)]


def test_over_the_limit_a_request_is_rejected_and_never_runs_later() -> None:
    s = Scene(max_exchanges=3, max_exchanges_per_peer=10, max_seen_ids=4)
    for mid in range(6):
        s.get(mid, code=coap.POST)
    assert len(s.served) == 3
    assert s.kinds() == [(coap.ACK, coap.SERVICE_UNAVAILABLE)] * 2
    assert s.layer.counts["coap:dropped"] == 1  # no reply, as its id cannot be remembered
    for exchange in s.served:
        s.layer.answer(exchange, coap.CHANGED)
    s.get(3, code=coap.POST)  # duplicated by the network, long after the rejection
    s.get(4, code=coap.POST)
    assert len(s.served) == 3
    assert s.layer.seen_count == 2
    s.pass_time(EXCHANGE_LIFETIME + messages.SEEN_GROUP_SPAN_MS)
    s.get(3, code=coap.POST)
    assert len(s.served) == 4


def test_a_response_is_stored_while_its_client_may_retransmit_then_only_the_id() -> None:
    s = Scene()
    s.get(7, code=coap.POST)
    s.layer.answer(s.served[0], coap.CHANGED, payload=b"tile")
    s.pass_time(messages.MAX_TRANSMIT_SPAN - 1.0)
    s.get(7, code=coap.POST)
    assert s.kinds() == [(coap.ACK, coap.CHANGED)] * 2
    s.pass_time(1.0)
    assert (len(s.layer.answered), s.layer.answered_bytes, s.layer.seen_count) == (0, 0, 1)
    s.get(7, code=coap.POST)
    assert len(s.sent) == 2
    assert len(s.served) == 1


def test_beyond_the_limit_the_oldest_responses_become_seen_ids_and_nothing_reruns() -> None:
    s = Scene(max_exchanges=10)
    for mid in range(40):
        s.get(mid, code=coap.POST)
        s.layer.answer(s.served[-1], coap.CHANGED)
    assert len(s.served) == 40
    assert (len(s.layer.answered), s.layer.seen_count) == (10, 30)
    for mid in range(40):
        s.get(mid, code=coap.POST)
    assert len(s.served) == 40
    assert s.layer.counts["coap:late duplicate"] == 30


def test_a_get_leaves_no_seen_id() -> None:
    s = Scene(max_exchanges=1)
    for mid in range(5):
        s.get(mid)
        s.layer.answer(s.served[-1], coap.CONTENT)
    assert (len(s.layer.answered), s.layer.seen_count) == (1, 0)


def test_the_limit_per_peer_does_not_affect_others() -> None:
    s = Scene(max_exchanges=100, max_exchanges_per_peer=2)
    for mid in range(4):
        s.get(mid)
    s.get(0, OTHER)
    assert [e.peer for e in s.served] == [PEER, PEER, OTHER]
    s.layer.answer(s.served[0], coap.CONTENT)
    s.get(9)
    assert len(s.served) == 4


def test_stored_responses_are_limited_in_bytes_and_expire() -> None:
    s = Scene(max_exchanges=1000, max_bytes=20_000)
    for mid in range(100):
        s.get(mid)
        s.layer.answer(s.served[-1], coap.CONTENT, payload=b"x" * 1000)
        assert s.layer.answered_bytes <= 20_000
    assert s.layer.answered_bytes == sum(len(e.data) for e in s.layer.answered.values()) > 18_000
    s.pass_time(messages.MAX_TRANSMIT_SPAN)
    assert s.layer.answered_bytes == 0
    assert not s.layer.open_count_by_peer


def test_an_open_exchange_outlives_its_lifetime_until_it_is_answered() -> None:
    s = Scene()
    s.get(7)
    s.pass_time(EXCHANGE_LIFETIME + 1.0)
    s.get(7)
    assert len(s.served) == 1
    s.layer.answer(s.served[0], coap.CONTENT)
    with pytest.raises(ValueError, match="expected one response, got another"):
        s.layer.answer(s.served[0], coap.CONTENT)


def test_message_ids_of_pending_separate_responses_are_not_reused() -> None:
    s = Scene(max_exchanges_per_peer=10)
    for mid in range(3):
        s.get(mid)
    s.pass_time(ACK_DELAY_MS)
    s.layer.answer(s.served[0], coap.CONTENT)
    used = s.sent[-1][0].mid
    s.layer.next_mid = (used - 1) & 0xFFFF
    s.layer.answer(s.served[1], coap.CONTENT)
    assert s.sent[-1][0].mid != used


def test_rejected_requests_use_at_most_half_of_the_seen_ids() -> None:
    s = Scene(max_exchanges=1, max_seen_ids=10)
    for mid in range(20):
        s.get(mid, code=coap.POST)
        s.served[-1].may_have_run = False  # set by the front for a challenged request
        s.layer.answer(s.served[-1], coap.UNAUTHORIZED)
    assert s.layer.seen_count == 5
    for mid in range(100, 106):
        s.get(mid, code=coap.POST)
        s.layer.answer(s.served[-1], coap.CHANGED)
    assert s.layer.seen_count == 10
    before = len(s.served)
    for mid in range(100, 106):
        s.get(mid, code=coap.POST)
    assert len(s.served) == before


def test_unacknowledged_separate_responses_are_limited() -> None:
    s = Scene(max_exchanges=3)
    for mid in range(5):
        s.get(mid)
        s.pass_time(ACK_DELAY_MS)
        s.layer.answer(s.served[-1], coap.CONTENT)
    assert len(s.layer.separate_responses) == 3
    assert s.layer.counts["coap:not acknowledged"] == 2
