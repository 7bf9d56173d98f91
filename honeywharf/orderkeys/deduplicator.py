"""Runs one request per idempotency key and makes its repeats wait. No sockets; timers come from the driver.

The request that holds a key's claim passes through the driver and the decision module like any other. Its
answer is given to every waiting repeat. If it ends without an answer, the claim is released only when none of
its attempts is in flight. Then the repeat that has waited longest claims the key with its own remaining time,
and the decision module is notified of the attempt that may have run.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from mypy_extensions import mypyc_attr

from honeywharf.core.driver import Driver
from honeywharf.core.messages import Request, Response, Status
from honeywharf.core.transport import Caller, Timer
from honeywharf.orderkeys.table import Answer, Claim, Table, Verdict, digest, key_name, payload_digest
from honeywharf.policy import interface as api

if TYPE_CHECKING:
    from honeywharf.config.features import OrderKeys
    from honeywharf.orderkeys.shared_store import SharedStore

MAX_JOINED_PER_KEY = 16  # waiting repeats of one request; further ones get status 409
MAX_WAITING = 4096  # waiting requests of one proxy
LEASE_END_MARGIN_S = 0.005  # delay after the end of another proxy's lease until its key is claimed again
DEFAULT_KEEP_WINDOWS = 4.0  # in windows of the class, if no time is configured


@mypyc_attr(allow_interpreted_subclasses=True)
class KeyRun:
    """A key whose request is running, and the repeats that wait for it."""

    __slots__ = ("answer_kept", "joined", "name", "payload")

    def __init__(self, name: bytes, payload: bytes) -> None:
        self.name, self.payload = name, payload
        self.joined: list[WaitingRequest] = []
        self.answer_kept: Answer | None = None  # the answer, if the key is done while attempts are in flight


class RemoteRun(KeyRun):
    """A key that runs through another proxy; it is claimed again when it settles or its lease ends."""

    __slots__ = ("timer",)

    def __init__(self, name: bytes, payload: bytes) -> None:
        super().__init__(name, payload)
        self.timer: Timer | None = None


class LocalRun(KeyRun):
    """A request that holds a key's claim: it is the request's caller and the observer of its attempts."""

    __slots__ = ("caller", "claim", "deduplicator", "noted_place", "places", "request", "uses_store")

    def __init__(
        self,
        deduplicator: KeyDeduplicator,
        name: bytes,
        payload: bytes,
        request: Request,
        caller: Caller,
        claim: Claim,
        uses_store: bool,
    ) -> None:
        super().__init__(name, payload)
        self.deduplicator, self.request, self.caller, self.claim, self.uses_store = (
            deduplicator,
            request,
            caller,
            claim,
            uses_store,
        )
        self.places: dict[int, api.Earlier] = {}  # attempts that may have run, by number
        self.noted_place: api.Earlier | None = claim.earlier  # the place that a shared store has

    def first_place(self) -> api.Earlier | None:
        """Returns where the first attempt that may have run was sent, if any."""
        return self.places[min(self.places)] if self.places else None

    # Calls of the driver.

    def needs_complete_answer(self) -> bool:
        """True, because waiting repeats get the answer too."""
        return True

    def sending(self, number: int, action: api.Send, now_ms: float) -> bytes | None:
        """Records where an attempt goes. Returns None to delay it until a shared store has the note."""
        place = self.places[number] = api.Earlier(action.zone, action.cell, now_ms)
        return b"" if not self.uses_store or self.deduplicator.note_place(self, number, place) else None

    def ended(self, number: int, outcome: api.Outcome, response: Response | None, now_ms: float) -> None:
        """Drops the record of an attempt that never ran, and keeps the first answer for the repeats.

        This includes an answer that comes after the client has disconnected or was answered with a failure.
        """
        if outcome in api.NEVER_RAN:
            self.places.pop(number, None)
        elif outcome is api.Outcome.OK and response is not None:
            trace = self.request.trace
            origin = trace.mark() if trace is not None else b""
            self.deduplicator.record_answer(self, Answer(response.body, response.kind, origin))

    def answered(self, how: str, reason: str, why: api.Why | None, now_ms: float) -> bytes:
        """Does not settle the key: an attempt that is in flight may still run."""
        return b""

    def settled(self, now_ms: float) -> None:
        """Settles the key, since no attempt is in flight: without an answer it is uncertain or free."""
        self.deduplicator.release_claim(self)

    def matches_first_answer(self, body: bytes) -> bool:
        """Whether an answer equals the one the key's first request got, as far as that is known."""
        return not self.claim.digest or self.claim.digest == digest(body)

    def answer(
        self,
        status: Status,
        body: bytes = b"",
        *,
        retry_after_ms: float = 0.0,
        kind: bytes = b"",
    ) -> None:
        """Writes the final answer to the request itself."""
        if status == Status.SERVED and not self.matches_first_answer(body):
            # Every repeat must get the same answer, but the first one was too long to keep.
            self.caller.answer(Status.FAILED)
            return
        self.caller.answer(status, body, retry_after_ms=retry_after_ms, kind=kind)


class WaitingRequest:
    """A request that waits for the answer of another request, or for a shared store's reply."""

    __slots__ = (
        "caller",
        "deadline_ms",
        "deduplicator",
        "key_run",
        "link",
        "may_have_run",
        "name",
        "payload",
        "request",
        "since_ms",
        "timer",
    )

    def __init__(
        self,
        deduplicator: KeyDeduplicator,
        name: bytes,
        payload: bytes,
        request: Request,
        caller: Caller,
        deadline_ms: float,
    ) -> None:
        self.deduplicator, self.name, self.payload, self.request = deduplicator, name, payload, request
        self.caller, self.deadline_ms = caller, deadline_ms
        self.key_run: KeyRun | None = None
        self.may_have_run = False  # whether its key may have run or is running
        self.since_ms = 0.0
        self.link = b""  # trace mark of the request it waits for, if this proxy has it
        self.timer: Timer | None = None

    def claimed(self, claim: Claim) -> None:
        """Handles the shared store's reply to the claim."""
        self.deduplicator.claimed(self, claim)


class KeyDeduplicator:
    """All keyed requests of one proxy. `keep_ms`: how long a settled key is kept, by class.

    With `shared` the keys are those of all proxies of the site. `table` then holds only keys of the classes
    in `alone`, claimed while the shared store is unavailable.
    """

    def __init__(
        self,
        driver: Driver,
        table: Table,
        keep_ms: dict[str, float],
        shared: SharedStore | None = None,
        alone: frozenset[str] = frozenset(),
    ) -> None:
        self.driver, self.table, self.keep_ms, self.shared, self.alone = driver, table, keep_ms, shared, alone
        self.runs: dict[bytes, KeyRun] = {}
        self.waiting: dict[Request, WaitingRequest] = {}
        for cls in driver.settings.classes:
            if cls.effect is api.Effect.KEYED and keep_ms.get(cls.name, 0.0) < cls.window_ms:
                found = keep_ms.get(cls.name, 0.0)
                raise ValueError(
                    f"order_keys.keep_ms.{cls.name}: expected at least the window of {cls.window_ms:g} ms,"
                    f" got {found:g} ms"
                )

    def accept(self, request: Request, caller: Caller, remaining_ms: float) -> bool:
        """Runs a request, joins it to another, or answers it. Returns False if it can't be joined."""
        name = key_name(request.account, request.class_name, request.idempotency_key)
        payload = payload_digest(request.method, request.target, request.body)
        if self.shared is None:
            return self._claim_locally(name, payload, request, caller, remaining_ms)
        waiting = WaitingRequest(self, name, payload, request, caller, self.driver.clock.now() + remaining_ms)
        self._claim_in_store(waiting, self.shared)
        return True

    def knows(self, request: Request) -> bool:
        """Whether the key of a request is known here, so that its operation may have run."""
        name = key_name(request.account, request.class_name, request.idempotency_key)
        return name in self.runs or self.table.known(name, self.driver.clock.now()) is not None

    # Keys of this proxy only.

    def _claim_locally(
        self,
        name: bytes,
        payload: bytes,
        request: Request,
        caller: Caller,
        remaining_ms: float,
    ) -> bool:
        now = self.driver.clock.now()
        claim = self.table.claim(name, request.account, payload, now)
        if claim.verdict is Verdict.RUN:
            run = LocalRun(self, name, payload, request, caller, claim, False)
            if not self.driver.admit(request, run, remaining_ms, claim.earlier, run):
                # the id is already in the driver's table, so nothing was sent
                self.table.settle(name, claim.fence, None, now)
                return False
            self.runs[name] = run
        elif claim.verdict is Verdict.JOIN:
            key_run = self.runs.get(name)
            return key_run is not None and self._join(
                WaitingRequest(self, name, payload, request, caller, now + remaining_ms), key_run
            )
        else:
            self._answer_by_verdict(claim, request, caller)
        return True

    def _answer_by_verdict(self, claim: Claim, request: Request, caller: Caller) -> None:
        """Answers a request that neither runs nor waits."""
        if claim.verdict is Verdict.ANSWER and claim.answer is not None:
            self.driver.count("keys:repeated")
            if request.trace is not None and claim.answer.origin:
                request.trace.linked(claim.answer.origin)
            self.driver.close_without_decision(request, "served", "another's answer")
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
        """Fails a request whose key may have run, or that can't be joined."""
        self.driver.close_without_decision(request, "failed", reason)
        caller.answer(status)

    def _refuse(self, request: Request, caller: Caller, reason: str) -> None:
        """Refuses a request that has not run at all."""
        limits = self.driver.settings.limits
        self.driver.close_without_decision(request, "refused", reason)
        caller.answer(Status.REFUSED, retry_after_ms=limits.max_retry_after_ms if limits.retry_after else 0.0)

    # Keys that proxies share.

    def _claim_in_store(self, waiting: WaitingRequest, shared: SharedStore) -> None:
        """Joins the request to a run of its key, or claims its key in the shared store."""
        key_run, request = self.runs.get(waiting.name), waiting.request
        if key_run is not None:
            if key_run.payload != waiting.payload:
                self._answer_by_verdict(Claim(Verdict.OTHER_PAYLOAD), request, waiting.caller)
            elif key_run.answer_kept is not None:
                self._answer_by_verdict(
                    Claim(Verdict.ANSWER, answer=key_run.answer_kept), request, waiting.caller
                )
            elif not self._join(waiting, key_run):
                self._fail(request, waiting.caller, "conflict", Status.CONFLICT)
            return
        cls = self.driver.validator.classes[request.class_name]
        remaining_ms = waiting.deadline_ms - self.driver.clock.now()
        keep = self.keep_ms[cls.name]
        self._start_waiting(waiting)
        if len(self.waiting) > MAX_WAITING or not shared.claim(
            waiting.name,
            request.account,
            waiting.payload,
            max(0.0, remaining_ms),
            keep,
            keep + cls.deadline_ms,
            waiting,
        ):
            self.claimed(waiting, Claim(Verdict.STORE_UNAVAILABLE))

    def claimed(self, waiting: WaitingRequest, claim: Claim) -> None:
        """Handles the shared store's reply to a claim."""
        shared, name, request, caller = self.shared, waiting.name, waiting.request, waiting.caller
        assert shared is not None
        still_waiting = self.waiting.get(request) is waiting
        if still_waiting:
            self._stop_waiting(waiting)
        if claim.verdict is Verdict.RUN:
            run = LocalRun(self, name, waiting.payload, request, caller, claim, True)
            remaining_ms = waiting.deadline_ms - self.driver.clock.now()
            if still_waiting and self.driver.admit(request, run, remaining_ms, claim.earlier, run):
                self.runs[name] = run
                return
            self._report_end(run, None)  # nothing was sent
            if still_waiting:
                # The id is already in the driver's table.
                self._fail(request, caller, "conflict", Status.CONFLICT)
        elif not still_waiting:
            return
        elif claim.verdict is Verdict.JOIN:
            key_run = self.runs.get(name)
            if key_run is None:
                key_run = self.runs[name] = RemoteRun(name, waiting.payload)
                key_run.timer = self.driver.loop.call_later(
                    claim.wait_ms / 1000.0 + LEASE_END_MARGIN_S, self.retry_key, name
                )
            if not self._join(waiting, key_run):
                self._fail(request, caller, "conflict", Status.CONFLICT)
        elif claim.verdict is Verdict.STORE_UNAVAILABLE:
            self._store_unavailable(waiting, shared)
        else:
            self._answer_by_verdict(claim, request, caller)

    def _store_unavailable(self, waiting: WaitingRequest, shared: SharedStore) -> None:
        """Fails, refuses or locally claims a request while the store is unavailable or has lost its keys.

        This request has not run. If an earlier one with its key may have run, it fails: a refusal would
        promise that a retry is safe.
        """
        request, caller = waiting.request, waiting.caller
        self.driver.count("keys:store away")
        if waiting.may_have_run or request.repeat or shared.has_unconfirmed_run(waiting.name):
            self._fail(request, caller, "store away")
        elif request.class_name not in self.alone:
            self._refuse(request, caller, "store away")
        elif not self._claim_locally(
            waiting.name, waiting.payload, request, caller, waiting.deadline_ms - self.driver.clock.now()
        ):
            self._fail(request, caller, "conflict", Status.CONFLICT)

    def note_place(self, run: LocalRun, number: int, place: api.Earlier) -> bool:
        """Notes in the store where an attempt goes. Returns False if the attempt has to wait for the reply.

        Guards a key whose proxy dies: its request may be retried only at the noted cell, so no attempt goes
        to another cell before the store has the new note. A key without a note is not retried.
        """
        shared, noted = self.shared, run.noted_place
        assert shared is not None
        if noted is not None and (noted.zone, noted.cell) == (place.zone, place.cell):
            return True
        if noted is None:
            run.noted_place = place
            shared.note(run.name, run.claim.fence, place)
            return True

        since_ms = self.driver.clock.now()

        def confirmed(claim_valid: bool) -> None:
            if claim_valid:
                run.noted_place = place
            if run.request.trace is not None:
                run.request.trace.waited("key note", since_ms, self.driver.clock.now())
            self.driver.release_attempt(run.request.id, number, claim_valid)

        if not shared.note(run.name, run.claim.fence, place, confirmed):
            self.driver.loop.call_soon(self.driver.release_attempt, run.request.id, number, False)
        return False

    def retry_key(self, name: bytes) -> None:
        """Claims a key again that ran through another proxy and has settled, or whose lease has ended."""
        key_run = self.runs.get(name)
        if isinstance(key_run, RemoteRun):
            del self.runs[name]
            if key_run.timer is not None:
                key_run.timer.cancel()
            self._retry_waiting(key_run)

    def _report_end(self, run: LocalRun, answer: Answer | None) -> None:
        """Reports a request's end to the store."""
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

    # Waiting requests.

    def _join(self, waiting: WaitingRequest, key_run: KeyRun) -> bool:
        """Makes a request wait for its key's run. Returns False if too many requests wait."""
        if len(key_run.joined) >= MAX_JOINED_PER_KEY or len(self.waiting) >= MAX_WAITING:
            self.driver.count("keys:conflict")
            return False
        waiting.key_run, waiting.may_have_run = key_run, True
        if isinstance(key_run, LocalRun) and key_run.request.trace is not None:
            waiting.link = key_run.request.trace.mark()
        key_run.joined.append(waiting)
        self.driver.count("keys:joined")
        self._start_waiting(waiting)
        return True

    def _start_waiting(self, waiting: WaitingRequest) -> None:
        remaining_s = max(0.0, waiting.deadline_ms - self.driver.clock.now()) / 1000.0
        waiting.timer = self.driver.loop.call_later(remaining_s, self._deadline_passed, waiting)
        waiting.since_ms = self.driver.clock.now()
        self.waiting[waiting.request] = waiting
        self.driver.open_requests += 1

    def _stop_waiting(self, waiting: WaitingRequest) -> None:
        """Removes a request from those that wait."""
        key_run = waiting.key_run
        if key_run is not None:
            key_run.joined.remove(waiting)
            waiting.key_run = None
            if (
                isinstance(key_run, RemoteRun)
                and not key_run.joined
                and self.runs.get(key_run.name) is key_run
            ):
                del self.runs[key_run.name]
                if key_run.timer is not None:
                    key_run.timer.cancel()
        if waiting.timer is not None:
            waiting.timer.cancel()
        if self.waiting.pop(waiting.request, None) is not None:
            self.driver.open_requests -= 1
            if waiting.request.trace is not None:
                waiting.request.trace.waited(
                    "key joined" if key_run is not None else "key claim",
                    waiting.since_ms,
                    self.driver.clock.now(),
                    waiting.link,
                )

    def _deadline_passed(self, waiting: WaitingRequest) -> None:
        """Fails a waiting request at its deadline; the request that it waits for may have run."""
        if self.waiting.get(waiting.request) is waiting:
            self._stop_waiting(waiting)
            self.driver.count("keys:overdue")
            self.driver.close_without_decision(
                waiting.request, "overdue", "key joined" if waiting.may_have_run else "key claim"
            )
            waiting.caller.answer(Status.FAILED)

    def client_disconnected(self, request: Request) -> None:
        """Drops a waiting request whose client has disconnected; the run it waited for goes on."""
        waiting = self.waiting.get(request)
        if waiting is not None:
            self._stop_waiting(waiting)
            self.driver.count("keys:gone")
            self.driver.close_without_decision(request, "gone", "")

    def fail_all(self) -> None:
        """Fails all waiting requests because the process is about to be killed."""
        for waiting in list(self.waiting.values()):
            self._stop_waiting(waiting)
            self.driver.close_without_decision(waiting.request, "cut off", "")
            waiting.caller.answer(Status.FAILED)

    # The end of a key's request.

    def record_answer(self, run: LocalRun, answer: Answer) -> None:
        """Marks the key as done and gives the answer to all waiting repeats."""
        if not run.matches_first_answer(answer.body):
            self.driver.count("keys:other answer")
            return
        if run.answer_kept is not None:
            return  # another attempt has answered before
        run.answer_kept = answer
        if run.uses_store:
            self._report_end(run, answer)
        else:
            until_ms = self.driver.clock.now() + self.keep_ms[run.request.class_name]
            self.table.finish(run.name, run.claim.fence, answer, run.first_place(), until_ms)
        for waiting in list(run.joined):
            self._stop_waiting(waiting)
            self._answer_by_verdict(Claim(Verdict.ANSWER, answer=answer), waiting.request, waiting.caller)

    def release_claim(self, run: LocalRun) -> None:
        """Releases the claim; the repeat that has waited longest claims the key next."""
        if self.runs.get(run.name) is run:
            del self.runs[run.name]
        if run.answer_kept is None:
            if run.uses_store:
                self._report_end(run, None)
            else:
                until_ms = self.driver.clock.now() + self.keep_ms[run.request.class_name]
                self.table.settle(run.name, run.claim.fence, run.first_place(), until_ms)
        if run.joined:
            self.driver.loop.call_soon(self._retry_waiting, run)

    def _retry_waiting(self, key_run: KeyRun) -> None:
        """Handles waiting requests as if they arrived now: the first one runs, the others join it."""
        for waiting in list(key_run.joined):
            self._stop_waiting(waiting)
            if self.shared is not None:
                self._claim_in_store(waiting, self.shared)
                continue
            remaining_ms = waiting.deadline_ms - self.driver.clock.now()
            if not self._claim_locally(
                waiting.name, waiting.payload, waiting.request, waiting.caller, remaining_ms
            ):
                self._fail(waiting.request, waiting.caller, "conflict", Status.CONFLICT)


def keep_times_ms(settings: api.Settings, features: OrderKeys) -> dict[str, float]:
    """Returns how long keys are kept after they settle, by class.

    ValueError if a class has no keys, or is kept for less than its window.
    """
    keyed = {c.name: c for c in settings.classes if c.effect is api.Effect.KEYED}
    for key, names in (("keep_ms", set(features.keep_ms)), ("alone", set(features.alone))):
        unknown = sorted(names - set(keyed))
        if unknown:
            raise ValueError(
                f"order_keys.{key}: found class {unknown[0]!r}, wanted one of {', '.join(keyed) or 'none'}"
            )
    for name, cls in keyed.items():
        keep = features.keep_ms.get(name, cls.window_ms)
        if keep < cls.window_ms:
            raise ValueError(
                f"order_keys.keep_ms.{name}: found {keep:g}, wanted {cls.window_ms:g} at least, the window in"
                " which its repeats are dropped"
            )
    return {name: features.keep_ms.get(name, DEFAULT_KEEP_WINDOWS * c.window_ms) for name, c in keyed.items()}


def make_table(features: OrderKeys) -> Table:
    """Returns an empty table within the limits of the features file."""
    return Table(features.entries, features.bytes, features.whole_answer_bytes)


def make(driver: Driver, features: OrderKeys) -> KeyDeduplicator:
    """Returns a deduplicator with one proxy's own keys; ValueError if its times do not fit the classes."""
    return KeyDeduplicator(driver, make_table(features), keep_times_ms(driver.settings, features))
