"""Trace context after W3C Trace Context (level 1, with the random flag of level 2). Without I/O.

All hops keep the same ordinary traces because they compare the same randomness with a threshold. As in
OpenTelemetry's specification of tracestate, the randomness is the last 56 bits of the trace-id if the random
flag is set, or else the member `ot=rv:` with 14 hex digits. Randomness from an untrusted caller is ignored,
as it would let the caller choose which traces are kept.

    traceparent = version "-" trace-id "-" parent-id "-" trace-flags          (3.2)
    tracestate  = list of up to 32 members key "=" value, 512 characters      (3.3)

An invalid or repeated traceparent starts a new trace and drops the tracestate (3.2.2.3, 4.3). An invalid
tracestate is dropped alone. A version above 00 is read by its first four fields (3.2.4).
"""

from __future__ import annotations

import re
from dataclasses import dataclass

SAMPLED = 0x01  # The flag by which the caller says that it may have recorded the trace.
RANDOM = 0x02  # The flag of level 2 by which the last 56 bits of the trace-id are random.
MAX_TRACE_STATE_CHARS = 512  # The minimum that 3.3.1.1 requires to be propagated.
MAX_MEMBERS = 32
MEMBER_KEY, BAD_MEMBER = "hw", "hw=bad"  # The member by which a hop says that it keeps the trace.
OTEL_KEY = "ot"  # OpenTelemetry's member has sub-keys separated by ";"; `rv` is the trace's randomness.
RANDOM_BITS = 56
RANDOM_DIGITS = RANDOM_BITS // 4
UNREACHABLE_THRESHOLD = "g"  # Greater than every text of hex digits.
FLAG_SUFFIXES = ("-00", "-01", "-02", "-03")  # Precomputed, as formatting a number is slow.

_PARENT = re.compile(r"([0-9a-f]{2})-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})(-.*)?", re.DOTALL)
_OTEL_RANDOMNESS = re.compile(r"ot=(?:[^;]*;)*rv:([0-9a-f]{14})(?:;.*)?")
_MEMBER = re.compile(
    r"([a-z0-9][a-z0-9_\-*/@]{0,255})=[\x20-\x2b\x2d-\x3c\x3e-\x7e]{0,255}[\x21-\x2b\x2d-\x3c\x3e-\x7e]"
)


@dataclass(slots=True, frozen=True)
class Context:
    """The context that a request brought.

    `trace_id`: 32 hex digits; `parent_id`: 16 hex digits, the caller's span, empty for a root.
    """

    trace_id: str
    parent_id: str = ""
    flags: int = 0
    trace_state: str = ""  # Excludes the `hw` member, and the `ot` member of an untrusted caller.
    bad: bool = False  # Whether a trusted caller keeps the trace for a reason of its own.
    #: 14 hex digits by which every hop samples alike; empty if no trusted caller sent any.
    randomness: str = ""


def parse(
    parents: list[bytes],
    states: list[bytes],
    *,
    trusts: bool = False,
) -> tuple[Context | None, str]:
    """Returns the context that a request brought, and its fault: `parent`, `twice`, `state` or empty.

    The context is None if a new trace has to begin. `parents`, `states`: the values of all such headers in
    their order of arrival. `trusts`: whether the caller's randomness and `hw` member are accepted.
    """
    if not parents:
        return None, ""  # A tracestate without a traceparent is ignored (4.3).
    if len(parents) > 1:
        return None, "twice"
    match = _PARENT.fullmatch(parents[0].decode("latin-1").strip(" \t"))
    if match is None or match[1] == "ff" or (match[1] == "00" and match[5]):
        return None, "parent"
    if set(match[2]) == {"0"} or set(match[3]) == {"0"}:
        return None, "parent"
    members, fault = _state(states) if states else ({}, "")
    bad = members.pop(MEMBER_KEY, "") == BAD_MEMBER
    if not trusts:
        members.pop(OTEL_KEY, "")
        return Context(match[2], match[3], 0, ",".join(members.values())), fault
    member = _OTEL_RANDOMNESS.fullmatch(members.get(OTEL_KEY, ""))
    flags = int(match[4], 16) & RANDOM
    randomness = member[1] if member is not None else match[2][-RANDOM_DIGITS:] if flags else ""
    if member is None:
        # Keeps a downstream hop from reading randomness that this hop does not use.
        members.pop(OTEL_KEY, "")
    return Context(match[2], match[3], flags, ",".join(members.values()), bad, randomness), fault


def _state(values: list[bytes]) -> tuple[dict[str, str], str]:
    members: dict[str, str] = {}
    for text in ",".join(v.decode("latin-1") for v in values).split(","):
        text = text.strip(" \t")
        if not text:
            continue  # Empty members are allowed.
        match = _MEMBER.fullmatch(text)
        if match is None or match[1] in members or len(members) >= MAX_MEMBERS:
            return {}, "state"
        members[match[1]] = text
    # Members over 128 characters are dropped first, then those at the end (3.3.1.5). A cut counts as a fault.
    fault = "" if _length(members) <= MAX_TRACE_STATE_CHARS else "state"
    for name in [n for n, m in members.items() if len(m) > 128 and fault]:
        del members[name]
    while _length(members) > MAX_TRACE_STATE_CHARS:
        members.popitem()
    return members, fault


def _length(members: dict[str, str]) -> int:
    return sum(len(m) + 1 for m in members.values())


def request_header_lines(
    trace_id: str, span_id: str, flags: int, trace_state: str, *, bad: bool = False
) -> bytes:
    """Returns the header lines for the next hop; `bad`: whether this hop keeps the trace for a reason."""
    lines = "traceparent: 00-" + trace_id + "-" + span_id + FLAG_SUFFIXES[flags] + "\r\n"
    if bad:  # A member that was changed moves to the front (3.3.1.1).
        trace_state = f"{BAD_MEMBER},{trace_state}" if trace_state else BAD_MEMBER
    if trace_state:
        lines += "tracestate: " + trace_state + "\r\n"
    return lines.encode()


def response_header_line(trace_id: str, span_id: str, *, bad: bool) -> bytes:
    """Returns the traceresponse header line of an answer, after the drafts of level 2.

    `bad` sets the sampled flag: this hop keeps the trace for a reason other than random sampling.
    """
    return ("traceresponse: 00-" + trace_id + "-" + span_id + FLAG_SUFFIXES[bad] + "\r\n").encode()


def kept_below(value: bytes, trace_id: str) -> bool:
    """Returns whether an answer's traceresponse says that the downstream hop keeps this trace.

    An invalid value, or one of another trace, counts as no.
    """
    match = _PARENT.fullmatch(value.decode("latin-1").strip(" \t"))
    return match is not None and match[2] == trace_id and bool(int(match[4], 16) & SAMPLED)


def with_randomness(randomness: str, trace_state: str) -> str:
    """Returns a tracestate that passes this hop's randomness, 14 hex digits, to downstream hops."""
    return f"ot=rv:{randomness},{trace_state}" if trace_state else "ot=rv:" + randomness


def threshold(rate: float) -> str:
    """Returns the least randomness, 14 hex digits, of the traces that are kept at this rate.

    This is consistent probability sampling after OpenTelemetry's specification of tracestate ("th"). Hex
    digits of equal length compare as the numbers do.
    """
    threshold_bits = round((1.0 - rate) * (1 << RANDOM_BITS))
    return (
        f"{threshold_bits:0{RANDOM_DIGITS}x}" if threshold_bits < 1 << RANDOM_BITS else UNREACHABLE_THRESHOLD
    )
