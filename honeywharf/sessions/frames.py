"""Frames of a session between regions, and the bounds that its endpoints and the gateways share.

Each frame is a list `[kind, session, epoch, ...]`. A session is one request between two sidecars; its id is
16 random bytes drawn by the source. The epoch counts the paths that the session has taken: a frame of an
older epoch is fenced.

    source to destination
      OPEN     destination, incarnation, heard (1: the destination has answered before), bytes of the answer
               received, attempt id, body length, remaining ms, expiry (ms of the wall clock), tenant, region
               of the client, allowed regions, request head, bytes of the answer that may be sent, priority
               class. Begins a session or moves it to another path.
      DATA     offset, bytes of the request's body
      END      length of the complete body
      ACK      bytes of the answer received, bytes that may be sent, 1 where a part is missing
      CLOSE    the answer is complete at the source and may be forgotten
      DROP     the client has gone; the request is cancelled
    destination to source
      HAVE     incarnation, bytes of the body received, bytes that may be sent, 1: a part is missing, 2: END
               has arrived too
      HEAD     status, fields, length
      PART     offset, bytes of the answer
      WHOLE    length of the complete answer
      VERDICT  ran, why, retry-after ms, arrived
      UNKNOWN  incarnation: this incarnation of the destination has never had such a session
      FENCED   a newer epoch is in use; frames of this one are dropped
    from the gateway between them
      GONE     why: the other end of this path is lost, or the gateway rejects the session
      LEAVE    continue on another path
      STATE    region, zone, sessions, advertised (1 or 0), whether it counts as a gateway of its region
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
SOURCE_FRAMES = (OPEN, DATA, END, ACK, CLOSE, DROP)
DESTINATION_FRAMES = (HAVE, HEAD, PART, WHOLE, VERDICT, UNKNOWN, FENCED)

CHUNK_BYTES = 16 * 1024  # One DATA or PART carries at most this many bytes.
WINDOW_BYTES = 256 * 1024  # This bounds the unacknowledged bytes of a body.
# This many bytes may follow an OPEN before any HAVE: a short body to a known incarnation.
INITIAL_BODY_BYTES = 32 * 1024
INITIAL_ANSWER_BYTES = 1024  # A gateway grants this with each OPEN that it accepts.
ANSWER_WINDOW_BYTES = 128 * 1024  # This bounds the unacknowledged bytes of an answer.
SHORT_BODY_BYTES = INITIAL_BODY_BYTES  # Longer bodies use the BULK links.
INTERACTIVE_LATENCY_TARGET_S = 0.2  # Reads with at most this latency target use the INTERACTIVE links.
# Each class has links of its own, so that a long body does not delay a short request.
INTERACTIVE, SHORT_REQUESTS, BULK = PRIORITY_CLASSES = range(3)
BUFFERED_ANSWER_BYTES = 64 * 1024  # An answer up to this length is passed on in one piece.
# An OPEN this long past its expiry by the wall clock is rejected. Clocks have to differ by less.
EXPIRY_TOLERANCE_S = 5.0
