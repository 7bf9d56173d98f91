"""Carries a process's life out: timers, listener, clients' connections, and operators' calls."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from typing import Protocol

from honeywharf.core.components import MutatingCommand, OperatorCommand, OperatorCommandError
from honeywharf.core.transport import Clock, log
from honeywharf.service.bans import BanError, Bans
from honeywharf.service.lifecycle import Event, InvalidTransitionError, Lifecycle, State, Step
from honeywharf.service.operator_protocol import OperatorRequest

FINISHED_S = 0.02  # how often it is asked whether clients without connections have been answered, at the end


class Front(Protocol):
    """Clients' connections, as far as the life of the process concerns them."""

    closing: bool  # answers close their connections
    rejecting: bool  # calls are refused
    healthy: bool  # GET /health/ready is answered with yes, where the rest is ready
    on_empty: Callable[[], None] | None

    def ready(self) -> bool:
        """Whether clients may come."""

    def empty(self) -> bool:
        """Whether no client's connection is open."""

    def close_idle(self) -> None:
        """Close the connections that hold no request and have had an answer."""

    def close_without_request(self) -> None:
        """Close those on which no request has come, or part of one's head."""

    def stop_listening(self) -> None:
        """Take no new connection."""

    def hand_over_connections(self, giver: Callable[[int], bool] | None) -> None:
        """Give connections away from now on, each as soon as it is between two requests; None: no longer."""


class Served(Protocol):
    """What a keeper acts on beside the front: the proxy."""

    def excluded(self, out: Mapping[str, float]) -> None:
        """These endpoints are out by hand, since those times; no others are."""

    def leaving(self) -> None:
        """The process ends: its parts take nothing new."""

    def has_pending_answers(self) -> bool:
        """Whether one without a connection is still owed an answer."""

    def answer_all(self) -> None:
        """Answer all that is open."""


class Keeper:
    """One process's life and bans, at work."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Clock,
        front: Front,
        served: Served,
        longest_deadline_ms: float,
    ) -> None:
        self.loop, self.clock, self.front, self.served = loop, clock, front, served
        self.lifecycle, self.bans = Lifecycle(longest_deadline_ms), Bans()
        self.shares_listener = False  # with another process, which goes on
        self.stopped = asyncio.Event()
        self.timer: asyncio.TimerHandle | None = None
        #: Gives a connection, by its descriptor, to the process that takes over; False where that can't be.
        self.give: Callable[[int], bool] | None = None
        self.heir: Callable[[], bool] = lambda: False  # whether there is such a process
        # An operator is about to hear that clients may come.
        self.ready_told: Callable[[], None] | None = None
        #: Told of each change of bans or of evacuation by an operator's word, before it is answered.
        self.changed: Callable[[], None] | None = None
        self.evacuated, self.evacuated_ms = False, 0.0  # as an operator said last, and when
        front.on_empty = self.emptied

    # What happens.

    def handle_event(self, event: Event, cause: str) -> bool:
        """Take an event; whether the state changed. `ImpossibleError` where it can't be."""
        before = self.lifecycle.state
        if not self.lifecycle.handle_event(self.clock.now(), event):
            return False
        state, properties = self.lifecycle.state, self.lifecycle.properties
        if event is not Event.LISTENING:  # which has a line of its own
            log(
                f"life: {before.value} -> {state.value}: {cause}",
                "life",
                fields={"before": before.value, "after": state.value, "cause": cause},
            )
        front = self.front
        front.closing = not properties.keeps_connections
        front.healthy, front.rejecting = properties.healthy, False
        if state in (State.ENDING, State.HANDING_OVER):
            self.served.leaving()
        elif state is State.ENDED:
            self.stopped.set()
        self._steps()
        return True

    def listening(self) -> None:
        """The listener is open."""
        self.handle_event(Event.LISTENING, "the listener is open")

    def terminate(self, cause: str = "SIGTERM") -> None:
        """Leave service for good, without losing a request."""
        self.handle_event(Event.HAND_OVER if self.shares_listener else Event.TERMINATE, cause)

    def emptied(self) -> None:
        """No client's connection is left, as far as is known."""
        if not self.front.empty():
            return
        if (
            self.lifecycle.state is State.EVACUATING and self.lifecycle.rejects_requests
        ):  # until then the front sends some more
            self.handle_event(Event.EMPTIED, "no client's connection is left")
        elif self.lifecycle.state in (State.ENDING, State.HANDING_OVER) and not any(
            step is Step.STOP_ACCEPTING for _, step in self.lifecycle.due
        ):
            if self.served.has_pending_answers():  # those without a connection, who are waited for
                self.loop.call_later(FINISHED_S, self.emptied)
            else:
                self.handle_event(Event.FINISHED, "nothing is open")

    def _steps(self) -> None:
        """Do what is due, and come back for the rest."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        while (step := self.lifecycle.pop_due_step(self.clock.now())) is not None:
            self._do(step)
        due_ms = self.lifecycle.next_step_ms()
        if due_ms is not None:
            self.timer = self.loop.call_later(max(0.0, due_ms - self.clock.now()) / 1000.0, self._steps)

    def _do(self, step: Step) -> None:
        if step is Step.CLOSE_IDLE:
            self.front.close_idle()
        elif step is Step.CLOSE_WITHOUT_REQUEST:
            self.front.close_without_request()
        elif step is Step.REJECT:
            self.front.rejecting = True
            self.loop.call_soon(self.emptied)
        elif step is Step.STOP_ACCEPTING:
            self.front.stop_listening()
            self.loop.call_soon(self.emptied)
        elif step is Step.HAND_OVER_CONNECTIONS:
            self.heir_changed()
        elif step is Step.ANSWER_ALL:
            self.served.answer_all()
        else:
            self.handle_event(Event.FINISHED, "time is up")

    def heir_changed(self) -> None:
        """A process that takes over has come or gone; while there is one, connections are kept for it."""
        if self.lifecycle.state is State.HANDING_OVER:
            heir = self.heir()
            self.front.closing = not heir
            self.front.hand_over_connections(self.give if heir else None)

    # What operators say.

    def operator_commands(self) -> dict[str, OperatorCommand]:
        """The calls, for both doors: each of a name and, of a backend, its `id`."""
        return {
            "readyz": lambda _: self.readyz(),
            "exclude": MutatingCommand(lambda of: self.exclude(_id(of))),
            "include": MutatingCommand(lambda of: self.include(_id(of))),
            "evacuate": MutatingCommand(lambda _: self.evacuate()),
            "activate": MutatingCommand(lambda _: self.activate()),
        }

    def execute(self, request: OperatorRequest) -> str:
        """Carry out what was said at the second address; ValueError says why not."""
        ask = self.operator_commands()[request.command]
        if isinstance(ask, MutatingCommand):
            log(
                f"operator: {request.command} {request.endpoint_id}".rstrip(),
                "operator.change",
                fields={"do": request.command, "id": request.endpoint_id},
            )
        return str(ask({"id": request.endpoint_id}))

    def readyz(self) -> str:
        """Whether this process takes clients."""
        if not (self.lifecycle.properties.readyz and self.front.ready()):
            why = (
                self.lifecycle.state.value
                if not self.lifecycle.properties.readyz
                else "waiting for discovery's list"
            )
            raise OperatorCommandError(f"not ready: {why}")
        if self.ready_told is not None:
            self.ready_told()
        return self.lifecycle.state.value

    def exclude(self, name: str) -> str:
        """Take a backend out until it is included again."""
        try:
            new = self.bans.exclude(name, self.clock.now())
        except BanError as fault:
            raise OperatorCommandError(str(fault)) from None
        if new:
            self.banned()
        return f"{name} is out" if new else f"{name} was out already"

    def include(self, name: str) -> str:
        """Use a backend again."""
        try:
            new = self.bans.include(name, self.clock.now())
        except BanError as fault:
            raise OperatorCommandError(str(fault)) from None
        if new:
            self.banned()
        return f"{name} is used again" if new else f"{name} was not out"

    def banned(self) -> None:
        """The bans have changed: the module, the books and the other process are told."""
        self.served.excluded(self.bans.excluded_ms)
        if self.changed is not None:
            self.changed()

    def evacuate(self) -> str:
        """Empty this proxy of clients; it stays."""
        return self._by_hand(Event.EVACUATE)

    def activate(self) -> str:
        """The end of an evacuation."""
        return self._by_hand(Event.ACTIVATE)

    def _by_hand(self, event: Event) -> str:
        passed_on = self.lifecycle.state is State.HANDING_OVER and self.heir()
        try:
            if not passed_on:  # else it is the other process's to carry out
                self.handle_event(event, f"an operator's {event.value}")
        except InvalidTransitionError as fault:
            raise OperatorCommandError(str(fault)) from None
        self.evacuated, self.evacuated_ms = event is Event.EVACUATE, self.clock.now()
        if self.changed is not None:
            self.changed()
        return "passed on to the process that takes over" if passed_on else self.lifecycle.state.value

    def said_elsewhere(
        self,
        other_excluded_ms: Mapping[str, float],
        other_included_ms: Mapping[str, float],
        evacuated: bool,
        evacuated_ms: float,
    ) -> None:
        """Take over what operators said to another process of this proxy; the later word holds."""
        if self.bans.merge(other_excluded_ms, other_included_ms):
            log(
                f"operator: said to the other process, out are {self.bans.summary()}",
                "operator.change",
                fields={"out": sorted(self.bans.excluded_ms)},
            )
            self.served.excluded(self.bans.excluded_ms)
        if evacuated_ms > self.evacuated_ms:
            changed = evacuated != self.evacuated
            self.evacuated, self.evacuated_ms = evacuated, evacuated_ms
            if changed and self.lifecycle.state in (
                State.STARTING,
                State.READY,
                State.EVACUATING,
                State.EMPTY,
            ):
                self.handle_event(
                    Event.EVACUATE if evacuated else Event.ACTIVATE, "an operator's word to the other process"
                )


def _id(of: Mapping[str, str]) -> str:
    if not of.get("id"):
        raise OperatorCommandError("found no id, wanted that of a backend")
    return of["id"]
