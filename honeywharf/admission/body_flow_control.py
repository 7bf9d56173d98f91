"""Flow control for request bodies over one machine's link: how many bytes each sender may send now.

Theory of operation. Uploads share the link with short requests, internal calls and the mesh's own messages.
Bytes that were requested and have not arrived wait in the link's queue, ahead of all of these. So the
destination requests little at a time: at most `max_in_transit` bytes over all bodies, which is
`MAX_IN_TRANSIT_S` of the link's time, and half of it, or `MAX_IN_TRANSIT_EACH`, for one body. Bodies are
served in order of arrival: bodies of one size finish sooner one after the other than in parallel. A body that
received nothing for `STALL_S` (a slow client) does not count against the others. No rate is estimated: bytes
that arrive make room for further requests.

No byte of a body has been requested before its turn, so its request can still be refused with a proof that
nothing has run. There is no I/O; times are seconds on the caller's clock, sizes are bytes, `bytes_s` is bytes
per second.
"""

from __future__ import annotations

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable

MAX_IN_TRANSIT_S = 0.05  # the link's time for the bytes that were requested and have not arrived
MIN_IN_TRANSIT_BYTES = 16 * 1024  # covers a round trip on slow processors
MAX_BODY_IN_TRANSIT_BYTES = 64 * 1024
FIRST_PIECE_BYTES = 8 * 1024
MIN_PIECE_BYTES = 4 * 1024  # only the last piece of a body may be smaller
STALL_S = 0.25
MAX_RESERVED_BYTES = 8 << 20  # the buffer space for all bodies together
MAX_BODIES = 256
ASSUMED_BODY_BYTES = 64 * 1024  # the assumed length of a body that announced none


class PendingBody:
    """A body that is being received. `request_bytes(size)` lets the sender send `size` further bytes."""

    __slots__ = ("last_byte_at", "length_known", "received", "request_bytes", "requested", "size")

    def __init__(
        self, now: float, size: int, length_known: bool, request_bytes: Callable[[int], None]
    ) -> None:
        self.size, self.length_known, self.request_bytes, self.last_byte_at = (
            size,
            length_known,
            request_bytes,
            now,
        )
        self.requested = self.received = 0

    @property
    def remaining(self) -> int:
        """The bytes that have not arrived."""
        return max(0, self.size - self.received)


class BodyFlowControl:
    """The bodies that are being sent to one machine."""

    def __init__(self, bytes_s: float = float("inf")) -> None:
        if bytes_s <= 0:
            raise ValueError(f"link: expected more than 0 bytes per second, got {bytes_s}")
        self.bodies: dict[PendingBody, None] = {}
        self.reserved_bytes = 0  # buffer space reserved for the bodies
        self.set_link_rate(bytes_s)

    def set_link_rate(self, bytes_s: float) -> None:
        """Applies the rate of the machine's link from its settings."""
        self.bytes_s = bytes_s
        self.max_in_transit = max(float(MIN_IN_TRANSIT_BYTES), bytes_s * MAX_IN_TRANSIT_S)
        # Half of the total lets two bodies be in transit at a time.
        self.max_in_transit_each = max(
            float(FIRST_PIECE_BYTES), min(float(MAX_BODY_IN_TRANSIT_BYTES), self.max_in_transit / 2)
        )

    def backlog_s(self) -> float:
        """Returns the time that the link needs for the remaining bytes of all bodies."""
        return sum(body.remaining for body in self.bodies) / self.bytes_s

    def add(self, now: float, length: int, request_bytes: Callable[[int], None]) -> PendingBody | None:
        """Adds a body of `length` bytes (negative if unknown); returns None if there is no room.

        `request_more` requests its first bytes.
        """
        size = length if length >= 0 else ASSUMED_BODY_BYTES
        if len(self.bodies) >= MAX_BODIES or self.reserved_bytes + size > MAX_RESERVED_BYTES:
            return None
        body = PendingBody(now, size, length >= 0, request_bytes)
        self.bodies[body] = None
        self.reserved_bytes += size
        return body

    def record_received(self, now: float, body: PendingBody, size: int) -> None:
        """Records `size` received bytes of a body."""
        body.received += size
        body.last_byte_at = now
        if not body.length_known and body.received + MIN_PIECE_BYTES > body.size:
            body.size += ASSUMED_BODY_BYTES
            self.reserved_bytes += ASSUMED_BODY_BYTES

    def discard(self, body: PendingBody) -> None:
        """Discards a body that is complete or abandoned."""
        if body in self.bodies:
            del self.bodies[body]
            self.reserved_bytes -= body.size

    def _in_transit(self, now: float, body: PendingBody) -> int:
        return body.requested - body.received if now - body.last_byte_at < STALL_S else 0

    def request_more(self, now: float) -> bool:
        """Requests the bytes that there is room for; returns whether any body waits for its first one."""
        in_transit = sum(self._in_transit(now, body) for body in self.bodies)
        for body in list(self.bodies):
            if body not in self.bodies:
                continue  # requesting another body's bytes has removed it
            if body.requested > body.received and now - body.last_byte_at >= STALL_S:
                continue  # the requested bytes have to arrive first
            room = min(
                self.max_in_transit - in_transit, self.max_in_transit_each - (body.requested - body.received)
            )
            want = min(int(room), body.size - body.requested) if body.length_known else int(room)
            if not body.requested:
                want = FIRST_PIECE_BYTES if room >= FIRST_PIECE_BYTES or not in_transit else 0
            elif want < MIN_PIECE_BYTES and want < body.size - body.requested:
                want = 0
            if want > 0:
                if not body.requested:
                    body.last_byte_at = now
                body.requested += want
                in_transit += want
                body.request_bytes(want)
        return any(not body.requested for body in self.bodies)
