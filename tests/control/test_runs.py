"""Seeded runs of control nodes with faults: no acknowledged change is lost; calls are answered afterwards."""

from __future__ import annotations

import os
from random import Random

import pytest

from honeywharf.control.mesh_state import MemberId, member_ids
from honeywharf.control.messages import Accept, Answer, Request
from honeywharf.control.voter import Voter
from tests.control.cluster import Call, ControlCluster

RUNS = int(os.environ.get("RUNS", "12"))
CATCH_UP_S = 4.0  # A machine that was lost has caught up after this time.


class FaultRun:
    """A run: an operator's calls with their answers, and faults within the tolerated losses."""

    def __init__(self, seed: int, count: int) -> None:
        self.rng = Random(seed)
        self.cluster = ControlCluster(seed, count)
        self.version = 0
        self.sent: dict[int, bytes] = {}
        # Each pending call, with its version (-1 for a read) and the version acknowledged when it was made.
        self.pending: list[tuple[Call, int, int]] = []
        self.acked = 0  # The highest version that was acknowledged or read.
        self.last_fault_at = 0.0  # When the last fault ended.
        self.down: dict[str, float] = {}  # When each machine without a process is restarted.
        self.cuts_end_at = 0.0
        self.quiet_until = 0.0  # No fault is injected before this time.
        self.next_machine = count + 1
        self.decided: dict[int, list[MemberId]] = {}  # The decided membership of each epoch.
        self.wipes = self.acks = self.reads = 0

    def step(self) -> None:
        """Runs a twentieth of a second."""
        self.cluster.run(0.05)
        self.check_answers()
        self.check_memberships()
        now = self.cluster.network.time
        for ip in [ip for ip, when in self.down.items() if when <= now]:
            del self.down[ip]
            self.cluster.start(ip)
            self.last_fault_at = now
        if self.cluster.network.cuts and now >= self.cuts_end_at:
            self.cluster.network.cuts.clear()
            self.last_fault_at = now
        for machine in self.cluster.network.machines.values():
            if machine.frozen and self.rng.random() < 0.05:
                machine.unfreeze()
                self.last_fault_at = now

    def check_memberships(self) -> None:
        """Checks that no two machines know different memberships as decided under one epoch."""
        for ip, machine in self.cluster.network.machines.items():
            if machine.on and ip in self.cluster.programs:
                state = self.cluster.programs[ip].replica.state
                known = self.decided.setdefault(state.epoch, member_ids(state.members)) if state.epoch else []
                assert not state.epoch or known == member_ids(state.members)

    def operate(self) -> None:
        """Makes calls to random machines, with some probability."""
        ips = list(self.cluster.network.machines)
        if self.rng.random() < 0.3:
            for ip in self.rng.sample(ips, self.rng.choice((1, 1, 2))):
                self.version += self.rng.choice((1, 3))
                self.send(ip, self.version)
        if self.rng.random() < 0.1 and self.sent:
            self.send(self.rng.choice(ips), self.rng.choice(list(self.sent)))  # A retry of an older one.
        if self.rng.random() < 0.3:
            self.pending.append((self.cluster.describe(self.rng.choice(ips)), -1, self.acked))

    def send(self, ip: str, version: int) -> None:
        content = self.rng.randbytes(self.rng.choice((4, 3000))).hex().encode()
        self.sent.setdefault(version, b"r%d " % version + content)
        call = self.cluster.call(ip, "POST", "/api/configuration/replace", self.sent[version])
        self.pending.append((call, version, self.acked))

    def check_answers(self) -> None:
        """Checks that no answer is older than what was acknowledged before its call."""
        unanswered = []
        for call, version, floor in self.pending:
            if not call.answers:
                unanswered.append((call, version, floor))
                continue
            status, body, _ = call.answers[0]
            if version >= 0 and status == 200:
                self.acked, self.acks = max(self.acked, version), self.acks + 1
            elif version < 0 and status == 200:
                read = int(body.split(b" ")[0][1:])
                assert read >= floor, f"r{read} was read after r{floor}"
                assert body == self.sent[read]
                self.acked, self.reads = max(self.acked, read), self.reads + 1
            elif version < 0 and status == 404:
                assert floor == 0, f"nothing was read after r{floor}"
        self.pending = unanswered

    def inject_fault(self) -> None:
        """Injects a fault, with some probability."""
        now, world = self.cluster.network.time, self.cluster.network
        ips = [ip for ip in world.machines if ip not in self.down and world.machines[ip].on]
        if self.rng.random() > 0.06 or not ips or now < self.quiet_until:
            return
        if self.rng.random() < 0.2:  # The pause can be long enough for the loss of a disk after it.
            self.quiet_until = now + self.rng.uniform(0, CATCH_UP_S + 3)
        ip, span = self.rng.choice(ips), self.rng.uniform(0.1, 3.0)
        calm = (
            not self.down
            and not world.cuts
            and now - self.last_fault_at > CATCH_UP_S
            and not any(machine.frozen for machine in world.machines.values())
        )
        kinds = ("kill", "power", "cut", "one way", "freeze", "all", "spare")
        kind = "lose" if calm and self.rng.random() < 0.6 else self.rng.choice(kinds)
        if kind in ("kill", "power"):
            self.off(ip, kind == "power", span)
        elif kind == "freeze":
            world.machines[ip].frozen = True
        elif kind == "spare" and len(world.machines) < 7:  # Another machine may be unreachable meanwhile.
            self.add_machine(0.0)
        elif kind == "all":
            for each in ips:
                self.off(each, self.rng.random() < 0.7, self.rng.uniform(0.1, 1.0))
        elif kind in ("cut", "one way"):
            side = self.rng.sample(ips, self.rng.randrange(1, len(ips) + 1))
            other_side = [each for each in ips if each not in side]
            world.cuts = {(a, b) for a in side for b in other_side}
            if kind == "cut":
                world.cuts |= {(b, a) for a in side for b in other_side}
            self.cuts_end_at = now + span
        elif kind == "lose":
            self.lose(ip, span)
        self.last_fault_at = now

    def off(self, ip: str, power: bool, span: float) -> None:
        """Ends a process, and restarts it later."""
        self.cluster.network.machines[ip].off(power)
        self.down[ip] = self.cluster.network.time + span

    def lose(self, ip: str, span: float) -> None:
        """Loses a disk, or replaces a machine by one with an empty disk."""
        self.wipes += 1
        self.off(ip, True, span)
        if self.rng.random() < 0.5:
            self.cluster.network.machines[ip].disk.files.clear()
            return
        del self.cluster.network.machines[ip], self.down[ip]
        self.add_machine(span)

    def add_machine(self, span: float) -> None:
        """Adds a machine with an empty disk."""
        self.next_machine += 1
        new = f"10.0.0.{self.next_machine}"
        self.cluster.network.machine(new)
        self.down[new] = self.cluster.network.time + span

    def end_faults(self) -> None:
        """Ends all faults; then a call is answered soon, and all machines describe the same state."""
        self.cluster.network.cuts.clear()
        for ip in list(self.down):
            self.cluster.start(ip)
        for machine in self.cluster.network.machines.values():
            if machine.frozen:
                machine.unfreeze()
        self.down = {}
        self.cluster.run(4.0)
        self.check_answers()
        self.version += 1
        self.send(next(iter(self.cluster.network.machines)), self.version)
        self.cluster.run(0.9)
        self.check_answers()
        assert self.acked == self.version
        for ip in self.cluster.network.machines:
            self.pending.append((self.cluster.describe(ip), -1, self.acked))
        before = self.reads
        self.cluster.run(0.9)
        self.check_answers()
        assert self.reads - before == len(self.cluster.network.machines)


def play(seed: int, count: int, steps: int = 500) -> FaultRun:
    """Plays a run of 25 s, and its end without faults."""
    fault_run = FaultRun(seed, count)
    fault_run.cluster.run(1.0)
    for _ in range(steps):
        fault_run.step()
        fault_run.operate()
        fault_run.inject_fault()
    fault_run.end_faults()
    return fault_run


@pytest.mark.parametrize("count", [3, 5])
def test_runs_with_faults(count: int) -> None:
    runs = [play(seed, count) for seed in range(RUNS)]
    assert sum(run.wipes for run in runs) >= RUNS // 4
    assert all(run.acks > 20 and run.reads > 20 for run in runs)


def test_found_an_answer_before_the_sync_in_whole_control_nodes(monkeypatch: pytest.MonkeyPatch) -> None:
    def vote(self: Voter, request: Request, text: bytes | None) -> Answer | None:
        state, answer = self.acceptor.answer(request)
        self.acceptor.state = state  # The disk is written only after the answer.
        self.host.after(0.05, lambda: self.store.save(self.acceptor.state))
        if text is not None:
            assert isinstance(request, Accept)
            self.store.put_text(request.state.digest, text)
        return answer

    monkeypatch.setattr(Voter, "vote", vote)
    with pytest.raises(AssertionError, match="read after"):
        play_all(3)


def play_all(count: int) -> None:
    """Plays all seeds."""
    for seed in range(40):
        play(seed, count)
