"""Media types and Content-Formats: what each becomes on the other side, and through a running proxy."""

from __future__ import annotations

import aiocoap
import pytest
from aiocoap.numbers.contentformat import ContentFormat

from honeywharf.codecs import coap, contentformat
from tests.coap.test_backend import nodes
from tests.coap.test_front import Unit, port_of, served, told
from tests.loopback import Client, reply, run, until

#: A few whose types the registry writes with parameters: not what a peer's table has to spell as ours.
BY_HEART = {0, 16}


@pytest.mark.parametrize("number", sorted(contentformat.FORMATS))
def test_each_format_reads_back_and_is_the_one_that_a_foreign_table_has(number: int) -> None:
    kind = contentformat.FORMATS[number]
    assert contentformat.content_format(kind) == coap.uint_bytes(number)
    assert contentformat.media_type(coap.uint_bytes(number)) == kind
    theirs = ContentFormat(number)
    if number not in BY_HEART and theirs.is_known():
        assert theirs.media_type.encode() == kind


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
def test_a_type_has_its_number_or_no_option(kind: bytes, value: bytes | None) -> None:
    assert contentformat.content_format(kind) == value


def test_an_unknown_number_goes_there_and_back_and_a_long_one_is_refused() -> None:
    kind = contentformat.media_type(b"\x30\x39")
    assert kind == b"application/coap-payload;cf=12345"
    assert contentformat.content_format(kind) == b"\x30\x39"
    with pytest.raises(ValueError, match="found a content format of 3 bytes, wanted 2"):
        contentformat.media_type(b"\x01\x02\x03")


def test_a_unit_and_an_http_node_tell_each_other_their_types() -> None:
    async def main() -> None:
        async with served() as (_, backend, front):
            backend.then = reply(200, b"x" * 3000, b"Content-Type: image/png")
            unit = await Unit.to(port_of(front))
            answer = await unit.ask([*told(), (coap.CONTENT_FORMAT, b"\x3c")])
            assert backend.requests[0][1][b"content-type"] == b"application/cbor"
            assert answer.option(coap.CONTENT_FORMAT) == b"\x17"
            block = await unit.ask([*told(), (coap.CONTENT_FORMAT, b"\x3c"), (coap.BLOCK2, b"\x16")])
            assert block.option(coap.CONTENT_FORMAT) == b"\x17"  # with each block
            bad = await unit.ask([*told(key=b"m"), (coap.CONTENT_FORMAT, b"\x01\x02\x03")])
            assert (bad.code, len(backend.requests)) == (coap.BAD_OPTION, 1)

    run(main())


def test_an_http_caller_and_a_coap_node_tell_each_other_their_types() -> None:
    async def main() -> None:
        async with nodes() as (w, (node,)):
            node.told = [(coap.CONTENT_FORMAT, b"\x17")]
            caller = await Client.to(w.port)
            caller.send("pay", b"{}", "4000m", "Content-Type: application/json")
            _, headers, _ = await caller.answer()
            assert headers[b"content-type"] == b"image/png"
            assert node.got[0].option(coap.CONTENT_FORMAT) == b"\x32"
            node.told = []
            caller.send("pay", b"{}", "4000m", "Content-Type: text/html")
            _, headers, _ = await caller.answer()
            assert b"content-type" not in headers
            assert node.got[1].option(coap.CONTENT_FORMAT) is None
            await until(lambda: not w.proxy.driver.requests)

    run(main())


def test_a_foreign_client_reads_the_type() -> None:
    async def main() -> None:
        async with served() as (_, backend, front):
            backend.then = reply(200, b"{}", b"Content-Type: application/json")
            unit = await Unit.to(port_of(front))
            unit.send(told("read"), coap.GET)
            theirs = aiocoap.Message.decode(coap.encode(await unit.next()))
            assert theirs.opt.content_format == ContentFormat.JSON

    run(main())
