"""Datagrams: rejection of malformed ones with a reason, and agreement with the codec of aiocoap."""

from __future__ import annotations

import os
import random

import pytest
from aiocoap import Message as AiocoapMessage
from aiocoap.numbers import OptionNumber
from aiocoap.optiontypes import OpaqueOption
from hypothesis import given, settings, strategies as st

from honeywharf.codecs import coap

HEAD = bytes.fromhex("40010102")  # CON GET, id 0x0102


@pytest.mark.parametrize(
    ("data", "words"),
    [
        (b"", "datagram: expected at least 4 bytes, got 0"),
        (b"\x40\x01\x00", "datagram: expected at least 4 bytes, got 3"),
        (b"\x00\x01\x01\x02", "version: expected 1, got 0"),
        (b"\x80\x01\x01\x02", "version: expected 1, got 2"),
        (b"\x49\x01\x01\x02" + b"t" * 9, "token: expected at most 8 bytes, got 9"),
        (b"\x4f\x01\x01\x02" + b"t" * 15, "token: expected at most 8 bytes, got 15"),
        (b"\x42\x01\x01\x02t", "token: expected all its bytes, got the end"),
        (b"\x40\x00\x01\x02\xff", "empty message: expected 4 bytes"),
        (b"\x41\x00\x01\x02t", "empty message: expected 4 bytes"),
        (HEAD + b"\xff", "payload: expected at least 1 byte after the marker"),
        (HEAD + b"\xf0", "option: expected a valid delta and length"),
        (HEAD + b"\x0f", "option: expected a valid delta and length"),
        (HEAD + b"\xd0", "option: expected a valid delta and length"),
        (HEAD + b"\xe0\x01", "option: expected a valid delta and length"),
        (HEAD + b"\x0d", "option: expected a valid delta and length"),
        (HEAD + b"\x13ab", "option: expected its end within the datagram"),
        (HEAD + b"\xe0\xff\xff\xe0\xff\xff", "option: expected its end within the datagram"),
        (HEAD + b"\x10" * (coap.MAX_OPTIONS + 1), "options: expected at most 48, got more"),
        (HEAD + b"\xff" + b"x" * coap.MAX_DATAGRAM_BYTES, "datagram: expected at most 2048 bytes"),
    ],
)
def test_a_malformed_datagram_is_rejected_with_a_reason(data: bytes, words: str) -> None:
    with pytest.raises(coap.MalformedError, match=words):
        coap.decode(data)


def test_the_error_carries_type_and_message_id_for_the_reset() -> None:
    with pytest.raises(coap.MalformedError) as caught:
        coap.decode(HEAD + b"\xff")
    assert (caught.value.mtype, caught.value.mid) == (coap.CON, 0x0102)
    with pytest.raises(coap.MalformedError) as caught:
        coap.decode(b"\x80\x01\x01\x02")
    assert caught.value.mtype == -1  # another version is silently ignored


options = st.lists(st.tuples(st.integers(3000, 65535), st.binary(max_size=300)), max_size=5)


@settings(max_examples=300, derandomize=True, deadline=None)
@given(
    mtype=st.integers(0, 3),
    code=st.integers(1, 255),
    mid=st.integers(0, 65535),
    token=st.binary(max_size=8),
    message_options=options,
    payload=st.binary(max_size=200),
)
def test_encoded_messages_decode_the_same_here_and_by_aiocoap(
    mtype: int,
    code: int,
    mid: int,
    token: bytes,
    message_options: list[tuple[int, bytes]],
    payload: bytes,
) -> None:
    message = coap.Message(mtype, code, mid, token, message_options, payload)
    data = coap.encode(message)
    ours, theirs = coap.decode(data), AiocoapMessage.decode(data)
    assert (ours.mtype, ours.code, ours.mid, ours.token, ours.payload) == (mtype, code, mid, token, payload)
    assert ours.options == sorted(message_options, key=lambda o: o[0])
    assert (int(theirs.mtype), int(theirs.code), theirs.mid, theirs.token, theirs.payload) == (
        mtype,
        code,
        mid,
        token,
        payload,
    )


def test_messages_of_aiocoap_are_decoded() -> None:
    theirs = AiocoapMessage(
        code=2, payload=b"tile", _mtype=0, _mid=7, _token=b"tok", uri="coap://h/api/order?a=1&b=2"
    )
    theirs.opt.add_option(OpaqueOption(OptionNumber(65001), b"order"))
    ours = coap.decode(theirs.encode())
    assert (ours.code, ours.mid, ours.token, ours.payload) == (coap.POST, 7, b"tok", b"tile")
    assert [v for n, v in ours.options if n == coap.URI_PATH] == [b"api", b"order"]
    assert [v for n, v in ours.options if n == coap.URI_QUERY] == [b"a=1", b"b=2"]
    assert ours.option(65001) == b"order"


def test_any_datagram_is_decoded_or_rejected() -> None:
    """Runs 30,000 datagrams; 1,000,000 with HONEYWHARF_LONG=1."""
    rng, rejected = random.Random(1), 0
    number = 1_000_000 if os.environ.get("HONEYWHARF_LONG") else 30_000
    seeds = [
        coap.encode(
            coap.Message(
                coap.CON, coap.POST, 1, b"tok", [(11, b"api"), (65001, b"order"), (65009, b"k" * 40)], b"body"
            )
        )
    ]
    for i in range(number):
        data = bytearray(rng.choice(seeds)) if i % 3 else bytearray(rng.randbytes(rng.randrange(80)))
        for _ in range(rng.randrange(4)):
            if data:
                data[rng.randrange(len(data))] = rng.randrange(256)
        if rng.random() < 0.3:
            del data[rng.randrange(len(data) + 1) :]
        try:
            message = coap.decode(bytes(data))
        except coap.MalformedError:
            rejected += 1
        else:
            again = coap.decode(coap.encode(message))
            assert (again.options, again.payload) == (message.options, message.payload)
            assert again.token == message.token
    assert 0.1 < rejected / number < 0.9


def test_uints_are_encoded_in_the_shortest_form() -> None:
    found = [coap.uint_bytes(n) for n in (0, 1, 255, 256, 65536)]
    assert found == [b"", b"\x01", b"\xff", b"\x01\x00", b"\x01\x00\x00"]
    assert coap.uint(b"") == 0
    assert coap.uint(b"\x01\x00") == 256
