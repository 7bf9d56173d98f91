"""Between callers and driver: one request of a key runs, its repeats wait. No sockets; timers are given.

The request that holds a key's claim goes through the driver and the decision module like any other. Its
answer is given to every repeat that waits. Where it ends without one, the claim is given back only when
nothing of it is out any more, and the repeat that has waited longest claims the key next, with its own time
left; the decision module is then told of the attempt that may have run.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from mypy_extensions import mypyc_attr

from honeywharf.core.driver import Driver
from honeywharf.core.messages import Request, Response, Status
from honeywharf.core.transport import Caller, Timer
from honeywharf.orderkeys.table import Answer, Claim, Table, Verdict, digest, name_of, payload_of
from honeywharf.policy import interface as api

if TYPE_CHECKING:
    from honeywharf.config.features import OrderKeys
    from honeywharf.orderkeys.shared import Shared

JOINED_MOST = 16  # repeats that wait for one request: a client that sends more is told 409
WAITING_MOST = 4096  # requests that wait in all
AFTER_LEASE_S = 0.005  # so long after another proxy's lease has ended its key is asked for again
KEPT_WINDOWS = 4.0  # windows for which a key is known where no time is given for its class


@mypyc_attr(allow_interpreted_subclasses=True)
class Joined:
    """A key that runs, and the repeats that wait for it."""

    __slots__ = ("answer_kept", "joined", "name", "payload")

    def __init__(self, name: bytes, payload: bytes) -> None:
        self.name, self.payload = name, payload
        self.joined: list[Waiting] = []
        self.answer_kept: Answer | None = None  # where it is done, and attempts are still out


class Elsewhere(Joined):
    """A key that runs through another proxy: asked for again when the store tells, or its lease ends."""

    __slots__ = ("timer",)

    def __init__(self, name: bytes, payload: bytes) -> None:
        super().__init__(name, payload)
        self.timer: Timer | None = None


class Run(Joined):
    """The holder of a key's claim: towards the driver the request's caller, and its attempts' follower."""

    __slots__ = ("caller", "claim", "edge", "noted", "places", "request", "shared")

    def __init__(
        self,
        edge: Edge,
        name: bytes,
        payload: bytes,
        request: Request,
        caller: Caller,
        claim: Claim,
        shared: bool,
    ) -> None:
        super().__init__(name, payload)
        self.edge, self.request, self.caller, self.claim, self.shared = edge, request, caller, claim, shared
        self.places: dict[int, api.Earlier] = {}  # attempts that may have run
        self.noted: api.Earlier | None = claim.earlier  # the place that a shared store knows

    def first_place(self) -> api.Earlier | None:
        """The first attempt that may have run, of this request."""
        return self.places[min(self.places)] if self.places else None

    # What the driver tells.

    def needs_whole(self) -> bool:
        """The repeats get the answer too."""
        return True

    def sending(self, number: int, action: api.Send, now_ms: float) -> bytes | None:
        """An attempt is about to leave; one to another cell than a shared store knows waits for its note."""
        place = self.places[number] = api.Earlier(action.zone, action.cell, now_ms)
        return b"" if not self.shared or self.edge.noted(self, number, place) else None

    def ended(self, number: int, outcome: api.Outcome, response: Response | None, now_ms: float) -> None:
        """Forget an attempt that never ran; keep the first answer, for the repeats too.

        Also an answer that comes after the caller has left, or been told of a failure.
        """
        if outcome in api.NEVER_RAN:
            self.places.pop(number, None)
        elif outcome is api.Outcome.OK and response is not None:
            traced = self.request.traced
            origin = traced.mark() if traced is not None else b""
            self.edge.answered(self, Answer(response.body, response.kind, origin))

    def answered(self, how: str, reason: str, why: api.Why | None, now_ms: float) -> bytes:
        """Its own caller's answer settles no key: an attempt that is out may yet run."""
        return b""

    def settled(self, now_ms: float) -> None:
        """Nothing is out any more: what is not done is uncertain, or free."""
        self.edge.settled(self)

    def same(self, body: bytes) -> bool:
        """Whether an answer is the one that the key's first request got, as far as that is known."""
        return not self.claim.digest or self.claim.digest == digest(body)

    def answer(
        self,
        status: Status,
        body: bytes = b"",
        *,
        retry_after_ms: float = 0.0,
        kind: bytes = b"",
    ) -> None:
        """The final answer to the request itself."""
        if status == Status.SERVED and not self.same(body):
            # Guards "the same answer to every repeat" where the answer was too long to be kept.
            self.caller.answer(Status.FAILED)
            return
        self.caller.answer(status, body, retry_after_ms=retry_after_ms, kind=kind)


class Waiting:
    """A request that waits: a repeat for the answer of another, any for a shared store's word."""

    __slots__ = (
        "caller",
        "deadline_ms",
        "edge",
        "group",
        "link",
        "name",
        "payload",
        "request",
        "runs",
        "since_ms",
        "timer",
    )

    def __init__(
        self,
        edge: Edge,
        name: bytes,
        payload: bytes,
        request: Request,
        caller: Caller,
        deadline_ms: float,
    ) -> None:
        self.edge, self.name, self.payload, self.request = edge, name, payload, request
        self.caller, self.deadline_ms = caller, deadline_ms
        self.group: Joined | None = None
        self.runs = False  # whether its key is known to have run, or to run
        self.since_ms = 0.0  # it has waited since then
        self.link = b""  # for the request of that mark, if it is this proxy's
        self.timer: Timer | None = None

    def claimed(self, claim: Claim) -> None:
        """The shared store's word."""
        self.edge.claimed(self, claim)


class Edge:
    """All keyed requests of one proxy. `keep_ms`: by class, how long a key is known after it has ended.

    With `shared` the keys are those of all proxies of the site, and `table` holds those of the classes in
    `alone`, while the shared store is away.
    """

    def __init__(
        self,
        driver: Driver,
        table: Table,
        keep_ms: dict[str, float],
        shared: Shared | None = None,
        alone: frozenset[str] = frozenset(),
    ) -> None:
        self.driver, self.table, self.keep_ms, self.shared, self.alone = driver, table, keep_ms, shared, alone
        self.runs: dict[bytes, Joined] = {}
        self.waiting: dict[Request, Waiting] = {}
        for cls in driver.settings.classes:
            if cls.effect is api.Effect.KEYED and keep_ms.get(cls.name, 0.0) < cls.window_ms:
                found = keep_ms.get(cls.name, 0.0)
                raise ValueError(
                    f"order keys: class {cls.name}: kept {found:g} ms, wanted {cls.window_ms:g} ms, its"
                    " window, at least"
                )

    def arrived(self, request: Request, caller: Caller, left_ms: float) -> bool:
        """Run it, join it, or answer it from what is known."""
        name = name_of(request.account, request.class_name, request.idempotency_key)
        payload = payload_of(request.method, request.target, request.body)
        if self.shared is None:
            return self._own(name, payload, request, caller, left_ms)
        waiting = Waiting(self, name, payload, request, caller, self.driver.clock.now() + left_ms)
        self._ask(waiting, self.shared)
        return True

    # One proxy's own keys.

    def _own(
        self,
        name: bytes,
        payload: bytes,
        request: Request,
        caller: Caller,
        left_ms: float,
    ) -> bool:
        now = self.driver.clock.now()
        claim = self.table.claim(name, request.account, payload, now)
        if claim.verdict is Verdict.RUN:
            run = Run(self, name, payload, request, caller, claim, False)
            if not self.driver.take(request, run, left_ms, claim.earlier, run):
                self.table.settle(name, claim.fence, None, now)  # its id is in the table: nothing was sent
                return False
            self.runs[name] = run
        elif claim.verdict is Verdict.JOIN:
            group = self.runs.get(name)
            return group is not None and self._join(
                Waiting(self, name, payload, request, caller, now + left_ms), group
            )
        else:
            self._say(claim, request, caller)
        return True

    def _say(self, claim: Claim, request: Request, caller: Caller) -> None:
        """Answer a request that neither runs nor waits."""
        if claim.verdict is Verdict.ANSWER and claim.answer is not None:
            self.driver.count("keys:repeated")
            if request.traced is not None and claim.answer.origin:
                request.traced.linked(claim.answer.origin)
            self.driver.closed(request, "served", "another's answer")
            caller.answer(Status.SERVED, claim.answer.body, kind=claim.answer.kind)
        elif claim.verdict is Verdict.OTHER_PAYLOAD:
            self.driver.count("keys:other payload")
            self._fail(request, caller, "other payload", Status.UNPROCESSABLE)
        elif claim.verdict is Verdict.BUSY:
            self.driver.count("keys:conflict")
            self._fail(request, caller, "conflict", Status.CONFLICT)
        else:
            self.driver.count("keys:full")
            self._refuse(request, caller, "keys full")

    def _fail(
        self,
        request: Request,
        caller: Caller,
        reason: str,
        status: Status = Status.FAILED,
    ) -> None:
        """Answer a request whose key may have run, or that can't be joined."""
        self.driver.closed(request, "failed", reason)
        caller.answer(status)

    def _refuse(self, request: Request, caller: Caller, reason: str) -> None:
        """Answer a request of which nothing has run."""
        limits = self.driver.settings.limits
        self.driver.closed(request, "refused", reason)
        caller.answer(Status.REFUSED, retry_after_ms=limits.max_retry_after_ms if limits.retry_after else 0.0)

    # Keys that proxies share.

    def _ask(self, waiting: Waiting, shared: Shared) -> None:
        """Join it, or ask the store for its key."""
        group, request = self.runs.get(waiting.name), waiting.request
        if group is not None:
            if group.payload != waiting.payload:
                self._say(Claim(Verdict.OTHER_PAYLOAD), request, waiting.caller)
            elif group.answer_kept is not None:
                self._say(Claim(Verdict.ANSWER, answer=group.answer_kept), request, waiting.caller)
            elif not self._join(waiting, group):
                self._fail(request, waiting.caller, "conflict", Status.CONFLICT)
            return
        cls = self.driver.forms.classes[request.class_name]
        left = waiting.deadline_ms - self.driver.clock.now()
        keep = self.keep_ms[cls.name]
        self._park(waiting)
        if len(self.waiting) > WAITING_MOST or not shared.claim(
            waiting.name,
            request.account,
            waiting.payload,
            max(0.0, left),
            keep,
            keep + cls.deadline_ms,
            waiting,
        ):
            self.claimed(waiting, Claim(Verdict.AWAY))

    def claimed(self, waiting: Waiting, claim: Claim) -> None:
        """The shared store's word on a request."""
        shared, name, request, caller = self.shared, waiting.name, waiting.request, waiting.caller
        assert shared is not None
        here = self.waiting.get(request) is waiting
        if here:
            self._leave(waiting)
        if claim.verdict is Verdict.RUN:
            run = Run(self, name, waiting.payload, request, caller, claim, True)
            left = waiting.deadline_ms - self.driver.clock.now()
            if here and self.driver.take(request, run, left, claim.earlier, run):
                self.runs[name] = run
                return
            self._end(run, None)  # nothing was sent
            if here:
                self._fail(request, caller, "conflict", Status.CONFLICT)  # its id is in the table
        elif not here:
            return
        elif claim.verdict is Verdict.JOIN:
            group = self.runs.get(name)
            if group is None:
                group = self.runs[name] = Elsewhere(name, waiting.payload)
                group.timer = self.driver.loop.call_later(
                    claim.wait_ms / 1000.0 + AFTER_LEASE_S, self.noticed, name
                )
            if not self._join(waiting, group):
                self._fail(request, caller, "conflict", Status.CONFLICT)
        elif claim.verdict is Verdict.AWAY:
            self._away(waiting, shared)
        else:
            self._say(claim, request, caller)

    def _away(self, waiting: Waiting, shared: Shared) -> None:
        """The store can't be asked, or has lost its keys: refuse, or go on alone, as the operator chose.

        Nothing of this request has run. Where an earlier one of its key may have, a refusal would promise
        that trying again is harmless.
        """
        request, caller = waiting.request, waiting.caller
        self.driver.count("keys:store away")
        if waiting.runs or request.repeat or shared.knows_of(waiting.name):
            self._fail(request, caller, "store away")
        elif request.class_name not in self.alone:
            self._refuse(request, caller, "store away")
        elif not self._own(
            waiting.name, waiting.payload, request, caller, waiting.deadline_ms - self.driver.clock.now()
        ):
            self._fail(request, caller, "conflict", Status.CONFLICT)

    def noted(self, run: Run, number: int, place: api.Earlier) -> bool:
        """Tell the store where an attempt goes; False where it has to be sure before it leaves.

        Guards a key whose proxy dies: it may be sent again only to the cell that the store knows, so no
        attempt leaves for another one before the store knows that. Without any note it is sent nowhere.
        """
        shared, known = self.shared, run.noted
        assert shared is not None
        if known is not None and (known.zone, known.cell) == (place.zone, place.cell):
            return True
        if known is None:
            run.noted = place
            shared.note(run.name, run.claim.fence, place)
            return True

        since = self.driver.clock.now()

        def sure(held: bool) -> None:
            if held:
                run.noted = place
            if run.request.traced is not None:
                run.request.traced.waited("key note", since, self.driver.clock.now())
            self.driver.go(run.request.id, number, held)

        if not shared.note(run.name, run.claim.fence, place, sure):
            self.driver.loop.call_soon(self.driver.go, run.request.id, number, False)
        return False

    def noticed(self, name: bytes) -> None:
        """A key that runs through another proxy is settled, or its lease is over: ask again."""
        group = self.runs.get(name)
        if isinstance(group, Elsewhere):
            del self.runs[name]
            if group.timer is not None:
                group.timer.cancel()
            self._next(group)

    def _end(self, run: Run, answer: Answer | None) -> None:
        """Tell the store of a request's end."""
        assert self.shared is not None
        self.shared.end(
            run.name,
            run.claim.fence,
            run.request.account,
            run.payload,
            answer,
            run.first_place(),
            self.keep_ms[run.request.class_name],
        )

    # Those that wait.

    def _join(self, waiting: Waiting, group: Joined) -> bool:
        """Wait for the key's request."""
        if len(group.joined) >= JOINED_MOST or len(self.waiting) >= WAITING_MOST:
            self.driver.count("keys:conflict")
            return False
        waiting.group, waiting.runs = group, True
        if isinstance(group, Run) and group.request.traced is not None:
            waiting.link = group.request.traced.mark()
        group.joined.append(waiting)
        self.driver.count("keys:joined")
        self._park(waiting)
        return True

    def _park(self, waiting: Waiting) -> None:
        left_s = max(0.0, waiting.deadline_ms - self.driver.clock.now()) / 1000.0
        waiting.timer = self.driver.loop.call_later(left_s, self._overdue, waiting)
        waiting.since_ms = self.driver.clock.now()
        self.waiting[waiting.request] = waiting
        self.driver.open += 1

    def _leave(self, waiting: Waiting) -> None:
        """It waits no more."""
        group = waiting.group
        if group is not None:
            group.joined.remove(waiting)
            waiting.group = None
            if isinstance(group, Elsewhere) and not group.joined and self.runs.get(group.name) is group:
                del self.runs[group.name]
                if group.timer is not None:
                    group.timer.cancel()
        if waiting.timer is not None:
            waiting.timer.cancel()
        if self.waiting.pop(waiting.request, None) is not None:
            self.driver.open -= 1
            if waiting.request.traced is not None:
                waiting.request.traced.waited(
                    "key joined" if group is not None else "key claim",
                    waiting.since_ms,
                    self.driver.clock.now(),
                    waiting.link,
                )

    def _overdue(self, waiting: Waiting) -> None:
        """Its own time is up. The request it waits for may have run: no promise."""
        if self.waiting.get(waiting.request) is waiting:
            self._leave(waiting)
            self.driver.count("keys:overdue")
            self.driver.closed(waiting.request, "overdue", "key joined" if waiting.runs else "key claim")
            waiting.caller.answer(Status.FAILED)

    def gone(self, request: Request) -> None:
        """The client of a request that waits has left. What it waited for goes on."""
        waiting = self.waiting.get(request)
        if waiting is not None:
            self._leave(waiting)
            self.driver.count("keys:gone")
            self.driver.closed(request, "gone", "")

    def fail_all(self) -> None:
        """Answer all that wait: the process is about to be killed."""
        for waiting in list(self.waiting.values()):
            self._leave(waiting)
            self.driver.closed(waiting.request, "cut off", "")
            waiting.caller.answer(Status.FAILED)

    # The end of a key's request.

    def answered(self, run: Run, answer: Answer) -> None:
        """The effect has happened: the key is done, and every repeat has its answer."""
        if not run.same(answer.body):
            self.driver.count("keys:other answer")
            return
        if run.answer_kept is not None:
            return  # another attempt's answer was first
        run.answer_kept = answer
        if run.shared:
            self._end(run, answer)
        else:
            until = self.driver.clock.now() + self.keep_ms[run.request.class_name]
            self.table.finish(run.name, run.claim.fence, answer, run.first_place(), until)
        for waiting in list(run.joined):
            self._leave(waiting)
            self._say(Claim(Verdict.ANSWER, answer=answer), waiting.request, waiting.caller)

    def settled(self, run: Run) -> None:
        """Give the claim back; the repeat that has waited longest is next."""
        if self.runs.get(run.name) is run:
            del self.runs[run.name]
        if run.answer_kept is None:
            if run.shared:
                self._end(run, None)
            else:
                until = self.driver.clock.now() + self.keep_ms[run.request.class_name]
                self.table.settle(run.name, run.claim.fence, run.first_place(), until)
        if run.joined:
            self.driver.loop.call_soon(self._next, run)

    def _next(self, group: Joined) -> None:
        """Each that waited is taken as if it came now: the first runs, the others wait for it."""
        for waiting in list(group.joined):
            self._leave(waiting)
            if self.shared is not None:
                self._ask(waiting, self.shared)
                continue
            left = waiting.deadline_ms - self.driver.clock.now()
            if not self._own(waiting.name, waiting.payload, waiting.request, waiting.caller, left):
                self._fail(waiting.request, waiting.caller, "conflict", Status.CONFLICT)


def kept_ms(settings: api.Settings, features: OrderKeys) -> dict[str, float]:
    """By class, how long a key is known after it has ended; ValueError where a class has no keys, or longer
    ones.
    """
    keyed = {c.name: c for c in settings.classes if c.effect is api.Effect.KEYED}
    for key, names in (("keep_ms", set(features.keep_ms)), ("alone", set(features.alone))):
        strange = sorted(names - set(keyed))
        if strange:
            raise ValueError(
                f"order_keys.{key}: found class {strange[0]!r}, wanted one of {', '.join(keyed) or 'none'}"
            )
    for name, cls in keyed.items():
        kept = features.keep_ms.get(name, cls.window_ms)
        if kept < cls.window_ms:
            raise ValueError(
                f"order_keys.keep_ms.{name}: found {kept:g}, wanted {cls.window_ms:g} at least, the window in"
                " which its repeats are dropped"
            )
    return {name: features.keep_ms.get(name, KEPT_WINDOWS * c.window_ms) for name, c in keyed.items()}


def table_of(features: OrderKeys) -> Table:
    """An empty table within the bounds that the file of features sets."""
    return Table(features.entries, features.bytes, features.whole_answer_bytes)


def make(driver: Driver, features: OrderKeys) -> Edge:
    """The edge of one proxy's own keys; ValueError where its times do not fit the classes."""
    return Edge(driver, table_of(features), kept_ms(driver.settings, features))
