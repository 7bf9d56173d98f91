"""The mapping of media types and Content-Formats, alone and through a running proxy."""

from __future__ import annotations

import aiocoap
import pytest
from aiocoap.numbers.contentformat import ContentFormat

from honeywharf.codecs import coap, contentformat
from tests.coap.test_backend import nodes
from tests.coap.test_front import Unit, port_of, request_options, served
from tests.loopback import Client, reply, run, until

#: Formats whose types the registry writes with parameters, which aiocoap may spell differently.
WITH_PARAMETERS = {0, 16}


@pytest.mark.parametrize("number", sorted(contentformat.FORMATS))
def test_each_format_round_trips_and_agrees_with_aiocoap(number: int) -> None:
    kind = contentformat.FORMATS[number]
    assert contentformat.content_format(kind) == coap.uint_bytes(number)
    assert contentformat.media_type(coap.uint_bytes(number)) == kind
    aiocoap_format = ContentFormat(number)
    if number not in WITH_PARAMETERS and aiocoap_format.is_known():
        assert aiocoap_format.media_type.encode() == kind


@pytest.mark.parametrize(
    ("kind", "value"),
    [
        (b"Application/JSON", b"\x32"),
        (b"text/plain", b""),
        (b"text/plain ; charset=UTF-8", b""),
        (b"application/coap-payload;cf=12345", b"\x30\x39"),
        (b"application/coap-payload; cf=65535", b"\xff\xff"),
        (b"application/coap-payload;cf=65536", None),
        (b"application/coap-payload;cf=x", None),
        (b"text/html", None),
        (b"", None),
        (b"image/png; q=1", None),
    ],
)
def test_a_media_type_has_a_number_or_no_option(kind: bytes, value: bytes | None) -> None:
    assert contentformat.content_format(kind) == value


def test_an_unknown_number_round_trips_and_a_long_one_is_rejected() -> None:
    kind = contentformat.media_type(b"\x30\x39")
    assert kind == b"application/coap-payload;cf=12345"
    assert contentformat.content_format(kind) == b"\x30\x39"
    with pytest.raises(ValueError, match="found a content format of 3 bytes, wanted 2"):
        contentformat.media_type(b"\x01\x02\x03")


def test_media_types_pass_between_a_coap_client_and_an_http_node() -> None:
    async def main() -> None:
        async with served() as (_, backend, front):
            backend.default_reply = reply(200, b"x" * 3000, b"Content-Type: image/png")
            unit = await Unit.to(port_of(front))
            answer = await unit.ask([*request_options(), (coap.CONTENT_FORMAT, b"\x3c")])
            assert backend.requests[0][1][b"content-type"] == b"application/cbor"
            assert answer.option(coap.CONTENT_FORMAT) == b"\x17"
            block = await unit.ask(
                [*request_options(), (coap.CONTENT_FORMAT, b"\x3c"), (coap.BLOCK2, b"\x16")]
            )
            assert block.option(coap.CONTENT_FORMAT) == b"\x17"  # with each block
            bad = await unit.ask([*request_options(key=b"m"), (coap.CONTENT_FORMAT, b"\x01\x02\x03")])
            assert (bad.code, len(backend.requests)) == (coap.BAD_OPTION, 1)

    run(main())


def test_media_types_pass_between_an_http_client_and_a_coap_node() -> None:
    async def main() -> None:
        async with nodes() as (w, (node,)):
            node.response_options = [(coap.CONTENT_FORMAT, b"\x17")]
            client = await Client.to(w.port)
            client.send("pay", b"{}", "4000m", "Content-Type: application/json")
            _, headers, _ = await client.answer()
            assert headers[b"content-type"] == b"image/png"
            assert node.got[0].option(coap.CONTENT_FORMAT) == b"\x32"
            node.response_options = []
            client.send("pay", b"{}", "4000m", "Content-Type: text/html")
            _, headers, _ = await client.answer()
            assert b"content-type" not in headers
            assert node.got[1].option(coap.CONTENT_FORMAT) is None
            await until(lambda: not w.proxy.driver.requests)

    run(main())


def test_aiocoap_decodes_the_content_format() -> None:
    async def main() -> None:
        async with served() as (_, backend, front):
            backend.default_reply = reply(200, b"{}", b"Content-Type: application/json")
            unit = await Unit.to(port_of(front))
            unit.send(request_options("read"), coap.GET)
            aiocoap_format = aiocoap.Message.decode(coap.encode(await unit.next()))
            assert aiocoap_format.opt.content_format == ContentFormat.JSON

    run(main())
