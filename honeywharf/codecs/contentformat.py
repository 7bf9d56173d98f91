"""Media types of HTTP as CoAP's Content-Formats and back (RFC 7252, 12.3; RFC 8075, 6). No sockets, no state.

A Content-Format that is not in the table is told to HTTP as `application/coap-payload;cf=NUMBER` (RFC 8075,
6.2), which is read back as the same number; a media type without a Content-Format has no option, as a body is
passed on whatever its type.
"""

from __future__ import annotations

import re

from honeywharf.codecs import coap

#: The registry's numbers of what tile nodes and field units send; the type as HTTP writes it.
FORMATS = {
    0: b"text/plain; charset=utf-8",
    16: b'application/cose; cose-type="cose-encrypt0"',
    21: b"image/gif",
    22: b"image/jpeg",
    23: b"image/png",
    40: b"application/link-format",
    41: b"application/xml",
    42: b"application/octet-stream",
    47: b"application/exi",
    50: b"application/json",
    51: b"application/json-patch+json",
    52: b"application/merge-patch+json",
    60: b"application/cbor",
    61: b"application/cwt",
    62: b"application/multipart-core",
    63: b"application/cbor-seq",
    110: b"application/senml+json",
    112: b"application/senml+cbor",
    432: b"application/td+json",
    10000: b"application/vnd.ocf+cbor",
    30000: b"image/svg+xml",
}
MOST = 0xFFFF
_OTHER = re.compile(rb"application/coap-payload\s*;\s*cf=(\d{1,5})", re.I)
_SPACE = re.compile(rb"\s*([;=,])\s*")


def _plain(kind: bytes) -> bytes:
    """A media type in one spelling: types and parameters are of either case, with room round the marks."""
    return _SPACE.sub(rb"\1", kind.strip().lower()).replace(b'"', b"")


_NUMBERS = {_plain(kind): number for number, kind in FORMATS.items()}
_NUMBERS[b"text/plain"] = 0  # what RFC 6657 lets a sender leave out


def media_type(value: bytes) -> bytes:
    """The type that a Content-Format option names; ValueError for a value that is no such option."""
    if len(value) > 2:
        raise ValueError(f"found a content format of {len(value)} bytes, wanted 2 at most")
    number = coap.uint(value)
    return FORMATS.get(number) or b"application/coap-payload;cf=%d" % number


def content_format(kind: bytes) -> bytes | None:
    """The option's value for a media type; None where there is no number for it."""
    if not kind:
        return None
    number = _NUMBERS.get(_plain(kind))
    if number is None:
        other = _OTHER.fullmatch(kind.strip())
        if other is None or int(other[1]) > MOST:
            return None
        number = int(other[1])
    return coap.uint_bytes(number)
