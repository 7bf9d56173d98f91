"""Explores every interleaving of claims, notes, sends, answers and ends of one key on a model of the scripts.

There are several proxies, each with one request of the key, and two cells. In one step a message arrives at
the store, a reply at a proxy, an attempt at a backend, or an answer at a proxy; or a proxy acts, or gives up
its attempt or its wait for the claim; or a proxy is killed, and its messages to the store arrive in part or
not at all; or the lease of the running key ends while its holder goes on, as after a pause. Messages between
a proxy and the store stay in order. Attempts do not, and may arrive at any later time, even from a dead
proxy. A backend charges a key once; retry windows and keep times do not end. The search is breadth first over
all states; states that differ only in the order of the proxies count as one.
"""

from __future__ import annotations

import sys
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any, NamedTuple

from tests.orderkeys import model

KEEP, LEASE = 1000, 10
CELLS = (1, 2)


@dataclass(frozen=True)
class Rules:
    """The rules of the proxies and the store; a test breaks one rule at a time."""

    claim: Callable[..., tuple[model.Entry | None, tuple[object, ...]]] = model.claim
    note: Callable[..., tuple[model.Entry | None, int]] = model.note
    end: Callable[..., tuple[model.Entry | None, int]] = model.end
    wait_for_note: bool = True  # an attempt to another cell than the noted one waits for its note
    unknown_place_fails: bool = True  # a key that may have run in an unknown cell is not sent
    first_cell_only: bool = True  # a key with a known place is sent to that cell only
    use_claims: bool = True  # keys are claimed at all


class Proxy(NamedTuple):
    """One proxy and its request. `cell`: of its attempt; `to_store`, `from_store`: messages in transit."""

    phase: str = "new"
    cell: int = 0
    noted: int = 0  # the noted cell
    known: int = 0  # the cell of an earlier attempt, from the store
    rejected: tuple[int, ...] = ()
    to_store: tuple[tuple[Any, ...], ...] = ()
    from_store: tuple[Any, ...] = ()
    attempts_in_flight: tuple[int, ...] = ()  # cells of attempts that have not arrived
    answer: str = ""  # in transit from the backend, or given to the client


class World(NamedTuple):
    """One state of the system."""

    proxies: tuple[Proxy, ...]
    entry: model.Entry | None = None
    now: int = 0
    charged: tuple[tuple[int, str], ...] = ()  # cells that charged the key, and for which holder
    crashes: int = 2
    expiries: int = 1


END = ("served", "failed", "refused", "dead")


def holder(i: int) -> str:
    return f"h{i}"


class Explorer:
    """Visits all reachable states and finds what is wrong in them."""

    def __init__(self, rules: Rules, proxies: int = 3, crashes: int = 2, expiries: int = 1) -> None:
        self.rules = rules
        self.start = World((Proxy(),) * proxies, crashes=crashes, expiries=expiries)
        self.states = self.steps = 0
        self.phases: set[str] = set()

    def run(self, most: int = 5_000_000) -> list[str] | None:
        """Return the steps to the first wrong state, with what is wrong; None if there is none."""
        predecessors: dict[World, tuple[World, str] | None] = {self.start: None}
        level = [self.start]
        while level:
            following = []
            for world in level:
                for step, after in self.successors(world):
                    self.steps += 1
                    after = canonical(after)
                    if after in predecessors:
                        continue
                    predecessors[after] = (world, step)
                    if len(predecessors) > most:
                        raise MemoryError(f"explorer: more than {most} states")
                    violation = self.violation(after)
                    if violation:
                        return [violation, *self._steps_to(predecessors, after)]
                    following.append(after)
                self.phases.update(p.phase for p in world.proxies)
            level = following
        self.states = len(predecessors)
        return None

    def _steps_to(self, predecessors: dict[World, tuple[World, str] | None], world: World) -> list[str]:
        steps = []
        while (before := predecessors[world]) is not None:
            world, step = before
            steps.append(step)
        return steps[::-1]

    def violation(self, w: World) -> str:
        """Return which invariant the state violates; empty if none."""
        if len(w.charged) > 1:
            return "charged twice"
        served = {p.answer for p in w.proxies if p.phase == "served"}
        if len(served) > 1 or (served and not w.charged):
            return "two answers, or one from nothing"
        if w.entry is not None and w.entry.state == "D" and not w.charged:
            return "done, and never run"
        if w.charged and w.entry is None:
            return "the key is lost"
        for i, p in enumerate(w.proxies):
            if p.phase == "refused" and (p.attempts_in_flight or any(by == holder(i) for _, by in w.charged)):
                return "refused, and it may run"
        return ""

    def successors(self, w: World) -> Iterator[tuple[str, World]]:
        """Yield all states that are one step away."""
        for i, p in enumerate(w.proxies):

            def replace_proxy(new: Proxy, i: int = i, **more: Any) -> World:
                return w._replace(proxies=(*w.proxies[:i], new, *w.proxies[i + 1 :]), **more)

            if p.to_store:
                yield self._store_step(w, i, p, replace_proxy)
                if p.phase == "dead":
                    yield f"{i}: what it had written is lost", replace_proxy(p._replace(to_store=()))
            for n, cell in enumerate(p.attempts_in_flight):
                yield from self._backend_step(w, i, p, n, cell, replace_proxy)
            if p.phase == "dead":
                continue
            if w.crashes and p.phase not in END:
                # Messages that were sent stay in transit; replies to it are lost.
                yield (
                    f"{i}: killed",
                    replace_proxy(p._replace(phase="dead", from_store=(), answer=""), crashes=w.crashes - 1),
                )
            yield from self._proxy_step(w, i, p, replace_proxy)
        e = w.entry
        if w.expiries and e is not None and e.state == "R":
            yield "the lease ends", w._replace(now=e.until, expiries=w.expiries - 1)

    def _store_step(
        self,
        w: World,
        i: int,
        p: Proxy,
        replace_proxy: Callable[..., World],
    ) -> tuple[str, World]:
        """The oldest message of a proxy arrives at the store."""
        kind, *rest = p.to_store[0]
        reply: Any
        if kind == "claim":
            entry, reply = self.rules.claim(w.entry, w.now, "P", holder(i), LEASE, KEEP)
            # the verdict and the cell
            reply = tuple(reply[:1]) + tuple(reply[3:4]) if len(reply) > 2 else reply
        elif kind == "note":
            entry, reply = self.rules.note(w.entry, holder(i), ("z", rest[0], w.now))
        else:
            how, kept, cell = rest
            entry, reply = self.rules.end(
                w.entry, w.now, holder(i), how, kept, ("z", cell, w.now) if cell else None, KEEP, "P"
            )
        from_store = (
            p.from_store
            if p.phase in END or kind == "end" or (kind == "note" and not rest[1])
            else (*p.from_store, reply)
        )
        return f"{i}: {kind} arrives: {reply}", replace_proxy(
            p._replace(to_store=p.to_store[1:], from_store=from_store), entry=entry
        )

    def _backend_step(
        self,
        w: World,
        i: int,
        p: Proxy,
        n: int,
        cell: int,
        replace_proxy: Callable[..., World],
    ) -> Iterator[tuple[str, World]]:
        """An attempt arrives: it runs, or is rejected while its proxy still waits for it."""
        left = p.attempts_in_flight[:n] + p.attempts_in_flight[n + 1 :]
        charged = w.charged
        if not any(c == cell for c, _ in charged):
            charged = (*charged, (cell, holder(i)))
        body = next(by for c, by in charged if c == cell)
        waits = p.phase == "sent" and p.cell == cell and not p.answer
        yield (
            f"{i}: runs in {cell}",
            replace_proxy(
                p._replace(attempts_in_flight=left, answer=body if waits else p.answer), charged=charged
            ),
        )
        if waits:
            yield f"{i}: rejected in {cell}", replace_proxy(p._replace(attempts_in_flight=left, answer="no"))

    def _proxy_step(
        self,
        w: World,
        i: int,
        p: Proxy,
        replace_proxy: Callable[..., World],
    ) -> Iterator[tuple[str, World]]:
        """A proxy acts."""
        rules = self.rules
        if p.phase == "new":
            if not rules.use_claims:
                for cell in CELLS:
                    yield f"{i}: sends to {cell}", replace_proxy(p._replace(phase="ready", cell=cell))
                return
            yield f"{i}: claims", replace_proxy(p._replace(phase="asked", to_store=(*p.to_store, ("claim",))))
        elif p.phase == "asked":
            if p.from_store:
                yield self._receive_claim(i, p, replace_proxy)
            # The proxy stops waiting, gives back what it may have been granted, and refuses.
            yield (
                f"{i}: the store is late",
                replace_proxy(self._end(p._replace(from_store=()), "none", "", 0, "refused")),
            )
            if p.to_store:
                yield (
                    f"{i}: the connection is cut",
                    replace_proxy(
                        self._end(p._replace(from_store=(), to_store=()), "none", "", 0, "refused")
                    ),
                )
        elif p.phase == "claimed":
            for cell in CELLS if not p.known else (p.known,):
                yield from self._choose_cell(i, p, cell, replace_proxy)
        elif p.phase == "noting" and p.from_store:
            fresh = p._replace(from_store=p.from_store[1:])
            if p.from_store[0] == 1:
                yield f"{i}: the note is sure", replace_proxy(fresh._replace(phase="ready", noted=p.cell))
            else:
                yield f"{i}: the claim is lost", replace_proxy(self._end(fresh, "none", "", 0, "refused"))
        elif p.phase == "ready":
            yield (
                f"{i}: its attempt is sent",
                replace_proxy(p._replace(phase="sent", attempts_in_flight=(*p.attempts_in_flight, p.cell))),
            )
        elif p.phase == "sent":
            if p.answer == "no":
                fresh = p._replace(phase="claimed", answer="", rejected=(*p.rejected, p.cell))
                if not p.known and len(fresh.rejected) < len(CELLS):
                    for cell in CELLS:
                        if cell not in fresh.rejected:
                            yield from self._choose_cell(i, fresh, cell, replace_proxy)
                how = "failed" if p.known else "refused"
                yield f"{i}: gives up", replace_proxy(self._end(fresh, "none", "", 0, how))
            elif p.answer:
                yield (
                    f"{i}: has the answer",
                    replace_proxy(self._end(p, "answer", p.answer, p.cell, "served")),
                )
            else:
                yield f"{i}: its deadline passes", replace_proxy(self._end(p, "none", "", p.cell, "failed"))

    def _receive_claim(self, i: int, p: Proxy, replace_proxy: Callable[..., World]) -> tuple[str, World]:
        reply, fresh = p.from_store[0], p._replace(from_store=p.from_store[1:])
        what = f"{i}: is told {reply}"
        if reply[0] == "run" and len(reply) == 1:
            return what, replace_proxy(fresh._replace(phase="claimed"))
        if reply[0] == "run" and reply[1] != "":
            if self.rules.first_cell_only:
                fresh = fresh._replace(known=reply[1], noted=reply[1])
            return what, replace_proxy(fresh._replace(phase="claimed"))
        if reply[0] == "run" and not self.rules.unknown_place_fails:
            return what, replace_proxy(fresh._replace(phase="claimed"))
        if reply[0] == "run":
            return what, replace_proxy(self._end(fresh, "none", "", 0, "failed"))
        if reply[0] == "answer":
            return what, replace_proxy(fresh._replace(phase="served", answer=reply[1]))
        return what, replace_proxy(
            fresh._replace(phase="new")
        )  # the request waits, and may claim again at any time

    def _choose_cell(
        self, i: int, p: Proxy, cell: int, replace_proxy: Callable[..., World]
    ) -> Iterator[tuple[str, World]]:
        chosen = p._replace(cell=cell)
        if p.noted == cell or not self.rules.use_claims:
            yield f"{i}: chooses {cell}", replace_proxy(chosen._replace(phase="ready"))
        elif p.noted and self.rules.wait_for_note:
            yield (
                f"{i}: asks to note {cell}",
                replace_proxy(chosen._replace(phase="noting", to_store=(*p.to_store, ("note", cell, True)))),
            )
        else:
            yield (
                f"{i}: chooses {cell} and notes it",
                replace_proxy(
                    chosen._replace(phase="ready", noted=cell, to_store=(*p.to_store, ("note", cell, False)))
                ),
            )

    def _end(self, p: Proxy, how: str, kept: str, cell: int, phase: str) -> Proxy:
        to_store = (*p.to_store, ("end", how, kept, cell)) if self.rules.use_claims else p.to_store
        return p._replace(phase=phase, to_store=to_store, answer=kept)


def canonical(w: World) -> World:
    """Return the representative of the states that differ only in the order of the proxies."""
    order = sorted(
        range(len(w.proxies)),
        key=lambda i: (
            repr(w.proxies[i]),
            w.entry is not None and w.entry.holder == holder(i),
            any(by == holder(i) for _, by in w.charged),
        ),
    )
    if order == list(range(len(order))):
        return w
    new = {holder(old): holder(i) for i, old in enumerate(order)}
    proxies = tuple(_renamed(w.proxies[i], new) for i in order)
    entry = w.entry and w.entry._replace(
        holder=new[w.entry.holder], answer=new.get(w.entry.answer, w.entry.answer)
    )
    return w._replace(proxies=proxies, entry=entry, charged=tuple((c, new[by]) for c, by in w.charged))


def _renamed(p: Proxy, new: dict[str, str]) -> Proxy:
    to_store = tuple((m[0], m[1], new.get(m[2], m[2]), m[3]) if m[0] == "end" else m for m in p.to_store)
    from_store = tuple(
        (r[0], new.get(r[1], r[1])) if isinstance(r, tuple) and r[0] == "answer" else r for r in p.from_store
    )
    return p._replace(answer=new.get(p.answer, p.answer), to_store=to_store, from_store=from_store)


def main() -> int:
    """Explore and print the number of states; status 1 with the steps to a wrong state."""
    explorer = Explorer(Rules())
    found = explorer.run()
    print(*(found or ["nothing is wrong"]), f"{explorer.states} states, {explorer.steps} steps", sep="\n")
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
