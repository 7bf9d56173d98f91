"""Sends the requests of quorum operations to the members, and passes their answers back, on a `Host`."""

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

CALL_TIMEOUT_S = 0.4  # The time-out of one message of the register; a text adds to it.
# A text up to this size is sent with a proposal without being requested.
MAX_UNREQUESTED_TEXT_BYTES = 64 << 10
DEFAULT_LINK_BYTES_PER_S = 20e6  # The rate that is assumed for a link of unknown rate.
TEXT_LINK_SHARE = 0.5  # The share of the link's rate that texts sent to all members may use.
BYTES_PER_MEGABIT = 125_000.0
MIN_WAIT_S = 0.001

Completion = Callable[[], None]
OnContact = Callable[["MemberId"], None]


@dataclass(slots=True)
class _Run:
    """An operation in progress. `done()` is called once it has a result."""

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
        """Sets the rate of this machine's link; the time-out of a message with a text depends on it."""
        self.link_bytes_per_s = megabits_per_s * BYTES_PER_MEGABIT

    def run(self, operation: QuorumOperation, requests: OutgoingRequests, done: Completion) -> None:
        """Sends an operation's requests until it has a result; then calls `done()`."""
        run = _Run(operation, done)
        operation.wake = partial(self._tick, run)
        self._send_all(run, requests)

    def _send_all(self, run: _Run, requests: OutgoingRequests) -> None:
        operation = run.operation
        if operation.result is not None:
            run.done()
            return
        local = self.voter.local_address
        for request in requests:
            if request.to.address != local:
                self._send(run, request)
        for request in requests:  # The local request is last, so that the other disks work at the same time.
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
        """Takes one step of an operation that has no result yet."""
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
            self._answered(run, request, self.voter.vote(request.request, None))
            return
        self._with_text(request, partial(self._vote_with_text, run, request))

    def _vote_with_text(self, run: _Run, request: OutgoingRequest, text: bytes | None) -> None:
        answer = None if text is None else self.voter.vote(request.request, text)
        self._answered(run, request, answer)

    def _send(self, run: _Run, request: OutgoingRequest) -> None:
        """Sends a request to a peer's acceptor, with the configuration's text if it is needed."""
        if not request.with_text:
            self._call(run, request, None)
            return
        self._with_text(request, partial(self._call_with_text, run, request))

    def _call_with_text(self, run: _Run, request: OutgoingRequest, text: bytes | None) -> None:
        if text is None:
            self._answered(run, request, None)
        elif len(text) > MAX_UNREQUESTED_TEXT_BYTES and not request.text_missing:
            self._call(run, request, None)  # The member may have the text from an earlier attempt.
        else:
            self._call(run, request, text)

    def _with_text(self, request: OutgoingRequest, done: Callable[[bytes | None], None]) -> None:
        assert isinstance(request.request, Accept)
        self.texts.get(request.request.state.digest, done)

    def _call(self, run: _Run, request: OutgoingRequest, text: bytes | None) -> None:
        timeout = CALL_TIMEOUT_S + self._text_transfer_s(len(text or b""))
        self.caller.call(
            parse_address(request.to.address),
            rpc_methods.REGISTER_REQUEST,
            [messages.pack(request.request), text],
            timeout,
            partial(self._received, run, request),
        )

    def _text_transfer_s(self, size: int) -> float:
        """Returns the seconds that a text may take to one member while it is sent to the others too."""
        copies = max(1, len(self.voter.state.members) - 1)
        return size * copies / (self.link_bytes_per_s * TEXT_LINK_SHARE)

    def _received(self, run: _Run, request: OutgoingRequest, packed: Any) -> None:
        """Decodes a peer's answer; None stands for no answer in time."""
        answer = None
        if packed is not None:
            try:
                answer = messages.unpack_answer(packed)
            except (ValueError, TypeError, LookupError) as error:
                self.host.log(f"replica: invalid answer from {request.to.address}: {error}")
        self._answered(run, request, answer)

    def _answered(self, run: _Run, request: OutgoingRequest, answer: Answer | None) -> None:
        """Passes a member's answer to the operation; None stands for no answer."""
        now = self.host.now()
        if answer is None:
            self._step(run, lambda: self._request_lost(run.operation, now, request))
            return
        if not isinstance(answer, DiskMismatch):
            self.on_contact(request.to)
        self._step(run, lambda: run.operation.received(now, request.to, answer))

    @staticmethod
    def _request_lost(operation: QuorumOperation, now: float, request: OutgoingRequest) -> OutgoingRequests:
        operation.request_lost(now, request)
        return []
