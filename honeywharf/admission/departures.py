"""Departures: the statements of backends that they leave, as data. No I/O, no clock.

A departure is the backend's key with the `call-sequence` at which it said that it drains, or `DEREGISTERED`,
which no later call may follow. Departures are merged by their highest sequence, so repetition, order and
origin do not matter; what a backend said at a lower sequence came before.
"""

from __future__ import annotations

import zlib

TYPE_CHECKING = False
if TYPE_CHECKING:
    #: The `call-sequence` of each departure, by the backend's key; the oldest first.
    Departures = dict[int, int]

ATTRIBUTE = "gone"  # of a sidecar's gossip entry
DEREGISTERED = (1 << 62) - 1  # above every `call-sequence`
MAX_SEQUENCE = DEREGISTERED - 1  # of a departure; messages hold 64 bits, and a `call-sequence` has no bound
MAX_DEPARTURES = 8  # of one machine; the oldest are forgotten first


def backend_key(instance: str) -> int:
    """Returns a number of 32 bits for a backend's instance id, which may be long."""
    return zlib.crc32(instance.encode())


def unpack_departures(value: object) -> Departures:
    """Returns the departures in a received value; what is malformed is left out."""
    departures: Departures = {}
    for pair in value if isinstance(value, list) else ():
        if isinstance(pair, (list, tuple)) and len(pair) == 2 and all(type(number) is int for number in pair):
            departures[pair[0]] = min(pair[1], DEREGISTERED)
    return departures


def pack_departures(departures: Departures) -> list[list[int]]:
    """Returns the departures as they are sent."""
    return [[key, sequence] for key, sequence in departures.items()]


def merge_departures(known: Departures, more: Departures) -> bool:
    """Adds departures to the known ones, the highest sequence of each; returns whether one is new."""
    changed = False
    for key, sequence in more.items():
        if sequence > known.get(key, -1):
            known.pop(key, None)  # to the end, as it is the newest now
            known[key] = sequence
            changed = True
    while len(known) > MAX_DEPARTURES:
        del known[next(iter(known))]
    return changed
