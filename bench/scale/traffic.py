"""Counts of the bytes and packets that a machine exchanges with other machines, headers included."""

from __future__ import annotations

import socket
import struct
from dataclasses import dataclass, fields

UDP_HEADER_BYTES = 28  # IPv4 and UDP headers.
TCP_HEADER_BYTES = 52  # IPv4 and TCP headers, with timestamps.
_TCP_INFO_SIZE_BYTES = 256
_UINT64 = struct.Struct("=Q")  # Format of tcpi_bytes_received and tcpi_bytes_sent.
_RECEIVED_OFFSET, _SEGMENTS_OFFSET, _SENT_OFFSET = 128, 136, 200  # Offsets in the kernel's struct tcp_info.
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
        """All sent bytes, with headers."""
        return self.datagram_bytes_sent + self.link_bytes_sent

    @property
    def bytes_received(self) -> int:
        """All received bytes, with headers."""
        return self.datagram_bytes_received + self.link_bytes_received

    @property
    def packets_sent(self) -> int:
        """All sent packets."""
        return self.datagrams_sent + self.segments_sent

    def sent_datagram(self, size: int) -> None:
        """Counts a sent datagram of `size` bytes."""
        self.datagrams_sent += 1
        self.datagram_bytes_sent += size + UDP_HEADER_BYTES

    def received_datagram(self, size: int) -> None:
        """Counts a received datagram of `size` bytes."""
        self.datagrams_received += 1
        self.datagram_bytes_received += size + UDP_HEADER_BYTES

    def __add__(self, other: Traffic) -> Traffic:
        """Returns the sum of both counts."""
        return Traffic(*(getattr(self, each.name) + getattr(other, each.name) for each in fields(self)))

    def __sub__(self, other: Traffic) -> Traffic:
        """Returns the difference from an earlier state."""
        return Traffic(*(getattr(self, each.name) - getattr(other, each.name) for each in fields(self)))


class CountedLink:
    """One TCP connection, whose bytes the kernel counts."""

    __slots__ = ("_received", "_segments_in", "_segments_out", "_sent", "_sock", "_traffic")

    def __init__(self, sock: socket.socket, traffic: Traffic) -> None:
        self._sock, self._traffic = sock, traffic
        self._sent = self._received = self._segments_out = self._segments_in = 0
        traffic.links_opened += 1

    def read(self) -> None:
        """Adds the counts since the last call to the machine's traffic, unless the socket is closed."""
        try:
            info = self._sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_SIZE_BYTES)
        except OSError:
            return
        received = _UINT64.unpack_from(info, _RECEIVED_OFFSET)[0]
        sent = _UINT64.unpack_from(info, _SENT_OFFSET)[0]
        segments_out, segments_in = _SEGMENTS.unpack_from(info, _SEGMENTS_OFFSET)
        traffic = self._traffic
        traffic.segments_sent += segments_out - self._segments_out
        traffic.segments_received += segments_in - self._segments_in
        traffic.link_bytes_sent += sent - self._sent + TCP_HEADER_BYTES * (segments_out - self._segments_out)
        traffic.link_bytes_received += (
            received - self._received + TCP_HEADER_BYTES * (segments_in - self._segments_in)
        )
        self._sent, self._received = sent, received
        self._segments_out, self._segments_in = segments_out, segments_in
