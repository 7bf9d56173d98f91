"""Frames: decoding of split data, limits, and linear cost."""

from __future__ import annotations

from random import Random
from time import process_time

import pytest

from honeywharf.transport.framing import FrameReader, encode_frame


def test_frames_split_anywhere_decode_to_the_same_objects() -> None:
    rng = Random(5)
    objects = [["calls", {1: b"x" * rng.randrange(300)}, None, n] for n in range(60)]
    data = b"".join(map(encode_frame, objects))
    for _ in range(50):
        reader, received, at = FrameReader(), [], 0
        while at < len(data):
            step = rng.choice((1, 3, 40, 900))
            received += reader.feed(data[at : at + step])
            at += step
        assert received == objects
        assert reader.buffered == 0


def test_a_frame_over_the_limit_is_rejected_by_its_length() -> None:
    reader = FrameReader(max_size=100)
    assert reader.feed(encode_frame(b"x" * 97)) == [b"x" * 97]
    with pytest.raises(ValueError, match="frame: expected at most 100 bytes, got 101"):
        reader.feed(b"\0\0\0\x65")


@pytest.mark.parametrize(
    "body", [b"\xc1", b"\x01\x02", b"\x92\x01", b"\xa2\xff\xff", b"\xdd\xff\xff\xff\xff", b""]
)
def test_a_malformed_body_is_rejected(body: bytes) -> None:
    with pytest.raises(ValueError, match=r"frame body: expected one msgpack object, got .*"):
        FrameReader().feed(len(body).to_bytes(4, "big") + body)


def test_large_frames_in_small_pieces_take_linear_time() -> None:
    def cost(size: int) -> float:
        data, reader, begun = encode_frame(b"x" * size), FrameReader(), process_time()
        received = [f for at in range(0, len(data), 65536) for f in reader.feed(data[at : at + 65536])]
        assert len(received) == 1
        return process_time() - begun

    assert cost(64 << 20) < 30 * cost(8 << 20) + 0.2  # Linear cost would be 8 times, quadratic cost 64 times.
