"""The backend beside a sidecar, as far as the control plane sees it: its heartbeats, over HTTP."""

from __future__ import annotations

import json
import random
from typing import TYPE_CHECKING

from honeywharf.transport.event_loop import EventLoop
from honeywharf.transport.tcp_connection import TcpConnection

if TYPE_CHECKING:
    from honeywharf.transport.host import Address, Connection, Handler

INTERVAL_S = 1.3
SLOTS = 64
RETRY_S = 0.2  # until a sidecar that did not take the call is called again
JITTER = 0.1  # share of the interval


class Heartbeats:
    """Sends heartbeats on one connection, for as long as it is not stopped."""

    def __init__(self, loop: EventLoop, control: Address, instance: str, service: str, zone: str) -> None:
        self._loop, self._control = loop, control
        self._path = f"/api/instances/{instance}/heartbeat"
        self._details = {
            "target-service": service,
            "config-version": "v1",
            "zone": zone,
            "capacity-slots": SLOTS,
        }
        self._sequence = 0
        self._wire: TcpConnection | None = None
        self.acknowledged = 0
        self.stopped = False
        self._beat()

    def stop(self) -> None:
        """Send no more."""
        self.stopped = True
        if self._wire is not None:
            self._wire.abort()

    def _beat(self) -> None:
        if self.stopped:
            return
        if self._wire is None:
            self._wire = EventLoop.connect(self._loop, self._control, self._opening)
        self._sequence += 1
        body = json.dumps(
            {
                "address": f"{self._control[0]}:8080",
                "details": self._details,
                "status": {"state": "ready", "call-sequence": self._sequence, "cold-remaining": "0ms"},
            }
        )
        head = (
            f"POST {self._path} HTTP/1.1\r\nHost: {self._control[0]}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        self._wire.send((head + body).encode())
        self._loop.after(INTERVAL_S * random.uniform(1.0 - JITTER, 1.0 + JITTER), self._beat)

    # The connection's handler.

    def _opening(self, connection: Connection) -> Handler:
        return self

    def opened(self) -> None:
        """It is up; what was sent goes by itself."""

    def received(self, data: bytes) -> None:
        """Answers; each holds one status line."""
        self.acknowledged += data.count(b"HTTP/1.1 200")

    def ended(self) -> None:
        """The sidecar takes nothing more."""
        if self._wire is not None:
            self._wire.close()

    def drained(self) -> None:
        """All has gone."""

    def closed(self, why: str) -> None:
        """The next heartbeat opens another connection."""
        self._wire = None
