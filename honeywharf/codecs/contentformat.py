"""Maps HTTP media types to CoAP Content-Formats and back (RFC 7252, 12.3; RFC 8075, 6).

A Content-Format that is not in the table is forwarded to HTTP as `application/coap-payload;cf=NUMBER` (RFC
8075, 6.2), which maps back to the same number. A media type without a Content-Format yields no option: the
body is forwarded whatever its type.
"""

from __future__ import annotations

import re

from honeywharf.codecs import coap

#: Registered Content-Formats that tile nodes and field units send, with the media type as HTTP writes it.
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
MAX_CONTENT_FORMAT = 0xFFFF
_COAP_PAYLOAD = re.compile(rb"application/coap-payload\s*;\s*cf=(\d{1,5})", re.I)
_SEPARATOR = re.compile(rb"\s*([;=,])\s*")


def _normalized(mime_type: bytes) -> bytes:
    """Normalizes a media type: lower case, without quotes and without white space around separators."""
    return _SEPARATOR.sub(rb"\1", mime_type.strip().lower()).replace(b'"', b"")


_NUMBERS = {_normalized(mime_type): number for number, mime_type in FORMATS.items()}
_NUMBERS[b"text/plain"] = 0  # RFC 6657 lets a sender omit the charset


def media_type(value: bytes) -> bytes:
    """Returns the media type of a Content-Format option; ValueError if the value is too long."""
    if len(value) > 2:
        raise ValueError(f"found a content format of {len(value)} bytes, wanted 2 at most")
    number = coap.uint(value)
    return FORMATS.get(number) or b"application/coap-payload;cf=%d" % number


def content_format(mime_type: bytes) -> bytes | None:
    """Returns the option value for a media type, or None if it has no Content-Format."""
    if not mime_type:
        return None
    number = _NUMBERS.get(_normalized(mime_type))
    if number is None:
        generic = _COAP_PAYLOAD.fullmatch(mime_type.strip())
        if generic is None or int(generic[1]) > MAX_CONTENT_FORMAT:
            return None
        number = int(generic[1])
    return coap.uint_bytes(number)
