"""The handover between the processes of a proxy, used only if the platform owns the listening socket."""

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

CALLS_INTERVAL_S = 0.02
READY_POLL_S = 0.01


class ClientListener(Protocol):
    """The client connections, as far as the handover needs them."""

    def ready(self) -> bool:
        """Whether the proxy accepts clients."""

    def adopt(self, connection: socket.socket) -> None:
        """Takes over a client connection from another process."""

    def scale_capacity(self, share: float) -> None:
        """Scales the limits on connections and buffers; 1.0 is for a process that runs alone."""


class EndpointDirectory(Protocol):
    """The endpoint list of this process."""

    generation: int

    def plain(self) -> dict[str, Any]:
        """Returns the list in discovery's form."""

    def take(self, raw: Any, kind: api.ListKind | None = None) -> api.EndpointsListed:
        """Applies a list; returns the event for the balancer."""


class Handover(Component):
    """Receives the state of the previous process, and hands state and connections over to the next one."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Clock,
        socket_directory: str,
        address: Address,
        controller: ServiceController,
        balancer: Balancer,
        directory: EndpointDirectory,
        front: ClientListener,
        sibling_calls_changed: Callable[[dict[str, int]], None],
    ) -> None:
        self.loop, self.clock, self.controller, self.balancer = loop, clock, controller, balancer
        self.directory, self.front = directory, front
        self.link_manager = LinkManager(loop, socket_directory, *address)
        self.link_manager.export_state, self.link_manager.on_operator_state, self.link_manager.adopt = (
            self._export_state,
            self._merge_operator_state,
            front.adopt,
        )
        self.link_manager.on_links_changed = self._links_changed
        self.ready_sent = False
        self.sent_calls: dict[str, int] = {}
        self.calls_timer: asyncio.TimerHandle | None = None
        self.link_manager.on_sibling_calls = sibling_calls_changed
        controller.on_operator_change, controller.hand_over = (
            self._publish_operator_state,
            self.link_manager.hand_over_connection,
        )
        controller.has_successor = lambda: self.link_manager.successor is not None
        controller.on_ready = self._send_ready

    async def request_state(self) -> api.EndpointsListed | None:
        """Requests the state of the process in service; returns its endpoint list if that is newer."""
        received = await self.link_manager.request_state()
        saved = self.link_manager.load_operator_state()
        self._merge_operator_state(saved)
        if not isinstance(received, dict):
            return None
        self._merge_operator_state(received.get("words"))
        self.controller.bans.add_formerly_listed(state.parse_ids(received.get("ever")))
        newer_list = state.parse_newer_list(received.get("list"), self.directory.generation)
        if newer_list is None:
            return None
        try:
            return self.directory.take(newer_list, api.ListKind.CACHED)
        except ValueError as fault:
            log(f"handover: ignored the endpoint list: {fault}", "handover.fault", "warning")
            return None

    def import_learned_state(self) -> None:
        """Imports the learned state of the previous process, once the balancer has the endpoint list."""
        received = self.link_manager.received_state
        if isinstance(received, dict):
            imported = learned_state.import_learned_state(
                self.balancer, self.clock.now(), received.get("learned")
            )
            log(
                f"handover: imported {imported} limits and servers and list {self.directory.generation} from"
                f" the process in service; banned endpoints: {self.controller.bans.summary()}",
                "handover.taken",
                fields={"learned": imported, "generation": self.directory.generation},
            )
            self.link_manager.received_state = None

    async def start(self) -> str:
        """Listens for a successor, and reports to the previous process when this one is ready."""
        self.link_manager.serve()
        self._poll_ready()
        return ""

    def _poll_ready(self) -> None:
        if self.front.ready():
            self._send_ready()
        elif self.controller.lifecycle.state in (State.STARTING, State.READY):
            self.loop.call_later(READY_POLL_S, self._poll_ready)

    def _send_ready(self) -> None:
        if not self.ready_sent:
            self.ready_sent = True
            self.link_manager.send_ready()

    def _send_calls(self) -> None:
        """Sends the calls in flight, because the zones' limits apply to both processes together."""
        self.calls_timer = None
        if not self.link_manager.links:
            return
        calls = {
            name: zone.in_flight for name, zone in self.balancer.endpoints.zones.items() if zone.in_flight
        }
        if calls != self.sent_calls:
            self.sent_calls = calls
            self.link_manager.send_calls_in_flight(calls)
        self.calls_timer = self.loop.call_later(CALLS_INTERVAL_S, self._send_calls)

    def counts(self) -> Mapping[str, int]:
        """Returns the counts of connections that were handed over and adopted."""
        return {
            "handover:given": self.link_manager.handed_over_count,
            "handover:adopted": self.link_manager.adopted_count,
        }

    def close(self) -> None:
        """Closes the links."""
        self.link_manager.close()

    def _export_state(self) -> dict[str, Any]:
        bans = self.controller.bans
        return {
            "words": self._operator_state(),
            "ever": [*bans.formerly_listed, *bans.listed],
            "list": self.directory.plain(),
            "learned": learned_state.export_learned_state(self.balancer),
        }

    def _operator_state(self) -> dict[str, Any]:
        controller = self.controller
        return state.OperatorState(
            controller.bans.excluded_ms,
            controller.bans.included_ms,
            controller.evacuated,
            controller.evacuated_ms,
        ).plain()

    def _publish_operator_state(self) -> None:
        self.link_manager.publish_operator_state(self._operator_state())

    def _merge_operator_state(self, value: Any) -> None:
        operator_state = state.parse_operator_state(value)
        if operator_state is not None:
            self.controller.merge_operator_state(
                operator_state.excluded_ms,
                operator_state.included_ms,
                operator_state.evacuated,
                operator_state.evacuated_ms,
            )

    def _links_changed(self) -> None:
        """Adjusts to a new or closed link: two processes share the limits on memory and descriptors."""
        self.front.scale_capacity(0.5 if self.link_manager.links else 1.0)
        if self.calls_timer is None:
            self.sent_calls = {}
            self._send_calls()
        self.controller.successor_changed()
