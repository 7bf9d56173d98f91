"""The assay of one sluice: scans, judges, reads again, and sees to it that a slip is healed.

Theory of operation. The program calls `look` for each request at its source, `drawn` for its service, `rule`
for what travels with it, and `passes` at its destination; `word_changed` after each change of the word.
A slip found by whichever way makes this node doubted. It builds itself anew from the told text, whose digest
the majority settled, compares everything at once, and goes on, all within the call that found it: the client
sees a normal answer. Where that does not help, a reservoir's majority is asked for the word, again and again
with growing pauses. A peer's claim alone doubts nobody: it makes a node look at itself.

Bounds: `MOST_HELD` requests wait for news of the word, `HOLD_S` at most; a whole look at oneself, a fetch and
a log line have pauses between them, whatever comes.
"""

from __future__ import annotations

import zlib

from honeywharf.assay import digests, judge, scan, states
from honeywharf.assay.second import Told, pick
from honeywharf.strainer.routes import Table
from honeywharf.verdict import DRIFT

try:
    from _sha256 import sha256  # type: ignore[import-not-found]  # without OpenSSL, which is 2 MB
except ImportError:  # Python 3.12 and later
    from _sha2 import sha256  # type: ignore[import-not-found]

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Any

    from honeywharf.mains.calls import Reply
    from honeywharf.mains.host import Address
    from honeywharf.programs.sluice import Sluice
    from honeywharf.sluice.course import Course
    from honeywharf.sluice.inbound import Job
    from honeywharf.strainer.routes import Route

STEP_S = 0.25  # between steps of the scan
WHOLE_STEPS = 16  # steps of a round, 4 s, up to WHOLE_STEPS * MOST_PARTS routes
LEAST_PARTS, MOST_PARTS = 16, 100  # of one step: 1 ms at most, 0.4 % of a core
GAP_S = 0.9  # without a step: this process stood still, and asks before it runs what must not run twice
CONFIRM_S = 4.0  # between comparisons with a reservoir
LOOK_S = 0.25  # between looks at all of oneself that others or requests ask for
HOLD_S = 0.3  # that a request waits for news of the word
FETCH_S = 0.03  # between fetches in vain that requests ask for
MOST_HELD = 256
MOST_STUBBORN = 16
MOST_RELAPSES = 3  # slips so soon after healing, after which building anew counts as vain
ACCUSERS, ACCUSED_S = 2, 5.0  # gates that hold otherwise within so long, and are believed
TELL_S, MOST_TOLD = 0.25, 7  # between slips that reservoirs are told of, and how many are told
MOST_SLIPS = 16  # told to who asks
MOST_TEXT = 80 << 20
MOST_WORDS = 160  # characters of a slip's cause
STAND_AGAIN_S = 5.0  # after leave was refused, until it is asked for again
MOST_PLACES = 8  # places to stand aside at that are tried, in the zone and of all


def text_of(packed: bytes, digest: str) -> bytes:
    """A told text, unpacked. ValueError where it is not the one that the digest names."""
    try:
        text = zlib.decompressobj().decompress(packed, MOST_TEXT)
    except zlib.error as fault:
        raise ValueError(str(fault)) from None
    if not is_named(text, digest):
        raise ValueError(f"the text is not the one named {digest}")
    return text


def is_named(text: bytes, digest: str) -> bool:
    """Whether a text is the one that a word's digest names."""
    return bool(sha256(text).hexdigest()[:32] == digest)


def _shown(host: bytes, path: bytes) -> str:
    return (host + path).decode("latin-1")[:80]


class Assay:
    """See the module. `judging`, `reading` and `scanning` switch its three ways, for measuring each alone."""

    def __init__(self, sluice: Sluice) -> None:
        self.sluice, self.host, self.word = sluice, sluice.host, sluice.word
        self.judging = self.reading = self.scanning = True
        now = self.host.now()
        self.state = states.State(now)
        self.rules = digests.Rules()
        self.build = Table  # what reads a told text for those who decide
        self.told: Told | None = None
        self.told_digest = ""
        self.parts: Any = None
        self.parts_of: Table | None = None
        self.clean = True  # nothing found in this round
        self.turn = self.turn_list = self.sampled = self.relapses = 0
        self.ticked = self.looked = self.confirmed = now
        self.looked -= LOOK_S
        self.renewals, self.renewed = 0, now  # the last one's number, and when it began
        self.bounds: tuple[object, ...] = ()  # at the backend, as the word in force gave them
        self.unsure = False  # no reservoir has told this word since it was taken over
        self.rebuilding = self.renewing = self.asking = self.standing = False
        self.leave: Any = None  # to stand aside: an `Errand`, once it was wanted
        self.grudged = 0  # times that no majority gave leave
        self.grudged_at = now - STAND_AGAIN_S
        self.courses: list[Course] = []  # that wait for a renewal, to decide again
        self.jobs: list[Job] = []  # that wait for news of the word
        self.caught: dict[str, int] = {}
        self.refused = 0
        self.slips: list[list[object]] = []
        self.cores_turn = 0
        self.told_at = now - TELL_S  # when reservoirs were told of a slip
        self.stubborn = 1  # renewals more that count as vain after each further relapse
        self.accused: dict[str, float] = {}  # gates that hold otherwise by our own word, and when
        self.host.after(STEP_S, self._tick)

    # At the source.

    def look(self, host: bytes, path: bytes, route: Route | None) -> tuple[Route | None, float]:
        """The route for a request, read twice, and 0; or seconds after which a refused client may return."""
        told, word = self.told, self.word
        if self.scanning and word.table is not None and word.table.version != word.version:
            self.slip("scan", f"r{word.table.version} decides, stored is r{word.version}")
            route = word.find(host, path)
        strict = route is None or not route.repeatable
        if self.reading and told is not None and (strict or self._sample()) and not self._agree(
                host, path, route):
            found = "none" if route is None else route.name
            self.slip("reading", f"{_shown(host, path)} takes {found}")
            route = self.word.find(host, path)
            if not self._agree(host, path, route):
                return route, self._refuse()
        if self.standing and route is not None and not route.repeatable and self._refuses():
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

    def stale(self, course: Course, key: str) -> None:
        """A gate refused by its word: renew ours from there, then the course decides again."""
        by = course.revision
        if len(self.courses) >= MOST_HELD or key == self.sluice.settings.ip or by < self.word.revision:
            self.host.after(0.0, course.decide)
            return
        self.courses.append(course)
        if not self.renewing:
            self._begin()
            self._fetch((key, self.sluice.settings.ports[0]), lambda value: self._compared(key, by, value))

    def _fetch(self, holder: Address, done: Any) -> None:
        """Ask a holder for its word, and take it over where it is newer."""
        asked = self.host.now()

        def known(value: Any) -> None:
            if isinstance(value, dict) and value.get("version"):
                self.word.take(holder, value)
            done(value if self.host.now() - asked < GAP_S else None)  # else it is as old as our standstill

        self.sluice.caller.call(holder, "word.known", None, HOLD_S, known)

    def _compared(self, key: str, by: int, value: Any) -> None:
        """A gate's word has come: where it is not newer than ours, one of us has slipped."""
        if isinstance(value, dict) and value.get("rev", 0) > self.word.revision:
            return
        if not self.examine("judge", f"{key} decides otherwise") and isinstance(value, dict) and (
                value.get("rev") == self.word.revision == by):
            self._accuse(key)
        self._release()

    def _accuse(self, key: str) -> None:
        """A gate holds otherwise and nothing is found here: two that do so are believed, one is not."""
        now = self.host.now()
        self.accused = {gate: at for gate, at in self.accused.items() if now - at < ACCUSED_S}
        self.accused[key] = now
        if len(self.accused) >= ACCUSERS:
            self.accused.clear()
            self.relapses = MOST_RELAPSES  # it is not built wrong: building anew heals nothing
            self.slip("peers", f"{ACCUSERS} gates decide otherwise by the same word, {key} the last")

    def _release(self) -> None:
        now = self.host.now()
        if now - self.renewed < GAP_S:
            self.unsure, self.ticked = False, now
        self.renewing = False
        courses, self.courses = self.courses, []
        for course in courses:
            course.decide()
        jobs, self.jobs = self.jobs, []
        for job in jobs:
            if not job.over and self._judged(job, True):
                job.judge()

    # At the destination.

    def passes(self, job: Job) -> bool:
        """Whether a request may go on to the gate; else it was refused, or waits for news of the word."""
        return self._judged(job, False)

    def _judged(self, job: Job, asked: bool) -> bool:
        ask, now = job.ask, self.host.now()
        host, path = judge.host_of(ask.fields), ask.target.partition(b"?")[0]
        route = self.word.find(host, path)
        strict = ask.kind != 0 or (route is not None and not route.repeatable)
        if strict and self.standing and self._refuses():
            return self._refuse_job(job, self.state.again_s())
        if strict and self.judging and not asked and now - self.ticked > GAP_S:
            return self._hold(job, None)
        if strict and self.scanning and (fault := scan.others(self.sluice)):
            self.slip("scan", fault)
        if not ask.peer:
            if strict and self.judging and self.unsure and not asked:
                return self._hold(job, None)  # nobody else judges it: a reservoir must know this word
            return self._home(job, host, path)
        if not self.judging or (not strict and self._skip()):
            return True
        verdict = self._verdict(job, route)
        if verdict == judge.CONFLICT and self.examine("judge", f"{ask.peer} decides otherwise"):
            verdict = self._verdict(job, self.word.find(host, path))
        if verdict == judge.RUN:
            return True
        if verdict == judge.ASK and not asked:
            return self._hold(job, (ask.peer, self.sluice.settings.ports[0]))
        return self._refuse_job(job, 0.0 if verdict != judge.ASK else 0.05)

    def still(self, job: Job) -> bool:
        """Whether a request that has waited may go on; else it was refused, and its source decides again."""
        ask = job.ask
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

    def _verdict(self, job: Job, route: Route | None) -> int:
        ask = job.ask
        mine = b"" if route is None else self.rules.of(route)
        return judge.judge((ask.revision, ask.rule, ask.kind, ask.service), self.word.revision, route, mine)

    def _home(self, job: Job, host: bytes, path: bytes) -> bool:
        """A request of this machine's own: there is no other judge than the second reading."""
        told, ask = self.told, job.ask
        if not self.reading or told is None:
            return True
        made, kind = told.decide(host, path)
        route = self.word.find(host, path)
        if made == ask.rule and kind == ask.kind and route is not None and any(
                name == ask.service for name, _ in route.split):
            return True
        if ask.revision == self.word.revision:
            self.slip("reading", f"{_shown(host, path)} would run by another rule")
        return self._refuse_job(job, 0.0)

    def _refuse_job(self, job: Job, again_s: float) -> bool:
        self.refused += 1
        job.refuse(DRIFT, again_s)
        return False

    def _hold(self, job: Job, holder: Address | None) -> bool:
        """Ask before it runs; without room for that it is refused."""
        if len(self.jobs) >= MOST_HELD:
            return self._refuse_job(job, 0.05)
        self.jobs.append(job)
        if not self.renewing:
            self._begin()
            self._ask(holder)
        return False

    def _ask(self, holder: Address | None) -> None:
        cores = self.sluice.cores()
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
        self.bounds = scan.bounds(self.sluice)
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
            self.host.log(f"assay: the told text can't be read: {fault}")

    # Idle time.

    def _tick(self) -> None:
        now = self.host.now()
        late = now - self.ticked > GAP_S
        if not late:
            self.ticked = now  # else when a reservoir has told its word
        self.host.after(STEP_S, self._tick)
        if self.scanning and self.told is not None and self.word.table is not None:
            self._step()
        self._at_rest()
        if late or now - self.confirmed > CONFIRM_S:
            self.confirmed = now
            self._confirm()

    def _at_rest(self) -> None:
        if self.state.at == states.HEALED:
            self._event(states.CALM, "")
            if self.state.at == states.AGREED:
                self.relapses, self.stubborn = 0, 1
        elif self.state.at == states.AGREED and self.word.newest > self.word.revision:
            self._event(states.HEARD, "")

    def _step(self) -> None:
        """One step of the scan."""
        table, told = self.word.table, self.told
        assert table is not None
        assert told is not None
        if self.parts is None or self.parts_of is not table:
            self.parts, self.parts_of, self.clean = scan.routes(table, told, self.rules), table, True
        many = min(MOST_PARTS, max(LEAST_PARTS, len(told.places) // WHOLE_STEPS + 1))
        fault = scan.others(self.sluice) or scan.listed(self.sluice, self._nodes())
        try:
            while many and not fault:
                fault, many = next(self.parts), many - 1
        except StopIteration:
            self.parts = None
            if self.clean and not self.state.aside:
                self._event(states.MATCHED, "")
        except RuntimeError:
            self.parts = None
        if fault:
            self.clean, self.parts = False, None
            self.slip("scan", fault)

    def _nodes(self) -> list[str]:
        """A share of all nodes, in turn."""
        nodes = list(self.sluice.society.entries())
        many = len(nodes) // 4 + 4
        start = self.turn_list % max(1, len(nodes))
        self.turn_list = start + many
        return nodes[start:start + many]

    def _confirm(self) -> None:
        """Compare the word with a reservoir's, in turn."""
        cores = self.sluice.cores()
        if cores and self.word.ready:
            self._fetch(cores[0], self._confirmed)

    def _confirmed(self, value: Any) -> None:
        """A reservoir has told its word."""
        if not isinstance(value, dict) or value.get("rev", 0) > self.word.revision:
            return  # a newer text is on its way
        self.ticked, self.unsure = self.host.now(), False
        mine = self.word.value
        if value.get("rev") == self.word.revision and any(
                value.get(name) != mine.get(name) for name in ("version", "digest", "evac")):
            self.slip("scan", f"revision {self.word.revision} is another one at a reservoir", renew=True)

    # What follows from a slip.

    def examine(self, by: str, claim: str) -> bool:
        """Look at all of this node now, unless it just did; whether anything was found and healed."""
        now = self.host.now()
        if now - self.looked < LOOK_S or self.told is None:
            return False
        self.looked = now
        fault = self._whole()
        if fault:
            self.slip(by, f"{fault} ({claim})")
        return bool(fault)

    def _whole(self) -> str:
        """The first fault of all parts, or ""."""
        table, told = self.word.table, self.told
        if table is None or told is None:
            return "no told text" if self.word.ready else ""
        fault = scan.others(self.sluice) or scan.listed(self.sluice, list(self.sluice.society.entries()))
        return fault or next((found for found in scan.routes(table, told, self.rules) if found), "")

    def slip(self, by: str, what: str, renew: bool = False) -> None:
        """Something decides otherwise than told: doubt, build anew, compare; ask a majority if need be."""
        now = self.host.now()
        if self.state.aside or self.rebuilding:
            return  # it is being seen to
        what = what[:MOST_WORDS]
        self.relapses += self.state.at == states.HEALED
        if self.relapses >= MOST_RELAPSES:
            self.stubborn = min(MOST_STUBBORN, 2 * self.stubborn)
            self.relapses = MOST_RELAPSES + self.stubborn
        self.caught[by] = self.caught.get(by, 0) + 1
        self.slips = [*self.slips[1 - MOST_SLIPS:], [round(self.host.wall(), 3), by, what]]
        self._event(states.SLIPPED, f"{by}: {what}")
        self._tell(by, what)
        if not renew and self.relapses < MOST_RELAPSES and self.rebuild():
            self._event(states.MATCHED, "built anew from the told text")
            self.looked = now
            return
        self.stand()
        self.renew()

    def _event(self, event: int, why: str) -> None:
        before = self.state.at
        room = event == states.VAIN and self.leave is not None and bool(self.leave.holds())
        if self.state.event(self.host.now(), event, why, room):
            self.host.log(f"assay: {states.NAMES[before]} -> {states.NAMES[self.state.at]}"
                          f"{': ' + why if why else ''}")
        if not self.state.aside and self.standing:
            self._step_back()

    # Standing aside.

    def stand(self) -> None:
        """Refuse what must not run twice until healed, if there is room for one more that does.

        A majority of the reservoirs gives leave; until it has (0.3 s at most) this node refuses too.
        """
        if self.standing or self.host.now() - self.grudged_at < STAND_AGAIN_S or not self._room():
            return
        from honeywharf.stopcock.errand import Errand  # wanted by none but a node that can't heal itself

        self.standing = True
        ip, zone = self.sluice.settings.ip, self.sluice.settings.zone
        nodes, zones = self._nodes_here()
        self.leave = Errand(
            self.host, self.sluice.caller.call, self._roster, f"{ip}/{self.host.random(6).hex()}",
            [self._places(zone, states.zone_places(zones)), self._places("", states.all_places(nodes))],
            self._step_back)
        self.leave.begin(self._may_stand)

    def _places(self, scope: str, many: int) -> list[tuple[str, str, int]]:
        """Places to try, from one at random on, so that two who ask at once try different ones."""
        first = self.host.random(1)[0] % many
        return [("aside", scope, (first + at) % many) for at in range(min(many, MOST_PLACES))]

    def _roster(self) -> tuple[int, list[tuple[str, str]]]:
        value = self.word.value
        return value.get("epoch", 0), [(one[0], one[1]) for one in value.get("roster", ())]

    def _may_stand(self, granted: bool) -> None:
        if granted and self.state.aside:
            self.sluice.society.tell(q=1)
            return
        if not granted:
            self.grudged, self.grudged_at = self.grudged + 1, self.host.now()
        self._step_back()

    def _step_back(self) -> None:
        """Healed, without leave, or it has ended: refuse request by request at most."""
        self.standing = False
        self.leave.end()
        self.sluice.society.tell(q=0)

    def _refuses(self) -> bool:
        """Whether it may refuse now: a process that stood still finds that its leave has ended."""
        return bool(self.leave.asking or self.leave.holds())

    def _nodes_here(self) -> tuple[int, int]:
        """Sluices that news tell of, this one too: all, and of the own zone."""
        zones = [entry.zone for node, entry in self.sluice.society.entries().items()
                 if node != self.sluice.settings.ip and entry.say is not None and entry.say.get("s")]
        return len(zones) + 1, zones.count(self.sluice.settings.zone) + 1

    def _room(self) -> bool:
        entries = [entry for node, entry in self.sluice.society.entries().items()
                   if node != self.sluice.settings.ip and entry.say is not None and entry.say.get("s")]
        zone = [entry for entry in entries if entry.zone == self.sluice.settings.zone]
        aside, aside_all = (sum(bool(entry.say and entry.say.get("q")) for entry in some)
                            for some in (zone, entries))
        return states.room(aside, len(zone) + 1, aside_all, len(entries) + 1)

    def rebuild(self) -> bool:
        """Build all that decides anew from the told text and the news; whether all is as told then."""
        word = self.word
        try:
            text = text_of(word.packed, word.digest)
            table, self.told, self.told_digest = self.build(text), Told(text), word.digest
        except (ValueError, KeyError, TypeError, LookupError) as fault:
            self.host.log(f"assay: the told text can't be read: {fault}")
            return False
        value = word.value
        if (value["rev"], value["digest"], value["version"]) != (word.revision, word.digest, table.version):
            return False
        self.rebuilding = True
        word.table, word.version = table, table.version
        word.evacuated = {zone for zone, on in value["evac"].items() if on}
        self._relist()
        self.sluice.apply()
        self.bounds = scan.bounds(self.sluice)
        self.rebuilding, self.parts = False, None
        return not self._whole()

    def _relist(self) -> None:
        sluice = self.sluice
        entries = sluice.society.entries()
        sluice.source.doubted = {node for node in entries if node in sluice.society.watch.down}
        for node in list(sluice.source.list):
            if node != sluice.settings.ip:
                sluice.source.told(node, None, "")
        for node, entry in entries.items():
            if node != sluice.settings.ip:
                sluice.source.told(node, entry.say, entry.zone)

    def renew(self) -> None:
        """Ask a reservoir's majority for the word."""
        cores = self.sluice.cores()
        if self.asking or not cores:
            if not self.asking:
                self._again()
            return
        self.asking = True
        self.cores_turn += 1
        core = cores[self.cores_turn % len(cores)]
        self.sluice.caller.call(core, "word.read", None, 0.9, lambda value: self._read_back(core, value))

    def _again(self) -> None:
        self.asking = False
        if self.state.aside:
            self.stand()  # leave may be had by now
            self.host.after(self.state.again_s(), self.renew)

    def _read_back(self, core: Address, value: Any) -> None:
        """What a majority holds; None: out of reach, so this node goes on refusing and asking."""
        if not isinstance(value, dict) or not value.get("version"):
            self._again()
        elif value["digest"] == self.word.digest and self._sound():
            self._restore(value, self.word.packed)
        else:
            self.sluice.caller.call(core, "word.body", value["digest"], 3.0,
                                    lambda packed: self._restore(value, packed))

    def _sound(self) -> bool:
        try:
            return bool(text_of(self.word.packed, self.word.digest))
        except ValueError:
            return False

    def _restore(self, value: Any, packed: Any) -> None:
        self.asking = False
        if not self.state.aside or not isinstance(packed, bytes):
            self._again()
            return
        try:
            table = self.build(text_of(packed, value["digest"]))
        except ValueError as fault:
            self.host.log(f"assay: a majority's text can't be read: {fault}")
        else:
            self.rebuilding = True
            self.word.restore(value, table, packed)
            self.rebuilding = False
            if self.rebuild() and self.relapses < MOST_RELAPSES:
                self._event(states.MATCHED, "renewed from a majority")
                return
        self.relapses = max(0, self.relapses - 1)
        self._event(states.VAIN, self._whole() or "it slips again and again")
        self._again()

    # Telling.

    @property
    def unfit(self) -> bool:
        """Whether this node is not ready: it cannot heal."""
        return self.state.at == states.QUARANTINED and self.leave is not None and bool(self.leave.holds())

    def _tell(self, by: str, what: str) -> None:
        """Tell the reservoirs of a slip, for their histories; a flood of slips tells no more than one."""
        record = [self.sluice.settings.ip, self.host.wall(), by, what, self.word.revision]
        now = self.host.now()
        if now - self.told_at >= TELL_S:
            self.told_at = now
            for core in self.sluice.cores()[:MOST_TOLD]:
                self.sluice.caller.call(core, "drift.slip", record, 1.0, lambda answer: None)

    def view(self) -> dict[str, object]:
        """Who runs what, for an operator. Times in seconds."""
        word, state, now = self.word, self.state, self.host.now()
        live = {} if word.table is None else scan.tree(word.table, self.rules, word.evacuated)
        return {
            "node": self.sluice.settings.ip, "zone": self.sluice.settings.zone,
            "state": states.NAMES[state.at], "for": round(now - state.since, 3), "why": state.why,
            "revision": word.revision, "version": f"r{word.version}", "digest": word.digest,
            "root": digests.root(live).hex(), "branches": {name: live[name].hex() for name in live},
            "caught": dict(self.caught), "refused": self.refused, "changes": state.changes,
            "slips": self.slips, "standing": self.standing, "leave-refused": self.grudged}

    def methods(self) -> dict[str, Any]:
        """What others may call."""
        def view(args: Any, reply: Reply, peer: Address) -> None:
            reply(self.view())

        return {"drift.view": view}

    def counters(self) -> str:
        """For a log line."""
        caught = " ".join(f"{by}={many}" for by, many in sorted(self.caught.items()))
        return f"assay {states.NAMES[self.state.at]} refused={self.refused} caught {caught or 'none'}"
