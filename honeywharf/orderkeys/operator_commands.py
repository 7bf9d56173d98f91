"""Operators' commands that show order keys and remove them. No sockets.

A key is identified as its client names it: by tenant, class, and the value of `Idempotency-Key`. A removed
key is not protected any more: a repeat runs, and may have its effect again. A running key is never removed.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Mapping
from typing import Any

from honeywharf.core.components import MutatingCommand, OperatorCommand, OperatorCommandError
from honeywharf.orderkeys.deduplicator import KeyDeduplicator, LocalRun
from honeywharf.orderkeys.table import Entry, State, key_name
from honeywharf.policy import interface as api

MAX_TENANTS = 20  # the overview lists the tenants with the most keys
STATE_NAMES = {b"R": State.RUNNING.value, b"D": State.DONE.value, b"U": State.UNCERTAIN.value}


class KeyCommands:
    """The commands of one proxy. The keys are its own, or those of all proxies if they are shared."""

    def __init__(self, deduplicator: KeyDeduplicator, loop: asyncio.AbstractEventLoop) -> None:
        self.deduplicator, self.loop = deduplicator, loop

    def operator_commands(self) -> dict[str, OperatorCommand]:
        """Returns the commands by name."""
        return {"keys": self.show, "keys forget": MutatingCommand(self.forget)}

    def show(self, arguments: Mapping[str, str]) -> Any:
        """Shows one key, or counts of all; returns a future if the store has to be queried."""
        name = self._key_name(arguments) if arguments else b""
        if self.deduplicator.shared is not None:
            return self._query_store("show", name, self._read_shown)
        return self._show_local(name) if name else self._overview()

    def forget(self, arguments: Mapping[str, str]) -> Any:
        """Removes a settled key."""
        name = self._key_name(arguments)
        if name in self.deduplicator.runs:
            raise OperatorCommandError("found that it runs, wanted a key whose request has ended")
        if self.deduplicator.shared is not None:
            return self._query_store("forget", name, self._read_forgotten)
        return self._read_forgotten([int(self.deduplicator.table.forget(name))])

    def _key_name(self, arguments: Mapping[str, str]) -> bytes:
        classes = [c.name for c in self.deduplicator.driver.settings.classes if c.effect is api.Effect.KEYED]
        cls = arguments.get("class") or (classes[0] if len(classes) == 1 else "")
        if cls not in classes:
            raise OperatorCommandError(f"found class {cls!r}, wanted one of {', '.join(classes)}")
        if not arguments.get("key"):
            raise OperatorCommandError("key: expected the value of Idempotency-Key, got none")
        return key_name(arguments.get("tenant", ""), cls, arguments["key"].encode("latin-1", "replace"))

    # Keys of this proxy only.

    def _show_local(self, name: bytes) -> dict[str, Any]:
        now = self.deduplicator.driver.clock.now()
        entry = self.deduplicator.table.known(name, now)
        if entry is None:
            return {"state": "not known"}
        run = self.deduplicator.runs.get(name)
        return {
            "state": entry.state.value,
            "tenant": entry.tenant,
            "bytes": entry.bytes,
            "answer_kept": entry.answer is not None or bool(entry.digest),
            "for_ms": max(0.0, entry.expires_ms - now),
            "waiting": len(run.joined) if run else 0,
            "request": run.request.id if isinstance(run, LocalRun) else "",
            **_place(entry),
        }

    def _overview(self) -> dict[str, Any]:
        table = self.deduplicator.table
        states = Counter(e.state.value for e in table.entries.values())
        tenants = Counter(e.tenant for e in table.entries.values())
        return {
            "store": "process",
            "keys": len(table.entries),
            "most": table.max_entries,
            "bytes": table.held_bytes,
            "most_bytes": table.max_bytes,
            "states": dict(states),
            "waiting": len(self.deduplicator.waiting),
            "dropped": table.dropped,
            "tenants": dict(tenants.most_common(MAX_TENANTS)),
        }

    # Keys that proxies share.

    def _query_store(self, script: str, name: bytes, read: Any) -> asyncio.Future[Any]:
        future: asyncio.Future[Any] = self.loop.create_future()

        def on_reply(reply: Any) -> None:
            if future.done():  # the operator has disconnected
                return
            if isinstance(reply, str):
                future.set_exception(OperatorCommandError(f"the shared store did not answer: {reply}"))
                return
            try:
                future.set_result(read(reply))
            except OperatorCommandError as fault:
                future.set_exception(fault)

        assert self.deduplicator.shared is not None
        if not self.deduplicator.shared.query(script, (name,), on_reply):
            raise OperatorCommandError("found the shared store away, wanted it there")
        return future

    def _read_shown(self, reply: Any) -> dict[str, Any]:
        kind = bytes(reply[0])
        if kind == b"none":
            return {"state": "not known"}
        if kind == b"key":
            _, _, state, remaining_ms, tenant, zone, cell, size, answered = reply
            place = {"zone": zone.decode(), "cell": int(cell)} if zone else {}
            return {
                "state": STATE_NAMES.get(bytes(state), "?"),
                "tenant": tenant.decode("utf-8", "replace"),
                "bytes": int(size),
                "answer_kept": bool(answered),
                "for_ms": float(remaining_ms),
                **place,
            }
        done = {t.decode("utf-8", "replace"): int(float(n)) for t, n in _pairs(reply[5])}
        tenants = Counter(done)
        tenants.update({t.decode("utf-8", "replace"): int(n) for t, n in _pairs(reply[4])})
        return {
            "store": "redis",
            "keys": int(reply[2]),
            "bytes": int(reply[3]),
            "waiting": len(self.deduplicator.waiting),
            "tenants": dict(tenants.most_common(MAX_TENANTS)),
        }

    def _read_forgotten(self, reply: Any) -> dict[str, Any]:
        if reply[0] != 1:
            raise OperatorCommandError(
                "key: expected a settled key that `keys show` shows, got an unknown or running key"
            )
        return {"forgotten": True}


def _pairs(flat: Any) -> list[tuple[Any, Any]]:
    return list(zip(flat[::2], flat[1::2], strict=False))


def _place(entry: Entry) -> dict[str, Any]:
    place = entry.earlier
    return {} if place is None else {"zone": place.zone, "cell": place.cell, "sent_ms": place.sent_ms}
