"""The HTTP API for the backend on this machine: heartbeats and deregistration.

Source: PROTOCOL, "Which backends there are". A heartbeat is acknowledged with 200; its content is in force
from then on, as the gate is the only way to the backend.
"""

from __future__ import annotations

import json

from honeywharf.codecs.mesh import parse_duration
from honeywharf.transport.url_matcher import MethodNotAllowedError, UrlMatcher

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable

    from honeywharf.sidecar.gate import Gate
    from honeywharf.transport.host import Host
    from honeywharf.transport.http_server import HttpRequest

MAX_ID = 256


class HeartbeatApi:
    """Answers the backend's calls. `changed()` is called after each one that may have changed the gate."""

    def __init__(self, host: Host, gate: Gate, changed: Callable[[], None]) -> None:
        self.host, self.gate, self.changed = host, gate, changed
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
        self.received += 1
        if not self.gate.heartbeat(self.host.now(), instance, sequence, state == "draining", slots, cold):
            self.late += 1
        self.changed()
        call.answer(200, b"{}")

    def _deregister(self, call: HttpRequest, instance: str) -> None:
        self.gate.deregister(instance)
        self.changed()
        call.answer(200, b"{}")
