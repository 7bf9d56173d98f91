"""Sidecars with one guard left out, each detected by some schedule of `order_model`."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple

from honeywharf.sidecar.backend import BackendConnection
from honeywharf.sidecar.client_connection import ClientConnection
from honeywharf.sidecar.inbound import InboundRequest
from honeywharf.sidecar.outbound_request import OutboundRequest
from honeywharf.transport.link import ClientStream, Link
from honeywharf.transport.link_server import LinkServer
from honeywharf.transport.stream import ForwardedRequest
from honeywharf.verdict import MAY_HAVE_RUN, NOT_RUN, Verdict
from tests.sidecar.order_model import SCENES, play, singles, watched
from tests.simulation.mutants import Patch, refuses_what_may_have_run, repeats_what_may_have_run, wrong


def lost_link_proves(put: Patch) -> None:
    """Requests on a lost link count as not run."""

    def lose(self: Link) -> None:
        self.is_up = False
        was(self)

    was = Link.fail
    put(Link, "fail", lose)


def asked_for_body_proves(put: Patch) -> None:
    """A body that was asked for on a link that is lost counts as not sent."""

    def lose(self: Link) -> None:
        for stream in self.streams.values():
            stream.is_admitted = False
        was(self)

    was = Link.fail
    put(Link, "fail", lose)


def broken_connection_proves(put: Patch) -> None:
    """Requests written to a backend whose connection ends count as not run."""

    def broken(self: InboundRequest, why: str, sent: bool, heard: bool) -> None:
        was(self, why, False, heard)

    was = InboundRequest.broken
    put(InboundRequest, "broken", broken)


def own_timeout_proves(put: Patch) -> None:
    """Requests that no gate has answered in time count as not run."""

    def late(self: OutboundRequest) -> None:
        self.is_admitted, self.may_have_run = False, False
        self.head.length = self.head.length or 1
        was(self)

    was = OutboundRequest._deadline_passed
    put(OutboundRequest, "_deadline_passed", late)


def end_proves(put: Patch) -> None:
    """Requests under way when the process ends count as not run."""

    def finish(self: OutboundRequest, retry_after_s: float) -> None:
        self.is_admitted, self.may_have_run = False, False
        self.head.length = self.head.length or 1
        was(self, retry_after_s)

    was = OutboundRequest.finish
    put(OutboundRequest, "finish", finish)


def leaving_gate_proves(put: Patch) -> None:
    """An inbound request that runs when its process ends is reported as rejected."""

    def finish(self: InboundRequest) -> None:
        self.head_written = False
        was(self)

    was = InboundRequest.finish
    put(InboundRequest, "finish", finish)


def failure_is_refusal(put: Patch) -> None:
    """A gate's failure of a request that may have run is read as a rejection."""

    def failed(self: OutboundRequest, verdict: Verdict) -> None:
        if verdict.ran == MAY_HAVE_RUN and not self.answering:
            verdict = Verdict(NOT_RUN, verdict.why)
        was(self, verdict)

    was = OutboundRequest.failed
    put(OutboundRequest, "failed", failed)


def echo_not_checked(put: Patch) -> None:
    """A backend's answer is taken for the connection's request without a check of the attempt id."""

    def answer(self: BackendConnection, answer: Any) -> None:
        if self.user is not None:
            answer.attempt = self.user.attempt
        was(self, answer)

    was = BackendConnection.answer
    put(BackendConnection, "answer", answer)


def answers_as_they_come(put: Patch) -> None:
    """Answers on a client's connection are written in the order in which they arrive."""

    def write(self: ClientConnection) -> None:
        self.exchanges.sort(key=lambda exchange: not exchange.done)
        was(self)

    was = ClientConnection._write
    put(ClientConnection, "_write", write)


def stream_number_again(put: Patch) -> None:
    """The number of a cancelled stream is reused, and the destination accepts it."""

    def cancel(self: ClientStream) -> None:
        link = self.link
        was(self)
        if link is not None and link.number == self.number:
            link.number -= 1

    def opened(self: LinkServer, number: int, ask: ForwardedRequest) -> None:
        self.highest_number = 0
        was_opened(self, number, ask)

    was, was_opened = ClientStream.cancel, LinkServer._open
    put(ClientStream, "cancel", cancel)
    put(LinkServer, "_open", opened)


def closes_on_pipelined(put: Patch) -> None:
    """A process that shuts down closes a connection after any answer, with requests still under way."""
    put(ClientConnection, "_is_last_answer", lambda self, exchange: self.outbound.draining)


class Mutant(NamedTuple):
    """One guard left out; single faults in `scene` with `manner` show it."""

    name: str
    make: Callable[[Patch], None]
    scene: str = "short body"
    manner: str = "well"


MUTANTS = (
    Mutant("a lost link proves that nothing ran", lost_link_proves),
    Mutant("a body that was asked for counts as unsent", asked_for_body_proves),
    Mutant("a broken connection to a backend proves", broken_connection_proves),
    Mutant("a gate's silence until the deadline proves", own_timeout_proves),
    Mutant("the end of the client's proxy proves", end_proves, manner="silent"),
    Mutant("the end of the backend's proxy proves", leaving_gate_proves, manner="silent"),
    Mutant("sent again without a proof", repeats_what_may_have_run),
    Mutant("503 without a proof", refuses_what_may_have_run),
    Mutant("a failure is read as a refusal", failure_is_refusal),
    Mutant("the echoed id is not checked", echo_not_checked, manner="another's"),
    Mutant("answers as they come", answers_as_they_come, "behind another request"),
    Mutant("a stream's number is used again", stream_number_again, "after one given up"),
    Mutant("a leaving process closes behind any answer", closes_on_pipelined, "behind another request"),
)


def caught(mutant: Mutant) -> tuple[int, str]:
    """Returns after how many schedules it was detected, and by which rule; 0 and "" if not."""
    scene = next(scene for scene in SCENES if scene.name == mutant.scene)
    with watched(), wrong(mutant.make):
        for count, faults in enumerate(singles(scene, mutant.manner), 1):
            found = play(scene, mutant.manner, faults).wrong
            if found:
                return count, found[0].partition(":")[0]
    return 0, ""
