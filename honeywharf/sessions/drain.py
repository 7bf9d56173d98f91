"""How a gateway empties itself, as a table. No clock: times come as arguments, in seconds.

Theory of operation. An order, or SIGTERM, begins it; from ANNOUNCED on sources are told, from CLOSED on no
new session is taken, in MOVING the long ones are asked to go on by another way, in LAST what is short is
waited for, EMPTY says so, and the process ends from there where it was SIGTERM that began. The last gateway
of a region is only WARNED by the first word; a second one, or the need of `grace-period`, has it go on. A
kill may come at any state and breaks nothing: it costs each session a way.

    state      order      term       back      ticked                         on entering
    SERVING    ANNOUNCED  ANNOUNCED  .         .                              takes sessions
    WARNED     ANNOUNCED  ANNOUNCED  SERVING   SERVING after WARNED_S, or     takes sessions
                                               ANNOUNCED when time is short
    ANNOUNCED  .          (ends)     SERVING   CLOSED after ANNOUNCE_S        sources are told
    CLOSED     .          (ends)     SERVING   MOVING                         takes nothing new
    MOVING     .          (ends)     SERVING   LAST when all are asked        asks the next few
    LAST       .          (ends)     SERVING   EMPTY when none are left       .
    EMPTY      .          (ends)     SERVING   GONE where it ends             .
    GONE       .          .          .         .                              the process exits

`order` and `term` lead from SERVING to WARNED where this is the last one. "(ends)" marks that the process
is to end when it is empty. At `deadline` any state that ends is GONE.
"""

from __future__ import annotations

SERVING, WARNED, ANNOUNCED, CLOSED, MOVING, LAST, EMPTY, GONE = range(8)
NAMES = ("serving", "warned", "announced", "closed", "moving", "last ones", "empty", "gone")
ORDER, TERM, BACK = range(3)
WARNED_S = 30.0  # in which a second order counts
ANNOUNCE_S = 0.1  # for the word to reach the sources: longer than a way between regions
AT_ONCE = 32  # sessions asked in one tick
TICK_S = 0.02
ASK_AGAIN_S = 1.0  # one that was asked and is still here is asked again
NEED_S = 3.0  # before the end of `grace-period` the last gateway moves what it has, told twice or not

#: (state, event) -> state; the last gateway's exceptions are in `Drain.event`.
STEPS = {
    (SERVING, ORDER): ANNOUNCED,
    (SERVING, TERM): ANNOUNCED,
    (WARNED, ORDER): ANNOUNCED,
    (WARNED, TERM): ANNOUNCED,
    (WARNED, BACK): SERVING,
    **{
        (state, event): state for state in (ANNOUNCED, CLOSED, MOVING, LAST, EMPTY) for event in (ORDER, TERM)
    },
    **{(state, BACK): SERVING for state in (ANNOUNCED, CLOSED, MOVING, LAST, EMPTY)},
    (SERVING, BACK): SERVING,
    **{(GONE, event): GONE for event in (ORDER, TERM, BACK)},
}


class Drain:
    """The state of one gateway."""

    __slots__ = ("deadline", "ends", "since", "state")

    def __init__(self) -> None:
        self.state, self.since = SERVING, 0.0
        self.ends = False  # SIGTERM came: the process is to end
        self.deadline = 0.0  # when it ends whatever is left

    @property
    def taking(self) -> bool:
        """Whether new sessions are taken."""
        return self.state in (SERVING, WARNED, ANNOUNCED)

    @property
    def offered(self) -> bool:
        """Whether sources are told to choose this gateway."""
        return self.state in (SERVING, WARNED)

    def event(self, now: float, event: int, last: bool, grace_s: float = 0.0) -> int:
        """An order, SIGTERM or the order back; `last`: no other gateway of the region takes sessions.

        Returns the state. `grace_s`: until the end, with SIGTERM.
        """
        before = self.state
        if event == TERM and not self.ends:
            self.ends, self.deadline = True, now + grace_s
        if event == BACK and self.ends:
            return before  # the platform's word is not taken back
        after = STEPS[before, event]
        if before == SERVING and after == ANNOUNCED and last:
            after = WARNED
        self._enter(now, after)
        return self.state

    def tick(self, now: float, unasked: int, left: int) -> int:
        """Time passes. `unasked`: sessions to be asked to leave, `left`: sessions still here."""
        state, age = self.state, now - self.since
        if self.ends and now >= self.deadline and state != GONE:
            self._enter(now, GONE)
        elif state == WARNED:
            if self.ends and self.deadline - now <= NEED_S:
                self._enter(now, ANNOUNCED)
            elif not self.ends and age >= WARNED_S:
                self._enter(now, SERVING)
        elif state == ANNOUNCED and age >= ANNOUNCE_S:
            self._enter(now, CLOSED)
        elif state == CLOSED:
            self._enter(now, MOVING)
        elif state == MOVING and not unasked:
            self._enter(now, LAST)
        elif state == LAST and not left:
            self._enter(now, EMPTY)
        elif state == EMPTY and self.ends:
            self._enter(now, GONE)
        return self.state

    def _enter(self, now: float, state: int) -> None:
        if state != self.state:
            self.state, self.since = state, now


def rest_first(rest: int, length: int, age: float) -> float:
    """The order of the move: the smallest rest first."""
    return rest if length >= 0 else float("inf")


def longest_first(rest: int, length: int, age: float) -> float:
    """The order of the move: the largest rest first, those of unknown length before."""
    return -rest if length >= 0 else float("-inf")


def oldest_first(rest: int, length: int, age: float) -> float:
    """The order of the move: who has been here longest."""
    return -age
