"""Watches discovery: turns its lists into events and passes backends' addresses to the pool."""

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
WAIT_MS = 5000  # the wait of one watch call; bounds the time until a lost connection is detected
TIMEOUT_MS = 1000.0  # the time to connect, and to answer after the wait of the call
# A call whose answer has begun and stalls for this long is repeated. The time doubles with each failure.
STALL_TIMEOUT_S = 0.25
# The interval after an empty answer that came at once. It has to stay under 0.2 s, which ends a watch.
MIN_CALL_INTERVAL_S = 0.05
RETRY_RANGE_S = (0.02, 0.1)  # range of the random delay of the first retry; doubles with each failure
MAX_RETRY_S = 1.0
MAX_LIST_BYTES = 16 * 1024 * 1024
LIFECYCLES = {
    "up": api.EndpointState.READY,
    "draining": api.EndpointState.DRAINING,
    "removed": api.EndpointState.GONE,
}


def endpoint(row: Any) -> tuple[api.Endpoint, Address]:
    """Returns an entry's endpoint and address; ValueError if the entry is invalid."""
    if not isinstance(row, dict):
        raise ValueError("entry: expected an object, got another type")
    name, state = row.get("instanceId"), LIFECYCLES.get(str(row.get("lifecycle")))
    started, weight, cell = row.get("startedAtMs") or 0, row.get("weight", 1.0), row.get("cell") or 0
    if not isinstance(name, str) or not name or state is None:
        raise ValueError("instanceId, lifecycle: expected an id and a known state, got others")
    figures = isinstance(started, int | float) and isinstance(weight, int | float) and isinstance(cell, int)
    if not figures or not (0 <= started < 1e15 and 0 <= weight < 1e9):
        raise ValueError(f"{name}: startedAtMs, weight, cell: expected numbers in range, got others")
    gone = state is api.EndpointState.GONE
    host_port = ("", 0) if gone and not row.get("hostPort") else address(row.get("hostPort"))
    return api.Endpoint(
        name,
        str(row.get("zone", "")),
        state,
        cell,
        float(started) or None,
        float(weight),
        str(row.get("machineType", "")),
    ), host_port


ListedEndpoint = tuple[api.Endpoint, Address, str]  # the last is the scheme


class Directory:
    """The current endpoint list of this proxy, for the decision module and the pool."""

    def __init__(self, address_books: dict[str, AddressBook]) -> None:
        self.address_books = address_books  # the key is the scheme; the first one is the default
        self.default_scheme = next(iter(address_books))
        self.generation = 0
        self.rows: dict[str, ListedEndpoint] = {}  # listed endpoints; the key is the id
        # Endpoints excluded by an operator are in no address book, even if they are listed.
        self.excluded: frozenset[str] = frozenset()

    def take(self, raw: Any, kind: api.ListKind | None = None) -> api.EndpointsListed:
        """Applies an answer to the pool and returns its event; ValueError if the answer is not a list."""
        if not isinstance(raw, dict) or not isinstance(raw.get("instances"), list):
            raise ValueError("instances: expected a list, got another type")
        generation = raw.get("generation")
        if isinstance(generation, bool) or not isinstance(generation, int):
            raise ValueError("generation: expected an integer, got another type")
        full = bool(raw.get("reset")) or kind is not None
        rows = []
        for row in raw["instances"]:
            try:
                entry, host_port = endpoint(row)
                scheme = str(row.get("scheme") or self.default_scheme)
                if scheme not in self.address_books:
                    raise ValueError(
                        f"{entry.id}: scheme: expected {' or '.join(self.address_books)}, got {scheme!r}"
                    )
                rows.append((entry, host_port, scheme))
            except ValueError as error:  # an invalid entry must not hide the others
                log(f"discovery: entry left out: {error}", "discovery.entry", "warning")
        if full:
            for name in self.rows.keys() - {e.id for e, _, _ in rows}:
                self._forget(name)
        for row in rows:
            if row[0].state is api.EndpointState.GONE:
                self._forget(row[0].id)
            else:
                self.rows[row[0].id] = row
                self._publish(row)
        self.generation = generation
        kind = kind or (api.ListKind.FULL if full else api.ListKind.CHANGES)
        return api.EndpointsListed(kind, tuple(e for e, _, _ in rows), generation)

    def plain(self) -> dict[str, Any]:
        """Returns the list in discovery's format."""
        states = {state: lifecycle for lifecycle, state in LIFECYCLES.items()}
        return {
            "generation": self.generation,
            "reset": True,
            "instances": [
                {
                    "instanceId": e.id,
                    "hostPort": "{}:{}".format(*host_port),
                    "zone": e.zone,
                    "machineType": e.kind,
                    "cell": e.cell,
                    "lifecycle": states[e.state],
                    "weight": e.size,
                    "startedAtMs": e.started_ms or 0,
                    "scheme": scheme,
                }
                for e, host_port, scheme in self.rows.values()
            ],
        }

    def exclude(self, excluded: Iterable[str]) -> None:
        """Sets the endpoints excluded by an operator: nothing can be sent to them."""
        before, self.excluded = self.excluded, frozenset(excluded)
        for name in before ^ self.excluded:
            if name in self.excluded:
                for book in self.address_books.values():
                    book.forget(name)
            elif name in self.rows:
                self._publish(self.rows[name])

    def _publish(self, row: ListedEndpoint) -> None:
        entry, host_port, scheme = row
        for other, book in self.address_books.items():
            if other != scheme or entry.id in self.excluded:
                book.forget(entry.id)
        if entry.id not in self.excluded:
            ready = entry.state is api.EndpointState.READY
            self.address_books[scheme].name(entry.id, host_port, entry.started_ms, open_for_work=ready)

    def _forget(self, name: str) -> None:
        self.rows.pop(name, None)
        for book in self.address_books.values():
            book.forget(name)


class Connection(asyncio.Protocol):
    """One connection to discovery. Its events count only while it is the watch's current one.

    Guards against late bytes or the loss of an abandoned connection that affect its successor.
    """

    __slots__ = ("reader", "transport", "watch")

    def __init__(self, watch: Watch) -> None:
        self.watch = watch
        self.reader = http1.ResponseReader(MAX_LIST_BYTES)
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport."""
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Passes data to the watch if this is still its connection."""
        if self.watch.connection is self:
            self.watch.received(self, data)

    def connection_lost(self, exc: Exception | None) -> None:
        """Reports the loss to the watch if this is still its connection."""
        if self.watch.connection is self:
            self.watch.lost()

    def close(self) -> None:
        """Aborts the connection."""
        if self.transport is not None:
            self.transport.abort()


class Watch:
    """Makes one call after another on one connection, and opens a new one after a failure."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Clock,
        host_port: Address,
        directory: Directory,
        notify: Callable[[api.EndpointsListed], None],
        *,
        polled: bool,
    ) -> None:
        self.loop, self.clock, self.host_port, self.directory, self.notify = (
            loop,
            clock,
            host_port,
            directory,
            notify,
        )
        self.polled = polled  # the decision module requests each watch, and is notified of failures
        self.changes_wanted = self.full_wanted = False
        # True until the new address has sent a full list, as generations of two addresses do not compare.
        self.address_changed = False
        self.up = False  # the first call has been answered or has timed out
        self.failures = 0
        self.random = random.Random()
        self.connection: Connection | None = None
        self.call_started_ms = 0.0
        self.call_pending = False
        self.connecting: asyncio.Task[None] | None = None
        self.timer: asyncio.TimerHandle | None = None

    def watch(self) -> None:
        """Starts to watch for changes."""
        self.changes_wanted = True
        self._call_if_needed()

    def fetch(self) -> None:
        """Fetches the full list once."""
        self.full_wanted = True
        self._call_if_needed()

    def move(self, host_port: Address) -> None:
        """Moves to another address at once, during a call as well; the current list stays in use."""
        if host_port == self.host_port:
            return
        self.host_port, self.address_changed, self.failures = host_port, True, 0
        connecting, self.connecting = self.connecting, None
        if connecting is not None:
            connecting.cancel()
        self.call_pending = False
        self._disarm()
        self._close()
        self._call_if_needed()

    def _call_if_needed(self) -> None:
        """Makes the next call if one is wanted and none is pending."""
        if (
            self.call_pending
            or self.connecting is not None
            or not (self.changes_wanted or self.full_wanted or self.address_changed)
        ):
            return
        connection = self.connection
        if connection is None or connection.transport is None or connection.transport.is_closing():
            self._disarm()
            self.connecting = self.loop.create_task(self._connect())
            return
        whole = self.full_wanted or self.address_changed
        wait = 0 if whole or not self.up else WAIT_MS
        target = PATH if whole else f"{PATH}?after={self.directory.generation}&wait_ms={wait}"
        self.call_pending, self.call_started_ms, self.full_wanted = True, self.clock.now(), whole
        self._arm((wait + TIMEOUT_MS) / 1000.0, self._timed_out)
        host = f"{self.host_port[0]}:{self.host_port[1]}"
        connection.transport.write(f"GET {target} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode())

    async def _connect(self) -> None:
        connection, task = Connection(self), asyncio.current_task()
        try:
            async with asyncio.timeout(TIMEOUT_MS / 1000.0):
                await self.loop.create_connection(lambda: connection, *self.host_port)
        except (OSError, TimeoutError):
            connection.close()
            if self.connecting is task:
                self.connecting = None
                self._failed()
            return
        except asyncio.CancelledError:
            connection.close()
            raise
        if self.connecting is not task:  # the watch moved while the connection came up
            connection.close()
            return
        self.connecting, self.connection = None, connection
        self._call_if_needed()

    def received(self, connection: Connection, data: bytes) -> None:
        """Applies an answer, notifies of it, and makes the next call."""
        try:
            if not self.call_pending:
                raise ValueError("answer: expected none without a call, got data")
            response = connection.reader.feed(data)
            if response is None:
                # Guards against a list that stalls half-way, which would last until the call's time-out.
                self._arm(
                    min(STALL_TIMEOUT_S * 2 ** min(self.failures, 6), TIMEOUT_MS / 1000.0), self._stalled
                )
                return
            if response.status != 200:
                raise ValueError(f"status {response.status}")
            kind = api.ListKind.FULL if self.full_wanted else None
            event = self.directory.take(orjson.loads(response.body), kind)
        except (http1.MalformedError, ValueError) as error:
            log(f"discovery: {error}", "discovery.fault", "error")
            self._failed()
            return
        quick = self.clock.now() - self.call_started_ms < 1000.0 * MIN_CALL_INTERVAL_S
        first = not self.up
        self.call_pending = self.full_wanted = self.address_changed = False
        self.up, self.failures = True, 0
        if not response.keep:
            self._close()
        if event.endpoints or event.kind is not api.ListKind.CHANGES or self.polled:
            self.notify(event)
        if quick and not first and not event.endpoints:
            self._arm(MIN_CALL_INTERVAL_S, self._call_if_needed)  # guards against a busy loop
        else:
            self._disarm()
            self._call_if_needed()

    def lost(self) -> None:
        """Handles the loss of the connection, and with it of a pending call."""
        self.connection = None
        if self.call_pending:
            self._failed()

    def _timed_out(self) -> None:
        """Handles a time-out. The watch counts as up, with its last list.

        Guards against a proxy that stays out of service while discovery accepts calls without answering.
        """
        self.up = True
        self._failed()

    def _stalled(self) -> None:
        """Handles an answer that has begun and stalled. A partial list is not applied."""
        log("discovery: answer stalled before its end", "discovery.fault", "error")
        self._failed()

    def _failed(self) -> None:
        """Retries after a random delay; a decision module that requests watches is notified instead."""
        self.call_pending = self.full_wanted = False
        self._close()
        if self.polled:
            self.changes_wanted = False
            self.notify(api.EndpointsListed(api.ListKind.FAILED))
            return
        shortest, longest = (min(MAX_RETRY_S, x * 2 ** min(self.failures, 6)) for x in RETRY_RANGE_S)
        self.failures += 1
        self._arm(self.random.uniform(shortest, longest), self._call_if_needed)

    def _close(self) -> None:
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.close()

    def _arm(self, delay_s: float, callback: Callable[[], None]) -> None:
        self._disarm()
        self.timer = self.loop.call_later(delay_s, callback)

    def _disarm(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
