"""What operators ask of order keys, and have forgotten. Without sockets.

A key is named as its client names it: tenant, class, and the value of `Idempotency-Key`. What is forgotten is
no longer protected: a repeat of it runs, and may be charged again. A key that runs is never forgotten.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Mapping
from typing import Any

from honeywharf.core.parts import Ask, AskError, Change
from honeywharf.orderkeys.edge import Edge, Run
from honeywharf.orderkeys.table import Entry, State, name_of
from honeywharf.policy import interface as api

MAX_TENANTS = 20  # that are told, those with most keys first
WORDS = {b"R": State.RUNNING.value, b"D": State.DONE.value, b"U": State.UNCERTAIN.value}


class Views:
    """One proxy's answers. The keys are its own, or where they are shared those of all proxies."""

    def __init__(self, edge: Edge, loop: asyncio.AbstractEventLoop) -> None:
        self.edge, self.loop = edge, loop

    def asks(self) -> dict[str, Ask]:
        """By name, for the admin socket."""
        return {"keys": self.show, "keys forget": Change(self.forget)}

    def show(self, of: Mapping[str, str]) -> Any:
        """One key, or how many are known; a future where the store has to be asked."""
        name = self._name(of) if of else b""
        if self.edge.shared is not None:
            return self._asked("show", name, self._shown)
        return self._own(name) if name else self._overview()

    def forget(self, of: Mapping[str, str]) -> Any:
        """Have a settled key forgotten."""
        name = self._name(of)
        if name in self.edge.runs:
            raise AskError("found that it runs, wanted a key whose request has ended")
        if self.edge.shared is not None:
            return self._asked("forget", name, self._forgotten)
        return self._forgotten([int(self.edge.table.forget(name))])

    def _name(self, of: Mapping[str, str]) -> bytes:
        classes = [c.name for c in self.edge.driver.settings.classes if c.effect is api.Effect.KEYED]
        cls = of.get("class") or (classes[0] if len(classes) == 1 else "")
        if cls not in classes:
            raise AskError(f"found class {cls!r}, wanted one of {', '.join(classes)}")
        if not of.get("key"):
            raise AskError("found no key, wanted the value of Idempotency-Key")
        return name_of(of.get("tenant", ""), cls, of["key"].encode("latin-1", "replace"))

    # One proxy's own.

    def _own(self, name: bytes) -> dict[str, Any]:
        now = self.edge.driver.clock.now()
        entry = self.edge.table.known(name, now)
        if entry is None:
            return {"state": "not known"}
        group = self.edge.runs.get(name)
        return {
            "state": entry.state.value,
            "tenant": entry.tenant,
            "bytes": entry.bytes,
            "answer_kept": entry.answer is not None or bool(entry.digest),
            "for_ms": max(0.0, entry.expires_ms - now),
            "waiting": len(group.joined) if group else 0,
            "request": group.request.id if isinstance(group, Run) else "",
            **_place(entry),
        }

    def _overview(self) -> dict[str, Any]:
        table = self.edge.table
        states = Counter(e.state.value for e in table.entries.values())
        tenants = Counter(e.tenant for e in table.entries.values())
        return {
            "store": "process",
            "keys": len(table.entries),
            "most": table.most,
            "bytes": table.held_bytes,
            "most_bytes": table.most_bytes,
            "states": dict(states),
            "waiting": len(self.edge.waiting),
            "dropped": table.dropped,
            "tenants": dict(tenants.most_common(MAX_TENANTS)),
        }

    # Keys that proxies share.

    def _asked(self, script: str, name: bytes, read: Any) -> asyncio.Future[Any]:
        future: asyncio.Future[Any] = self.loop.create_future()

        def told(reply: Any) -> None:
            if future.done():  # the operator has gone
                return
            if isinstance(reply, str):
                future.set_exception(AskError(f"the shared store gave no answer: {reply}"))
                return
            try:
                future.set_result(read(reply))
            except AskError as fault:
                future.set_exception(fault)

        assert self.edge.shared is not None
        if not self.edge.shared.ask(script, (name,), told):
            raise AskError("found the shared store away, wanted it there")
        return future

    def _shown(self, reply: Any) -> dict[str, Any]:
        kind = bytes(reply[0])
        if kind == b"none":
            return {"state": "not known"}
        if kind == b"key":
            _, _, state, left, tenant, zone, cell, size, answered = reply
            place = {"zone": zone.decode(), "cell": int(cell)} if zone else {}
            return {
                "state": WORDS.get(bytes(state), "?"),
                "tenant": tenant.decode("utf-8", "replace"),
                "bytes": int(size),
                "answer_kept": bool(answered),
                "for_ms": float(left),
                **place,
            }
        done = {t.decode("utf-8", "replace"): int(float(n)) for t, n in _pairs(reply[5])}
        tenants = Counter(done)
        tenants.update({t.decode("utf-8", "replace"): int(n) for t, n in _pairs(reply[4])})
        return {
            "store": "redis",
            "keys": int(reply[2]),
            "bytes": int(reply[3]),
            "waiting": len(self.edge.waiting),
            "tenants": dict(tenants.most_common(MAX_TENANTS)),
        }

    def _forgotten(self, reply: Any) -> dict[str, Any]:
        if reply[0] != 1:
            raise AskError("found no such key that has ended, wanted one that `keys show` tells of")
        return {"forgotten": True}


def _pairs(flat: Any) -> list[tuple[Any, Any]]:
    return list(zip(flat[::2], flat[1::2], strict=False))


def _place(entry: Entry) -> dict[str, Any]:
    place = entry.earlier
    return {} if place is None else {"zone": place.zone, "cell": place.cell, "sent_ms": place.sent_ms}
