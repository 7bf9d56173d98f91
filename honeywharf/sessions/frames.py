"""Frames of a session, and the bounds that all its parties share.

Each frame is a list `[kind, session, epoch, ...]`. A session is one request between two sidecars; its id is
16 random bytes of the source's. The epoch counts the ways it has taken: each new one fences all before it.

    source to destination
      OPEN     to, life, heard, got, attempt, length, remaining ms, expires ms (wall), tenant, origin, homes,
               head, upto, lane: a first way, or a further one (`heard`: the destination has spoken before;
               `got`: bytes of the answer that are here; `upto`: bytes of it that may come; `lane`: of links)
      DATA     offset, bytes of the request's body
      END      bytes of the whole body
      ACK      bytes of the answer that came, bytes that may come, 1 where something is missing
      CLOSE    the answer is here whole; it may be forgotten
      DROP     nobody waits any more
    destination to source
      HAVE     life, bytes of the body that are held, bytes that may come, 1: something is missing, 2: the end
               came too
      HEAD     status, fields, length
      PART     offset, bytes of the answer
      WHOLE    bytes of the whole answer
      VERDICT  ran, why, again ms, arrived
      UNKNOWN  life: this life of the destination has never held such a session
      FENCED   a newer epoch is at work: what is behind this one is dropped
    of the gateway between them
      GONE     why: the other end of this way is lost, or the gateway takes no such session
      LEAVE    go on by another way
      STATE    region, zone, load, taking (1 or 0), counted among the gateways of its region
    PING, PONG of one link
"""

from __future__ import annotations

(
    OPEN,
    DATA,
    END,
    ACK,
    CLOSE,
    DROP,
    HAVE,
    HEAD,
    PART,
    WHOLE,
    VERDICT,
    UNKNOWN,
    FENCED,
    GONE,
    LEAVE,
    STATE,
    PING,
    PONG,
) = range(18)
UP = (OPEN, DATA, END, ACK, CLOSE, DROP)
DOWN = (HAVE, HEAD, PART, WHOLE, VERDICT, UNKNOWN, FENCED)

PIECE = 16 * 1024  # bytes of one DATA or PART
WINDOW = 256 * 1024  # bytes of a body on the way unacknowledged
FIRST = 32 * 1024  # bytes that may follow an OPEN unasked: a short body, to a life that is known
ANSWER_FIRST = 1024  # bytes of an answer that a gateway grants with an OPEN, room or not
ANSWER_WINDOW = 128 * 1024  # bytes of an answer on the way unacknowledged
SHORT = FIRST  # a body up to here goes by the lane of short requests
QUICK_AIM_S = 0.2  # a read whose aim is no longer has a lane of its own: inner calls
QUICK, BRIEF, BULK = LANES = range(3)  # links of their own: inner calls, other short requests, long bodies
WHOLE_ANSWER = 64 * 1024  # an answer up to here is told at once
STALE_S = 5.0  # past its deadline by the wall clock, an OPEN begins nothing; clocks differ by less
