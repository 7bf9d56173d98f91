"""Bytes and packets that one machine exchanges with other machines, headers included."""

from __future__ import annotations

import socket
import struct
from dataclasses import dataclass, fields

UDP_HEADERS = 28  # bytes of IPv4 and UDP headers
TCP_HEADERS = 52  # bytes of IPv4 and TCP headers, with timestamps
_TCP_INFO_SIZE = 256
_RECEIVED = struct.Struct("=Q")  # tcpi_bytes_received, and segments out and in behind it
_RECEIVED_AT, _SEGMENTS_AT, _SENT_AT = 128, 136, 200  # offsets in the kernel's struct tcp_info
_SEGMENTS = struct.Struct("=II")


@dataclass
class Traffic:
    """Counts since a machine started. A packet is a datagram or a TCP segment (acknowledgements too)."""

    datagrams_sent: int = 0
    datagrams_received: int = 0
    datagram_bytes_sent: int = 0
    datagram_bytes_received: int = 0
    segments_sent: int = 0
    segments_received: int = 0
    link_bytes_sent: int = 0
    link_bytes_received: int = 0
    links_opened: int = 0

    @property
    def bytes_sent(self) -> int:
        """All bytes that left, with headers."""
        return self.datagram_bytes_sent + self.link_bytes_sent

    @property
    def bytes_received(self) -> int:
        """All bytes that came, with headers."""
        return self.datagram_bytes_received + self.link_bytes_received

    @property
    def packets_sent(self) -> int:
        """All packets that left."""
        return self.datagrams_sent + self.segments_sent

    def sent_datagram(self, size: int) -> None:
        """Count one that leaves."""
        self.datagrams_sent += 1
        self.datagram_bytes_sent += size + UDP_HEADERS

    def received_datagram(self, size: int) -> None:
        """Count one that came."""
        self.datagrams_received += 1
        self.datagram_bytes_received += size + UDP_HEADERS

    def __add__(self, other: Traffic) -> Traffic:
        """The counts of both."""
        return Traffic(*(getattr(self, each.name) + getattr(other, each.name) for each in fields(self)))

    def __sub__(self, other: Traffic) -> Traffic:
        """What was counted since an earlier state."""
        return Traffic(*(getattr(self, each.name) - getattr(other, each.name) for each in fields(self)))


class CountedLink:
    """One TCP connection, whose bytes the kernel counts; `read` adds what is new to the machine's traffic."""

    __slots__ = ("_received", "_segments_in", "_segments_out", "_sent", "_sock", "_traffic")

    def __init__(self, sock: socket.socket, traffic: Traffic) -> None:
        self._sock, self._traffic = sock, traffic
        self._sent = self._received = self._segments_out = self._segments_in = 0
        traffic.links_opened += 1

    def read(self) -> None:
        """Add the bytes since the last call; nothing where the socket has been closed."""
        try:
            info = self._sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_SIZE)
        except OSError:
            return
        received = _RECEIVED.unpack_from(info, _RECEIVED_AT)[0]
        sent = _RECEIVED.unpack_from(info, _SENT_AT)[0]
        segments_out, segments_in = _SEGMENTS.unpack_from(info, _SEGMENTS_AT)
        traffic = self._traffic
        traffic.segments_sent += segments_out - self._segments_out
        traffic.segments_received += segments_in - self._segments_in
        traffic.link_bytes_sent += sent - self._sent + TCP_HEADERS * (segments_out - self._segments_out)
        traffic.link_bytes_received += (
            received - self._received + TCP_HEADERS * (segments_in - self._segments_in)
        )
        self._sent, self._received = sent, received
        self._segments_out, self._segments_in = segments_out, segments_in
