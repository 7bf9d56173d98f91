"""The bytes of a request as the backend receives them: head with the added fields, and body framing.

Source: PROTOCOL, "Requests" and "Backends".
"""

from __future__ import annotations

from honeywharf.codecs.heads import UNKNOWN

TYPE_CHECKING = False
if TYPE_CHECKING:
    from honeywharf.transport.stream import ForwardedRequest

BODILESS_METHODS = (b"GET", b"HEAD")  # A request of these without a body has no Content-Length.


def encode_head(forwarded: ForwardedRequest, remaining_s: float, instance: str) -> bytes:
    """Returns the head. `remaining_s`: until the deadline; `instance`: the backend that shall run it."""
    framing = b""
    if forwarded.length == UNKNOWN:
        framing = b"Transfer-Encoding: chunked\r\n"
    elif forwarded.length or forwarded.method not in BODILESS_METHODS:
        framing = b"Content-Length: %d\r\n" % forwarded.length
    return (
        b"%b %b HTTP/1.1\r\n%b%bX-Honeywharf-Deadline-Remaining: %d\r\n"
        b"X-Honeywharf-Expected-Instance: %b\r\nX-Honeywharf-Caller-Service: %b\r\n\r\n"
        % (
            forwarded.method,
            forwarded.target,
            forwarded.fields,
            framing,
            max(1, int(remaining_s * 1000.0)),
            instance.encode(),
            forwarded.caller.encode(),
        )
    )


def encode_body(data: bytes, length: int, *, is_last: bool) -> bytes:
    """Returns a part of the body: as it is, or as a chunk where the length is `UNKNOWN`."""
    if length != UNKNOWN:
        return data
    chunk = b"%x\r\n%b\r\n" % (len(data), data) if data else b""
    return chunk + b"0\r\n\r\n" if is_last else chunk
