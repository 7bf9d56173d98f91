"""The life of a process, as a table. Without I/O: times are ms since the present state was entered.

Theory of operation. A process is in one `State`. What happens to it is an `Event`; `TRANSITIONS` says what
state follows, and a pair that is not in it is impossible and raises. What the process says and takes in a
state is in `CONDUCT`, what it has to do so long after it entered one is in `steps`. Whoever holds a `Life` (a
keeper, which owns timers) carries the steps out, and asks nothing but these tables:

    starting      the listener is not open yet
    ready         in service
    evacuating    out of service by an operator's word: answers close their connections, idle ones close by
                  and by, late calls are refused; what it holds is answered
    empty         evacuated, and no client's connection is left; it waits for `activate`
    handing over  told to end while another process has the same listening socket: it accepts nothing, and its
                  clients' connections go over to the other, or are kept for as long as the platform allows
    ending        told to end with a listener of its own: clients still come for a moment
    ended         nothing is open any more, or time is up

A later rule on connections of a proxy that drains: so long after the call none may be idle, or hold a request
that came in the last `YOUNG_REQUEST_MS` (the operators' page on daily operation).
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

EMPTY_WITHIN_MS = 4000.0  # of `evacuate`: no client's connection may be idle then
YOUNG_REQUEST_MS = 2000.0  # nor hold a request that came so shortly before
# Idle connections are left to their clients until then: most ask once more, and are told by the answer.
IDLE_UNTIL_MS = 1500.0
LATE_FROM_MS = 1800.0  # calls from then on are refused: no answer to them could come in time for sure
# After SIGTERM: the front sends new connections for up to 0.4 s, and a busy machine runs late.
ACCEPT_MS = 600.0
LAST_CALL_MS = 500.0  # then, for connections that came and have not sent their request
KILL_AFTER_MS = 3000.0  # SIGKILL comes 0.7 s after this, or the longest deadline if less, at the soonest
BEFORE_KILL_MS = 450.0  # so long after that time, what is still open is answered
LAST_ANSWERS_MS = 50.0  # for those answers to leave
# Before what is open is answered, idle connections that nobody took over are closed.
HAND_OVER_IDLE_MS = 1200.0


class State(Enum):
    """Where a process is in its life."""

    STARTING = "starting"
    READY = "ready"
    EVACUATING = "evacuating"
    EMPTY = "empty"
    HANDING_OVER = "handing over"
    ENDING = "ending"
    ENDED = "ended"


class Event(Enum):
    """What happens to it."""

    LISTENING = "listening"  # the listener is open
    EVACUATE = "evacuate"
    ACTIVATE = "activate"
    EMPTIED = "emptied"  # no client's connection is left
    TERMINATE = "terminate"  # SIGTERM, with a listener of its own
    HAND_OVER = "hand over"  # SIGTERM, with a listening socket that others share
    FINISHED = "finished"  # nothing is open any more, or time is up


class Step(Enum):
    """What is to be done, once, by whoever holds the life."""

    CLOSE_IDLE = "close idle connections"
    CLOSE_SILENT = "close connections on which nothing has come"
    REFUSE = "refuse calls from now on"
    GIVE = "give connections to the other process"
    STOP_ACCEPTING = "stop accepting"
    ANSWER_ALL = "answer all that is open"
    END = "end"


@dataclass(frozen=True, slots=True)
class Conduct:
    """What a process says and takes in a state.

    `readyz`: the operators' question is answered with yes. `healthy`: GET /health/ready is answered with 200,
    as far as the rest of the proxy is ready too. `keeps`: answers leave their connections open.
    """

    readyz: bool
    healthy: bool
    keeps: bool


S, E = State, Event

CONDUCT = {
    S.STARTING: Conduct(readyz=True, healthy=True, keeps=True),  # as soon as the rest is ready
    S.READY: Conduct(readyz=True, healthy=True, keeps=True),
    S.EVACUATING: Conduct(readyz=False, healthy=False, keeps=False),
    S.EMPTY: Conduct(readyz=False, healthy=False, keeps=False),
    # The address is still served, by the other process: a no would take both out of service.
    S.HANDING_OVER: Conduct(readyz=False, healthy=True, keeps=False),
    S.ENDING: Conduct(readyz=False, healthy=False, keeps=False),
    S.ENDED: Conduct(readyz=False, healthy=False, keeps=False),
}

TRANSITIONS = {
    (S.STARTING, E.LISTENING): S.READY,
    (S.STARTING, E.EVACUATE): S.EVACUATING,
    (S.STARTING, E.ACTIVATE): S.STARTING,
    (S.STARTING, E.TERMINATE): S.ENDING,
    (S.STARTING, E.HAND_OVER): S.HANDING_OVER,
    (S.READY, E.EVACUATE): S.EVACUATING,
    (S.READY, E.ACTIVATE): S.READY,
    (S.READY, E.TERMINATE): S.ENDING,
    (S.READY, E.HAND_OVER): S.HANDING_OVER,
    (S.EVACUATING, E.LISTENING): S.EVACUATING,  # called before the listener was open
    (S.EVACUATING, E.EVACUATE): S.EVACUATING,
    (S.EVACUATING, E.ACTIVATE): S.READY,
    (S.EVACUATING, E.EMPTIED): S.EMPTY,
    (S.EVACUATING, E.TERMINATE): S.ENDING,
    (S.EVACUATING, E.HAND_OVER): S.HANDING_OVER,
    (S.EMPTY, E.EVACUATE): S.EMPTY,
    (S.EMPTY, E.ACTIVATE): S.READY,
    (S.EMPTY, E.EMPTIED): S.EMPTY,
    (S.EMPTY, E.TERMINATE): S.ENDING,
    (S.EMPTY, E.HAND_OVER): S.HANDING_OVER,
    # A further SIGTERM changes nothing: what is owed is still owed.
    **{
        (state, event): state
        for state in (S.HANDING_OVER, S.ENDING)
        for event in (E.TERMINATE, E.HAND_OVER, E.EMPTIED, E.LISTENING)
    },
    (S.HANDING_OVER, E.FINISHED): S.ENDED,
    (S.ENDING, E.FINISHED): S.ENDED,
    (S.ENDED, E.TERMINATE): S.ENDED,
    (S.ENDED, E.HAND_OVER): S.ENDED,
}


class ImpossibleError(Exception):
    """What can't happen in that state."""

    def __init__(self, state: State, event: Event) -> None:
        super().__init__(
            f"found {event.value!r} while {state.value}, wanted one of "
            + ", ".join(sorted({repr(e.value) for s, e in TRANSITIONS if s is state}))
        )


def steps(state: State, longest_ms: float) -> tuple[tuple[float, Step], ...]:
    """What is to be done when: ms after the state was entered.

    `longest_ms`: the longest deadline of a class.
    """
    cut = min(longest_ms, KILL_AFTER_MS) + BEFORE_KILL_MS
    if state is S.EVACUATING:
        return (
            (IDLE_UNTIL_MS, Step.CLOSE_IDLE),
            (LATE_FROM_MS, Step.REFUSE),
            (LATE_FROM_MS, Step.CLOSE_SILENT),
        )
    if state is S.EMPTY:
        return ((0.0, Step.REFUSE),)
    if state is S.HANDING_OVER:
        return (
            (0.0, Step.STOP_ACCEPTING),
            (0.0, Step.GIVE),
            (max(0.0, cut - HAND_OVER_IDLE_MS), Step.CLOSE_IDLE),
            (max(0.0, cut - HAND_OVER_IDLE_MS), Step.CLOSE_SILENT),
            (cut, Step.ANSWER_ALL),
            (cut + LAST_ANSWERS_MS, Step.END),
        )
    if state is S.ENDING:
        return (
            (0.0, Step.CLOSE_IDLE),
            (ACCEPT_MS, Step.STOP_ACCEPTING),
            (ACCEPT_MS + LAST_CALL_MS, Step.CLOSE_IDLE),
            (ACCEPT_MS + LAST_CALL_MS, Step.CLOSE_SILENT),
            (cut, Step.ANSWER_ALL),
            (cut + LAST_ANSWERS_MS, Step.END),
        )
    return ()


class Life:
    """One process's life: its state, when it was entered, and what of it is still to be done."""

    def __init__(self, longest_ms: float) -> None:
        self.state, self.longest_ms = State.STARTING, longest_ms
        self.entered_ms = 0.0
        self.listens = False  # the listener has been opened
        self.due: list[tuple[float, Step]] = []  # on the caller's clock, in order
        self.refuses = False  # calls that come now

    def happens(self, now_ms: float, event: Event) -> bool:
        """Take an event; whether the state is another one now. `ImpossibleError` where it can't be."""
        after = TRANSITIONS.get((self.state, event))
        if after is None:
            raise ImpossibleError(self.state, event)
        if event is Event.LISTENING:
            self.listens = True
        if after is State.READY and not self.listens:
            after = State.STARTING
        if after is self.state:
            return False
        self.state, self.entered_ms, self.refuses = after, now_ms, False
        self.due = [(now_ms + ms, step) for ms, step in steps(after, self.longest_ms)]
        return True

    def step(self, now_ms: float) -> Step | None:
        """The next thing to do by now, once; None where there is none yet."""
        if not self.due or self.due[0][0] > now_ms:
            return None
        step = self.due.pop(0)[1]
        if step is Step.REFUSE:
            self.refuses = True
        return step

    def next_ms(self) -> float | None:
        """When there is something to do next."""
        return self.due[0][0] if self.due else None

    @property
    def conduct(self) -> Conduct:
        """What it says and takes now."""
        return CONDUCT[self.state]
