"""The drain of a gateway as a state machine. It has no clock: times are arguments, in seconds.

Theory of operation. An operator's order or SIGTERM begins a drain. From ANNOUNCED on, sources are notified
not to choose this gateway; from CLOSED on, no new session is accepted; in MOVING, long sessions are asked to
move to another gateway; FINISHING waits for the short ones; EMPTY reports that none is left, and after
SIGTERM the process exits from there. The last gateway of a region only becomes WARNED by a first order; a
second order starts the drain, and so does SIGTERM when little of `grace-period` is left. A kill is safe in
any state: it costs each session its path.

    state      order      term       cancel    tick                           on entering
    SERVING    ANNOUNCED  ANNOUNCED  .         .                              accepts sessions
    WARNED     ANNOUNCED  ANNOUNCED  SERVING   SERVING after CONFIRMATION_S,  accepts sessions
                                               or ANNOUNCED near the end of
                                               the grace period
    ANNOUNCED  .          (ends)     SERVING   CLOSED after ANNOUNCEMENT_S    sources are told
    CLOSED     .          (ends)     SERVING   MOVING                         accepts no new sessions
    MOVING     .          (ends)     SERVING   FINISHING when all are asked   asks the next few to move
    FINISHING  .          (ends)     SERVING   EMPTY when none are left       .
    EMPTY      .          (ends)     SERVING   GONE after SIGTERM             .
    GONE       .          .          .         .                              the process exits

`order` and `term` lead from SERVING to WARNED at the last gateway. "(ends)" marks that the process exits once
it is empty. After SIGTERM any state becomes GONE at `deadline`.
"""

from __future__ import annotations

SERVING, WARNED, ANNOUNCED, CLOSED, MOVING, FINISHING, EMPTY, GONE = range(8)
STATE_NAMES = ("serving", "warned", "announced", "closed", "moving", "last ones", "empty", "gone")
ORDER, TERM, CANCEL = range(3)
CONFIRMATION_S = 30.0  # A second order confirms the first within this time.
ANNOUNCEMENT_S = 0.1  # This exceeds the latency between regions, so that sources know of the drain.
MOVES_PER_TICK = 32  # Sessions that are asked to move in one tick.
TICK_INTERVAL_S = 0.02
REPEAT_LEAVE_S = 1.0  # A session still here is asked to move again after this time.
# With this much of `grace-period` left, the last gateway drains without a second order.
FORCED_DRAIN_S = 3.0

#: The next state by (state, event); `Drain.event` makes the exceptions for the last gateway.
TRANSITIONS = {
    (SERVING, ORDER): ANNOUNCED,
    (SERVING, TERM): ANNOUNCED,
    (WARNED, ORDER): ANNOUNCED,
    (WARNED, TERM): ANNOUNCED,
    (WARNED, CANCEL): SERVING,
    **{
        (state, event): state
        for state in (ANNOUNCED, CLOSED, MOVING, FINISHING, EMPTY)
        for event in (ORDER, TERM)
    },
    **{(state, CANCEL): SERVING for state in (ANNOUNCED, CLOSED, MOVING, FINISHING, EMPTY)},
    (SERVING, CANCEL): SERVING,
    **{(GONE, event): GONE for event in (ORDER, TERM, CANCEL)},
}


class Drain:
    """The drain state of one gateway."""

    __slots__ = ("deadline", "exits_when_empty", "state", "state_since")

    def __init__(self) -> None:
        self.state, self.state_since = SERVING, 0.0
        self.exits_when_empty = False  # True once SIGTERM was received.
        self.deadline = 0.0  # After SIGTERM the process exits at this time, even with sessions left.

    @property
    def accepts_sessions(self) -> bool:
        """Whether new sessions are accepted."""
        return self.state in (SERVING, WARNED, ANNOUNCED)

    @property
    def is_advertised(self) -> bool:
        """Whether sources may choose this gateway."""
        return self.state in (SERVING, WARNED)

    def event(self, now: float, event: int, last: bool, grace_s: float = 0.0) -> int:
        """Handles an order, SIGTERM or a cancelled order; returns the new state.

        `last`: no other gateway of the region accepts sessions. `grace_s`: the time to the deadline, with
        SIGTERM.
        """
        before = self.state
        if event == TERM and not self.exits_when_empty:
            self.exits_when_empty, self.deadline = True, now + grace_s
        if event == CANCEL and self.exits_when_empty:
            return before  # SIGTERM can't be cancelled.
        after = TRANSITIONS[before, event]
        if before == SERVING and after == ANNOUNCED and last:
            after = WARNED
        self._enter(now, after)
        return self.state

    def tick(self, now: float, pending_moves: int, remaining: int) -> int:
        """Advances the state. `pending_moves`: sessions still to be asked to move; `remaining`: all."""
        state, age = self.state, now - self.state_since
        if self.exits_when_empty and now >= self.deadline and state != GONE:
            self._enter(now, GONE)
        elif state == WARNED:
            if self.exits_when_empty and self.deadline - now <= FORCED_DRAIN_S:
                self._enter(now, ANNOUNCED)
            elif not self.exits_when_empty and age >= CONFIRMATION_S:
                self._enter(now, SERVING)
        elif state == ANNOUNCED and age >= ANNOUNCEMENT_S:
            self._enter(now, CLOSED)
        elif state == CLOSED:
            self._enter(now, MOVING)
        elif state == MOVING and not pending_moves:
            self._enter(now, FINISHING)
        elif state == FINISHING and not remaining:
            self._enter(now, EMPTY)
        elif state == EMPTY and self.exits_when_empty:
            self._enter(now, GONE)
        return self.state

    def _enter(self, now: float, state: int) -> None:
        if state != self.state:
            self.state, self.state_since = state, now


def smallest_remainder_first(remaining_bytes: int, length: int, age: float) -> float:
    """Returns the sort key for moving sessions: fewest remaining bytes first."""
    return remaining_bytes if length >= 0 else float("inf")


def largest_remainder_first(remaining_bytes: int, length: int, age: float) -> float:
    """Returns the sort key for moving sessions: unknown length first, then most remaining bytes."""
    return -remaining_bytes if length >= 0 else float("-inf")


def oldest_first(remaining_bytes: int, length: int, age: float) -> float:
    """Returns the sort key for moving sessions: oldest first."""
    return -age
