"""One control node's part in the register: its vote, changes and reads, and the roster's upkeep, on a `Host`.

Theory of operation. Changes that arrive while a round is at work wait and go together in the next one; reads
likewise. Nothing is answered to a peer before what it promises is synced. Members call one another every
`BEAT` seconds, which tells who is silent, who knows a newer decided roster or word, and who has not accepted
what others have: such a one has a round of its own that changes nothing, and so brings itself up to date.
Who is not in the roster asks a member to be admitted. To take a silent member out, or its place, wants leave
(`duty`), so that two do not judge at once; the register is as safe without it.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from functools import partial
from random import Random
from typing import TYPE_CHECKING, Any, Protocol

from honeywharf.control import mesh_state
from honeywharf.control.mesh_state import Change, Key, Value
from honeywharf.control.register import NONE, Acceptor, Asking, Message, Round, Sends, State, Survey, ballot
from honeywharf.control.store import Store
from honeywharf.transport.host import Address, Host
from honeywharf.transport.rpc import Caller

if TYPE_CHECKING:
    from honeywharf.transport.rpc import Method, Reply

BEAT = 0.3  # s between calls that tell who is there
LATE = 0.5  # s that a beat of our own may be late before our judgement of others' silence begins anew
SILENT = 1.0  # s unheard, after which another may take a member's place
HESITANT = 0.45  # s unheard, at which a joiner is asked to come back
LOST = 2.0  # s unheard, after which a member leaves a roster that is larger than wanted
WITHIN = 0.4  # s that one message of the register may take; more with a text
UPKEEP = 1.5  # s that a change of the roster, or mending, is tried
BODY_RATE = 20e6  # bytes a second that a link is trusted to carry
FETCH = 3.0  # s that one source of a text has
MOST_WAITING = 64  # changes that wait for the next round
MOST_READERS = 256
MOST_HEARD = 256  # members whose last word is remembered
MOST_FETCHES = 8  # texts being fetched

Settled = Callable[[str, Any], None]  # "ok" | "unreachable" | "contended", and the change's answer
Told = Callable[[Value | None], None]
Body = Callable[[bytes | None], None]


def text(address: Address) -> str:
    """An address as rosters hold it."""
    return f"{address[0]}:{address[1]}"


def address(told: str) -> Address:
    """From `text`; ValueError where it is none."""
    ip, _, port = told.rpartition(":")
    return ip, int(port)


class Duty(Protocol):
    """Leave to take members out of the roster, which one has at a time. None is needed for what is safe."""

    def begin(self, go: Callable[[bool], None]) -> None:
        """Ask for leave; `go` is told once, now or later. False at once while it is asked for or held."""

    def holds(self) -> bool:
        """Whether there is leave now."""

    def end(self) -> None:
        """Give it back."""


class Anybody:
    """The duty of who is alone: always granted."""

    def begin(self, go: Callable[[bool], None]) -> None:
        """Granted."""
        go(True)

    def holds(self) -> bool:
        """Always."""
        return True

    def end(self) -> None:
        """Nothing to give back."""


class Waiting:
    """Somebody who waits for a round or a survey: told once, with its result or at the deadline."""

    __slots__ = ("change", "deadline", "digest", "settled", "timer")

    def __init__(
        self, host: Host, within: float, settled: Settled, change: Change = mesh_state.same, digest: str = ""
    ) -> None:
        self.deadline, self.change, self.digest = host.now() + within, change, digest
        self.settled: Settled | None = settled
        self.timer = host.after(max(0.0, within), partial(self.end, "unreachable", None))

    def end(self, result: str, answer: Any) -> None:
        """Tell; later calls do nothing."""
        settled, self.settled = self.settled, None
        self.timer.cancel()
        if settled is not None:
            settled(result, answer)


class Replica:
    """See the module. `start` it; `methods` go to an `Answerer`; `on_word` is told each newer word."""

    def __init__(
        self,
        host: Host,
        store: Store,
        caller: Caller,
        here: Address,
        zone: str,
        seeds: Sequence[Address],
        first: bool,
        on_word: Callable[[Value], None] = lambda value: None,
        cores: Callable[[], list[Address]] = list,
    ) -> None:
        self.host, self.store, self.caller = host, store, caller
        self.here, self.zone, self.first = text(here), zone, first
        self.seeds = [text(seed) for seed in seeds]
        self.on_word, self.cores = on_word, cores
        self.rng = Random(host.random(16))
        self.incarnation = int.from_bytes(host.random(6), "big")
        self.acceptor = Acceptor(State(""), store.has)
        self.known: Value | None = None  # the newest that is settled, as far as this one knows
        self.bodies: dict[str, bytes] = {}  # texts of changes at work here, compressed
        self.fetches: dict[str, list[Body]] = {}
        self.waiting: list[Waiting] = []
        self.readers: list[Waiting] = []
        self.round: Round | None = None
        self.survey: Survey | None = None
        self.counter = 0
        self.heard: dict[Key, float] = {}
        self.well_since = self.beat_at = host.now()
        self.roster_at = 0.0  # when the decided roster was taken over
        self.ahead = NONE  # the highest ballot that another says it has accepted
        self.behind = 0  # beats in a row at which that was above our own
        self.on_beat: Callable[[Key, tuple[Any, ...]], None] = lambda key, accepted: None
        self.on_return: Callable[[Key], None] = lambda key: None  # a silent member is heard again
        self.duty: Duty = Anybody()
        self.announced = -1  # revision that `on_word` was told
        self.methods: dict[str, Method] = {
            "register.ask": self._asked,
            "register.learn": self._learn,
            "register.roster": self._roster,
            "register.admit": self._admit,
            "ping": self._ping,
            "word.read": self._read_for,
            "word.known": lambda args, reply, peer: reply(self.known),
            "word.body": self._body_for,
        }

    # The beginning.

    def start(self) -> None:
        """Take up what the disk holds; OSError where it fails: to be called again later."""
        state = self.store.load()
        if state is None:
            state = self._new_state()
            self.store.save(state)
        self.acceptor.state = state
        self.counter = state.promised[0]
        self.host.after(0.0, self._beat)
        self.read(UPKEEP, lambda value: None)

    def _new_state(self) -> State:
        """An empty disk's: the first of a seed at the first start, else a new name with no vote."""
        seed = self.first and self.here in self.seeds and self.store.empty()
        disk = "first" if seed else self.host.random(8).hex()
        return State(disk, 1, mesh_state.seeded(self.seeds)) if self.first and self.seeds else State(disk)

    @property
    def state(self) -> State:
        """What the disk holds."""
        return self.acceptor.state

    @property
    def key(self) -> Key:
        """This machine with its disk."""
        return self.here, self.state.disk

    def member(self) -> bool:
        """Whether this one is in the decided roster."""
        return self.key in mesh_state.keys(self.state.roster)

    def _keep(self, state: State) -> None:
        """Persist a state, then hold it; OSError leaves the old one."""
        if state is self.state:
            return
        self.store.save(state)
        if state.epoch != self.state.epoch:
            self.roster_at = self.host.now()
            self.host.log(f"replica: roster {state.epoch}: {' '.join(one[0] for one in state.roster)}")
        self.acceptor.state = state

    def _decided(self, epoch: int, roster: mesh_state.Roster) -> None:
        """Take over a decided roster."""
        if epoch > self.state.epoch:
            try:
                self._keep(self.state.but(epoch=epoch, roster=roster))
            except OSError as fault:
                self.host.log(f"replica: a roster could not be kept: {fault}")

    def disown(self) -> None:
        """This disk gave back an older register: as after a lost disk, it has no vote until admitted anew.

        OSError where the disk fails: the old name is silent all the same, until a restart at the latest; the
        new one is kept with the first promise that it makes.
        """
        self.acceptor.state = State(self.host.random(8).hex(), self.state.epoch, self.state.roster)
        self.store.save(self.state)

    # The vote.

    def _asked(self, args: Any, reply: Reply, peer: Address) -> None:
        message, body = args
        answer = self.vote(message, body)
        if answer is not None:
            reply(answer)

    def vote(self, message: Message, body: bytes | None) -> Message | None:
        """This one's answer, after it is on disk; None where the disk fails."""
        try:
            if body is not None and message["disk"] == self.state.disk:
                self.store.keep(message["value"]["digest"], body)
            state, answer = self.acceptor.answer(message)
            self._keep(state)
        except OSError as fault:
            self.host.log(f"replica: the disk fails: {fault}")
            return None
        return answer

    # Changes.

    def submit(
        self, change: Change, within: float, settled: Settled, text: tuple[str, bytes] = ("", b"")
    ) -> None:
        """Make a change; `settled` is called once, later, in time. `text`: digest and compressed bytes."""
        if len(self.waiting) >= MOST_WAITING or not self.state.epoch:
            self.host.after(0.0, partial(settled, "unreachable", None))
            return
        digest, body = text
        if digest:
            self.bodies[digest] = body
        self.waiting.append(Waiting(self.host, within, settled, change, digest))
        if self.round is None:
            self.host.after(0.0, self._next_round)

    def _next_round(self) -> None:
        """Put everything that waits into one round."""
        if self.round is not None or not self.waiting:
            return
        batch, self.waiting = self.waiting, []
        self.round = Round(
            (self.here, self.incarnation),
            (self.state.epoch, self.state.roster),
            mesh_state.together([one.change for one in batch]),
            max(one.deadline for one in batch),
            self.rng,
            max(self.counter, self.state.promised[0]),
        )
        self._drive(self.round, self.round.start(), partial(self._round_over, self.round, batch))

    def _round_over(self, made: Round, batch: list[Waiting]) -> None:
        self.round, self.counter = None, max(self.counter, made.counter)
        self._decided(made.epoch, made.roster)
        if made.result == "ok" and made.value is not None:
            self._in_force(made.value, made.quorums.members())
        for digest in {one.digest for one in batch} - {one.digest for one in self.waiting}:
            self.bodies.pop(digest, None)
        for number, one in enumerate(batch):
            one.end(made.result or "", made.answer[number] if made.result == "ok" else None)
        self._next_round()

    def _in_force(self, value: Value, members: list[Key]) -> None:
        """A value was settled here: know it, and tell the members."""
        news = self.known is None or value["rev"] > self.known["rev"]
        body = self.bodies.get(value["digest"])
        if body is not None:
            self._keep_body(value["digest"], body)
        self._know(value)
        if news:
            for key in members:
                if key[0] != self.here:
                    self.caller.call(address(key[0]), "register.learn", value, WITHIN, lambda answer: None)

    def _drive(self, asking: Asking, sends: Sends, over: Callable[[], None]) -> None:
        """Carry a round's or a survey's messages until it has a result."""
        if asking.result is not None:
            over()
            return
        mine = [send for send in sends if send[0][0] == self.here]
        for key, message in sends:
            if key[0] != self.here:
                self._send(asking, key, message, over)
        for key, message in mine:  # last: the others' disks work at the same time as ours
            self.host.after(0.0, partial(self._send_home, asking, key, message, over))
        asking.timer = self._timer(asking, over)

    def _timer(self, asking: Asking, over: Callable[[], None]) -> Any:
        if asking.timer is not None:
            asking.timer.cancel()
        return self.host.after(max(0.001, asking.due - self.host.now()), partial(self._tick, asking, over))

    def _tick(self, asking: Asking, over: Callable[[], None]) -> None:
        self._go_on(asking, lambda: asking.tick(self.host.now()), over)

    def _go_on(self, asking: Asking, step: Callable[[], Sends], over: Callable[[], None]) -> None:
        """Take one step of something that is still at work."""
        if asking.result is None:
            self._drive(asking, step(), over)
            if asking.result is not None and asking.timer is not None:
                asking.timer.cancel()

    def _send_home(self, asking: Asking, key: Key, message: Message, over: Callable[[], None]) -> None:
        """Ask our own acceptor."""
        if asking.result is not None:
            return
        if not message.pop("carry", False):
            self._replied(asking, key, over, self.vote(message, None))
            return
        self.body(
            message["value"]["digest"],
            lambda body: self._replied(asking, key, over, None if body is None else self.vote(message, body)),
        )

    def _send(self, asking: Asking, key: Key, message: Message, over: Callable[[], None]) -> None:
        """Ask a peer's acceptor; with the text of the configuration where it is wanted."""
        if not message.pop("carry", False):
            self._call(asking, key, message, None, over)
            return
        self.body(
            message["value"]["digest"],
            lambda body: (
                self._replied(asking, key, over, None)
                if body is None
                else self._call(asking, key, message, body, over)
            ),
        )

    def _call(
        self, asking: Asking, key: Key, message: Message, body: bytes | None, over: Callable[[], None]
    ) -> None:
        within = WITHIN + len(body or b"") / BODY_RATE
        self.caller.call(
            address(key[0]),
            "register.ask",
            [message, body],
            within,
            partial(self._replied, asking, key, over),
        )

    def _replied(self, asking: Asking, key: Key, over: Callable[[], None], reply: Any) -> None:
        """A member's answer, or none."""
        now = self.host.now()
        if reply is None:
            self._go_on(asking, lambda: self._lost(asking, now, key), over)
            return
        self._hear(key if reply["is"] != "other disk" else None)
        self._go_on(asking, lambda: asking.heard(now, key, reply), over)

    @staticmethod
    def _lost(asking: Asking, now: float, key: Key) -> Sends:
        asking.lost(now, key)
        return []

    # Reads.

    def read(self, within: float, told: Told) -> None:
        """What a majority holds in force; None where there is no majority in time. Told once, later."""
        if len(self.readers) >= MOST_READERS or not self.state.epoch:
            self.host.after(0.0, partial(told, None))
            return
        self.readers.append(Waiting(self.host, within, lambda result, value: told(value)))
        if self.survey is None:
            self.host.after(0.0, self._next_survey)

    def _next_survey(self) -> None:
        """One survey for all that wait: it begins after each of them has asked."""
        if self.survey is not None or not self.readers:
            return
        batch, self.readers = self.readers, []
        self.survey = Survey(
            (self.state.epoch, self.state.roster), max(one.deadline for one in batch), self.rng
        )
        self._drive(self.survey, self.survey.start(), partial(self._survey_over, self.survey, batch))

    def _survey_over(self, made: Survey, batch: list[Waiting]) -> None:
        self.survey = None
        self._decided(made.epoch, made.roster)
        if made.result == "ok" and made.value is not None:
            self._know(made.value)
        if made.result == "unsure":
            within = made.deadline - self.host.now()
            self.submit(mesh_state.same, within, partial(self._read_back, batch))
        else:
            for one in batch:
                one.end(made.result or "", made.value)
        self._next_survey()

    def _read_back(self, batch: list[Waiting], result: str, answer: Any) -> None:
        """Reads that wrote back what they found; `known` is at least as new as that."""
        for one in batch:
            one.end(result, self.known if result == "ok" else None)

    # The word.

    def _know(self, value: Value) -> None:
        """A value is in force: hold it, with its text, and tell."""
        if self.known is not None and value["rev"] <= self.known["rev"]:
            return
        self.known = value
        self._announce()

    def _announce(self) -> None:
        """Tell the word that is known, once its text is here."""
        value = self.known
        if value is None or value["rev"] <= self.announced:
            return
        digest = value["digest"]
        if digest and not self.store.has(digest):
            if digest not in self.fetches:
                self.body(digest, lambda body: self._announce() if self.store.has(digest) else None)
            return
        self.announced = value["rev"]
        self._sweep()
        self.on_word(value)

    def _sweep(self) -> None:
        held = {self.known["digest"]} if self.known else set()
        if self.state.value is not None:
            held.add(self.state.value["digest"])
        try:
            self.store.sweep(held | set(self.bodies))
        except OSError as fault:
            self.host.log(f"replica: old configurations stay: {fault}")

    def body(self, digest: str, done: Body) -> None:
        """A configuration's text, compressed: from here, else from whoever has it. None where nobody has."""
        here = self.bodies.get(digest) or self._stored(digest)
        if here is not None or (digest not in self.fetches and len(self.fetches) >= MOST_FETCHES):
            done(here)
            return
        asked = self.fetches.setdefault(digest, [])
        asked.append(done)
        if len(asked) == 1:
            sources = [key[0] for key in mesh_state.keys(self.state.roster)]
            sources += [one for one in map(text, self.cores()) if one not in sources]
            self._fetch(digest, [one for one in sources if one != self.here])

    def _stored(self, digest: str) -> bytes | None:
        try:
            return self.store.get(digest)
        except OSError as fault:
            self.host.log(f"replica: a configuration can't be read: {fault}")
            return None

    def _fetch(self, digest: str, sources: list[str]) -> None:
        """Ask one after another."""
        if not sources:
            self._fetched(digest, None)
            return
        self.caller.call(
            address(sources[0]),
            "word.body",
            digest,
            FETCH,
            lambda body: (
                self._fetched(digest, body) if isinstance(body, bytes) else self._fetch(digest, sources[1:])
            ),
        )

    def _fetched(self, digest: str, body: bytes | None) -> None:
        if body is not None:
            self._keep_body(digest, body)
        for done in self.fetches.pop(digest):
            done(body)

    def _keep_body(self, digest: str, body: bytes) -> None:
        try:
            self.store.keep(digest, body)
        except OSError as fault:
            self.host.log(f"replica: a configuration could not be kept: {fault}")

    def _learn(self, args: Any, reply: Reply, peer: Address) -> None:
        """A value is in force, says who settled it."""
        self.take(args)
        reply(True)

    def take(self, value: Value) -> None:
        """A value is in force, says a peer."""
        self._decided(value["epoch"], value["roster"])
        self._know(value)

    def learn_from(self, source: Address) -> None:
        """Ask somebody for the word that it knows, and take it over where it is newer."""
        self.caller.call(source, "word.known", None, WITHIN, self._learnt)

    def _learnt(self, value: Value | None) -> None:
        if value is not None:
            self.take(value)

    def _read_for(self, args: Any, reply: Reply, peer: Address) -> None:
        self.read(0.8, reply)

    def _body_for(self, args: Any, reply: Reply, peer: Address) -> None:
        reply(self.bodies.get(args) or self._stored(args))

    # The roster's upkeep.

    def _beat(self) -> None:
        """Call the others, and see to the roster."""
        now = self.host.now()
        self.host.after(BEAT * (0.9 + 0.2 * self.rng.random()), self._beat)
        if now - self.beat_at > BEAT + LATE:
            self.well_since = now  # it is we who were away
        self.beat_at = now
        members = mesh_state.keys(self.state.roster)
        if self.key not in members:
            self._join(members)
        for key in members:
            if key[0] != self.here and (self.here < key[0] or self.key not in members):
                self._ping_to(key)
        self._tidy(members)
        self._compare()
        self._announce()

    def _ping_to(self, key: Key) -> None:
        self.caller.call(address(key[0]), "ping", self._about(), WITHIN, self._pong)

    def _about(self) -> list[Any]:
        """What a beat tells: who, the decided roster's epoch, the word's revision, the ballot accepted."""
        rev = self.known["rev"] if self.known is not None else -1
        return [*self.key, self.state.epoch, rev, self.state.accepted]

    def _ping(self, args: Any, reply: Reply, peer: Address) -> None:
        self._pong(args)
        reply(self._about())

    def _pong(self, told: Any) -> None:
        """A peer has told about itself."""
        if told is None:
            return
        where, disk, epoch, rev, accepted = told
        self._hear((where, disk))
        self.on_beat((where, disk), ballot(accepted))
        if epoch > self.state.epoch:
            self.caller.call(address(where), "register.roster", None, WITHIN, self._rostered)
        if rev > (self.known["rev"] if self.known is not None else -1):
            self.learn_from(address(where))
        self.ahead = max(self.ahead, ballot(accepted))

    def _compare(self) -> None:
        """Have a round of our own where others have accepted what we have not, for some beats."""
        self.behind = self.behind + 1 if self.member() and self.ahead > self.state.accepted else 0
        if self.behind >= 3 + 3 * self.rng.random() and self.round is None:
            self.behind = 0
            self.submit(mesh_state.same, UPKEEP, lambda result, answer: None)

    def _hear(self, key: Key | None) -> None:
        if key is not None:
            returned = key in self.silent(SILENT)
            if key not in self.heard and len(self.heard) >= MOST_HEARD:
                members = mesh_state.keys(self.state.roster)
                del self.heard[min(self.heard, key=lambda one: (one in members, self.heard[one]))]
            self.heard[key] = self.host.now()
            if returned:
                self.on_return(key)

    def silent(self, span: float) -> list[Key]:
        """Members unheard for so long (s), while this one was well."""
        now = self.host.now()
        return [
            key
            for key in mesh_state.keys(self.state.roster)
            if key != self.key
            and now - max(self.heard.get(key, 0.0), self.well_since, self.roster_at) >= span
        ]

    def _tidy(self, members: list[Key]) -> None:
        """Have a silent member leave a roster that is too large; the first that is there sees to it."""
        silent = self.silent(LOST)
        wanted = self.known["wanted"] if self.known is not None else len(members)
        if len(members) <= wanted or not silent or self.round is not None:
            return
        if self.key == next((key for key in members if key not in silent), None):
            self._under_duty(mesh_state.drop(silent), lambda: None)

    def _under_duty(self, change: Change, over: Callable[[], None]) -> None:
        """Take members out, with leave; without it nothing is done, and who wants it asks again."""
        epoch = self.state.epoch

        def go(granted: bool) -> None:
            if not granted:
                over()
                return
            self.submit(mesh_state.fenced(change, epoch, self.duty.holds), UPKEEP - WITHIN, done)

        def done(result: str, answer: Any) -> None:
            self.duty.end()
            over()

        self.duty.begin(go)

    def _join(self, members: list[Key]) -> None:
        """Ask to be admitted, or first who the members are."""
        others = [key[0] for key in members] + [text(core) for core in self.cores()] + self.seeds
        others = [one for one in dict.fromkeys(others) if one != self.here]
        if not others:
            return
        where = address(self.rng.choice(others))
        if not self.state.epoch or self.rng.random() < 0.2:
            self.caller.call(where, "register.roster", None, WITHIN, self._rostered)
        if self.state.epoch:
            joiner = mesh_state.member(*self.key, self.zone, self.first)
            self.caller.call(where, "register.admit", joiner, UPKEEP, self._rostered)

    def _roster(self, args: Any, reply: Reply, peer: Address) -> None:
        reply([self.state.epoch, self.state.roster])

    def _rostered(self, decided: Any) -> None:
        if decided is not None:
            self._decided(*decided)

    def _admit(self, args: Any, reply: Reply, peer: Address) -> None:
        """A machine wants to be in the roster: answered with the decided one, whether it is in it or not."""
        where, disk, zone, first = args
        answer = partial(self._roster, args, reply, peer)
        if (
            not self.member()
            or (where, disk) in mesh_state.keys(self.state.roster)
            or (not first and self._hesitant(where))
        ):
            answer()
            return
        silent = self.silent(SILENT)
        change = mesh_state.admit(mesh_state.member(where, disk, zone, bool(first)), silent)
        if silent and not first and where not in [key[0] for key in mesh_state.keys(self.state.roster)]:
            self._under_duty(change, answer)  # it may take a silent member's place
        else:
            self.submit(change, UPKEEP - WITHIN, lambda result, told: answer())

    def _hesitant(self, where: str) -> bool:
        """Whether somebody may be about to be held silent, so that a joiner had better come back."""
        members = [key[0] for key in mesh_state.keys(self.state.roster)]
        return where not in members and not self.silent(SILENT) and bool(self.silent(HESITANT))
