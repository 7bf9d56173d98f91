"""Heartbeats over HTTP from a backend to its sidecar, which is all that the control plane sees of it."""

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
RETRY_INTERVAL_S = 0.2
JITTER = 0.1  # Share of the interval.


class Heartbeats:
    """Sends heartbeats on one connection until it is stopped."""

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
        self._connection: TcpConnection | None = None
        self.acknowledged = 0
        self.stopped = False
        self._send_heartbeat()

    def stop(self) -> None:
        """Stops sending."""
        self.stopped = True
        if self._connection is not None:
            self._connection.abort()

    def _send_heartbeat(self) -> None:
        if self.stopped:
            return
        if self._connection is None:
            self._connection = EventLoop.connect(self._loop, self._control, self._accept_connection)
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
        self._connection.send((head + body).encode())
        self._loop.after(INTERVAL_S * random.uniform(1.0 - JITTER, 1.0 + JITTER), self._send_heartbeat)

    # Methods of the connection's handler.

    def _accept_connection(self, connection: Connection) -> Handler:
        return self

    def opened(self) -> None:
        """Does nothing: data that was sent before is flushed by the connection."""

    def received(self, data: bytes) -> None:
        """Counts the responses by their status lines."""
        self.acknowledged += data.count(b"HTTP/1.1 200")

    def ended(self) -> None:
        """Closes the connection after the sidecar has closed its side."""
        if self._connection is not None:
            self._connection.close()

    def drained(self) -> None:
        """Does nothing."""

    def closed(self, reason: str) -> None:
        """Forgets the connection; the next heartbeat opens another one."""
        self._connection = None
