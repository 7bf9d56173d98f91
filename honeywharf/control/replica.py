"""One control node's part in the register, on a `Host`: its vote, changes and reads, and the membership.

Theory of operation. Changes that arrive while a round is at work wait and go together in the next one; reads
likewise (`proposals`). Nothing is answered to a peer before what it promises is synced (`voter`). Heartbeats
tell who is silent, who knows a newer decided membership or state, and who has not accepted what others have:
such a one has a round of its own that changes nothing, and so brings itself up to date (`membership`).
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from random import Random
from typing import TYPE_CHECKING, Any

from honeywharf.control import mesh_state, messages
from honeywharf.control.acceptor import AcceptorState
from honeywharf.control.address import address_of, text_of
from honeywharf.control.membership import UPKEEP_S, Knowledge, Upkeep, addresses
from honeywharf.control.mesh_state import Key, MeshState
from honeywharf.control.messages import Decided
from honeywharf.control.proposals import Proposals, Reads
from honeywharf.control.quorum_client import WITHIN_S, QuorumClient
from honeywharf.control.texts import ConfigurationTexts
from honeywharf.control.voter import Voter

if TYPE_CHECKING:
    from honeywharf.control.store import Store
    from honeywharf.transport.host import Address, Host
    from honeywharf.transport.rpc import Caller, Method, Reply

READ_S = 0.8  # that a read for another process may take
ANNOUNCE_S = 0.3  # between looks whether a text that was missing has come


class Replica:
    """See the module. `start` it; `methods` go to an `Answerer`; `on_state` is told each newer state.

    `here`: this machine's internal address; `seeds`: those of the first members; `first`: whether the whole
    system starts for the first time; `cores`: the other control nodes that gossip tells of.
    """

    def __init__(
        self,
        host: Host,
        store: Store,
        caller: Caller,
        here: Address,
        zone: str,
        seeds: Sequence[Address],
        first: bool,
        on_state: Callable[[MeshState], None] = lambda state: None,
        cores: Callable[[], list[Address]] = list,
    ) -> None:
        self.host, self.store, self.caller, self.first = host, store, caller, first
        self.here = text_of(here)
        self.seeds = addresses(seeds)
        self.on_state, self.cores = on_state, cores
        self.known: MeshState | None = None  # the newest that is committed, as far as this one knows
        self.announced = -1  # revision that `on_state` was told
        rng = Random(host.random(16))
        self.voter = Voter(host, store, self.here)
        self.texts = ConfigurationTexts(host, store, caller, self._text_sources)
        self.client = QuorumClient(host, caller, self.voter, self.texts, self._heard)
        self.proposals = Proposals(host, self.voter, self.texts, self.client, rng, self._committed)
        self.reads = Reads(host, self.voter, self.client, self.proposals, rng, self._know)
        self.upkeep = Upkeep(
            host,
            caller,
            self.voter,
            self.proposals,
            rng,
            (zone, first),
            self._others,
            self._knowledge,
            self.learn_from,
        )
        self.submit, self.read, self.text = self.proposals.submit, self.reads.read, self.texts.get
        self.methods: dict[str, Method] = {
            **self.upkeep.methods(),
            "register.ask": self._asked,
            "register.learn": self._learn,
            "word.read": self._read_for,
            "word.known": self._known_for,
            "word.body": self._text_for,
        }

    # The beginning.

    def start(self) -> None:
        """Take up what the disk holds; OSError where it fails: to be called again later."""
        self.voter.load(self._new_state())
        self.proposals.counter = self.state.promised.counter
        self.upkeep.start()
        self.host.after(0.0, self._announce)
        self.read(UPKEEP_S, lambda state: None)

    def _new_state(self) -> AcceptorState:
        """An empty disk's: the first of a seed at the first start, else a new name with no vote."""
        seed = self.first and self.here in self.seeds and self.store.empty()
        disk = "first" if seed else self.host.random(8).hex()
        if self.first and self.seeds:
            return AcceptorState(disk, 1, mesh_state.seeded(self.seeds))
        return AcceptorState(disk)

    @property
    def state(self) -> AcceptorState:
        """What the disk holds."""
        return self.voter.state

    @property
    def key(self) -> Key:
        """This machine with its disk."""
        return self.voter.key

    def member(self) -> bool:
        """Whether this one is in the decided membership."""
        return self.voter.is_member()

    def disown(self) -> None:
        """This disk gave back an older register: see `Voter.disown`."""
        self.voter.disown()

    def silent(self, span: float) -> list[Key]:
        """Members unheard for so long (s), while this one was well."""
        return self.upkeep.silent(span)

    def leave(self, within: float, done: Callable[[], None]) -> None:
        """This process ends as planned: a standby takes its place, where there is one; then `done()`."""
        self.upkeep.leaving = True
        self.upkeep.handover.begin(within, done)

    def in_contact(self) -> bool:
        """Whether a majority was heard lately; see `Upkeep.in_contact`."""
        return self.upkeep.in_contact()

    # Who is asked for what.

    def _heard(self, key: Key) -> None:
        self.upkeep.hear(key)

    def _others(self) -> list[str]:
        return addresses(self.cores()) + self.seeds

    def _text_sources(self) -> list[str]:
        members = [member.address for member in self.state.members]
        sources = dict.fromkeys([*members, *addresses(self.cores())])
        return [one for one in sources if one != self.here]

    def _revision(self) -> int:
        return self.known.revision if self.known is not None else -1

    def _knowledge(self) -> Knowledge:
        state = self.known
        if state is None:
            return Knowledge(-1, "")
        return Knowledge(state.revision, state.digest if self.store.has(state.digest) else "")

    # The state in force.

    def _committed(self, state: MeshState, members: list[Key]) -> None:
        """A state was committed from here: know it, and tell the members."""
        news = state.revision > self._revision()
        self._know(state)
        if not news:
            return
        for address, _ in members:
            if address != self.here:
                self.caller.call(
                    address_of(address), "register.learn", state.pack_public(), WITHIN_S, lambda answer: None
                )

    def _know(self, state: MeshState) -> None:
        """A state is in force: hold it, with its text, and tell."""
        if state.revision > self._revision():
            self.known = state
            self._tell()

    def _announce(self) -> None:
        """Look again, every beat, whether there is something to tell."""
        self._tell()
        self.host.after(ANNOUNCE_S, self._announce)

    def _tell(self) -> None:
        """Tell the state that is known, once its text is here."""
        state = self.known
        if state is None or state.revision <= self.announced:
            return
        digest = state.digest
        if digest and not self.store.has(digest):
            if digest not in self.texts.fetches:
                self.text(digest, lambda text: self._tell() if self.store.has(digest) else None)
            return
        self.announced = state.revision
        self._sweep(state)
        self.on_state(state)

    def _sweep(self, state: MeshState) -> None:
        named = {state.digest}
        if self.state.value is not None:
            named.add(self.state.value.digest)
        self.texts.sweep(named)

    def take(self, packed: Any) -> None:
        """A state is in force, says a peer. KeyError, TypeError or ValueError where it is something else."""
        state = MeshState.unpack(packed)
        self.voter.decide(Decided(state.epoch, state.members))
        self._know(state)

    def learn_from(self, source: Address) -> None:
        """Ask somebody for the state that it knows, and take it over where it is newer."""
        self.caller.call(source, "word.known", None, WITHIN_S, self._learnt)

    def _learnt(self, packed: Any) -> None:
        if packed is None:
            return
        try:
            self.take(packed)
        except (ValueError, TypeError, LookupError) as fault:
            self.host.log(f"replica: found {fault}, wanted a state")

    # What peers call.

    def _asked(self, args: Any, reply: Reply, peer: Address) -> None:
        packed, text = args
        answer = self.voter.vote(messages.unpack_request(packed), text)
        if answer is not None:
            reply(messages.pack(answer))

    def _learn(self, args: Any, reply: Reply, peer: Address) -> None:
        """A state is in force, says who committed it."""
        self.take(args)
        reply(True)

    def _read_for(self, args: Any, reply: Reply, peer: Address) -> None:
        if self.in_contact():
            self.read(READ_S, lambda state: reply(None if state is None else state.pack_public()))
        else:
            reply(None)

    def _known_for(self, args: Any, reply: Reply, peer: Address) -> None:
        reply(None if self.known is None else self.known.pack_public())

    def _text_for(self, args: Any, reply: Reply, peer: Address) -> None:
        reply(self.texts.local(args))
