"""Proxies with one guard left out, each found out by some schedule of `order_model`."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple

from honeywharf.sidecar.backend import Tap
from honeywharf.sidecar.client_connection import ClientConnection
from honeywharf.sidecar.course import Course
from honeywharf.sidecar.inbound import Job
from honeywharf.transport.link import ClientStream, Link
from honeywharf.transport.link_server import LinkServer
from honeywharf.transport.stream import ForwardedRequest
from honeywharf.verdict import MAY_HAVE_RUN, NOT_RUN, Verdict
from tests.sidecar.order_model import SCENES, play, singles, watched
from tests.simulation.mutants import Patch, refuses_what_may_have_run, repeats_what_may_have_run, wrong


def lost_link_proves(put: Patch) -> None:
    """What was sent on a link that is lost counts as not run."""

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
    """What was written to a backend whose connection ends counts as not run."""

    def broken(self: Job, why: str, sent: bool, heard: bool) -> None:
        was(self, why, False, heard)

    was = Job.broken
    put(Job, "broken", broken)


def own_timeout_proves(put: Patch) -> None:
    """What no gate has answered in time counts as not run."""

    def late(self: Course) -> None:
        self.went, self.ran = False, False
        self.head.length = self.head.length or 1
        was(self)

    was = Course._late
    put(Course, "_late", late)


def end_proves(put: Patch) -> None:
    """What is under way when the process ends counts as not run."""

    def finish(self: Course, again_s: float) -> None:
        self.went, self.ran = False, False
        self.head.length = self.head.length or 1
        was(self, again_s)

    was = Course.finish
    put(Course, "finish", finish)


def leaving_gate_proves(put: Patch) -> None:
    """A job at work when its process ends is refused."""

    def finish(self: Job) -> None:
        self.wrote = False
        was(self)

    was = Job.finish
    put(Job, "finish", finish)


def failure_is_refusal(put: Patch) -> None:
    """A gate's word that a request may have run is read as a refusal."""

    def failed(self: Course, verdict: Verdict) -> None:
        if verdict.ran == MAY_HAVE_RUN and not self.answering:
            verdict = Verdict(NOT_RUN, verdict.why)
        was(self, verdict)

    was = Course.failed
    put(Course, "failed", failed)


def echo_not_checked(put: Patch) -> None:
    """A backend's answer is taken for whatever request is out on its connection."""

    def answer(self: Tap, answer: Any) -> None:
        if self.user is not None:
            answer.attempt = self.user.attempt
        was(self, answer)

    was = Tap.answer
    put(Tap, "answer", answer)


def answers_as_they_come(put: Patch) -> None:
    """Answers on a client's connection are written in the order in which they come."""

    def write(self: ClientConnection) -> None:
        self.exchanges.sort(key=lambda exchange: not exchange.done)
        was(self)

    was = ClientConnection._write
    put(ClientConnection, "_write", write)


def stream_number_again(put: Patch) -> None:
    """The number of a stream that was given up is used for the next one, and the destination lets it."""

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
    """A process that leaves closes a connection behind an answer though more is at work on it."""
    put(ClientConnection, "_is_last_answer", lambda self, exchange: self.outbound.draining)


class Mutant(NamedTuple):
    """One guard left out; `scene` and `manner`: where single faults show it."""

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
    """After how many schedules of its scene it was found out, and by what; 0 and "" where by none."""
    scene = next(scene for scene in SCENES if scene.name == mutant.scene)
    with watched(), wrong(mutant.make):
        for count, faults in enumerate(singles(scene, mutant.manner), 1):
            found = play(scene, mutant.manner, faults).wrong
            if found:
                return count, found[0].partition(":")[0]
    return 0, ""
