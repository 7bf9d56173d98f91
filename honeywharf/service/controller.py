"""Runs the lifecycle of a process: its timers, listener, client connections and operators' commands."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from typing import Protocol

from honeywharf.core.components import MutatingCommand, OperatorCommand, OperatorCommandError
from honeywharf.core.transport import Clock, log
from honeywharf.service.bans import BanError, Bans
from honeywharf.service.lifecycle import Event, InvalidTransitionError, Lifecycle, State, Step
from honeywharf.service.operator_protocol import OperatorRequest

PENDING_ANSWERS_POLL_S = 0.02


class Front(Protocol):
    """The client connections, as the controller sees them."""

    closing: bool  # Responses close their connections.
    rejecting: bool  # New requests are rejected.
    healthy: bool  # GET /health/ready is answered with 200 if the rest of the proxy is ready.
    on_empty: Callable[[], None] | None

    def ready(self) -> bool:
        """Whether the proxy accepts clients."""

    def empty(self) -> bool:
        """Whether no client connection is open."""

    def close_idle(self) -> None:
        """Closes the connections without a request that have had a response."""

    def close_without_request(self) -> None:
        """Closes the connections on which at most a partial head has arrived."""

    def stop_listening(self) -> None:
        """Closes the listener."""

    def hand_over_connections(self, hand_over: Callable[[int], bool] | None) -> None:
        """Hands connections over from now on, each when it is between two requests; None stops that."""


class ServedProxy(Protocol):
    """The rest of the proxy, as the controller sees it."""

    def exclude_endpoints(self, excluded_ms: Mapping[str, float]) -> None:
        """Sets the endpoints that operators have banned, with the time of each ban."""

    def drain_components(self) -> None:
        """Tells the components that the process ends, so that they accept nothing new."""

    def has_pending_answers(self) -> bool:
        """Whether a client without a connection still waits for an answer."""

    def limit_answers(self, until_ms: float) -> None:
        """Rejects later requests whose deadlines are after `until_ms`, when all in flight are answered."""

    def answer_all(self) -> None:
        """Answers all requests in flight."""


class ServiceController:
    """Owns the lifecycle and the bans of one process, and executes operators' commands."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Clock,
        front: Front,
        served: ServedProxy,
        longest_deadline_ms: float,
    ) -> None:
        self.loop, self.clock, self.front, self.served = loop, clock, front, served
        self.lifecycle, self.bans = Lifecycle(longest_deadline_ms), Bans()
        self.shares_listener = False  # Another process may keep the listening socket open.
        self.stopped = asyncio.Event()
        self.timer: asyncio.TimerHandle | None = None
        #: Sends a connection's descriptor to the process that takes over; False if that is not possible.
        self.hand_over: Callable[[int], bool] | None = None
        self.has_successor: Callable[[], bool] = lambda: False
        # Called before an operator gets the reply that the process is ready.
        self.on_ready: Callable[[], None] | None = None
        #: Called after each change of bans or evacuation by an operator, before the reply.
        self.on_operator_change: Callable[[], None] | None = None
        # The last command of an operator to evacuate or activate, and its time.
        self.evacuated, self.evacuated_ms = False, 0.0
        front.on_empty = self.check_empty

    def handle_event(self, event: Event, cause: str) -> bool:
        """Applies an event; returns whether the state has changed. Raises InvalidTransitionError."""
        before = self.lifecycle.state
        if not self.lifecycle.handle_event(self.clock.now(), event):
            return False
        state, properties = self.lifecycle.state, self.lifecycle.properties
        if event is not Event.LISTENING:  # The proxy logs the opened listener.
            log(
                f"life: {before.value} -> {state.value}: {cause}",
                "life",
                fields={"before": before.value, "after": state.value, "cause": cause},
            )
        front = self.front
        front.closing = not properties.keeps_connections
        front.healthy, front.rejecting = properties.healthy, False
        if state in (State.ENDING, State.HANDING_OVER):
            self.served.drain_components()
        elif state is State.ENDED:
            self.stopped.set()
        self._run_due_steps()
        return True

    def listening(self) -> None:
        """Records that the listener is open."""
        self.handle_event(Event.LISTENING, "the listener is open")

    def terminate(self, cause: str = "SIGTERM") -> None:
        """Starts the graceful shutdown."""
        self.handle_event(Event.HAND_OVER if self.shares_listener else Event.TERMINATE, cause)

    def check_empty(self) -> None:
        """Ends the evacuation or the shutdown if no client connection is left."""
        if not self.front.empty():
            return
        # Before the proxy rejects requests, the platform may still open connections.
        if self.lifecycle.state is State.EVACUATING and self.lifecycle.rejects_requests:
            self.handle_event(Event.EMPTIED, "no client connection is left")
        elif self.lifecycle.state in (State.ENDING, State.HANDING_OVER) and not any(
            step is Step.STOP_ACCEPTING for _, step in self.lifecycle.due
        ):
            if self.served.has_pending_answers():
                self.loop.call_later(PENDING_ANSWERS_POLL_S, self.check_empty)
            else:
                self.handle_event(Event.FINISHED, "no request or connection is open")

    def _run_due_steps(self) -> None:
        """Executes the steps that are due, and sets a timer for the next one."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        while (step := self.lifecycle.pop_due_step(self.clock.now())) is not None:
            self._execute_step(step)
        due_ms = self.lifecycle.next_step_ms()
        if due_ms is not None:
            self.timer = self.loop.call_later(
                max(0.0, due_ms - self.clock.now()) / 1000.0, self._run_due_steps
            )

    def _execute_step(self, step: Step) -> None:
        if step is Step.CLOSE_IDLE:
            self.front.close_idle()
        elif step is Step.CLOSE_WITHOUT_REQUEST:
            self.front.close_without_request()
        elif step is Step.REJECT:
            self.front.rejecting = True
            self.loop.call_soon(self.check_empty)
        elif step is Step.REJECT_OUTLASTING:
            self.served.limit_answers(self.lifecycle.answer_all_ms)
        elif step is Step.STOP_ACCEPTING:
            self.front.stop_listening()
            self.loop.call_soon(self.check_empty)
        elif step is Step.HAND_OVER_CONNECTIONS:
            self.successor_changed()
        elif step is Step.ANSWER_ALL:
            self.served.answer_all()
        else:
            self.handle_event(Event.FINISHED, "the time limit has passed")

    def successor_changed(self) -> None:
        """Handles the start or end of a successor; while there is one, connections are kept open for it."""
        if self.lifecycle.state is State.HANDING_OVER:
            has_successor = self.has_successor()
            self.front.closing = not has_successor
            self.front.hand_over_connections(self.hand_over if has_successor else None)

    def operator_commands(self) -> dict[str, OperatorCommand]:
        """The operators' commands, for both admin interfaces; those on a backend take its `id`."""
        return {
            "readyz": lambda _: self.readyz(),
            "exclude": MutatingCommand(lambda arguments: self.exclude(_id(arguments))),
            "include": MutatingCommand(lambda arguments: self.include(_id(arguments))),
            "evacuate": MutatingCommand(lambda _: self.evacuate()),
            "activate": MutatingCommand(lambda _: self.activate()),
        }

    def execute(self, request: OperatorRequest) -> str:
        """Executes a request from the operators' listener; returns the reply's text or raises ValueError."""
        command = self.operator_commands()[request.command]
        if isinstance(command, MutatingCommand):
            log(
                f"operator: {request.command} {request.endpoint_id}".rstrip(),
                "operator.change",
                fields={"do": request.command, "id": request.endpoint_id},
            )
        return str(command({"id": request.endpoint_id}))

    def readyz(self) -> str:
        """Returns the state if this process accepts clients; raises OperatorCommandError if it does not."""
        if not (self.lifecycle.properties.readyz and self.front.ready()):
            reason = (
                self.lifecycle.state.value
                if not self.lifecycle.properties.readyz
                else "waiting for discovery's list"
            )
            raise OperatorCommandError(f"not ready: {reason}")
        if self.on_ready is not None:
            self.on_ready()
        return self.lifecycle.state.value

    def exclude(self, name: str) -> str:
        """Bans a backend until it is included again."""
        try:
            new = self.bans.exclude(name, self.clock.now())
        except BanError as fault:
            raise OperatorCommandError(str(fault)) from None
        if new:
            self.bans_changed()
        return f"{name} is out" if new else f"{name} was out already"

    def include(self, name: str) -> str:
        """Lifts the ban of a backend."""
        try:
            new = self.bans.include(name, self.clock.now())
        except BanError as fault:
            raise OperatorCommandError(str(fault)) from None
        if new:
            self.bans_changed()
        return f"{name} is used again" if new else f"{name} was not out"

    def bans_changed(self) -> None:
        """Passes the changed bans to the proxy and to the other process."""
        self.served.exclude_endpoints(self.bans.excluded_ms)
        if self.on_operator_change is not None:
            self.on_operator_change()

    def evacuate(self) -> str:
        """Moves all clients away from this proxy; the process keeps running."""
        return self._apply_operator_event(Event.EVACUATE)

    def activate(self) -> str:
        """Ends an evacuation."""
        return self._apply_operator_event(Event.ACTIVATE)

    def _apply_operator_event(self, event: Event) -> str:
        delegated = self.lifecycle.state is State.HANDING_OVER and self.has_successor()
        try:
            if not delegated:
                self.handle_event(event, f"operator command {event.value}")
        except InvalidTransitionError as fault:
            raise OperatorCommandError(str(fault)) from None
        self.evacuated, self.evacuated_ms = event is Event.EVACUATE, self.clock.now()
        if self.on_operator_change is not None:
            self.on_operator_change()
        return "passed on to the process that takes over" if delegated else self.lifecycle.state.value

    def merge_operator_state(
        self,
        other_excluded_ms: Mapping[str, float],
        other_included_ms: Mapping[str, float],
        evacuated: bool,
        evacuated_ms: float,
    ) -> None:
        """Merges operators' commands to another process of this proxy; the later command applies."""
        if self.bans.merge(other_excluded_ms, other_included_ms):
            log(
                f"operator: bans changed through the other process, banned endpoints: {self.bans.summary()}",
                "operator.change",
                fields={"out": sorted(self.bans.excluded_ms)},
            )
            self.served.exclude_endpoints(self.bans.excluded_ms)
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
                    Event.EVACUATE if evacuated else Event.ACTIVATE, "operator command to the other process"
                )


def _id(arguments: Mapping[str, str]) -> str:
    if not arguments.get("id"):
        raise OperatorCommandError("found no id, wanted that of a backend")
    return arguments["id"]
