"""Changes and reads that wait for the register: those that come while one is under way go together next."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from random import Random
from typing import TYPE_CHECKING, Any

from honeywharf.control import mesh_state
from honeywharf.control.mesh_state import Change, Key, MeshState
from honeywharf.control.register import QuorumRead, Result, Round

if TYPE_CHECKING:
    from honeywharf.control.quorum_client import QuorumClient
    from honeywharf.control.texts import ConfigurationTexts
    from honeywharf.control.voter import Voter
    from honeywharf.transport.host import Host

MAX_WAITING = 64  # changes that wait for the next round
MAX_READERS = 256

Settled = Callable[[Result, Any], None]  # and the change's answer
Told = Callable[[MeshState | None], None]


class Waiting:
    """Somebody who waits for a round or a read: told once, with its result or at the deadline."""

    __slots__ = ("change", "deadline", "digest", "settled", "timer")

    def __init__(
        self,
        host: Host,
        within: float,
        settled: Settled,
        change: Change = mesh_state.same,
        digest: str = "",
    ) -> None:
        self.deadline, self.change, self.digest = host.now() + within, change, digest
        self.settled: Settled | None = settled
        self.timer = host.after(max(0.0, within), partial(self.end, Result.UNREACHABLE, None))

    def end(self, result: Result, answer: Any) -> None:
        """Tell; later calls do nothing."""
        settled, self.settled = self.settled, None
        self.timer.cancel()
        if settled is not None:
            settled(result, answer)


class Proposals:
    """Changes to be made from here. `committed` is told each state that was, and who was asked."""

    def __init__(
        self,
        host: Host,
        voter: Voter,
        texts: ConfigurationTexts,
        client: QuorumClient,
        rng: Random,
        committed: Callable[[MeshState, list[Key]], None],
    ) -> None:
        self.host, self.voter, self.texts, self.client = host, voter, texts, client
        self.rng, self.committed = rng, committed
        self.incarnation = int.from_bytes(host.random(6), "big")
        self.waiting: list[Waiting] = []
        self.round: Round | None = None
        self.counter = 0

    def submit(
        self, change: Change, within: float, settled: Settled, text: tuple[str, bytes] = ("", b"")
    ) -> None:
        """Make a change; `settled` is called once, later, in time. `text`: digest and compressed bytes."""
        if len(self.waiting) >= MAX_WAITING or not self.voter.state.epoch:
            self.host.after(0.0, partial(settled, Result.UNREACHABLE, None))
            return
        digest, body = text
        if digest:
            self.texts.proposed[digest] = body
        self.waiting.append(Waiting(self.host, within, settled, change, digest))
        if self.round is None:
            self.host.after(0.0, self._next)

    def _next(self) -> None:
        """Put everything that waits into one round."""
        if self.round is not None or not self.waiting:
            return
        batch, self.waiting = self.waiting, []
        state = self.voter.state
        self.round = Round(
            (self.voter.here, self.incarnation),
            state.decided,
            mesh_state.together([one.change for one in batch]),
            max(one.deadline for one in batch),
            self.rng,
            max(self.counter, state.promised.counter),
        )
        self.client.drive(self.round, self.round.start(), partial(self._over, self.round, batch))

    def _over(self, made: Round, batch: list[Waiting]) -> None:
        self.round, self.counter = None, max(self.counter, made.counter)
        self.voter.decide(made.decided)
        if made.result is Result.OK and made.value is not None:
            self._committed(made.value, made.quorums.members())
        for digest in {one.digest for one in batch} - {one.digest for one in self.waiting}:
            self.texts.proposed.pop(digest, None)
        result = made.result or Result.UNREACHABLE
        for number, one in enumerate(batch):
            one.end(result, made.answer[number] if result is Result.OK else None)
        self._next()

    def _committed(self, value: MeshState, members: list[Key]) -> None:
        text = self.texts.proposed.get(value.digest)
        if text is not None:
            self.texts.keep(value.digest, text)
        self.committed(value, members)


class Reads:
    """Reads of what a majority holds. `known` is told each state that was read."""

    def __init__(
        self,
        host: Host,
        voter: Voter,
        client: QuorumClient,
        proposals: Proposals,
        rng: Random,
        known: Callable[[MeshState], None],
    ) -> None:
        self.host, self.voter, self.client, self.proposals = host, voter, client, proposals
        self.rng, self.known = rng, known
        self.readers: list[Waiting] = []
        self.under_way: QuorumRead | None = None

    def read(self, within: float, told: Told) -> None:
        """What a majority holds in force; None where there is no majority in time. Told once, later."""
        if len(self.readers) >= MAX_READERS or not self.voter.state.epoch:
            self.host.after(0.0, partial(told, None))
            return
        self.readers.append(Waiting(self.host, within, lambda result, value: told(value)))
        if self.under_way is None:
            self.host.after(0.0, self._next)

    def _next(self) -> None:
        """One read for all that wait: it begins after each of them has asked."""
        if self.under_way is not None or not self.readers:
            return
        batch, self.readers = self.readers, []
        deadline = max(one.deadline for one in batch)
        self.under_way = made = QuorumRead(self.voter.state.decided, deadline, self.rng)
        self.client.drive(made, made.start(), partial(self._over, made, batch))

    def _over(self, made: QuorumRead, batch: list[Waiting]) -> None:
        self.under_way = None
        self.voter.decide(made.decided)
        if made.result is Result.OK and made.value is not None:
            self.known(made.value)
        if made.result is Result.UNSURE:
            within = made.deadline - self.host.now()
            self.proposals.submit(self._write_back, within, partial(self._written_back, batch))
        else:
            self._end(batch, made.result or Result.UNREACHABLE, made.value)
        self._next()

    def _end(self, batch: list[Waiting], result: Result, value: MeshState | None) -> None:
        """Tell those whose time is not over: after a standstill, what was read may be old."""
        now = self.host.now()
        for one in batch:
            if now <= one.deadline:
                one.end(result, value)
            else:
                one.end(Result.UNREACHABLE, None)

    @staticmethod
    def _write_back(state: MeshState) -> tuple[MeshState | None, Any]:
        """The change that changes nothing, and answers what it found."""
        return None, state

    def _written_back(self, batch: list[Waiting], result: Result, answer: Any) -> None:
        """Reads that wrote back what they found."""
        self._end(batch, result, answer if result is Result.OK else None)
