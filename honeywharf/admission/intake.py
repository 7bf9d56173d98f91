"""Bodies that come over one machine's link: who may send how much now, and how long one more would take.

Theory of operation. Uploads share the link with short requests, with inner calls and with the mesh's own
words. What has been asked for and has not come yet waits in the link's queue, before all of these. So the
destination asks for little at a time: `most_out` over all bodies, which is `ON_THE_WAY_S` of the link's time,
and half of it, or `EACH_OUT`, for one. First come, first asked: like bodies end sooner one after the other
than side by side. A body of which nothing came for `STALL_S` (a slow client) does not count against the
others. Nothing is timed by a rate: what comes makes room for what is asked for next.

A body whose turn has not come has been asked for no byte; its request can still be refused with a proof.
Rules without I/O; times are seconds on the caller's clock, sizes bytes, `bytes_s` bytes a second.
"""

from __future__ import annotations

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable

ON_THE_WAY_S = 0.05  # of the link's time, that may be asked for and not come
MIN_OUT = 16 * 1024  # all the same: a round trip's worth where processors are slow
EACH_OUT = 64 * 1024
FIRST = 8 * 1024  # the first piece that is asked for of each body
PIECE = 4 * 1024  # the least that is asked for afterwards, but for the rest of a body
STALL_S = 0.25
MAX_HELD = 8 << 20  # promised to bodies at a time, over all
MAX_PLACES = 256
UNTOLD = 64 * 1024  # what a body without a length is taken for


class Place:
    """One body's place. `give(size)` asks for so many further bytes."""

    __slots__ = ("asked", "at", "came", "give", "size", "told")

    def __init__(self, now: float, size: int, told: bool, give: Callable[[int], None]) -> None:
        self.size, self.told, self.give, self.at = size, told, give, now
        self.asked = self.came = 0

    @property
    def left(self) -> int:
        """Bytes that have not come."""
        return max(0, self.size - self.came)


class Intake:
    """The bodies on the way to one machine."""

    def __init__(self, bytes_s: float = float("inf")) -> None:
        if bytes_s <= 0:
            raise ValueError(f"found a link of {bytes_s} bytes a second, wanted more than 0")
        self.places: dict[Place, None] = {}
        self.held = 0  # promised to the bodies that have a place
        self.link(bytes_s)

    def link(self, bytes_s: float) -> None:
        """The machine's link, as its settings tell."""
        self.bytes_s = bytes_s
        self.most_out = max(float(MIN_OUT), bytes_s * ON_THE_WAY_S)
        self.each_out = max(float(FIRST), min(float(EACH_OUT), self.most_out / 2))  # two are on the way

    def backlog_s(self) -> float:
        """How long the link needs for what the bodies here have still to send."""
        return sum(place.left for place in self.places) / self.bytes_s

    def join(self, now: float, length: int, give: Callable[[int], None]) -> Place | None:
        """A place for a body of `length` bytes (below 0: not told); None where there is none.

        `pump` asks for its first bytes.
        """
        size = length if length >= 0 else UNTOLD
        if len(self.places) >= MAX_PLACES or self.held + size > MAX_HELD:
            return None
        place = Place(now, size, length >= 0, give)
        self.places[place] = None
        self.held += size
        return place

    def took(self, now: float, place: Place, size: int) -> None:
        """So many bytes of it came."""
        place.came += size
        place.at = now
        if not place.told and place.came + PIECE > place.size:
            place.size += UNTOLD
            self.held += UNTOLD

    def leave(self, place: Place) -> None:
        """It is whole, or nobody waits for it."""
        if place in self.places:
            del self.places[place]
            self.held -= place.size

    def _out(self, now: float, place: Place) -> int:
        return place.asked - place.came if now - place.at < STALL_S else 0

    def pump(self, now: float) -> bool:
        """Ask for what there is room for; whether bodies wait that nothing was asked for."""
        out = sum(self._out(now, place) for place in self.places)
        for place in list(self.places):
            if place not in self.places:
                continue  # asking for another one's bytes has ended it
            if place.asked > place.came and now - place.at >= STALL_S:
                continue  # what it was asked for has to come first
            room = min(self.most_out - out, self.each_out - (place.asked - place.came))
            want = min(int(room), place.size - place.asked) if place.told else int(room)
            if not place.asked:
                want = FIRST if room >= FIRST or not out else 0
            elif want < PIECE and want < place.size - place.asked:
                want = 0
            if want > 0:
                if not place.asked:
                    place.at = now
                place.asked += want
                out += want
                place.give(want)
        return any(not place.asked for place in self.places)
