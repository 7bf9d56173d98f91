"""The watch on discovery: lists come in as events, and backends' addresses go to the pool."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable
from typing import Any, cast

import orjson

from honeywharf.codecs import http1
from honeywharf.core.transport import Address, AddressBook, Clock, address, log
from honeywharf.policy import interface as api

PATH = "/registry/instances"
WAIT_MS = 5000  # of one watch call: short, since a cut connection says nothing until it is over
SILENT_MS = 1000.0  # after that wait an answer is given up
# An answer that has begun and brings nothing more for so long is given up, and asked for again; after
# failures it is waited for longer.
STALL_S = 0.25
QUIET_S = 0.05  # before the next call where an answer came at once with nothing new; 0.2 s ends a watch
RETRY_S = (0.02, 0.1)  # the first retry comes within a random time between these, the next within twice that
RETRY_MOST_S = 1.0
MAX_LIST = 16 * 1024 * 1024
STATES = {
    "up": api.EndpointState.READY,
    "draining": api.EndpointState.DRAINING,
    "removed": api.EndpointState.GONE,
}


def endpoint(row: Any) -> tuple[api.Endpoint, Address]:
    """One entry; ValueError where it makes no sense."""
    if not isinstance(row, dict):
        raise ValueError("an entry is an object")
    name, state = row.get("instanceId"), STATES.get(str(row.get("lifecycle")))
    started, weight, cell = row.get("startedAtMs") or 0, row.get("weight", 1.0), row.get("cell") or 0
    if not isinstance(name, str) or not name or state is None:
        raise ValueError("an entry has an id and a known state")
    figures = isinstance(started, int | float) and isinstance(weight, int | float) and isinstance(cell, int)
    if not figures or not (0 <= started < 1e15 and 0 <= weight < 1e9):
        raise ValueError(f"{name}: figures are numbers that make sense")
    gone = state is api.EndpointState.GONE
    where = ("", 0) if gone and not row.get("hostPort") else address(row.get("hostPort"))
    return api.Endpoint(
        name,
        str(row.get("zone", "")),
        state,
        cell,
        float(started) or None,
        float(weight),
        str(row.get("machineType", "")),
    ), where


Row = tuple[api.Endpoint, Address, str]  # with the scheme


class Directory:
    """The list as this proxy holds it: what the module is told and where the pool connects."""

    def __init__(self, books: dict[str, AddressBook]) -> None:
        self.books = books  # by scheme; an entry that names none is of the first
        self.first = next(iter(books))
        self.generation = 0
        self.rows: dict[str, Row] = {}  # all that are listed
        self.out: frozenset[str] = frozenset()  # by an operator's word: in no book, whatever a list says

    def take(self, raw: Any, kind: api.ListKind | None = None) -> api.EndpointsListed:
        """An answer as an event, after the pool has it. ValueError where it is no list."""
        if not isinstance(raw, dict) or not isinstance(raw.get("instances"), list):
            raise ValueError("a list has instances")
        generation = raw.get("generation")
        if isinstance(generation, bool) or not isinstance(generation, int):
            raise ValueError("a list has a generation")
        full = bool(raw.get("reset")) or kind is not None
        rows = []
        for row in raw["instances"]:
            try:
                entry, where = endpoint(row)
                scheme = str(row.get("scheme") or self.first)
                if scheme not in self.books:
                    raise ValueError(f"{entry.id}: found scheme {scheme!r}, wanted {' or '.join(self.books)}")
                rows.append((entry, where, scheme))
            except ValueError as fault:  # one bad entry must not hide the others
                log(f"discovery: entry left out: {fault}", "discovery.entry", "warning")
        if full:
            for name in self.rows.keys() - {e.id for e, _, _ in rows}:
                self._forget(name)
        for row in rows:
            if row[0].state is api.EndpointState.GONE:
                self._forget(row[0].id)
            else:
                self.rows[row[0].id] = row
                self._name(row)
        self.generation = generation
        kind = kind or (api.ListKind.FULL if full else api.ListKind.CHANGES)
        return api.EndpointsListed(kind, tuple(e for e, _, _ in rows), generation)

    def plain(self) -> dict[str, Any]:
        """The list as it is held, in discovery's form."""
        states = {state: word for word, state in STATES.items()}
        return {
            "generation": self.generation,
            "reset": True,
            "instances": [
                {
                    "instanceId": e.id,
                    "hostPort": "{}:{}".format(*where),
                    "zone": e.zone,
                    "machineType": e.kind,
                    "cell": e.cell,
                    "lifecycle": states[e.state],
                    "weight": e.size,
                    "startedAtMs": e.started_ms or 0,
                    "scheme": scheme,
                }
                for e, where, scheme in self.rows.values()
            ],
        }

    def exclude(self, out: Iterable[str]) -> None:
        """These are out by an operator's word, and no others: nothing can be sent to one that is."""
        before, self.out = self.out, frozenset(out)
        for name in before ^ self.out:
            if name in self.out:
                for book in self.books.values():
                    book.forget(name)
            elif name in self.rows:
                self._name(self.rows[name])

    def _name(self, row: Row) -> None:
        entry, where, scheme = row
        for other, book in self.books.items():
            if other != scheme or entry.id in self.out:
                book.forget(entry.id)
        if entry.id not in self.out:
            ready = entry.state is api.EndpointState.READY
            self.books[scheme].name(entry.id, where, entry.started_ms, open_for_work=ready)

    def _forget(self, name: str) -> None:
        self.rows.pop(name, None)
        for book in self.books.values():
            book.forget(name)


class Line(asyncio.Protocol):
    """One connection to discovery. What comes on it counts only while the watch holds it.

    Guards against bytes, or the loss, of a connection that was left touching the one that took its place.
    """

    __slots__ = ("reader", "transport", "watch")

    def __init__(self, watch: Watch) -> None:
        self.watch = watch
        self.reader = http1.ResponseReader(MAX_LIST)
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the way to write."""
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Hand on what has come, if anybody still waits for it."""
        if self.watch.line is self:
            self.watch.received(self, data)

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection is gone."""
        if self.watch.line is self:
            self.watch.lost()

    def close(self) -> None:
        """Close at once."""
        if self.transport is not None:
            self.transport.abort()


class Watch:
    """One call after another on one connection; a new connection whenever one fails."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Clock,
        where: Address,
        directory: Directory,
        tell: Callable[[api.EndpointsListed], None],
        *,
        polled: bool,
    ) -> None:
        self.loop, self.clock, self.where, self.directory, self.tell = loop, clock, where, directory, tell
        self.polled = polled  # the module asks for each watch, and is told when one fails
        self.wanted = self.whole = False
        self.moved = False  # until the new address has given a whole list: versions don't compare
        self.up = False  # the first call has been answered, or is out with one that says nothing
        self.failures = 0
        self.random = random.Random()
        self.line: Line | None = None
        self.called_ms = 0.0
        self.calling = False
        self.connecting: asyncio.Task[None] | None = None
        self.timer: asyncio.TimerHandle | None = None

    def watch(self) -> None:
        """Ask for changes from now on."""
        self.wanted = True
        self._next()

    def fetch(self) -> None:
        """Ask for the whole list once."""
        self.whole = True
        self._next()

    def move(self, where: Address) -> None:
        """Turn to another address at once, wherever the present call stands; the list held goes on."""
        if where == self.where:
            return
        self.where, self.moved, self.failures = where, True, 0
        connecting, self.connecting = self.connecting, None
        if connecting is not None:
            connecting.cancel()
        self.calling = False
        self._disarm()
        self._close()
        self._next()

    def _next(self) -> None:
        """Make the next call, if one is wanted and none is out."""
        if self.calling or self.connecting is not None or not (self.wanted or self.whole or self.moved):
            return
        line = self.line
        if line is None or line.transport is None or line.transport.is_closing():
            self._disarm()
            self.connecting = self.loop.create_task(self._connect())
            return
        whole = self.whole or self.moved
        wait = 0 if whole or not self.up else WAIT_MS
        target = PATH if whole else f"{PATH}?after={self.directory.generation}&wait_ms={wait}"
        self.calling, self.called_ms, self.whole = True, self.clock.now(), whole
        self._arm((wait + SILENT_MS) / 1000.0, self._silent)
        host = f"{self.where[0]}:{self.where[1]}"
        line.transport.write(f"GET {target} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode())

    async def _connect(self) -> None:
        line, task = Line(self), asyncio.current_task()
        try:
            async with asyncio.timeout(SILENT_MS / 1000.0):
                await self.loop.create_connection(lambda: line, *self.where)
        except (OSError, TimeoutError):
            line.close()
            if self.connecting is task:
                self.connecting = None
                self._failed()
            return
        except asyncio.CancelledError:
            line.close()
            raise
        if self.connecting is not task:  # the watch has moved in the very turn in which this came up
            line.close()
            return
        self.connecting, self.line = None, line
        self._next()

    def received(self, line: Line, data: bytes) -> None:
        """Take the answer, tell it, and call again at once."""
        try:
            if not self.calling:
                raise ValueError("an answer that nobody asked for")
            response = line.reader.feed(data)
            if response is None:
                # Guards against a list that stalls half-way: the whole wait would pass before it is asked
                # again.
                self._arm(min(STALL_S * 2 ** min(self.failures, 6), SILENT_MS / 1000.0), self._stalled)
                return
            if response.status != 200:
                raise ValueError(f"status {response.status}")
            kind = api.ListKind.FULL if self.whole else None
            event = self.directory.take(orjson.loads(response.body), kind)
        except (http1.MalformedError, ValueError) as fault:
            log(f"discovery: {fault}", "discovery.fault", "error")
            self._failed()
            return
        quick = self.clock.now() - self.called_ms < 1000.0 * QUIET_S
        first = not self.up
        self.calling = self.whole = self.moved = False
        self.up, self.failures = True, 0
        if not response.keep:
            self._close()
        if event.endpoints or event.kind is not api.ListKind.CHANGES or self.polled:
            self.tell(event)
        if quick and not first and not event.endpoints:
            self._arm(QUIET_S, self._next)  # guards against a busy loop on an agent that answers at once
        else:
            self._disarm()
            self._next()

    def lost(self) -> None:
        """The connection is gone; so is the call on it."""
        self.line = None
        if self.calling:
            self._failed()

    def _silent(self) -> None:
        """Nothing came in time. The call got there, so the watch is up, on the list held last.

        Guards against a proxy that stays out of service for as long as discovery has nothing to tell.
        """
        self.up = True
        self._failed()

    def _stalled(self) -> None:
        """An answer has begun and does not go on. Nothing of it is taken: half a list is none."""
        log("discovery: a list has stalled half-way", "discovery.fault", "error")
        self._failed()

    def _failed(self) -> None:
        """Call again soon, not in step with others; where the module asks for watches, it is told instead."""
        self.calling = self.whole = False
        self._close()
        if self.polled:
            self.wanted = False
            self.tell(api.EndpointsListed(api.ListKind.FAILED))
            return
        least, most = (min(RETRY_MOST_S, x * 2 ** min(self.failures, 6)) for x in RETRY_S)
        self.failures += 1
        self._arm(self.random.uniform(least, most), self._next)

    def _close(self) -> None:
        line, self.line = self.line, None
        if line is not None:
            line.close()

    def _arm(self, delay_s: float, callback: Callable[[], None]) -> None:
        self._disarm()
        self.timer = self.loop.call_later(delay_s, callback)

    def _disarm(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
