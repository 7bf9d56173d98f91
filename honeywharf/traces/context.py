"""Trace context as W3C Trace Context has it (Recommendation, level 1, with level 2's random flag). Without
I/O.

Randomness, by which all hops keep the same ordinary traces, is told as OpenTelemetry's specification of
tracestate has it: the trace-id's last 56 bits where the random flag says that they are random, else the
member `ot=rv:` with 14 hex digits. Both count only from callers that are trusted: what a client sends would
choose what is kept, and how often it is counted.

    traceparent = version "-" trace-id "-" parent-id "-" trace-flags          (3.2)
    tracestate  = list of up to 32 members key "=" value, 512 characters      (3.3)

A damaged traceparent, or two of them, starts a new trace, and the tracestate is dropped with it (3.2.2.3,
4.3); a damaged tracestate alone is dropped alone. A version above 00 is read by its first four fields
(3.2.4). The request goes on whatever comes.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

SAMPLED = 0x01  # trace-flags: the caller may have recorded it
RANDOM = 0x02  # level 2: the last 56 bits of the trace-id are random
MAX_STATE = 512  # characters of a tracestate that is passed on (3.3.1.1 asks for so many at least)
MAX_MEMBERS = 32
KEY, BAD = "hw", "hw=bad"  # our member: the caller keeps the trace, whatever its randomness says
OT = "ot"  # OpenTelemetry's member: sub-keys parted by ";", of which `rv` is the trace's randomness
RANDOM_BITS = 56
RANDOM_DIGITS = RANDOM_BITS // 4
NEVER = "g"  # a threshold that no hex digits reach
FLAGS = ("-00", "-01", "-02", "-03")  # as written: formatting a number costs more than the rest of the line

_PARENT = re.compile(r"([0-9a-f]{2})-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})(-.*)?", re.DOTALL)
_RV = re.compile(r"ot=(?:[^;]*;)*rv:([0-9a-f]{14})(?:;.*)?")
_MEMBER = re.compile(
    r"([a-z0-9][a-z0-9_\-*/@]{0,255})=[\x20-\x2b\x2d-\x3c\x3e-\x7e]{0,255}[\x21-\x2b\x2d-\x3c\x3e-\x7e]"
)


@dataclass(slots=True, frozen=True)
class Context:
    """Where a trace comes from.

    `trace_id`: 32 hex digits; `parent_id`: 16, the caller's span; empty for a root.
    """

    trace_id: str
    parent_id: str = ""
    flags: int = 0
    state: str = ""  # without the member of ours, and without OpenTelemetry's where nobody is trusted
    bad: bool = False  # a trusted caller keeps it for what it saw, says our member
    #: 14 hex digits by which every hop decides alike; empty where a trusted caller told none that count.
    randomness: str = ""


def parse(
    parents: list[bytes],
    states: list[bytes],
    *,
    trusts: bool = False,
) -> tuple[Context | None, str]:
    """The context that a request brought, and what was wrong: `parent`, `twice`, `state` or nothing.

    None where a new trace has to begin. `parents`, `states`: the values of all such headers, as they came.
    `trusts`: the caller is a hop of ours, so that its word on randomness and on what it keeps counts.
    """
    if not parents:
        return None, ""  # a tracestate alone says nothing (4.3)
    if len(parents) > 1:
        return None, "twice"
    match = _PARENT.fullmatch(parents[0].decode("latin-1").strip(" \t"))
    if match is None or match[1] == "ff" or (match[1] == "00" and match[5]):
        return None, "parent"
    if set(match[2]) == {"0"} or set(match[3]) == {"0"}:
        return None, "parent"
    members, fault = _state(states) if states else ({}, "")
    bad = members.pop(KEY, "") == BAD
    if not trusts:
        members.pop(OT, "")
        return Context(match[2], match[3], 0, ",".join(members.values())), fault
    told = _RV.fullmatch(members.get(OT, ""))
    flags = int(match[4], 16) & RANDOM
    randomness = told[1] if told is not None else match[2][-RANDOM_DIGITS:] if flags else ""
    if told is None:
        members.pop(OT, "")  # nothing of it is known here; a hop below would read its own of it
    return Context(match[2], match[3], flags, ",".join(members.values()), bad, randomness), fault


def _state(values: list[bytes]) -> tuple[dict[str, str], str]:
    members: dict[str, str] = {}
    for text in ",".join(v.decode("latin-1") for v in values).split(","):
        text = text.strip(" \t")
        if not text:
            continue  # empty members are allowed
        match = _MEMBER.fullmatch(text)
        if match is None or match[1] in members or len(members) >= MAX_MEMBERS:
            return {}, "state"
        members[match[1]] = text
    # Members over 128 characters go first, then those at the end (3.3.1.5): what is cut is counted as
    # a fault.
    fault = "" if _length(members) <= MAX_STATE else "state"
    for name in [n for n, m in members.items() if len(m) > 128 and fault]:
        del members[name]
    while _length(members) > MAX_STATE:
        members.popitem()
    return members, fault


def _length(members: dict[str, str]) -> int:
    return sum(len(m) + 1 for m in members.values())


def child(trace_id: str, span_id: str, flags: int, state: str, *, bad: bool = False) -> bytes:
    """The header lines for the next hop; `bad`: this one keeps the trace for what it saw."""
    lines = "traceparent: 00-" + trace_id + "-" + span_id + FLAGS[flags] + "\r\n"
    if bad:  # what was changed last stands first (3.3.1.1)
        state = f"{BAD},{state}" if state else BAD
    if state:
        lines += "tracestate: " + state + "\r\n"
    return lines.encode()


def response(trace_id: str, span_id: str, *, bad: bool) -> bytes:
    """The header line of an answer, as level 2's drafts of traceresponse have it.

    Sampled: kept for what was seen.
    """
    return ("traceresponse: 00-" + trace_id + "-" + span_id + FLAGS[bad] + "\r\n").encode()


def kept_below(value: bytes, trace_id: str) -> bool:
    """Whether an answer's traceresponse says that its hop keeps this trace.

    A damaged or foreign one says nothing.
    """
    match = _PARENT.fullmatch(value.decode("latin-1").strip(" \t"))
    return match is not None and match[2] == trace_id and bool(int(match[4], 16) & SAMPLED)


def with_randomness(randomness: str, state: str) -> str:
    """A tracestate that tells the hops below this hop's own randomness, 14 hex digits."""
    return f"ot=rv:{randomness},{state}" if state else "ot=rv:" + randomness


def threshold(rate: float) -> str:
    """Traces of which `randomness` is at least so much are kept: `rate` of them, the same ones at every hop.

    Consistent probability sampling, after OpenTelemetry's specification of tracestate ("th"). As 14 hex
    digits, which compare as the numbers do.
    """
    least = round((1.0 - rate) * (1 << RANDOM_BITS))
    return f"{least:0{RANDOM_DIGITS}x}" if least < 1 << RANDOM_BITS else NEVER
