"""The lifecycle of a process as a state machine. Without I/O: times are ms since the state was entered.

Theory of operation. A process is in one `State`. `TRANSITIONS` gives the state that follows an `Event`; a
pair that is not in the table raises. `STATE_PROPERTIES` says what the process reports and accepts in a state,
`steps` what it does at which time after it entered the state. The owner of a `Lifecycle` has the timers and
executes the steps:

    starting      the listener is not open yet
    ready         in service
    evacuating    out of service by an operator's command: responses close their connections, idle connections
                  are closed after a while, later requests are rejected, and requests in flight are completed
    empty         evacuated, without client connections; `activate` puts the process back into service
    handing over  terminating while another process shares the listening socket: it accepts no connections,
                  and its client connections move to the other process, or stay until the time limit
    ending        terminating with a listener of its own: clients may still connect for a moment
    ended         nothing is open, or the time limit has passed

An evacuating proxy has a time limit, `EMPTY_WITHIN_MS`. After it no client connection may be idle, or hold a
request that arrived in the last `YOUNG_REQUEST_MS` (see the operators' page on daily operation).
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum

EMPTY_WITHIN_MS = 4000.0
YOUNG_REQUEST_MS = 2000.0
# Most clients send another request before this time, and its response closes the connection.
CLOSE_IDLE_AFTER_MS = 1500.0
REJECT_AFTER_MS = 1800.0  # The response to a later request could miss the time limit of the evacuation.
# The platform's load balancer opens new connections for up to 0.4 s after SIGTERM, and timers may be late.
STOP_ACCEPTING_AFTER_MS = 600.0
FIRST_REQUEST_GRACE_MS = 500.0  # Accepted connections have this time to send their request.
# SIGKILL follows SIGTERM by at least 0.7 s more than this time, or than the longest deadline if that is less.
KILL_AFTER_MS = 3000.0
# All requests in flight are answered this long after `KILL_AFTER_MS`, or after the longest deadline if less.
ANSWER_ALL_DELAY_MS = 450.0
FLUSH_TIMEOUT_MS = 50.0
# Idle connections that no process has taken over are closed this long before all requests are answered.
HAND_OVER_IDLE_MS = 1200.0


class State(Enum):
    """The state of a process."""

    STARTING = "starting"
    READY = "ready"
    EVACUATING = "evacuating"
    EMPTY = "empty"
    HANDING_OVER = "handing over"
    ENDING = "ending"
    ENDED = "ended"


class Event(Enum):
    """An input of the state machine."""

    LISTENING = "listening"  # The listener is open.
    EVACUATE = "evacuate"
    ACTIVATE = "activate"
    EMPTIED = "emptied"  # No client connection is left.
    TERMINATE = "terminate"  # SIGTERM arrived, and the process has a listener of its own.
    HAND_OVER = "hand over"  # SIGTERM arrived, and another process shares the listening socket.
    FINISHED = "finished"  # Nothing is open, or the time limit has passed.


class Step(Enum):
    """An action that the owner of the lifecycle executes once."""

    CLOSE_IDLE = "close idle connections"
    CLOSE_WITHOUT_REQUEST = "close connections on which nothing has come"
    REJECT = "refuse calls from now on"
    REJECT_OUTLASTING = "refuse calls whose deadlines are after the end"
    HAND_OVER_CONNECTIONS = "give connections to the other process"
    STOP_ACCEPTING = "stop accepting"
    ANSWER_ALL = "answer all that is open"
    END = "end"


@dataclass(frozen=True, slots=True)
class StateProperties:
    """The properties of a state.

    `readyz`: the operators' readiness command succeeds. `healthy`: GET /health/ready is answered with 200 if
    the rest of the proxy is ready too. `keeps_connections`: responses leave their connections open.
    """

    readyz: bool
    healthy: bool
    keeps_connections: bool


S, E = State, Event

STATE_PROPERTIES = {
    S.STARTING: StateProperties(
        readyz=True, healthy=True, keeps_connections=True
    ),  # The rest of the proxy may not be ready yet.
    S.READY: StateProperties(readyz=True, healthy=True, keeps_connections=True),
    S.EVACUATING: StateProperties(readyz=False, healthy=False, keeps_connections=False),
    S.EMPTY: StateProperties(readyz=False, healthy=False, keeps_connections=False),
    # The other process still serves the address: an unhealthy answer would take both out of service.
    S.HANDING_OVER: StateProperties(readyz=False, healthy=True, keeps_connections=False),
    S.ENDING: StateProperties(readyz=False, healthy=False, keeps_connections=False),
    S.ENDED: StateProperties(readyz=False, healthy=False, keeps_connections=False),
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
    (S.EVACUATING, E.LISTENING): S.EVACUATING,  # An operator evacuated it before the listener was open.
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
    # A further SIGTERM changes nothing: requests in flight are still completed.
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


class InvalidTransitionError(Exception):
    """The event is not possible in the state; the message names the events that are."""

    def __init__(self, state: State, event: Event) -> None:
        super().__init__(
            f"found {event.value!r} while {state.value}, wanted one of "
            + ", ".join(sorted({repr(e.value) for s, e in TRANSITIONS if s is state}))
        )


def steps(state: State, longest_deadline_ms: float) -> tuple[tuple[float, Step], ...]:
    """The steps of a state, in order, each with its time in ms after the state was entered.

    `longest_deadline_ms`: the longest deadline of a request class.
    """
    answer_all_ms = min(longest_deadline_ms, KILL_AFTER_MS) + ANSWER_ALL_DELAY_MS
    if state is S.EVACUATING:
        return (
            (CLOSE_IDLE_AFTER_MS, Step.CLOSE_IDLE),
            (REJECT_AFTER_MS, Step.REJECT),
            (REJECT_AFTER_MS, Step.CLOSE_WITHOUT_REQUEST),
        )
    if state is S.EMPTY:
        return ((0.0, Step.REJECT),)
    if state is S.HANDING_OVER:
        return (
            (0.0, Step.STOP_ACCEPTING),
            (0.0, Step.REJECT_OUTLASTING),  # The other process takes them.
            (0.0, Step.HAND_OVER_CONNECTIONS),
            (max(0.0, answer_all_ms - HAND_OVER_IDLE_MS), Step.CLOSE_IDLE),
            (max(0.0, answer_all_ms - HAND_OVER_IDLE_MS), Step.CLOSE_WITHOUT_REQUEST),
            (answer_all_ms, Step.ANSWER_ALL),
            (answer_all_ms + FLUSH_TIMEOUT_MS, Step.END),
        )
    if state is S.ENDING:
        return (
            (0.0, Step.CLOSE_IDLE),
            (STOP_ACCEPTING_AFTER_MS, Step.STOP_ACCEPTING),
            (STOP_ACCEPTING_AFTER_MS, Step.REJECT_OUTLASTING),  # The clients of later requests have others.
            (STOP_ACCEPTING_AFTER_MS + FIRST_REQUEST_GRACE_MS, Step.CLOSE_IDLE),
            (STOP_ACCEPTING_AFTER_MS + FIRST_REQUEST_GRACE_MS, Step.CLOSE_WITHOUT_REQUEST),
            (answer_all_ms, Step.ANSWER_ALL),
            (answer_all_ms + FLUSH_TIMEOUT_MS, Step.END),
        )
    return ()


class Lifecycle:
    """The state of one process, and the steps that are still due in it."""

    def __init__(self, longest_deadline_ms: float) -> None:
        self.state, self.longest_deadline_ms = State.STARTING, longest_deadline_ms
        self.entered_ms = 0.0
        self.is_listening = False
        self.due: list[tuple[float, Step]] = []  # The times are on the caller's clock, in ascending order.
        self.rejects_requests = False

    def handle_event(self, now_ms: float, event: Event) -> bool:
        """Applies an event; returns whether the state has changed. Raises InvalidTransitionError."""
        next_state = TRANSITIONS.get((self.state, event))
        if next_state is None:
            raise InvalidTransitionError(self.state, event)
        if event is Event.LISTENING:
            self.is_listening = True
        if next_state is State.READY and not self.is_listening:
            next_state = State.STARTING
        if next_state is self.state:
            return False
        self.state, self.entered_ms, self.rejects_requests = next_state, now_ms, False
        self.due = [(now_ms + ms, step) for ms, step in steps(next_state, self.longest_deadline_ms)]
        return True

    def pop_due_step(self, now_ms: float) -> Step | None:
        """Removes and returns the next step that is due; None if there is none."""
        if not self.due or self.due[0][0] > now_ms:
            return None
        step = self.due.pop(0)[1]
        if step is Step.REJECT:
            self.rejects_requests = True
        return step

    def next_step_ms(self) -> float | None:
        """Returns the time of the next step; None if there is none."""
        return self.due[0][0] if self.due else None

    @property
    def answer_all_ms(self) -> float:
        """The time at which all requests in flight are answered; infinite if the process does not end."""
        return next((at for at, step in self.due if step is Step.ANSWER_ALL), math.inf)

    @property
    def properties(self) -> StateProperties:
        """The properties of the current state."""
        return STATE_PROPERTIES[self.state]
