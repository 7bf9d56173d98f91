"""Who is a member of the register, and who is heard: heartbeats, silence, joining, and taking members out.

Theory of operation. Members call one another every `HEARTBEAT_S`, which tells who is silent, who knows a
newer decided membership or state, and who has not accepted what others have. Who is not a member calls them
too, and asks one to be admitted; while no place is free it is a standby (`standby`). To take a silent member
out, or its place, wants a lease (`duty`), so that two do not judge at once; the register is as safe without
it.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from functools import partial
from random import Random
from typing import TYPE_CHECKING, Any, NamedTuple, Protocol

from honeywharf.control import mesh_state
from honeywharf.control.address import address_of, text_of
from honeywharf.control.mesh_state import Change, Key, Member, keys
from honeywharf.control.messages import NO_BALLOT, Decided, Heartbeat
from honeywharf.control.quorum_client import WITHIN_S
from honeywharf.control.standby import Handover, Standbys

if TYPE_CHECKING:
    from honeywharf.control.proposals import Proposals
    from honeywharf.control.voter import Voter
    from honeywharf.transport.host import Address, Host
    from honeywharf.transport.rpc import Caller, Method, Reply

HEARTBEAT_S = 0.3  # between calls that tell who is there
LATE_S = 0.5  # that a beat of our own may be late before our judgement of others' silence begins anew
SILENT_S = 1.0  # unheard, after which another may take a member's place
HESITANT_S = 0.45  # unheard, at which a joiner is asked to come back
LOST_S = 2.0  # unheard, after which a member leaves a membership that is larger than wanted
UPKEEP_S = 1.5  # that a change of the membership, or mending, is tried
MAX_HEARD = 256  # machines whose last heartbeat is remembered
BEHIND_BEATS = 3  # in a row, and up to as many more, before a member that is behind has a round of its own
ASK_AGAIN = 0.2  # chance by beat that a joiner asks who the members are, though it knows


class Duty(Protocol):
    """A lease to take members out, which one has at a time. None is needed for what is safe."""

    def begin(self, go: Callable[[bool], None]) -> None:
        """Ask for it; `go` is told once, now or later. False at once while it is asked for or held."""

    def holds(self) -> bool:
        """Whether it is held now."""

    def end(self) -> None:
        """Give it back."""


class Unchecked:
    """The duty of who is alone: always granted."""

    def begin(self, go: Callable[[bool], None]) -> None:
        """Granted."""
        go(True)

    def holds(self) -> bool:
        """Always."""
        return True

    def end(self) -> None:
        """Nothing to give back."""


class Knowledge(NamedTuple):
    """What is known here of the state in force: its revision, and its digest where the text is on disk."""

    revision: int
    digest: str


class Upkeep:
    """Keeps the membership. `candidate`: zone, and whether this is the first start; `others`: addresses of
    other control nodes; `learn`: asks an address for a newer state.
    """

    def __init__(
        self,
        host: Host,
        caller: Caller,
        voter: Voter,
        proposals: Proposals,
        rng: Random,
        candidate: tuple[str, bool],
        others: Callable[[], list[str]],
        knowledge: Callable[[], Knowledge],
        learn: Callable[[Address], None],
    ) -> None:
        self.host, self.caller, self.voter, self.proposals = host, caller, voter, proposals
        self.rng, self.others, self.knowledge, self.learn = rng, others, knowledge, learn
        self.zone, self.first = candidate
        self.standbys = Standbys()
        self.handover = Handover(host, voter, proposals, self.standbys, self.zone)
        self.leaving = False  # this process ends: it asks for no place any more
        self.heard: dict[Key, float] = {}
        self.heartbeats: dict[Key, Heartbeat] = {}  # the last of each that is heard
        self.well_since = self.beat_at = host.now()
        self.highest = NO_BALLOT  # that another says it has accepted
        self.behind = 0  # beats in a row at which that was above our own
        self.duty: Duty = Unchecked()
        self.on_heartbeat: Callable[[Heartbeat], None] = lambda heartbeat: None
        self.on_return: Callable[[Key], None] = lambda key: None  # a silent member is heard again

    def methods(self) -> dict[str, Method]:
        """What others may call."""
        return {
            "ping": self._heartbeat,
            "register.roster": self._tell_decided,
            "register.admit": self._admit,
        }

    # Heartbeats.

    def start(self) -> None:
        """Begin to call the others."""
        self.host.after(0.0, self._beat)

    def _beat(self) -> None:
        """Call the others, and see to the membership."""
        now = self.host.now()
        self.host.after(HEARTBEAT_S * (0.9 + 0.2 * self.rng.random()), self._beat)
        if now - self.beat_at > HEARTBEAT_S + LATE_S:
            self.well_since = now  # it is we who were away
            self.host.log(f"replica: this process stood still for {now - self.beat_at:.1f} s")
        self.beat_at = now
        members = keys(self.voter.state.members)
        is_member = self.voter.is_member()
        if is_member:
            self.first = False  # who was a member once, and was replaced, adds none when it returns
        elif not self.leaving:
            self._join(members)
        for key in members:
            if key[0] != self.voter.here and (self.voter.here < key[0] or not is_member):
                self._call(key[0], "ping", self.own(), WITHIN_S, self._beat_answered)
        self._take_out(members)
        self._catch_up()

    def _call(self, to: str, method: str, args: object, within: float, done: Callable[[Any], None]) -> None:
        self.caller.call(address_of(to), method, args, within, done)

    def own(self) -> Heartbeat:
        """What this one tells of itself."""
        state = self.voter.state
        known = self.knowledge()
        return Heartbeat(
            *self.voter.key, state.epoch, known.revision, state.accepted, self.zone, known.digest
        )

    def _heartbeat(self, args: Any, reply: Reply, peer: Address) -> None:
        self._took(Heartbeat.unpack(args))
        reply(self.own())

    def _beat_answered(self, packed: Any) -> None:
        if packed is None:
            return
        try:
            self._took(Heartbeat.unpack(packed))
        except (ValueError, TypeError) as fault:
            self.host.log(f"replica: {fault}")

    def _took(self, heartbeat: Heartbeat) -> None:
        """A peer has told of itself."""
        self.hear(heartbeat.key)
        self.heartbeats[heartbeat.key] = heartbeat
        if heartbeat.key not in keys(self.voter.state.members):
            self.standbys.hear(heartbeat, self.host.now())
        self.on_heartbeat(heartbeat)
        if heartbeat.epoch > self.voter.state.epoch:
            self._call(heartbeat.address, "register.roster", None, WITHIN_S, self._decided)
        if heartbeat.revision > self.knowledge().revision:
            self.learn(address_of(heartbeat.address))
        self.highest = max(self.highest, heartbeat.accepted)

    def _catch_up(self) -> None:
        """Have a round of our own where something is left open for some beats.

        Either others have accepted what this one has not; or this one has accepted what nobody has told to be
        committed: its proposer may have died right after, and a membership is not decided until it is known.
        """
        state = self.voter.state
        is_open = state.value is not None and state.value.revision > self.knowledge().revision
        is_behind = self.voter.is_member() and (is_open or self.highest > state.accepted)
        self.behind = self.behind + 1 if is_behind else 0
        patience = BEHIND_BEATS * (1.0 + self.rng.random())
        if self.behind >= patience and self.proposals.round is None:
            self.behind = 0
            self.proposals.submit(mesh_state.same, UPKEEP_S, lambda result, answer: None)

    # Silence.

    def hear(self, key: Key) -> None:
        """A machine has said something."""
        returned = key in self.silent(SILENT_S)
        if key not in self.heard and len(self.heard) >= MAX_HEARD:
            members = keys(self.voter.state.members)
            oldest = min(self.heard, key=lambda one: (one in members, self.heard[one]))
            del self.heard[oldest]
            self.heartbeats.pop(oldest, None)
        self.heard[key] = self.host.now()
        if returned:
            self.on_return(key)

    def silent(self, span: float) -> list[Key]:
        """Members unheard for so long (s), while this one was well."""
        now = self.host.now()
        since = max(self.well_since, self.voter.membership_at)
        return [
            key
            for key in keys(self.voter.state.members)
            if key != self.voter.key and now - max(self.heard.get(key, 0.0), since) >= span
        ]

    def in_contact(self) -> bool:
        """Whether a majority was heard within `SILENT_S`: else nothing asked of it now can come back in time.

        A hint that saves waiting, and no proof: what is answered rests on the majority's own answers.
        """
        members = keys(self.voter.state.members)
        silent = self.silent(SILENT_S)
        return 2 * (len(members) - len(silent)) > len(members)

    def _take_out(self, members: list[Key]) -> None:
        """Have a silent member leave a membership that is too large; the first that is there sees to it."""
        silent = self.silent(LOST_S)
        value = self.voter.state.value
        wanted = value.wanted if value is not None else len(members)
        if len(members) <= wanted or not silent or self.proposals.round is not None:
            return
        if self.voter.key == next((key for key in members if key not in silent), None):
            self._under_duty(mesh_state.drop(silent), lambda: None)

    def _under_duty(self, change: Change, over: Callable[[], None]) -> None:
        """Take members out under the lease; without it nothing is done, and who wants it asks again."""
        epoch = self.voter.state.epoch

        def go(granted: bool) -> None:
            if not granted:
                over()
                return
            fenced = mesh_state.fenced(change, epoch, self.duty.holds)
            self.proposals.submit(fenced, UPKEEP_S - WITHIN_S, done)

        def done(result: object, answer: Any) -> None:
            self.duty.end()
            over()

        self.duty.begin(go)

    # Joining.

    def _join(self, members: list[Key]) -> None:
        """Ask to be admitted, or first who the members are."""
        known = [key[0] for key in members] + self.others()
        others = [one for one in dict.fromkeys(known) if one != self.voter.here]
        if not others:
            return
        to = self.rng.choice(others)
        if not self.voter.state.epoch or self.rng.random() < ASK_AGAIN:
            self._call(to, "register.roster", None, WITHIN_S, self._decided)
        if self.voter.state.epoch:
            joiner = Member(*self.voter.key, self.zone, self.first)
            asked = [*joiner, self.knowledge().digest]
            self._call(to, "register.admit", asked, UPKEEP_S, self._decided)

    def _tell_decided(self, args: Any, reply: Reply, peer: Address) -> None:
        reply(self.voter.state.decided)

    def _decided(self, packed: Any) -> None:
        if packed is None:
            return
        try:
            self.voter.decide(Decided.unpack(packed))
        except (ValueError, TypeError) as fault:
            self.host.log(f"replica: {fault}")

    def _admit(self, args: Any, reply: Reply, peer: Address) -> None:
        """A machine wants to be a member: answered with the decided membership, with it or without."""
        *fields, digest = args
        joiner = Member(*fields)._replace(first=bool(fields[3]))
        answer = partial(self._tell_decided, args, reply, peer)
        members = self.voter.state.members
        if (
            not self.voter.is_member()
            or joiner.key in keys(members)
            or (not joiner.first and self._hesitant(joiner.address))
        ):
            answer()
            return
        silent = self.silent(SILENT_S)
        change = mesh_state.when_holding(mesh_state.admit(joiner, silent), digest)
        replaces_disk = joiner.address in [member.address for member in members]
        if joiner.first or replaces_disk:
            self.proposals.submit(change, UPKEEP_S - WITHIN_S, lambda result, told: answer())
        elif silent:
            self._under_duty(change, answer)  # it takes a silent member's place
        else:
            answer()  # it is a standby

    def _hesitant(self, address: str) -> bool:
        """Whether somebody may be about to be held silent, so that a joiner had better come back."""
        members = [member.address for member in self.voter.state.members]
        return address not in members and not self.silent(SILENT_S) and bool(self.silent(HESITANT_S))


def addresses(others: Sequence[Address]) -> list[str]:
    """As memberships hold them."""
    return [text_of(address) for address in others]
