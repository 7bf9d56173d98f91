"""Every interleaving of claims, notes, sends, answers and ends of one key: the scripts' model, explored.

Proxies, each with one request of the key; two cells. A step is one of: a message arrives at the store, a
reply at a proxy, an attempt at a rack, an answer at a proxy; a proxy acts, or gives up its attempt or the
wait for its claim; a proxy is killed, and what it had written to the store arrives in part or not at all;
the lease of the running key ends under a holder that goes on, as one that was paused does. Messages
between a proxy and the store keep their order; attempts keep none, and may arrive at any time later, also
of a proxy that is dead. A rack charges a key once; windows and the time for which a key is kept do not
end. Breadth first over all states, those alike but for the proxies' order counted as one.
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
    """What the proxies and the store do; a test spoils one rule at a time."""

    claim: Callable[..., tuple[model.Entry | None, tuple[object, ...]]] = model.claim
    note: Callable[..., tuple[model.Entry | None, int]] = model.note
    end: Callable[..., tuple[model.Entry | None, int]] = model.end
    sure: bool = True  # an attempt to another cell than the noted one waits for its note
    unknown_fails: bool = True  # a key that may have run nobody knows where is sent nowhere
    first_cell_only: bool = True  # one whose place is known is sent there only
    claims: bool = True  # anything is claimed at all


class Proxy(NamedTuple):
    """One proxy and its request. `cell`: of its attempt; `out` and `back`: between it and the store."""

    phase: str = "new"
    cell: int = 0
    noted: int = 0  # the cell that its note names
    known: int = 0  # the cell of an earlier attempt, which the store told
    rejected: tuple[int, ...] = ()
    out: tuple[tuple[Any, ...], ...] = ()
    back: tuple[Any, ...] = ()
    flying: tuple[int, ...] = ()  # attempts on their way to racks
    answer: str = ""  # on its way back from the rack, or given


class World(NamedTuple):
    """One state of all."""

    proxies: tuple[Proxy, ...]
    entry: model.Entry | None = None
    now: int = 0
    charged: tuple[tuple[int, str], ...] = ()  # cells, and whose attempt was charged there
    crashes: int = 2
    expiries: int = 1


END = ("served", "failed", "refused", "dead")


def holder(i: int) -> str:
    return f"h{i}"


class Explorer:
    """All states that can be reached, and what is wrong in them."""

    def __init__(self, rules: Rules, proxies: int = 3, crashes: int = 2, expiries: int = 1) -> None:
        self.rules = rules
        self.start = World((Proxy(),) * proxies, crashes=crashes, expiries=expiries)
        self.states = self.steps = 0
        self.phases: set[str] = set()

    def run(self, most: int = 5_000_000) -> list[str] | None:
        """The steps to the first state that is wrong, with what is; None where there is none."""
        came: dict[World, tuple[World, str] | None] = {self.start: None}
        level = [self.start]
        while level:
            following = []
            for world in level:
                for step, after in self.after(world):
                    self.steps += 1
                    after = canonical(after)
                    if after in came:
                        continue
                    came[after] = (world, step)
                    if len(came) > most:
                        raise MemoryError(f"explorer: more than {most} states")
                    wrong = self.wrong(after)
                    if wrong:
                        return [wrong, *self._way(came, after)]
                    following.append(after)
                self.phases.update(p.phase for p in world.proxies)
            level = following
        self.states = len(came)
        return None

    def _way(self, came: dict[World, tuple[World, str] | None], world: World) -> list[str]:
        steps = []
        while (before := came[world]) is not None:
            world, step = before
            steps.append(step)
        return steps[::-1]

    def wrong(self, w: World) -> str:
        """What must hold in every state."""
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
            if p.phase == "refused" and (p.flying or any(by == holder(i) for _, by in w.charged)):
                return "refused, and it may run"
        return ""

    def after(self, w: World) -> Iterator[tuple[str, World]]:
        """All states that one step leads to."""
        for i, p in enumerate(w.proxies):

            def put(new: Proxy, i: int = i, **more: Any) -> World:
                return w._replace(proxies=(*w.proxies[:i], new, *w.proxies[i + 1 :]), **more)

            if p.out:
                yield self._store(w, i, p, put)
                if p.phase == "dead":
                    yield f"{i}: what it had written is lost", put(p._replace(out=()))
            for n, cell in enumerate(p.flying):
                yield from self._rack(w, i, p, n, cell, put)
            if p.phase == "dead":
                continue
            if w.crashes and p.phase not in END:
                # What is on its way stays so; nothing comes back to it.
                yield f"{i}: killed", put(p._replace(phase="dead", back=(), answer=""), crashes=w.crashes - 1)
            yield from self._proxy(w, i, p, put)
        e = w.entry
        if w.expiries and e is not None and e.state == "R":
            yield "the lease ends", w._replace(now=e.until, expiries=w.expiries - 1)

    def _store(
        self,
        w: World,
        i: int,
        p: Proxy,
        put: Callable[..., World],
    ) -> tuple[str, World]:
        """The oldest message of a proxy arrives at the store."""
        kind, *rest = p.out[0]
        reply: Any
        if kind == "claim":
            entry, reply = self.rules.claim(w.entry, w.now, "P", holder(i), LEASE, KEEP)
            reply = tuple(reply[:1]) + tuple(reply[3:4]) if len(reply) > 2 else reply  # the verdict, the cell
        elif kind == "note":
            entry, reply = self.rules.note(w.entry, holder(i), ("z", rest[0], w.now))
        else:
            how, kept, cell = rest
            entry, reply = self.rules.end(
                w.entry, w.now, holder(i), how, kept, ("z", cell, w.now) if cell else None, KEEP, "P"
            )
        back = (
            p.back
            if p.phase in END or kind == "end" or (kind == "note" and not rest[1])
            else (*p.back, reply)
        )
        return f"{i}: {kind} arrives: {reply}", put(p._replace(out=p.out[1:], back=back), entry=entry)

    def _rack(
        self,
        w: World,
        i: int,
        p: Proxy,
        n: int,
        cell: int,
        put: Callable[..., World],
    ) -> Iterator[tuple[str, World]]:
        """An attempt arrives: it runs, or is turned away while somebody waits for it."""
        left = p.flying[:n] + p.flying[n + 1 :]
        charged = w.charged
        if not any(c == cell for c, _ in charged):
            charged = (*charged, (cell, holder(i)))
        body = next(by for c, by in charged if c == cell)
        waits = p.phase == "sent" and p.cell == cell and not p.answer
        yield (
            f"{i}: runs in {cell}",
            put(p._replace(flying=left, answer=body if waits else p.answer), charged=charged),
        )
        if waits:
            yield f"{i}: turned away in {cell}", put(p._replace(flying=left, answer="no"))

    def _proxy(
        self,
        w: World,
        i: int,
        p: Proxy,
        put: Callable[..., World],
    ) -> Iterator[tuple[str, World]]:
        """A proxy acts."""
        rules = self.rules
        if p.phase == "new":
            if not rules.claims:
                for cell in CELLS:
                    yield f"{i}: sends to {cell}", put(p._replace(phase="ready", cell=cell))
                return
            yield f"{i}: claims", put(p._replace(phase="asked", out=(*p.out, ("claim",))))
        elif p.phase == "asked":
            if p.back:
                yield self._claimed(i, p, put)
            # It waits no more, gives back what it may have been given, and refuses.
            yield f"{i}: the store is late", put(self._ended(p._replace(back=()), "none", "", 0, "refused"))
            if p.out:
                yield (
                    f"{i}: the connection is cut",
                    put(self._ended(p._replace(back=(), out=()), "none", "", 0, "refused")),
                )
        elif p.phase == "claimed":
            for cell in CELLS if not p.known else (p.known,):
                yield from self._sends(i, p, cell, put)
        elif p.phase == "noting" and p.back:
            fresh = p._replace(back=p.back[1:])
            if p.back[0] == 1:
                yield f"{i}: the note is sure", put(fresh._replace(phase="ready", noted=p.cell))
            else:
                yield f"{i}: the claim is lost", put(self._ended(fresh, "none", "", 0, "refused"))
        elif p.phase == "ready":
            yield f"{i}: its attempt leaves", put(p._replace(phase="sent", flying=(*p.flying, p.cell)))
        elif p.phase == "sent":
            if p.answer == "no":
                fresh = p._replace(phase="claimed", answer="", rejected=(*p.rejected, p.cell))
                if not p.known and len(fresh.rejected) < len(CELLS):
                    for cell in CELLS:
                        if cell not in fresh.rejected:
                            yield from self._sends(i, fresh, cell, put)
                how = "failed" if p.known else "refused"
                yield f"{i}: gives up", put(self._ended(fresh, "none", "", 0, how))
            elif p.answer:
                yield f"{i}: has the answer", put(self._ended(p, "answer", p.answer, p.cell, "served"))
            else:
                yield f"{i}: its time is up", put(self._ended(p, "none", "", p.cell, "failed"))

    def _claimed(self, i: int, p: Proxy, put: Callable[..., World]) -> tuple[str, World]:
        reply, fresh = p.back[0], p._replace(back=p.back[1:])
        what = f"{i}: is told {reply}"
        if reply[0] == "run" and len(reply) == 1:
            return what, put(fresh._replace(phase="claimed"))
        if reply[0] == "run" and reply[1] != "":
            if self.rules.first_cell_only:
                fresh = fresh._replace(known=reply[1], noted=reply[1])
            return what, put(fresh._replace(phase="claimed"))
        if reply[0] == "run" and not self.rules.unknown_fails:
            return what, put(fresh._replace(phase="claimed"))
        if reply[0] == "run":
            return what, put(self._ended(fresh, "none", "", 0, "failed"))
        if reply[0] == "answer":
            return what, put(fresh._replace(phase="served", answer=reply[1]))
        return what, put(fresh._replace(phase="new"))  # it waits, and asks again at any time

    def _sends(self, i: int, p: Proxy, cell: int, put: Callable[..., World]) -> Iterator[tuple[str, World]]:
        chosen = p._replace(cell=cell)
        if p.noted == cell or not self.rules.claims:
            yield f"{i}: chooses {cell}", put(chosen._replace(phase="ready"))
        elif p.noted and self.rules.sure:
            yield (
                f"{i}: asks to note {cell}",
                put(chosen._replace(phase="noting", out=(*p.out, ("note", cell, True)))),
            )
        else:
            yield (
                f"{i}: chooses {cell} and notes it",
                put(chosen._replace(phase="ready", noted=cell, out=(*p.out, ("note", cell, False)))),
            )

    def _ended(self, p: Proxy, how: str, kept: str, cell: int, phase: str) -> Proxy:
        out = (*p.out, ("end", how, kept, cell)) if self.rules.claims else p.out
        return p._replace(phase=phase, out=out, answer=kept)


def canonical(w: World) -> World:
    """One of the states that differ by the order of the proxies only."""
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
    out = tuple((m[0], m[1], new.get(m[2], m[2]), m[3]) if m[0] == "end" else m for m in p.out)
    back = tuple(
        (r[0], new.get(r[1], r[1])) if isinstance(r, tuple) and r[0] == "answer" else r for r in p.back
    )
    return p._replace(answer=new.get(p.answer, p.answer), out=out, back=back)


def main() -> int:
    """Explore and print what was covered; status 1 with the way to a state that is wrong."""
    explorer = Explorer(Rules())
    found = explorer.run()
    print(*(found or ["nothing is wrong"]), f"{explorer.states} states, {explorer.steps} steps", sep="\n")
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
