"""HTTP/1.1 messages of the stand-ins on asyncio streams, and entries of the registry."""

from __future__ import annotations

import asyncio
from typing import Any

Message = tuple[bytes, dict[bytes, bytes], bytes]  # First line, headers with names in lower case, body.


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Reads one message with Content-Length. `IncompleteReadError` if the peer closes before its end."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head[:-4].split(b"\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(b":")
        headers[name.strip().lower()] = value.strip()
    return first, headers, await reader.readexactly(int(headers.get(b"content-length", b"0")))


def reply(status: int = 200, body: bytes = b"ok", *headers: bytes) -> bytes:
    """Returns a complete response with these additional header lines."""
    lines = [b"HTTP/1.1 %d X" % status, b"Content-Length: %d" % len(body), *headers]
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def row(name: str, port: int, zone: str = "z", lifecycle: str = "up", **more: Any) -> dict[str, Any]:
    """Returns the registry entry of a node on 127.0.0.1."""
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
