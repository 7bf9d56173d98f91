"""The HTTP API for the backend on this machine: heartbeats and deregistration.

Source: PROTOCOL, "Which backends there are". A heartbeat is acknowledged with 200; its content is in force
from then on, as the gate is the only way to the backend. A departure is acknowledged once other processes
have recorded it, as this one may forget it by a restart. A heartbeat of another machine's backend, which
would displace the one here, is redirected there.
"""

from __future__ import annotations

import json

from honeywharf.admission.departures import backend_key
from honeywharf.codecs.mesh import parse_duration
from honeywharf.transport.address import ipv4_of, redirect_line
from honeywharf.transport.url_matcher import MethodNotAllowedError, UrlMatcher

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable

    from honeywharf.admission.departures import Departures
    from honeywharf.sidecar.gate import Gate
    from honeywharf.transport.host import Address, Host
    from honeywharf.transport.http_server import HttpRequest

MAX_ID = 256


class HeartbeatApi:
    """Answers the backend's calls. `changed()` is called after each one that may have changed the gate.

    `recorded(departures, done)` calls `done` once departures are recorded elsewhere. `local_address` is this
    machine's IP address and the port of this API.
    """

    def __init__(
        self,
        host: Host,
        gate: Gate,
        changed: Callable[[], None],
        local_address: Address,
        recorded: Callable[[Departures, Callable[[], None]], None] = lambda departures, done: done(),
    ) -> None:
        self.host, self.gate, self.changed = host, gate, changed
        self.local_address, self.recorded = local_address, recorded
        self.late = self.received = 0
        self.matcher = UrlMatcher()
        self.matcher.add("POST", "/api/instances/{id}/heartbeat", self._heartbeat)
        self.matcher.add("POST", "/api/instances/{id}/deregister", self._deregister)

    def handle(self, call: HttpRequest) -> None:
        """Answers one call."""
        try:
            found = self.matcher.find(call.method, call.path)
        except MethodNotAllowedError:
            call.answer(405)
            return
        if found is None:
            call.answer(404)
            return
        target, params = found
        if not 0 < len(params["id"]) <= MAX_ID:
            call.answer(400, b"found an id of odd length")
            return
        target(call, params["id"])

    def _heartbeat(self, call: HttpRequest, instance: str) -> None:
        try:
            body = json.loads(call.body)
            details, status = body.get("details") or {}, body["status"]
            sequence, state = int(status["call-sequence"]), status["state"]
            slots, service = int(details.get("capacity-slots") or 0), details.get("target-service")
            cold = parse_duration(status.get("cold-remaining") or "0ms")
        except (ValueError, TypeError, KeyError, AttributeError, OverflowError, RecursionError) as fault:
            call.answer(400, b"found a beat that can't be read: %b" % str(fault).encode())
            return
        if state not in ("ready", "draining") or cold is None or slots < 0:
            call.answer(
                400,
                b"found a state, a slot count or a time that makes no sense",
            )
            return
        if service is not None and service != self.gate.service:
            call.answer(409, b"found a beat of another service than the one on this machine")
            return
        if self._redirect(call, body.get("address")):
            return
        self.received += 1
        if not self.gate.heartbeat(self.host.now(), instance, sequence, state == "draining", slots, cold):
            self.late += 1
        self.changed()
        self._acknowledge(call, instance if state == "draining" else "")

    def _redirect(self, call: HttpRequest, address: object) -> bool:
        """Redirects a call of a backend on another machine to the sidecar there; returns whether it was."""
        ip, (local_ip, port) = ipv4_of(address), self.local_address
        if ip in ("", local_ip):
            return False
        call.answer(307, b"", redirect_line(ip, port, call.path))
        return True

    def _acknowledge(self, call: HttpRequest, departed: str) -> None:
        """Answers 200; where an instance departs, after its departure is recorded."""
        key = backend_key(departed)
        if departed and key in self.gate.departures:
            self.recorded({key: self.gate.departures[key]}, lambda: call.answer(200, b"{}"))
        else:
            call.answer(200, b"{}")

    def _deregister(self, call: HttpRequest, instance: str) -> None:
        self.gate.deregister(instance)
        self.changed()
        self._acknowledge(call, instance)
