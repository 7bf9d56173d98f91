"""Sessions whose bodies and answers come in parts of any size, with callbacks in any order.

The client grants windows from within the call that brings it a part, or later; the backend writes on from
within the call that grants it a window.
"""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given, settings, strategies as st

from honeywharf.sessions.frames import CHUNK_BYTES, WINDOW_BYTES
from honeywharf.sessions.receiver import Receiver
from honeywharf.transport.stream import WINDOW_SIZE
from tests.sessions.network import GATEWAYS, SessionNetwork, SourceClient

SIZES = st.sampled_from((0, 1, CHUNK_BYTES, CHUNK_BYTES + 1, WINDOW_BYTES, WINDOW_BYTES + 1, 700_000))
PARTS = st.lists(
    st.sampled_from((1_000, CHUNK_BYTES, 65_535, 65_536, 65_537, 200_000)), min_size=1, max_size=6
)
NOW, LATER = "now", "later"
GRANTS = st.lists(st.sampled_from((NOW, LATER)), min_size=1, max_size=6)


def data_of(size: int) -> bytes:
    """Returns a body in which each part differs from its neighbours."""
    return b"".join(b"%08d" % n for n in range(size // 8 + 1))[:size]


class AnswerInParts:
    """The backend's side of one request: it writes as its window allows, and on when that is widened."""

    def __init__(self, network: PartsNetwork, receiver: Receiver) -> None:
        self.network, self.receiver = network, receiver
        self.rest, self.window, self.turn = network.answer, WINDOW_SIZE, 0
        self.is_writing = False

    def widen(self, size: int) -> None:
        """Allows further bytes, and writes them from within."""
        self.window += size
        self.write()

    def write(self) -> None:
        """Writes parts while the window allows."""
        if self.is_writing:
            return
        self.is_writing = True
        while self.rest and self.window > 0:
            size = min(self.network.parts[self.turn % len(self.network.parts)], self.window)
            piece, self.rest = self.rest[:size], self.rest[size:]
            self.window, self.turn = self.window - len(piece), self.turn + 1
            self.network.receivers.answer_data(self.receiver, piece)
        self.is_writing = False
        if not self.rest:
            self.network.receivers.answer_completed(self.receiver)


class PartsClient(SourceClient):
    """A client that grants as much as it takes, at once or later, by `grants` in turn."""

    def __init__(self, body: bytes) -> None:
        super().__init__(body)
        self.grants, self.turns = [NOW], 0
        self.later: list[int] = []

    def data(self, data: bytes) -> None:
        """Takes a part of the answer."""
        self.answer += data
        self.turns += 1
        self.later.append(len(data))
        if self.grants[self.turns % len(self.grants)] == NOW:
            self.grant()

    def grant(self) -> None:
        """Grants what was taken longest ago."""
        if self.later and self.sender is not None:
            self.sender.window(self.later.pop(0))


class PartsNetwork(SessionNetwork):
    """A network whose clients grant windows at once or later, and whose backend answers in parts."""

    client_class = PartsClient

    def __init__(self, body: bytes, answer: bytes, parts: list[int], grants: list[str], length: int) -> None:
        self.parts = parts
        self.answers: dict[bytes, AnswerInParts] = {}
        super().__init__(body, answer, length=length)
        self.client = self.sources[0][1]
        assert isinstance(self.client, PartsClient)
        self.client.grants = grants

    def restart(self) -> None:
        """Starts the destination, whose backend writes on as its answers are consumed."""
        super().restart()
        self.receivers.consumed = self.consumed

    def consumed(self, receiver: Receiver, size: int) -> None:
        """Widens the window of the backend's answer."""
        if receiver.session_id in self.answers:
            self.answers[receiver.session_id].widen(size)

    def step(self) -> bool:
        """Grants what was put off, then delivers one frame."""
        if self.steps % 3 == 0 and isinstance(self.client, PartsClient):
            self.client.grant()
        return super().step()

    def _answer(self, receiver: Receiver) -> None:
        self.receivers.answer_started(receiver, 200, b"", len(self.answer))
        answer = self.answers[receiver.session_id] = AnswerInParts(self, receiver)
        answer.write()


@settings(max_examples=80, deadline=None)
@given(size=SIZES, answer=SIZES, parts=PARTS, grants=GRANTS, is_chunked=st.booleans())
def test_bodies_and_answers_in_parts_arrive_whole(
    size: int, answer: int, parts: list[int], grants: list[str], is_chunked: bool
) -> None:
    """Guards against sessions that stand still: a callback that comes back into its caller."""
    length = -1 if is_chunked and size else size  # The client of this network ends no empty body.
    network = PartsNetwork(data_of(size), data_of(answer), parts, grants, length)
    assert network.run().violations() == []


@pytest.mark.parametrize("fault", ["kill", "drain"])
@settings(max_examples=40, deadline=None)
@given(size=SIZES, answer=SIZES, parts=PARTS, grants=GRANTS, at=st.integers(0, 60))
def test_they_arrive_whole_by_another_gateway_too(
    fault: str, size: int, answer: int, parts: list[int], grants: list[str], at: int
) -> None:
    """Guards against sessions that stand still after a move to another gateway."""
    network = PartsNetwork(data_of(size), data_of(answer), parts, grants, size)

    def strike(network: SessionNetwork) -> None:
        action: Any = getattr(network, fault)
        action(GATEWAYS[0])

    assert network.run({at: strike}).violations() == []
