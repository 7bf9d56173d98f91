"""The drift monitor of one sidecar, as requests meet it: read twice at the source, judged at the destination.

Theory of operation. The program calls `look` for each request at its source, `drawn` for its service, `rule`
for what travels with it, and `passes` at its destination; `word_changed` after each change of the word. What
follows from a slip is `watch`'s, what is compared in idle time `rounds`'. A peer's claim alone doubts nobody:
it makes a node look at itself.

Bounds: `MAX_HELD` requests wait for news of the word, `HOLD_S` at most; fetches have pauses between them.
"""

from __future__ import annotations

from honeywharf.drift import judge, scan, states
from honeywharf.drift.rounds import CONFIRM_S, GAP_S, HOLD_S, Rounds
from honeywharf.drift.second import Told, pick
from honeywharf.drift.watch import MAX_RELAPSES, text_of
from honeywharf.verdict import DRIFT

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Any

    from honeywharf.mesh_config.routes import Route
    from honeywharf.programs.sidecar import Sidecar
    from honeywharf.sidecar.inbound import InboundRequest
    from honeywharf.sidecar.outbound_request import OutboundRequest
    from honeywharf.transport.host import Address

FETCH_S = 0.03  # between fetches in vain that requests ask for
MAX_HELD = 256
ACCUSERS, ACCUSED_S = 2, 5.0  # gates that hold otherwise within so long, and are believed


def _shown(host: bytes, path: bytes) -> str:
    return (host + path).decode("latin-1")[:80]


class DriftMonitor(Rounds):
    """See the module."""

    def __init__(self, sidecar: Sidecar) -> None:
        super().__init__(sidecar)
        self.turn = self.sampled = 0
        self.renewing = False
        self.renewals, self.renewed = 0, self.host.now()  # the last one's number, and when it began
        self.courses: list[OutboundRequest] = []  # that wait for a renewal, to decide again
        self.jobs: list[InboundRequest] = []  # that wait for news of the word
        self.accused: dict[str, tuple[bytes, float]] = {}  # gates that hold a rule otherwise, which, when

    # At the source.

    def look(self, host: bytes, path: bytes, route: Route | None) -> tuple[Route | None, float]:
        """The route for a request, read twice, and 0; or seconds after which a refused client may return."""
        told, word = self.told, self.word
        if self.scanning and word.table is not None and word.table.version != word.version:
            self.slip("scan", f"r{word.table.version} decides, stored is r{word.version}")
            route = word.find(host, path)
        strict = route is None or not route.is_idempotent
        if (
            self.reading
            and told is not None
            and (strict or self._sample())
            and not self._agree(host, path, route)
        ):
            found = "none" if route is None else route.name
            self.slip("reading", f"{_shown(host, path)} takes {found}")
            route = self.word.find(host, path)
            if not self._agree(host, path, route):
                return route, self._refuse()
        if self.standing and route is not None and not route.is_idempotent and self._refuses():
            return route, self._refuse()
        return route, 0.0

    def _agree(self, host: bytes, path: bytes, route: Route | None) -> bool:
        """Whether both readings give one rule for a request."""
        made = b"" if route is None else self.rules.of(route)
        return self.told is not None and self.told.decide(host, path)[0] == made

    def _sample(self) -> bool:
        self.sampled += 1
        return not self.sampled % judge.EACH

    def _refuse(self) -> float:
        self.refused += 1
        return self.state.again_s()

    def drawn(self, route: Route, draw: float, service: str) -> str:
        """The service for a request, drawn a second time."""
        if not self.reading or (len(route.split) == 1 and service == route.split[0][0]):
            return service
        found = pick(route.split, draw)
        if service in found or not found:
            return service
        self.slip("reading", f"{route.name} drew {service}")
        return found[0]

    def rule(self, route: Route) -> bytes:
        """What travels with a request: the digest of the rule that decided."""
        return self.rules.of(route)

    def stale(self, course: OutboundRequest, key: str) -> None:
        """A gate refused by its word: renew ours from there, then the course decides again."""
        by = course.revision
        if len(self.courses) >= MAX_HELD or key == self.sidecar.settings.ip or by < self.word.revision:
            self.host.after(0.0, course.reroute)
            return
        self.courses.append(course)
        if not self.renewing:
            self._begin()
            rule = self.rules.of(course.route)
            self._fetch(
                (key, self.sidecar.settings.internal_ports[0]),
                lambda value: self._compared(key, by, rule, value),
            )

    def _compared(self, key: str, by: int, rule: bytes, value: Any) -> None:
        """A gate's word has come: where it is not newer than ours, one of us has slipped."""
        if isinstance(value, dict) and value.get("rev", 0) > self.word.revision:
            return
        if (
            not self.examine("judge", f"{key} decides otherwise")
            and isinstance(value, dict)
            and (value.get("rev") == self.word.revision == by)
        ):
            self._accuse(key, rule)
        self._release()

    def agreed(self, rule: bytes, key: str) -> None:
        """A gate has run what must not run twice by a rule: who holds it otherwise is not believed."""
        if key != self.sidecar.settings.ip:
            self.accused = {gate: (held, at) for gate, (held, at) in self.accused.items() if held != rule}

    def _accuse(self, key: str, rule: bytes) -> None:
        """A gate holds a rule otherwise and nothing is found here: two that do so are believed, one is not.

        Who stands aside accuses nobody, and what two say of a rule counts only until a third one runs by it.
        """
        now, entry = self.host.now(), self.sidecar.membership.entries().get(key)
        if entry is not None and entry.attributes is not None and entry.attributes.get("q"):
            return
        self.accused = {gate: (held, at) for gate, (held, at) in self.accused.items() if now - at < ACCUSED_S}
        self.accused[key] = rule, now
        if sum(held == rule for held, _ in self.accused.values()) >= ACCUSERS:
            self.accused.clear()
            self.relapses = MAX_RELAPSES  # it is not built wrong: building anew heals nothing
            self.slip("peers", f"{ACCUSERS} gates decide otherwise by the same word, {key} the last")

    def _release(self) -> None:
        now = self.host.now()
        if now - self.renewed < GAP_S:
            self.unsure, self.ticked = False, now
        self.renewing = False
        courses, self.courses = self.courses, []
        for course in courses:
            course.reroute()
        jobs, self.jobs = self.jobs, []
        for job in jobs:
            if not job.is_over and self._judged(job, True):
                job.admit_or_reject()

    # At the destination.

    def passes(self, job: InboundRequest) -> bool:
        """Whether a request may go on to the gate; else it was refused, or waits for news of the word."""
        return self._judged(job, False)

    def _judged(self, job: InboundRequest, asked: bool) -> bool:
        ask, now = job.forwarded, self.host.now()
        host, path = judge.host_of(ask.fields), ask.target.partition(b"?")[0]
        route = self.word.find(host, path)
        strict = ask.kind != 0 or (route is not None and not route.is_idempotent)
        if strict and self.standing and self._refuses():
            return self._refuse_job(job, self.state.again_s())
        if strict and self.judging and not asked and now - self.ticked > GAP_S:
            return self._hold(job, None)
        if strict and self.scanning and (fault := scan.others(self.sidecar)):
            self.slip("scan", fault)
        if not ask.peer:
            if strict and self.judging and self.unsure and not asked:
                return self._hold(job, None)  # nobody else judges it: a control node must know this word
            return self._home(job, host, path)
        if not self.judging or (not strict and self._skip()):
            return True
        verdict = self._verdict(job, route)
        if verdict == judge.CONFLICT and self.examine("judge", f"{ask.peer} decides otherwise"):
            verdict = self._verdict(job, self.word.find(host, path))
        if verdict == judge.RUN:
            return True
        if verdict == judge.ASK and not asked:
            return self._hold(job, (ask.peer, self.sidecar.settings.internal_ports[0]))
        return self._refuse_job(job, 0.0 if verdict != judge.ASK else 0.05)

    def still(self, job: InboundRequest) -> bool:
        """Whether a request that has waited may go on; else it was refused, and its source decides again."""
        ask = job.forwarded
        if not ask.kind or not self.judging:
            return True
        if self.host.now() - self.ticked > GAP_S:
            return self._refuse_job(job, 0.0)
        host, path = judge.host_of(ask.fields), ask.target.partition(b"?")[0]
        if not ask.peer:
            return self._home(job, host, path)
        return self._verdict(job, self.word.find(host, path)) == judge.RUN or self._refuse_job(job, 0.0)

    def _skip(self) -> bool:
        self.turn += 1
        return bool(self.turn % judge.EACH)

    def _verdict(self, job: InboundRequest, route: Route | None) -> int:
        ask = job.forwarded
        mine = b"" if route is None else self.rules.of(route)
        return judge.judge((ask.revision, ask.rule, ask.kind, ask.service), self.word.revision, route, mine)

    def _home(self, job: InboundRequest, host: bytes, path: bytes) -> bool:
        """A request of this machine's own: there is no other judge than the second reading."""
        told, ask = self.told, job.forwarded
        if not self.reading or told is None:
            return True
        made, kind = told.decide(host, path)
        route = self.word.find(host, path)
        if (
            made == ask.rule
            and kind == ask.kind
            and route is not None
            and any(name == ask.service for name, _ in route.split)
        ):
            return True
        if ask.revision == self.word.revision:
            self.slip("reading", f"{_shown(host, path)} would run by another rule")
        return self._refuse_job(job, 0.0)

    def _refuse_job(self, job: InboundRequest, again_s: float) -> bool:
        self.refused += 1
        job.reject(DRIFT, again_s)
        return False

    def _hold(self, job: InboundRequest, holder: Address | None) -> bool:
        """Ask before it runs; without room for that it is refused."""
        if len(self.jobs) >= MAX_HELD:
            return self._refuse_job(job, 0.05)
        self.jobs.append(job)
        if not self.renewing:
            self._begin()
            self._ask(holder)
        return False

    def _ask(self, holder: Address | None) -> None:
        cores = self.sidecar.control_nodes()
        if holder is not None or cores:
            self.cores_turn += 1
            self._fetch(holder or cores[self.cores_turn % len(cores)], self._asked)

    def _begin(self) -> None:
        """Something waits for a renewal: `HOLD_S` at most."""
        self.renewing, self.renewals, self.renewed = True, self.renewals + 1, self.host.now()
        number = self.renewals
        self.host.after(HOLD_S, lambda: self._too_long(number))

    def _too_long(self, number: int) -> None:
        """Nobody has told anything new in time: go on without, unless this process stood still meanwhile."""
        if not self.renewing or number != self.renewals:
            return
        if self.host.now() - self.renewed > GAP_S:
            self._begin()
            self._ask(None)
        else:
            self._release()

    def _asked(self, value: Any) -> None:
        """A holder told its word: where it is newer, its text is on the way and `word_changed` releases."""
        if not isinstance(value, dict):  # a link that died meanwhile, or nobody there
            if self.renewing:
                self.host.after(FETCH_S, lambda: self._ask(None) if self.renewing else None)
            return
        self._confirmed(value)
        if value.get("rev", 0) <= self.word.revision:
            self._release()

    # The word.

    def word_changed(self) -> None:
        """Another word is in force: read its text a second time, and compare all of it, part by part."""
        self.bounds = scan.bounds(self.sidecar)
        if not self.rebuilding:
            self._read()
            self.parts = None
            self.unsure, self.confirmed = True, self.host.now() - CONFIRM_S
            self._event(states.APPLIED, "")
        if self.renewing:
            self.host.after(0.0, self._release)

    def _read(self) -> None:
        word = self.word
        if word.digest == self.told_digest or not word.packed:
            return
        try:
            self.told, self.told_digest = Told(text_of(word.packed, word.digest)), word.digest
        except (ValueError, KeyError, TypeError, LookupError) as fault:
            self.told, self.told_digest = None, ""
            self.host.log(f"drift monitor: the told text can't be read: {fault}")
