"""What operators' commands and a running proxy say to each other: frames of MessagePack, version 1. Without
I/O.

    frame     4 bytes of length, big-endian, then so many bytes of one value
    question  {"v": 1, "do": NAME, "who": TEXT, "yes": BOOL, "of": {NAME: TEXT}}
    answer    {"v": 1, "fault": TEXT or "", "data": VALUE}

One question and one answer a connection. A frame longer than its bound, or one that is no such value, is
answered with what was found and what was wanted; so is another version, which names the one that is spoken
here.
"""

from __future__ import annotations

from typing import Any

import msgspec

VERSION = 1
MAX_QUESTION = 4 * 1024  # bytes
MAX_ANSWER = 4 * 1024 * 1024
HEAD = 4


class ProtocolError(ValueError):
    """What was found in place of a frame that was wanted."""


class Question(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What is asked; `who` asks, for the log; `yes`: a change was confirmed; `of`: of what it is asked."""

    do: str
    who: str = ""
    yes: bool = False
    of: dict[str, str] = {}
    v: int = VERSION


class Answer(msgspec.Struct, frozen=True):
    """What came of it; `fault` is empty where all is well."""

    fault: str = ""
    data: Any = None
    v: int = VERSION


def frame(value: Question | Answer) -> bytes:
    """The bytes of a frame; an answer over its bound becomes one that says so."""
    data = msgspec.msgpack.encode(value)
    if len(data) > MAX_ANSWER:
        words = f"found an answer of {len(data)} bytes, wanted {MAX_ANSWER} at most"
        data = msgspec.msgpack.encode(Answer(words))
    return len(data).to_bytes(HEAD, "big") + data


def length(head: bytes, most: int) -> int:
    """How many bytes follow a frame's head; `ProtocolError` where that is over the bound."""
    found = int.from_bytes(head, "big")
    if not 0 < found <= most:
        raise ProtocolError(f"found a frame of {found} bytes, wanted 1 to {most}")
    return found


def question(data: bytes) -> Question:
    """What a frame asks."""
    try:
        raw = msgspec.msgpack.decode(data)
        version = raw.get("v") if isinstance(raw, dict) else None
        if version != VERSION:
            raise ProtocolError(f"found version {version!r}, wanted {VERSION}")
        return msgspec.convert(raw, Question)
    except (msgspec.DecodeError, msgspec.ValidationError) as fault:
        raise ProtocolError(f"found no question: {fault}") from None


def answer(data: bytes) -> Answer:
    """What a frame answers."""
    try:
        return msgspec.msgpack.decode(data, type=Answer)
    except (msgspec.DecodeError, msgspec.ValidationError) as fault:
        raise ProtocolError(f"found no answer: {fault}") from None
