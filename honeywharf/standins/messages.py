"""HTTP/1.1 as the stand-ins speak it: whole messages on asyncio streams, and rows of the registry."""

from __future__ import annotations

import asyncio
from typing import Any

Message = tuple[bytes, dict[bytes, bytes], bytes]  # first line, headers in lower case, body


async def read_message(reader: asyncio.StreamReader) -> Message:
    """One message with Content-Length; `IncompleteReadError` where the peer ends before it is whole."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head[:-4].split(b"\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(b":")
        headers[name.strip().lower()] = value.strip()
    return first, headers, await reader.readexactly(int(headers.get(b"content-length", b"0")))


def reply(status: int = 200, body: bytes = b"ok", *headers: bytes) -> bytes:
    """A whole answer, with so many header lines of its own."""
    lines = [b"HTTP/1.1 %d X" % status, b"Content-Length: %d" % len(body), *headers]
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def row(name: str, port: int, zone: str = "z", lifecycle: str = "up", **more: Any) -> dict[str, Any]:
    """A node of 127.0.0.1 as the registry lists it."""
    return {
        "instanceId": name,
        "hostPort": f"127.0.0.1:{port}",
        "zone": zone,
        "machineType": "k",
        "cell": 1,
        "lifecycle": lifecycle,
        "weight": 1.0,
        "startedAtMs": 0,
        **more,
    }
