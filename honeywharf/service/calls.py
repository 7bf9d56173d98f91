"""What operators say at the second address, and what they are told: one line each way. Without I/O.

    call    NAME [ID] LF        UTF-8, at most `MAX_LINE` bytes with its end; CR before LF is ignored
    answer  OK [words] LF  or  ERR words LF

One call a connection. What comes behind its line is no part of it: where there is any, nothing is done.
"""

from __future__ import annotations

from dataclasses import dataclass

MAX_LINE = 512  # bytes
#: Each call, and whether it names a backend.
CALLS = {"readyz": False, "exclude": True, "include": True, "evacuate": False, "activate": False}


class CallError(ValueError):
    """What was found in place of a call, and what was wanted."""


@dataclass(frozen=True, slots=True)
class Call:
    """One call; `of` is the backend's id, empty where the call names none."""

    do: str
    of: str = ""


def whole(data: bytes) -> bool:
    """Whether no more is wanted to tell what was said: a line's end has come, or too much has."""
    return b"\n" in data or len(data) >= MAX_LINE


def call(data: bytes) -> Call:
    """What was said; `CallError`."""
    line, end, rest = data.partition(b"\n")
    if not end or len(line) >= MAX_LINE:
        raise CallError(f"found {len(data)} bytes and no end of a line, wanted one within {MAX_LINE}")
    if rest.strip():
        raise CallError(f"found {len(rest)} bytes behind the line, wanted one line to a connection")
    try:
        words = line.decode("utf-8").split()
    except UnicodeDecodeError as fault:
        raise CallError(f"found byte {line[fault.start]:#04x} at {fault.start}, wanted UTF-8") from None
    if any(not word.isprintable() for word in words):
        raise CallError("found a character that can't be shown, wanted a name and an id")
    if not words or words[0] not in CALLS:
        raise CallError(f"found {words[0][:64] if words else 'nothing'!r}, wanted one of {', '.join(CALLS)}")
    wanted = 2 if CALLS[words[0]] else 1
    if len(words) != wanted:
        raise CallError(f"found {len(words) - 1} words after {words[0]}, wanted {wanted - 1}")
    return Call(*words)


def answer(yes: bool, words: str = "") -> bytes:
    """The line that answers; what would break it into two is left out."""
    said = "".join(c if c.isprintable() else " " for c in words)
    return f"{'OK' if yes else 'ERR'}{' ' + said if said else ''}\n".encode()
