"""Mutants of the mesh, each with a defect, the faults that reveal it and the rules that must detect it.

Where two mechanisms guard one rule, a mutant disables both. The faults of `kinds` are part of every run of
the mutant, at times and with random generators drawn from the seed.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import replace as replaced
from typing import Any

from honeywharf.admission.admission_queue import Admission
from honeywharf.admission.cold_start import ColdBound
from honeywharf.admission.warmup import Warmup
from honeywharf.control import mesh_state
from honeywharf.control.acceptor import Acceptor
from honeywharf.control.messages import NO_PROPOSAL
from honeywharf.control.operator_api import OperatorApi
from honeywharf.control.quorum import Quorums
from honeywharf.control.quorum_client import QuorumClient
from honeywharf.control.register import AcceptedValue, OutgoingRequest, Phase, QuorumOperation, QuorumWrite
from honeywharf.control.store import Store
from honeywharf.control.voter import Voter
from honeywharf.gossip.anti_entropy import AntiEntropy
from honeywharf.gossip.dissemination import RevisionRumours
from honeywharf.gossip.gossip import Gossip
from honeywharf.programs.sidecar import Sidecar
from honeywharf.sidecar.backend import BackendConnection
from honeywharf.sidecar.client_connection import ClientConnection
from honeywharf.sidecar.disconnects import DisconnectProbe
from honeywharf.sidecar.gate import DRAINING, ENDED, READY, Gate
from honeywharf.sidecar.inbound import InboundRequest
from honeywharf.sidecar.lifetime import Lifetime
from honeywharf.sidecar.mesh_state import MeshStateReplica
from honeywharf.sidecar.outbound import Outbound
from honeywharf.sidecar.outbound_request import OutboundRequest
from honeywharf.sidecar.source import Source
from honeywharf.simulation.fault_schedule import Fault
from honeywharf.simulation.run import Report, run
from honeywharf.transport.link import Link
from honeywharf.verdict import CONNECTION_BROKEN, MAY_HAVE_RUN, NOT_RUN, Verdict

Patch = Callable[[object, str, Any], None]  # The owner, the name of the attribute, and its replacement.
Kinds = tuple[tuple[str, str], ...]


class Mutant:
    """A mutant: how it is made, the faults of its runs, and the rules that may detect it."""

    def __init__(
        self,
        name: str,
        make: Callable[[Patch], None],
        kinds: Kinds,
        rules: tuple[str, ...],
        after: float = 5.0,
    ) -> None:
        self.name, self.make, self.kinds, self.rules, self.after = name, make, kinds, rules, after

    def day(self, seed: int) -> list[Fault]:
        """Returns the faults of one run."""
        chance = random.Random(f"{self.name} {seed}")
        faults = []
        for kind, how in self.kinds:
            at = chance.uniform(10.2, 12.0) + 5.0 * (kind == "late_again")
            at = 17.0 if kind == "closing" else at  # A later change would hide a loss.
            faults.append(Fault(at, kind, how, chance.getrandbits(32)))
        return sorted(faults, key=lambda fault: fault.at)

    def play(self, seed: int) -> Report:
        """Plays one run."""
        with wrong(self.make):
            return run(seed, self.day(seed), after=self.after)


@contextmanager
def wrong(make: Callable[[Patch], None]) -> Iterator[None]:
    """Applies a defect to the mesh within the context."""
    undone: list[tuple[Any, str, Any]] = []

    def put(owner: Any, name: str, what: Any) -> None:
        undone.append((owner, name, vars(owner)[name]))
        setattr(owner, name, what)

    make(put)
    try:
        yield
    finally:
        for owner, name, what in reversed(undone):
            setattr(owner, name, what)


def seeds_until_detected(mutant: Mutant, first: int, most: int) -> tuple[int, str]:
    """Returns the number of seeds until detection and the rule; 0 and "" if none detects it."""
    for count in range(1, most + 1):
        report = mutant.play(first + count - 1)
        if report.broken and report.broken[0][0] in mutant.rules:
            return count, report.broken[0][0]
    return 0, ""


# The register and its disk.


def ack_before_sync(put: Patch) -> None:
    def keep(self: Voter, state: Any) -> None:
        if state is not self.state:
            self.acceptor.state = state
            self.host.after(0.05, lambda: self.store.save(state))

    put(Voter, "persist", keep)


def text_before_sync(put: Patch) -> None:
    def keep(self: Store, digest: str, packed: bytes) -> None:
        if digest not in self.digests:
            self.digests.append(digest)
            self.host.after(0.2, lambda: write(self, digest, packed))  # type: ignore[attr-defined]

    def get(self: Store, digest: str) -> bytes | None:
        found: bytes | None = held.get((id(self), digest)) or was_get(self, digest)
        return found

    def write(self: Store, digest: str, packed: bytes) -> None:
        self.digests.remove(digest)
        was_keep(self, digest, packed)

    held: dict[tuple[int, str], bytes] = {}
    was_keep, was_get = Store.put_text, Store.read_text
    put(Store, "put_text", keep)
    put(Store, "read_text", get)


def majority_of_the_living(put: Patch) -> None:
    """Counts a voter that does not answer as one that agreed."""

    def lost(asking: QuorumOperation, now: float, request: OutgoingRequest) -> Any:
        key = request.to
        asking.request_lost(now, request)
        if isinstance(asking, QuorumWrite) and asking.phase is Phase.PREPARE:
            asking.promises.setdefault(key, AcceptedValue(NO_PROPOSAL, None))
            return asking._propose_when_promised()
        if isinstance(asking, QuorumWrite) and asking.phase is Phase.ACCEPT:
            asking.accepted_by.add(key)
            if asking.quorums.covered(asking.accepted_by):
                asking._commit()
        return []

    put(QuorumClient, "_request_lost", staticmethod(lost))


def one_vote_is_enough(put: Patch) -> None:
    put(
        Quorums,
        "covered",
        lambda self, by: (
            all(any(key in roster for key in set(by)) if roster else True for roster in self.memberships)
            and bool(set(by))
        ),
    )


def wiped_disk_votes(put: Patch) -> None:
    def answer(self: Acceptor, request: Any) -> Any:
        return was(self, replaced(request, disk=self.state.disk))

    was = Acceptor.answer
    put(Acceptor, "answer", answer)


def promise_not_kept(put: Patch) -> None:
    def accept(self: Acceptor, state: Any, asked: Any, value: Any) -> Any:
        return was(self, state, max(asked, state.promised), value)

    was = Acceptor._accept
    put(Acceptor, "_accept", accept)


def begins_from_own_word(put: Patch) -> None:
    """A round proposes its own acceptor's value, not the one accepted under the highest ballot."""

    def cover(self: QuorumWrite) -> Any:
        mine = [told for key, told in self.promises.items() if key.address == self.proposer.address]
        if mine and self.quorums.covered(self.promises):
            self.promises = dict.fromkeys(self.promises, mine[0])
        return was(self)

    was = QuorumWrite._propose_when_promised
    put(QuorumWrite, "_propose_when_promised", cover)


# Orders of the operator.


def ack_without_majority(put: Patch) -> None:
    def replaced(self: OperatorApi, call: Any, result: Any, answer: Any) -> None:
        self.answer(call, 200, b"{}")

    put(OperatorApi, "_replaced", replaced)


def version_by_arrival(put: Patch) -> None:
    def replace(version: int, digest: str) -> Any:
        taken = mesh_state.Confirmation(mesh_state.Outcome.IN_FORCE, version, digest, digest)
        return lambda state: (state.with_changes(version=version, digest=digest), taken)

    put(mesh_state, "replace_configuration", replace)


def invalid_is_taken(put: Patch) -> None:
    def load(self: OperatorApi) -> None:
        from honeywharf.mesh_config import configuration

        def lenient(raw: bytes) -> Any:
            good = was(raw)
            if good.is_ok():
                return good
            import json

            from result import Ok

            try:
                version = int(json.loads(raw)["config-version"][1:])
            except ValueError:
                return good
            return Ok(configuration.Configuration(version, configuration.digest(raw), raw))

        was = configuration.check
        self.check = lenient

    put(OperatorApi, "preload", load)


def change_drops_evacuations(put: Patch) -> None:
    def replace(version: int, digest: str) -> Any:
        def change(value: Any) -> Any:
            made, answer = was(version, digest)(value)
            return (None if made is None else replaced(made, evacuations={})), answer

        return change

    was = mesh_state.replace_configuration
    put(mesh_state, "replace_configuration", replace)


def word_from_the_first(put: Patch) -> None:
    """Takes the state of the first control node; rumours, which would repair it, are disabled too."""

    def start(self: MeshStateReplica) -> None:
        if not self.ready:
            core = self.control_nodes()[0]
            self.rpc_client.call(
                core, "word.known", None, 0.7, lambda value: self._majority_answered(core, value)
            )

    put(MeshStateReplica, "start", start)
    put(MeshStateReplica, "revision_announced", lambda self, revision, holder: None)


def word_never_renewed(put: Patch) -> None:
    put(MeshStateReplica, "revision_announced", lambda self, revision, holder: None)


def evacuations_not_taken_over(put: Patch) -> None:
    def apply(self: MeshStateReplica, value: Any, table: Any, packed: bytes) -> None:
        was(self, {**value, "evac": {}}, table, packed)

    was = MeshStateReplica._apply
    put(MeshStateReplica, "_apply", apply)


# The gate.


def gate_does_not_heed(put: Patch, **fields: Any) -> None:
    """Decides as if some attributes of the gate had other values."""

    def refusal(self: Gate, now: float, service: str, expected: str = "") -> Any:
        kept = {name: getattr(self, name) for name in fields}
        for name, what in fields.items():
            setattr(
                self,
                name,
                READY
                if name == "state" and self.state in (DRAINING, ENDED)
                else (self.state if name == "state" else what),
            )
        try:
            return was(self, now, service, expected)
        finally:
            for name, what in kept.items():
                setattr(self, name, what)

    was = Gate.rejection
    put(Gate, "rejection", refusal)


def list_is_never_renewed(put: Patch) -> None:
    def told(self: Source, node: str, say: Any, zone: str) -> None:
        before = self.backends.get(node)
        if say is not None and (before is None or before.state != READY):
            was(self, node, say, zone)

    was = Source.update_backend
    put(Source, "update_backend", told)


def nobody_heeds_draining(put: Patch) -> None:
    """Disables the check at the gate and the renewal of the list."""
    gate_does_not_heed(put, state=READY)
    list_is_never_renewed(put)


def nobody_heeds_evacuations(put: Patch) -> None:
    """Disables the check at the gate and the renewal of the list."""
    gate_does_not_heed(put, evacuated=False)

    def relist(self: Source, node: str, renewed: bool) -> None:
        kept, self.mesh_state.evacuated = self.mesh_state.evacuated, set()
        was(self, node, renewed)
        self.mesh_state.evacuated = kept

    was = Source._update_usable
    put(Source, "_update_usable", relist)


def cold_bound_off(put: Patch) -> None:
    put(Warmup, "is_warming_up", lambda self, now: False)


def cold_is_not_told(put: Patch) -> None:
    put(Warmup, "_set", lambda self, now, cold_s: setattr(self, "is_unknown", False))


def new_process_knows_no_cold(put: Patch) -> None:
    """Treats a new incarnation as warm until it reports otherwise, and does not fetch its state."""

    def life(self: Gate, now: float, instance: str) -> None:
        was(self, now, instance)
        self.warmup.is_unknown = False

    was = Gate._set_instance
    put(Gate, "_set_instance", life)
    put(Warmup, "_set", lambda self, now, cold_s: None)


def cold_bound_by_slices(put: Patch) -> None:
    def wait(self: ColdBound, now: float) -> float:
        while self.sent and int(self.sent[0]) < int(now):
            self.sent.popleft()
        return 0.0 if len(self.sent) < self.most else 0.05

    put(ColdBound, "wait_s", wait)


def any_service(put: Patch) -> None:
    """Disables the check of the service, the renewal of the list and the expected instance id."""

    def refusal(self: Gate, now: float, service: str, expected: str = "") -> Any:
        return was(self, now, self.service, expected)

    was = Gate.rejection
    put(Gate, "rejection", refusal)
    list_is_never_renewed(put)
    id_not_expected(put)


def id_not_expected(put: Patch) -> None:
    def head(self: InboundRequest) -> bytes:
        expected = b"X-Honeywharf-Expected-Instance"
        return b"\r\n".join([line for line in was(self).split(b"\r\n") if not line.startswith(expected)])

    was = InboundRequest._encode_head
    put(InboundRequest, "_encode_head", head)


def life_not_told_apart(put: Patch) -> None:
    """Treats a new incarnation as the previous one; the expected instance id is disabled too."""

    def beat(
        self: Gate, now: float, instance: str, sequence: int, draining: bool, slots: int, cold_s: float
    ) -> bool:
        return bool(was(self, now, self.instance or instance, self.sequence + 1, draining, slots, 0.0))

    was = Gate.heartbeat
    put(Gate, "heartbeat", beat)
    put(Gate, "backend_missing", lambda self: None)
    id_not_expected(put)


# Answers.


def seal_not_checked(put: Patch) -> None:
    put(
        InboundRequest, "_may_reach_client", lambda self: self.head is not None and not self.head.not_executed
    )


def echo_not_checked(put: Patch) -> None:
    def answer(self: BackendConnection, head: Any) -> None:
        if self.user is not None:
            head.attempt = self.user.attempt
        was(self, head)

    was = BackendConnection.answer
    put(BackendConnection, "answer", answer)


def excess_is_used(put: Patch) -> None:
    """Keeps bytes that answer no request for the next one, and does not check the attempt id."""

    def discard(self: BackendConnection) -> None:
        if not self.is_up or self.connection.peer != self.pool.address or self.user is not None:
            was(self)

    was = BackendConnection._discard
    put(BackendConnection, "_discard", discard)
    echo_not_checked(put)


def half_an_answer_is_whole(put: Patch) -> None:
    def broken(self: InboundRequest, why: str, sent: bool, revision_announced: bool) -> None:
        if revision_announced and self.head is not None and not self.streaming:
            self.whole()
        else:
            was(self, why, sent, revision_announced)

    was = InboundRequest.broken
    put(InboundRequest, "broken", broken)


def answers_as_they_come(put: Patch) -> None:
    def write(self: ClientConnection) -> None:
        self.exchanges.sort(key=lambda exchange: not exchange.done)
        was(self)

    was = ClientConnection._write
    put(ClientConnection, "_write", write)


def caller_as_sent(put: Patch) -> None:
    def start(self: OutboundRequest) -> None:
        self.source.service = "forged"
        was(self)

    was = OutboundRequest.start
    put(OutboundRequest, "start", start)


def pieces_from_the_beginning(put: Patch) -> None:
    def piece(self: OutboundRequest) -> bytes:
        return b"".join(self.retained)[: len(was(self))]

    was = OutboundRequest._next_chunk
    put(OutboundRequest, "_next_chunk", piece)


# Run, not run, may have run.


def reset_means_not_run(put: Patch) -> None:
    def broken(self: InboundRequest, why: str, sent: bool, revision_announced: bool) -> None:
        was(self, why, False, revision_announced)

    was = InboundRequest.broken
    put(InboundRequest, "broken", broken)


def lost_link_means_not_run(put: Patch) -> None:
    def lose(self: Link) -> None:
        self.is_up = False
        was(self)

    was = Link.fail
    put(Link, "fail", lose)


def repeats_what_may_have_run(put: Patch) -> None:
    put(Verdict, "may_retry", lambda self, repeatable: True)


def refuses_what_may_have_run(put: Patch) -> None:
    def give_up(self: OutboundRequest, again_s: float) -> None:
        self.may_have_run = False
        was(self, again_s)

    was = OutboundRequest._give_up
    put(OutboundRequest, "_give_up", give_up)


def ledger_off(put: Patch) -> None:
    """A source forgets that a request may have run once it is given to another gate."""

    def ask(self: OutboundRequest, key: str, patience_s: float) -> None:
        self.may_have_run = False
        was(self, key, patience_s)

    was = OutboundRequest._send_to
    put(OutboundRequest, "_send_to", ask)
    put(
        OutboundRequest,
        "_reached_backend",
        lambda self, verdict: self._rejected(Verdict(NOT_RUN, verdict.why)),
    )


def budget_off(put: Patch) -> None:
    put(Source, "spend_retry", lambda self, service: True)


# The platform.


def term_ends_at_once(put: Patch) -> None:
    put(Sidecar, "terminate", lambda self: self.host.exit(0))


def always_ready(put: Patch) -> None:
    """Reports ready at all times, and exits after SIGTERM without waiting for requests."""
    put(Sidecar, "_readiness", lambda self, call: call.answer(200))
    put(Sidecar, "terminate", lambda self: self.host.after(1.0, lambda: self.host.exit(0)))


def end_without_a_word(put: Patch) -> None:
    """Accepts requests until the process ends; requests in flight then get no answer.

    Runs of `MUTANTS` have too little traffic to show it; `tests/sidecar/test_leaving.py` covers it.
    """
    put(Lifetime, "may_begin", lambda self, now, deadline: True)
    put(Outbound, "finish", lambda self: None)


def leaving_refuses_who_is_there(put: Patch) -> None:
    """Fails the running requests of a gate that is shutting down."""

    def terminate(self: Sidecar) -> None:
        was(self)
        for job in list(self.inbound.pending_requests):
            job._fail(Verdict(MAY_HAVE_RUN, CONNECTION_BROKEN, True))

    was = Sidecar.terminate
    put(Sidecar, "terminate", terminate)


def digest_never_sent(put: Patch) -> None:
    """Disables summaries, revisions in message heads and rumours of revisions."""
    put(AntiEntropy, "summary", lambda self: b"")
    put(Gossip, "note_revision", lambda self, sender, revision: None)
    put(RevisionRumours, "forward", lambda self, now, rumour: [])


def slots_never_given_back(put: Patch) -> None:
    put(Admission, "finish", lambda self, now, short, took: None)


def close_is_a_half_close(put: Patch) -> None:
    """Disables the probe of clients that have closed their direction."""
    put(DisconnectProbe, "start", lambda self: None)


def cancellation_is_lost(put: Patch) -> None:
    """Does not send the cancellation to the gate."""
    put(OutboundRequest, "cancel", lambda self: self._end() if not self.is_over else None)


def reset_is_not_heeded(put: Patch) -> None:
    """Keeps the requests of a reset client connection running."""

    def closed(self: ClientConnection, why: str) -> None:
        for exchange in self.exchanges:
            exchange.request = None
        was(self, why)

    was = ClientConnection.closed
    put(ClientConnection, "closed", closed)


POWER, WIPE = ("closing", "power_off_all"), ("closing", "wipe_after_ack")
KILL, CUT = ("node_kill", ""), ("core_cut", "")
RACE, AGAIN = ("config_race", "versions"), ("late_again", "")
LEAVE = ("give_up", "slow")
STORM, CHANGE, LOST = ("config_storm", ""), ("config_change", ""), ("answer_lost", "heavy")

MUTANTS = [
    Mutant("ack before sync", ack_before_sync, (STORM, POWER), ("CONFIG",)),
    Mutant("ack before the text is on disk", text_before_sync, (STORM, POWER), ("CONFIG", "RECOVER")),
    Mutant("majority of the living", majority_of_the_living, (CUT, STORM, STORM), ("CONFIG",)),
    Mutant("one vote is enough", one_vote_is_enough, (CUT, STORM, STORM), ("CONFIG",)),
    Mutant("wiped disk votes", wiped_disk_votes, (WIPE,), ("CONFIG",)),
    Mutant("promise not kept", promise_not_kept, (RACE, RACE), ("CONFIG",)),
    Mutant("round begins from its own word", begins_from_own_word, (STORM, CUT, CHANGE), ("CONFIG",)),
    Mutant("ack without a majority", ack_without_majority, (("core_cut", ""), STORM), ("CONFIG",)),
    Mutant("version by arrival", version_by_arrival, (STORM, AGAIN, AGAIN, AGAIN), ("CONFIG",)),
    Mutant("invalid is taken", invalid_is_taken, (("bad_config", ""),), ("CONFIG",)),
    Mutant("change drops evacuations", change_drops_evacuations, (("evacuate", ""), STORM), ("EVAC",)),
    Mutant("word from the first, and no news", word_from_the_first, (("herd_kill", ""), STORM), ("CONFIG",)),
    Mutant("word never renewed", word_never_renewed, (STORM,) * 4, ("CONFIG",)),
    Mutant("evacuations not taken over", evacuations_not_taken_over, (("evacuate", ""),), ("EVAC",)),
    Mutant("nobody heeds draining", nobody_heeds_draining, (("release", ""),), ("DRAIN",)),
    Mutant("nobody heeds evacuations", nobody_heeds_evacuations, (("evacuate", ""),), ("EVAC",)),
    Mutant("cold bound off", cold_bound_off, (("cold_return", ""),), ("FAILBACK",)),
    Mutant("cold is not told", cold_is_not_told, (("cold_return", ""),), ("FAILBACK",)),
    Mutant("new life is taken for warm", new_process_knows_no_cold, (("life_swap", ""),), ("FAILBACK",)),
    Mutant("cold bound by whole seconds", cold_bound_by_slices, (("cold_return", ""),) * 3, ("FAILBACK",)),
    Mutant("any service", any_service, (("replace_with_reuse", ""),) * 2, ("ROUTE", "CONFIG")),
    Mutant("life not told apart", life_not_told_apart, (("life_swap", ""),), ("FAILBACK",)),
    Mutant("seal not checked", seal_not_checked, (("garble", "unsealed"),), ("MIXED",)),
    Mutant("echo not checked", echo_not_checked, (("garble", "extra"),), ("MIXED", "TWICE", "REFUSED")),
    Mutant("excess is used", excess_is_used, (("garble", "extra"),), ("MIXED", "TWICE", "REFUSED", "FAULT")),
    Mutant("half an answer is whole", half_an_answer_is_whole, (("garble", ""),), ("MIXED",)),
    Mutant("answers as they come", answers_as_they_come, (), ("MIXED",)),
    Mutant("caller as sent", caller_as_sent, (), ("UNASKED",)),
    Mutant("pieces from the beginning", pieces_from_the_beginning, (), ("UNASKED",)),
    Mutant("reset means not run", reset_means_not_run, (LOST,), ("TWICE", "REFUSED")),
    Mutant("lost link means not run", lost_link_means_not_run, (KILL, KILL, KILL), ("TWICE", "REFUSED")),
    Mutant("repeats what may have run", repeats_what_may_have_run, (LOST,), ("TWICE",)),
    Mutant("503 for what may have run", refuses_what_may_have_run, (LOST,), ("REFUSED",)),
    Mutant("ledger off", ledger_off, (LOST,), ("TWICE", "REFUSED")),
    Mutant("budget off", budget_off, (LOST,), ("BUDGET",)),
    Mutant("SIGTERM exits at once", term_ends_at_once, (("roll_term", ""),), ("LOST",)),
    Mutant("always ready, and ends soon", always_ready, (("roll_term", ""),), ("LOST",)),
    Mutant("leaving gives up who is there", leaving_refuses_who_is_there, (("roll_term", ""),), ("LOST",)),
    Mutant("digest never sent, nor rumours of the word", digest_never_sent, (STORM,), ("CONFIG",)),
    Mutant("a close is a half-close", close_is_a_half_close, (LEAVE,), ("GONE",)),
    Mutant("cancellation is lost", cancellation_is_lost, (LEAVE,), ("GONE",)),
    Mutant("reset is not heeded", reset_is_not_heeded, (LEAVE,), ("GONE",)),
    Mutant("slots never given back", slots_never_given_back, (KILL,), ("RECOVER",), 26.0),
]
