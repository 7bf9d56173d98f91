"""Carries the requests of quorum operations to the members, and their answers back, on a `Host`."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING, Any

from honeywharf import rpc_methods
from honeywharf.control import messages
from honeywharf.control.messages import Accept, Answer, DiskMismatch
from honeywharf.control.register import OutgoingRequest, OutgoingRequests, QuorumOperation
from honeywharf.transport.address import parse_address

if TYPE_CHECKING:
    from honeywharf.control.configuration_texts import ConfigurationTexts
    from honeywharf.control.mesh_state import MemberId
    from honeywharf.control.voter import Voter
    from honeywharf.transport.host import Host
    from honeywharf.transport.rpc_client import RpcClient

CALL_TIMEOUT_S = 0.4  # of one message of the register; a text adds to it
UNREQUESTED_TEXT_BYTES = 64 << 10  # a text up to here goes with a proposal though nobody has asked for it
DEFAULT_LINK_BYTES_PER_S = 20e6  # of a link whose rate is not known
TEXT_LINK_SHARE = 0.5  # of the link's rate, that texts on their way to all members may take
BYTES_PER_MEGABIT = 125_000.0
MIN_WAIT_S = 0.001

Completion = Callable[[], None]
OnContact = Callable[["MemberId"], None]


@dataclass(slots=True)
class _Run:
    """An operation on its way. `done()` is called once it has a result."""

    operation: QuorumOperation
    done: Completion


class QuorumClient:
    """Runs quorum operations. `on_contact` is called with each member that has answered."""

    def __init__(
        self, host: Host, caller: RpcClient, voter: Voter, texts: ConfigurationTexts, on_contact: OnContact
    ) -> None:
        self.host, self.caller, self.voter, self.texts = host, caller, voter, texts
        self.on_contact = on_contact
        self.link_bytes_per_s = DEFAULT_LINK_BYTES_PER_S

    def set_link_rate(self, megabits_per_s: float) -> None:
        """The rate of this machine's link; texts get as much more time as they need on it."""
        self.link_bytes_per_s = megabits_per_s * BYTES_PER_MEGABIT

    def run(self, operation: QuorumOperation, requests: OutgoingRequests, done: Completion) -> None:
        """Carry an operation's messages until it has a result; then `done()`."""
        self._send_all(_Run(operation, done), requests)

    def _send_all(self, run: _Run, requests: OutgoingRequests) -> None:
        operation = run.operation
        if operation.result is not None:
            run.done()
            return
        local = self.voter.local_address
        for request in requests:
            if request.to.address != local:
                self._send(run, request)
        for request in requests:  # our own last: the others' disks work at the same time as ours
            if request.to.address == local:
                self.host.after(0.0, partial(self._send_to_local_acceptor, run, request))
        self._rearm(run)

    def _rearm(self, run: _Run) -> None:
        operation = run.operation
        if operation.timer is not None:
            operation.timer.cancel()
        wait = max(MIN_WAIT_S, operation.due_at - self.host.now())
        operation.timer = self.host.after(wait, partial(self._tick, run))

    def _tick(self, run: _Run) -> None:
        self._step(run, lambda: run.operation.tick(self.host.now()))

    def _step(self, run: _Run, step: Callable[[], OutgoingRequests]) -> None:
        """Take one step of an operation that has no result yet."""
        operation = run.operation
        if operation.result is not None:
            return
        self._send_all(run, step())
        if operation.result is not None and operation.timer is not None:
            operation.timer.cancel()

    def _send_to_local_acceptor(self, run: _Run, request: OutgoingRequest) -> None:
        if run.operation.result is not None:
            return
        if not request.with_text:
            self._answered(run, request.to, self.voter.vote(request.request, None))
            return
        self._with_text(request, partial(self._vote_with_text, run, request))

    def _vote_with_text(self, run: _Run, request: OutgoingRequest, text: bytes | None) -> None:
        answer = None if text is None else self.voter.vote(request.request, text)
        self._answered(run, request.to, answer)

    def _send(self, run: _Run, request: OutgoingRequest) -> None:
        """Send to a peer's acceptor, with the text of the configuration where it is needed."""
        if not request.with_text:
            self._call(run, request, None)
            return
        self._with_text(request, partial(self._call_with_text, run, request))

    def _call_with_text(self, run: _Run, request: OutgoingRequest, text: bytes | None) -> None:
        if text is None:
            self._answered(run, request.to, None)
        elif len(text) > UNREQUESTED_TEXT_BYTES and not request.text_missing:
            self._call(run, request, None)  # it may have it since an earlier attempt
        else:
            self._call(run, request, text)

    def _with_text(self, request: OutgoingRequest, done: Callable[[bytes | None], None]) -> None:
        assert isinstance(request.request, Accept)
        self.texts.get(request.request.state.digest, done)

    def _call(self, run: _Run, request: OutgoingRequest, text: bytes | None) -> None:
        timeout = CALL_TIMEOUT_S + self._text_time(len(text or b""))
        self.caller.call(
            parse_address(request.to.address),
            rpc_methods.REGISTER_REQUEST,
            [messages.pack(request.request), text],
            timeout,
            partial(self._received, run, request.to),
        )

    def _text_time(self, size: int) -> float:
        """Seconds that a text may take to one member, while the others get it too."""
        copies = max(1, len(self.voter.state.members) - 1)
        return size * copies / (self.link_bytes_per_s * TEXT_LINK_SHARE)

    def _received(self, run: _Run, member: MemberId, packed: Any) -> None:
        """A peer's answer as it came, or None where there was none in time."""
        answer = None
        if packed is not None:
            try:
                answer = messages.unpack_answer(packed)
            except (ValueError, TypeError, LookupError) as error:
                self.host.log(f"replica: from {member.address} {error}")
        self._answered(run, member, answer)

    def _answered(self, run: _Run, member: MemberId, answer: Answer | None) -> None:
        """A member's answer; None where it gave none."""
        now = self.host.now()
        if answer is None:
            self._step(run, lambda: self._message_lost(run.operation, now, member))
            return
        if not isinstance(answer, DiskMismatch):
            self.on_contact(member)
        self._step(run, lambda: run.operation.received(now, member, answer))

    @staticmethod
    def _message_lost(operation: QuorumOperation, now: float, member: MemberId) -> OutgoingRequests:
        operation.message_lost(now, member)
        return []
