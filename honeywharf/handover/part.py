"""Joins a proxy with the process before it and the one after; only where the platform holds the listener."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Mapping
from typing import Any, Protocol

from honeywharf.core.components import Component
from honeywharf.core.transport import Address, Clock, log
from honeywharf.handover import learned_state, state
from honeywharf.handover.link import LinkManager
from honeywharf.policy import interface as api
from honeywharf.policy.balancer import Balancer
from honeywharf.service.controller import ServiceController
from honeywharf.service.lifecycle import State

CALLS_S = 0.02  # how often one process tells the other how many calls it has out, where that has changed
READY_S = 0.01  # how often it is looked whether clients may come, until they may


class Shared(Protocol):
    """Clients' connections, as far as they change hands."""

    def ready(self) -> bool:
        """Whether clients may come."""

    def adopt(self, made: socket.socket) -> None:
        """Go on with a connection that another process held."""

    def scale_capacity(self, part: float) -> None:
        """Hold so much of the connections that this process may hold alone."""


class Lists(Protocol):
    """Discovery's list as it is held."""

    generation: int

    def plain(self) -> dict[str, Any]:
        """In discovery's form."""

    def take(self, raw: Any, kind: api.ListKind | None = None) -> api.EndpointsListed:
        """Take a list over; the event for the module."""


class Handover(Component):
    """What is taken from the process before, and given to the one after."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Clock,
        folder: str,
        where: Address,
        controller: ServiceController,
        balancer: Balancer,
        lists: Lists,
        front: Shared,
        beside: Callable[[dict[str, int]], None],
    ) -> None:
        self.loop, self.clock, self.controller, self.balancer = loop, clock, controller, balancer
        self.lists, self.front = lists, front
        self.link_manager = LinkManager(loop, folder, *where)
        self.link_manager.export_state, self.link_manager.on_operator_state, self.link_manager.adopt = (
            self._state,
            self._said,
            front.adopt,
        )
        self.link_manager.on_links_changed = self._changed
        self.said_ready = False
        self.told_calls: dict[str, int] = {}
        self.telling: asyncio.TimerHandle | None = None
        self.link_manager.on_sibling_calls = beside
        controller.on_operator_change, controller.hand_over = (
            self._words,
            self.link_manager.hand_over_connection,
        )
        controller.has_successor = lambda: self.link_manager.successor is not None
        controller.on_ready = self._ready

    async def take(self) -> api.EndpointsListed | None:
        """Ask the process in service for its state: a later list than the one held, if it has one."""
        given = await self.link_manager.request_state()
        kept = self.link_manager.load_operator_state()
        self._said(kept)
        if not isinstance(given, dict):
            return None
        self._said(given.get("words"))
        self.controller.bans.add_formerly_listed(state.parse_ids(given.get("ever")))
        later = state.parse_newer_list(given.get("list"), self.lists.generation)
        if later is None:
            return None
        try:
            return self.lists.take(later, api.ListKind.CACHED)
        except ValueError as fault:
            log(f"handover: the list is left out: {fault}", "handover.fault", "warning")
            return None

    def know(self) -> None:
        """Let the module know what the process before has learned, once it has the list."""
        given = self.link_manager.received_state
        if isinstance(given, dict):
            number = learned_state.import_learned_state(self.balancer, self.clock.now(), given.get("learned"))
            log(
                f"handover: taken from the process in service: {number} limits and servers, list"
                f" {self.lists.generation}, out are {self.controller.bans.summary()}",
                "handover.taken",
                fields={"learned": number, "generation": self.lists.generation},
            )
            self.link_manager.received_state = None

    async def start(self) -> str:
        """Be there for the process after this one."""
        self.link_manager.serve()
        self._look()
        return ""

    def _look(self) -> None:
        if self.front.ready():
            self._ready()
        elif self.controller.lifecycle.state in (State.STARTING, State.READY):
            self.loop.call_later(READY_S, self._look)

    def _ready(self) -> None:
        if not self.said_ready:
            self.said_ready = True
            self.link_manager.send_ready()

    def _tell_calls(self) -> None:
        """Let the other process know what this one has out: the zones' limits hold for both together."""
        self.telling = None
        if not self.link_manager.links:
            return
        out = {name: zone.in_flight for name, zone in self.balancer.endpoints.zones.items() if zone.in_flight}
        if out != self.told_calls:
            self.told_calls = out
            self.link_manager.send_calls_in_flight(out)
        self.telling = self.loop.call_later(CALLS_S, self._tell_calls)

    def counts(self) -> Mapping[str, int]:
        """Connections that changed hands."""
        return {
            "handover:given": self.link_manager.handed_over_count,
            "handover:adopted": self.link_manager.adopted_count,
        }

    def close(self) -> None:
        """The process ends."""
        self.link_manager.close()

    def _state(self) -> dict[str, Any]:
        bans = self.controller.bans
        return {
            "words": self._plain(),
            "ever": [*bans.formerly_listed, *bans.listed],
            "list": self.lists.plain(),
            "learned": learned_state.export_learned_state(self.balancer),
        }

    def _plain(self) -> dict[str, Any]:
        controller = self.controller
        return state.OperatorState(
            controller.bans.excluded_ms,
            controller.bans.included_ms,
            controller.evacuated,
            controller.evacuated_ms,
        ).plain()

    def _words(self) -> None:
        self.link_manager.publish_operator_state(self._plain())

    def _said(self, value: Any) -> None:
        said = state.parse_operator_state(value)
        if said is not None:
            self.controller.merge_operator_state(
                said.excluded_ms, said.included_ms, said.evacuated, said.evacuated_ms
            )

    def _changed(self) -> None:
        """A process has come or gone: two share the bounds on memory and descriptors."""
        self.front.scale_capacity(0.5 if self.link_manager.links else 1.0)
        if self.telling is None:
            self.told_calls = {}
            self._tell_calls()
        self.controller.successor_changed()
