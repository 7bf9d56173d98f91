"""Queues of changes and reads: requests that arrive while one is in progress are batched into the next."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from random import Random
from typing import TYPE_CHECKING, Any, NamedTuple

from honeywharf.control import mesh_state
from honeywharf.control.mesh_state import Change, MemberId, MeshState
from honeywharf.control.register import Proposer, QuorumResult, QuorumWrite
from honeywharf.control.register_read import QuorumRead

if TYPE_CHECKING:
    from honeywharf.control.configuration_texts import ConfigurationTexts
    from honeywharf.control.precedence import Precedence
    from honeywharf.control.quorum_client import QuorumClient
    from honeywharf.control.voter import Voter
    from honeywharf.transport.host import Host, Timer

MAX_PENDING_CHANGES = 64
MAX_PENDING_FIRST = 8
MAX_PENDING_READS = 256
INCARNATION_BYTES = 6

ChangeDone = Callable[[QuorumResult, Any], None]  # The second argument is the change's answer.
ReadDone = Callable[[MeshState | None], None]


class ConfigurationText(NamedTuple):
    """A configuration's text: the digest of the uncompressed text, and the compressed bytes."""

    digest: str
    compressed: bytes


class PendingRequest:
    """A pending change or read: `done` is called once, with the result or at the deadline."""

    __slots__ = ("change", "deadline", "digest", "done", "goes_first", "timer")

    def __init__(
        self,
        host: Host,
        timeout: float,
        done: ChangeDone,
        change: Change = mesh_state.no_change,
        digest: str = "",
        goes_first: bool = False,
    ) -> None:
        """`timeout` is in seconds from now; `digest` names the text that is submitted with a change."""
        self.deadline, self.change, self.digest = host.now() + timeout, change, digest
        self.goes_first = goes_first
        self.done: ChangeDone | None = done
        self.timer = host.after(max(0.0, timeout), partial(self.complete, QuorumResult.UNREACHABLE, None))

    def complete(self, result: QuorumResult, answer: Any) -> None:
        """Calls `done`; later calls do nothing."""
        done, self.done = self.done, None
        self.timer.cancel()
        if done is not None:
            done(result, answer)


class ChangeQueue:
    """The changes that this node proposes.

    `on_committed` is called with each state that is committed and with the members that were contacted.
    """

    def __init__(
        self,
        host: Host,
        voter: Voter,
        texts: ConfigurationTexts,
        client: QuorumClient,
        rng: Random,
        precedence: Precedence,
        on_committed: Callable[[MeshState, list[MemberId]], None],
    ) -> None:
        self.host, self.voter, self.texts, self.client = host, voter, texts, client
        self.precedence = precedence
        self.silent_members: Callable[[], list[MemberId]] = list  # Members that are expected not to answer.
        precedence.on_held = self._held
        self.rng, self.on_committed = rng, on_committed
        self.incarnation = int.from_bytes(host.random(INCARNATION_BYTES), "big")
        self.pending: list[PendingRequest] = []
        self.current: QuorumWrite | None = None
        self.is_first = False  # Whether the write in progress went first.
        self.timer: Timer | None = None  # Set while another member has, or had, precedence.
        self.counter = 0  # The counter of the highest proposal number used or seen.

    def submit(
        self, change: Change, timeout: float, done: ChangeDone, text: ConfigurationText | None = None
    ) -> None:
        """Submits a change; `done` is called once, asynchronously, within `timeout` seconds.

        The result is UNREACHABLE without waiting if too many changes are pending or no membership is known.
        Without OK the change may or may not be in force.
        """
        count = sum(not request.goes_first for request in self.pending)
        if count >= MAX_PENDING_CHANGES or not self.voter.state.epoch:
            self.host.after(0.0, partial(done, QuorumResult.UNREACHABLE, None))
            return
        digest = "" if text is None else text.digest
        if text is not None:
            self.texts.proposed[digest] = text.compressed
        self._add(PendingRequest(self.host, timeout, done, change, digest))

    def submit_with_precedence(self, change: Change, timeout: float, done: ChangeDone) -> None:
        """Submits a change like `submit`, as a write of its own that goes first.

        It is for changes of the membership, whose write may wait for the machine that it admits, and for
        evacuations that were superseded. Another write in progress ends at its next conflict, and its changes
        are submitted again afterwards.
        """
        count = sum(request.goes_first for request in self.pending)
        if count >= MAX_PENDING_FIRST or not self.voter.state.epoch:
            self.host.after(0.0, partial(done, QuorumResult.UNREACHABLE, None))
            return
        if self.current is not None:
            self.precedence.claim()  # It is claimed again when the write of this change starts.
            if not self.is_first:
                self.current.yields = True
                self.host.after(0.0, self.current.wake)
        self._add(PendingRequest(self.host, timeout, done, change, goes_first=True))

    def _add(self, request: PendingRequest) -> None:
        self.pending.append(request)
        if self.current is None:
            self.host.after(0.0, self._start_next)

    def _held(self) -> None:
        """Holds the write in progress up while another member has precedence, and goes on afterwards."""
        precedence = self.precedence
        if self.current is not None and not self.is_first:
            self.current.held_until = precedence.held_until
        if self.timer is not None:
            self.timer.cancel()
        wait = max(0.0, precedence.held_until - self.host.now())
        self.timer = self.host.after(wait, self._start_next)

    def _next_batch(self) -> list[PendingRequest]:
        """Takes the next pending requests: a change that goes first, or else all changes.

        While another member has precedence, only a change that goes first is taken.
        """
        first = next((request for request in self.pending if request.goes_first), None)
        if first is not None:
            self.pending.remove(first)
            return [first]
        if self.precedence.is_held():
            return []
        batch, self.pending = self.pending, []
        return batch

    def _start_next(self) -> None:
        """Combines the next pending changes into one write."""
        if self.current is not None:
            return
        batch = self._next_batch()
        if not batch:
            return
        self.is_first = batch[0].goes_first
        if self.is_first:
            self.precedence.claim()
        state = self.voter.state
        self.current = QuorumWrite(
            Proposer(self.voter.local_address, self.incarnation),
            state.decided,
            mesh_state.combine([request.change for request in batch]),
            max(request.deadline for request in batch),
            self.rng,
            max(self.counter, state.promised.counter),
            self.silent_members(),
        )
        self.client.run(self.current, self.current.start(), partial(self._finished, self.current, batch))

    def _finished(self, write: QuorumWrite, batch: list[PendingRequest]) -> None:
        self.current, self.counter = None, max(self.counter, write.counter)
        if self.is_first:
            self.precedence.release()
        self.voter.adopt_membership(write.decided)
        if write.result is QuorumResult.OK and write.value is not None:
            self._committed(write.value, write.quorums.members())
        has_yielded = write.result is QuorumResult.YIELDED
        if has_yielded:
            self.pending = [request for request in batch if request.done is not None] + self.pending
        for digest in {request.digest for request in batch} - {request.digest for request in self.pending}:
            self.texts.proposed.pop(digest, None)
        if not has_yielded:
            self._complete(write, batch)
        self._start_next()

    @staticmethod
    def _complete(write: QuorumWrite, batch: list[PendingRequest]) -> None:
        """Completes the requests of a write that has ended."""
        result = write.result or QuorumResult.UNREACHABLE
        for index, request in enumerate(batch):
            request.complete(result, write.answer[index] if result is QuorumResult.OK else None)

    def _committed(self, value: MeshState, members: list[MemberId]) -> None:
        text = self.texts.proposed.get(value.digest)
        if text is not None:
            self.texts.persist(value.digest, text)
        self.on_committed(value, members)


class ReadQueue:
    """Reads of the committed state from a majority. `on_read` is called with each state that was read."""

    def __init__(
        self,
        host: Host,
        voter: Voter,
        client: QuorumClient,
        changes: ChangeQueue,
        rng: Random,
        on_read: Callable[[MeshState], None],
    ) -> None:
        self.host, self.voter, self.client, self.changes = host, voter, client, changes
        self.rng, self.on_read = rng, on_read
        self.pending: list[PendingRequest] = []
        self.current: QuorumRead | None = None

    def read(self, timeout: float, done: ReadDone) -> None:
        """Reads the committed state; `done` is called once, asynchronously, within `timeout` seconds.

        It gets None if no majority answers in time, too many reads are pending, or no membership is known.
        """
        if len(self.pending) >= MAX_PENDING_READS or not self.voter.state.epoch:
            self.host.after(0.0, partial(done, None))
            return
        self.pending.append(PendingRequest(self.host, timeout, lambda result, value: done(value)))
        if self.current is None:
            self.host.after(0.0, self._start_next)

    def _start_next(self) -> None:
        """Starts one read for all pending requests; it begins after each of them was submitted."""
        if self.current is not None or not self.pending:
            return
        batch, self.pending = self.pending, []
        deadline = max(request.deadline for request in batch)
        self.current = read = QuorumRead(self.voter.state.decided, deadline, self.rng)
        self.client.run(read, read.start(), partial(self._finished, read, batch))

    def _finished(self, read: QuorumRead, batch: list[PendingRequest]) -> None:
        self.current = None
        self.voter.adopt_membership(read.decided)
        if read.result is QuorumResult.OK and read.value is not None:
            self.on_read(read.value)
        if read.result is QuorumResult.INCONCLUSIVE:
            timeout = read.deadline - self.host.now()
            self.changes.submit(self._write_back, timeout, partial(self._write_back_done, batch))
        else:
            self._complete(batch, read.result or QuorumResult.UNREACHABLE, read.value)
        self._start_next()

    def _complete(self, batch: list[PendingRequest], result: QuorumResult, value: MeshState | None) -> None:
        """Completes the requests before their deadlines.

        The others fail, because a value that was read before a stall of this process may be old.
        """
        now = self.host.now()
        for request in batch:
            if now <= request.deadline:
                request.complete(result, value)
            else:
                request.complete(QuorumResult.UNREACHABLE, None)

    @staticmethod
    def _write_back(state: MeshState) -> tuple[MeshState | None, Any]:
        """Changes nothing, and answers the state that it found."""
        return None, state

    def _write_back_done(self, batch: list[PendingRequest], result: QuorumResult, answer: Any) -> None:
        """Completes an inconclusive read after its value was written back."""
        self._complete(batch, result, answer if result is QuorumResult.OK else None)
