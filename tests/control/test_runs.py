"""Seeded runs of whole control nodes under trouble: nothing acknowledged is lost; calm brings answers."""

from __future__ import annotations

import os
from random import Random

import pytest

from honeywharf.control.mesh_state import MemberId, member_ids
from honeywharf.control.messages import Accept, Answer, Request
from honeywharf.control.voter import Voter
from tests.control.cluster import Call, ControlCluster

RUNS = int(os.environ.get("RUNS", "12"))
CATCH_UP = 4.0  # s after which a machine that was lost no longer counts as such


class Story:
    """A run: an operator's calls and what came of them, and troubles within what may be lost."""

    def __init__(self, seed: int, count: int) -> None:
        self.rng = Random(seed)
        self.cluster = ControlCluster(seed, count)
        self.version = 0
        self.sent: dict[int, bytes] = {}
        self.open: list[tuple[Call, int, int]] = []  # call, version or -1, acknowledged when it was made
        self.acked = 0  # highest version acknowledged or read
        self.troubled = 0.0  # when the last trouble ended
        self.down: dict[str, float] = {}  # machines without a process, and when they are started again
        self.healed = 0.0  # when the cuts end
        self.lull = 0.0  # until then nothing happens
        self.fresh = count + 1
        self.rosters: dict[int, list[MemberId]] = {}  # decided, by epoch
        self.wipes = self.acks = self.reads = 0

    def step(self) -> None:
        """A twentieth of a second."""
        self.cluster.run(0.05)
        self.judge()
        self.compare()
        now = self.cluster.network.time
        for ip in [ip for ip, when in self.down.items() if when <= now]:
            del self.down[ip]
            self.cluster.start(ip)
            self.troubled = now
        if self.cluster.network.cuts and now >= self.healed:
            self.cluster.network.cuts.clear()
            self.troubled = now
        for machine in self.cluster.network.machines.values():
            if machine.frozen and self.rng.random() < 0.05:
                machine.thaw()
                self.troubled = now

    def compare(self) -> None:
        """No two machines know different rosters as decided under one epoch."""
        for ip, machine in self.cluster.network.machines.items():
            if machine.on and ip in self.cluster.programs:
                state = self.cluster.programs[ip].replica.state
                known = self.rosters.setdefault(state.epoch, member_ids(state.members)) if state.epoch else []
                assert not state.epoch or known == member_ids(state.members)

    def operate(self) -> None:
        """Maybe a call or two, to anybody."""
        ips = list(self.cluster.network.machines)
        if self.rng.random() < 0.3:
            for ip in self.rng.sample(ips, self.rng.choice((1, 1, 2))):
                self.version += self.rng.choice((1, 3))
                self.send(ip, self.version)
        if self.rng.random() < 0.1 and self.sent:
            self.send(self.rng.choice(ips), self.rng.choice(list(self.sent)))  # an older one once more
        if self.rng.random() < 0.3:
            self.open.append((self.cluster.describe(self.rng.choice(ips)), -1, self.acked))

    def send(self, ip: str, version: int) -> None:
        content = self.rng.randbytes(self.rng.choice((4, 3000))).hex().encode()
        self.sent.setdefault(version, b"r%d " % version + content)
        call = self.cluster.call(ip, "POST", "/api/configuration/replace", self.sent[version])
        self.open.append((call, version, self.acked))

    def judge(self) -> None:
        """What was answered since: nothing told is older than what was acknowledged before it was asked."""
        left = []
        for call, version, floor in self.open:
            if not call.answers:
                left.append((call, version, floor))
                continue
            status, body, _ = call.answers[0]
            if version >= 0 and status == 200:
                self.acked, self.acks = max(self.acked, version), self.acks + 1
            elif version < 0 and status == 200:
                told = int(body.split(b" ")[0][1:])
                assert told >= floor, f"r{told} was told after r{floor}"
                assert body == self.sent[told]
                self.acked, self.reads = max(self.acked, told), self.reads + 1
            elif version < 0 and status == 404:
                assert floor == 0, f"nothing was told after r{floor}"
        self.open = left

    def trouble(self) -> None:
        """Maybe one more."""
        now, world = self.cluster.network.time, self.cluster.network
        ips = [ip for ip in world.machines if ip not in self.down and world.machines[ip].on]
        if self.rng.random() > 0.06 or not ips or now < self.lull:
            return
        if self.rng.random() < 0.2:  # long enough for a disk to be lost after it
            self.lull = now + self.rng.uniform(0, CATCH_UP + 3)
        ip, span = self.rng.choice(ips), self.rng.uniform(0.1, 3.0)
        calm = (
            not self.down
            and not world.cuts
            and now - self.troubled > CATCH_UP
            and not any(machine.frozen for machine in world.machines.values())
        )
        kinds = ("kill", "power", "cut", "one way", "freeze", "all", "spare")
        kind = "lose" if calm and self.rng.random() < 0.6 else self.rng.choice(kinds)
        if kind in ("kill", "power"):
            self.off(ip, kind == "power", span)
        elif kind == "freeze":
            world.machines[ip].frozen = True
        elif kind == "spare" and len(world.machines) < 7:  # maybe while another is silent for a while
            self.appear(0.0)
        elif kind == "all":
            for each in ips:
                self.off(each, self.rng.random() < 0.7, self.rng.uniform(0.1, 1.0))
        elif kind in ("cut", "one way"):
            side = self.rng.sample(ips, self.rng.randrange(1, len(ips) + 1))
            rest = [each for each in ips if each not in side]
            world.cuts = {(a, b) for a in side for b in rest}
            if kind == "cut":
                world.cuts |= {(b, a) for a in side for b in rest}
            self.healed = now + span
        elif kind == "lose":
            self.lose(ip, span)
        self.troubled = now

    def off(self, ip: str, power: bool, span: float) -> None:
        """End a process, and start it later."""
        self.cluster.network.machines[ip].off(power)
        self.down[ip] = self.cluster.network.time + span

    def lose(self, ip: str, span: float) -> None:
        """A disk is lost, or a machine for good and an empty one comes."""
        self.wipes += 1
        self.off(ip, True, span)
        if self.rng.random() < 0.5:
            self.cluster.network.machines[ip].disk.files.clear()
            return
        del self.cluster.network.machines[ip], self.down[ip]
        self.appear(span)

    def appear(self, span: float) -> None:
        """A machine with an empty disk comes."""
        self.fresh += 1
        new = f"10.0.0.{self.fresh}"
        self.cluster.network.machine(new)
        self.down[new] = self.cluster.network.time + span

    def calm(self) -> None:
        """Everything is mended; soon a call is answered, and everybody tells the same."""
        self.cluster.network.cuts.clear()
        for ip in list(self.down):
            self.cluster.start(ip)
        for machine in self.cluster.network.machines.values():
            if machine.frozen:
                machine.thaw()
        self.down = {}
        self.cluster.run(4.0)
        self.judge()
        self.version += 1
        self.send(next(iter(self.cluster.network.machines)), self.version)
        self.cluster.run(0.9)
        self.judge()
        assert self.acked == self.version
        for ip in self.cluster.network.machines:
            self.open.append((self.cluster.describe(ip), -1, self.acked))
        before = self.reads
        self.cluster.run(0.9)
        self.judge()
        assert self.reads - before == len(self.cluster.network.machines)


def play(seed: int, count: int, steps: int = 500) -> Story:
    """A run of 25 s and its calm end."""
    story = Story(seed, count)
    story.cluster.run(1.0)
    for _ in range(steps):
        story.step()
        story.operate()
        story.trouble()
    story.calm()
    return story


@pytest.mark.parametrize("count", [3, 5])
def test_runs_under_trouble(count: int) -> None:
    stories = [play(seed, count) for seed in range(RUNS)]
    assert sum(story.wipes for story in stories) >= RUNS // 4
    assert all(story.acks > 20 and story.reads > 20 for story in stories)


def test_found_an_answer_before_the_sync_in_whole_control_nodes(monkeypatch: pytest.MonkeyPatch) -> None:
    def vote(self: Voter, request: Request, text: bytes | None) -> Answer | None:
        state, answer = self.acceptor.answer(request)
        self.acceptor.state = state  # and only then, some other time, the disk
        self.host.after(0.05, lambda: self.store.save(self.acceptor.state))
        if text is not None:
            assert isinstance(request, Accept)
            self.store.put_text(request.state.digest, text)
        return answer

    monkeypatch.setattr(Voter, "vote", vote)
    with pytest.raises(AssertionError, match="told after"):
        for_all(3)


def for_all(count: int) -> None:
    """Play all seeds."""
    for seed in range(40):
        play(seed, count)
