"""Requests of a sidecar that doubts its own rules, decided here in its place.

Theory of operation. A sidecar that can't heal must not decide, but its clients shall not feel it: it sends a
request on, whole, as a stream of the kind `DELEGATED`, to a sidecar of its zone that is well. Here it has a
course as if a client had sent it: this sidecar's rules, its draw, its second reading, its budget; the gates
judge it as they judge all. The attempt id and the header lines are the client's, and the caller's service is
that of the machine where the request began. A refusal sent back proves that nothing has run.

    here                                   the sidecar in doubt tells its client
    refused, before a course (`refusal`)   asks one more helper, else 503
    503                                    503, with the time that stands here
    502, 504; the link was lost            the same; 502
    any other answer                       the same

Bounds: `MAX_PASSING` at once, `AHEAD_BYTES` of a body held; who has an older word than the sidecar that asks
refuses, and what was handed on is not handed on again. This module is loaded when it is first needed.
"""

from __future__ import annotations

from honeywharf.codecs.heads import RequestHead
from honeywharf.sidecar.course import Course
from honeywharf.transport.stream import INITIAL_WINDOW
from honeywharf.verdict import (
    BROKEN_OFF,
    DRIFT,
    FULL,
    LEAVING,
    MAY_HAVE_RUN,
    NOT_RUN,
    TIMED_OUT,
    UNREADY,
    Verdict,
)

TYPE_CHECKING = False
if TYPE_CHECKING:
    from honeywharf.mesh_config.routes import Route
    from honeywharf.sidecar.inbound import Responder
    from honeywharf.sidecar.source import Source
    from honeywharf.transport.stream import ForwardedRequest, RequestHandler

MAX_PASSING = 256
AHEAD_BYTES = 64 * 1024  # of a body, beyond what a gate has taken
REFUSED_S = 0.05  # after which a sidecar that can't help may be asked again
LOAD = (0, 0, 0)  # of no backend


class Passing:
    """One request: where its course's answer goes."""

    __slots__ = ("answers", "course", "granted", "source")

    def __init__(self, source: Source, answers: Responder) -> None:
        self.source, self.answers = source, answers
        self.course: Course | None = None
        self.granted = INITIAL_WINDOW  # bytes of the body that were asked for

    def begin(self, ask: ForwardedRequest, head: RequestHead, route: Route) -> Course:
        """Have it decided."""
        source, now = self.source, self.source.host.now()
        source.passing[self] = None
        course = self.course = Course(
            source, self, head, route, now + min(ask.remaining_s, route.timeout_s), ask.caller
        )
        source.courses[course] = None
        if head.length != 0:
            self.answers.admit()
        course.start()
        return course

    def refuse(self, why: int, again_s: float) -> None:
        """It is not decided here."""
        self._over()
        self.answers.fail(Verdict(NOT_RUN, why, False, again_s), LOAD)

    def _over(self) -> None:
        self.source.passing.pop(self, None)

    def cancel(self) -> None:
        """Nobody waits any more."""
        self._over()
        if self.course is not None:
            self.course.cancel()

    def final(self, course: Course, status: int, again_s: float, words: bytes) -> None:
        """An answer of the mesh's own. A 503 is a proof: nothing has run, or it may run twice."""
        if status == 503:
            self.refuse(FULL, again_s)
            return
        self._over()
        if status in (502, 504):
            why = TIMED_OUT if status == 504 else BROKEN_OFF
            self.answers.fail(Verdict(MAY_HAVE_RUN, why, True), LOAD)
        else:
            self.answers.answer(status, b"", len(words), LOAD, words)

    def answer(self, course: Course, status: int, fields: bytes, length: int, body: bytes | None) -> None:
        """A backend's answer, whole, or its head."""
        if body is not None:
            self._over()
        self.answers.answer(status, fields, length, LOAD, body)

    def broken(self, course: Course) -> None:
        """The answer that had begun breaks off."""
        self._over()
        self.answers.fail(Verdict(MAY_HAVE_RUN, BROKEN_OFF, True), LOAD)

    def data(self, course: Course, data: bytes) -> None:
        """A part of the body of a backend's answer."""
        self.answers.data(data)

    def whole(self, course: Course) -> None:
        """The answer is whole."""
        self._over()
        self.answers.complete()

    def taken(self, course: Course) -> None:
        """Bytes of the body have gone on: ask for as many further ones."""
        more = course.read - course.held + AHEAD_BYTES - self.granted
        if more > 0 and not course.ended:
            self.granted += more
            self.answers.window(more)


class _Work:
    """A request as its stream's `Work`."""

    __slots__ = ("cancel", "data", "end", "window")

    def __init__(self, passing: Passing, course: Course) -> None:
        self.data, self.end, self.window, self.cancel = (
            course.data,
            course.end,
            course.gone_on,
            passing.cancel,
        )


def refusal(source: Source, ask: ForwardedRequest) -> int | None:
    """Why a request can't be decided here, before its route is looked for; None where it can."""
    if source.inbound.leaving:
        return LEAVING
    if not source.word.ready:
        return UNREADY
    if source.word.revision < ask.revision:
        return DRIFT
    return DRIFT if len(source.passing) >= MAX_PASSING else None


def take(source: Source, ask: ForwardedRequest, host: bytes, answers: Responder) -> RequestHandler | None:
    """Decide a request that was handed on. `host`: its `Host`; None where it was refused at once."""
    passing = Passing(source, answers)
    why = refusal(source, ask)
    if why is not None:
        passing.refuse(why, REFUSED_S)
        return None
    head = RequestHead()
    head.method, head.target, head.host, head.attempt = ask.method, ask.target, host, ask.attempt_id
    head.fields, head.remaining_s, head.length = [ask.fields], ask.remaining_s, ask.length
    route, again_s = source.word.find(host, head.path), 0.0
    if source.drift_monitor is not None:
        route, again_s = source.drift_monitor.look(host, head.path, route)
    if again_s:
        passing.refuse(DRIFT, again_s)
    elif route is None:
        passing.answers.answer(404, b"", 8, LOAD, b"no route")
    else:
        return _Work(passing, passing.begin(ask, head, route))
    return None
