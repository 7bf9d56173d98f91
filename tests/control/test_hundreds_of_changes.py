"""Members that miss some of hundreds of changes catch up in time, and never serve an old state.

Their disks stay small. CHANGES sets the number of changes (2,000 for a long run).
"""

from __future__ import annotations

import os
from random import Random

import pytest

from honeywharf.control.version_history import MAX_VERSIONS, RECORD_SIZE
from tests.control.cluster import Call, ControlCluster

CHANGES = int(os.environ.get("CHANGES", "240"))
CATCH_UP_S = 4.0
TEXT_BYTES = 600
FILES_BOUND = 12  # The register, the texts in use, the last texts, and the history.
IPS = ["10.0.0.1", "10.0.0.2", "10.0.0.3"]


class ChangeSequence:
    """A sequence of changes, with the confirmed contents."""

    def __init__(self, seed: int) -> None:
        self.rng = Random(seed)
        self.cluster = ControlCluster(seed)
        self.cluster.run(1.0)
        self.version = 0
        self.contents: dict[int, str] = {}
        self.reads: list[tuple[Call, int]] = []

    def change(self, living: list[str]) -> None:
        """Makes one more change through a living member, while all members are read."""
        self.version += self.rng.choice((1, 1, 3))
        content = self.rng.randbytes(TEXT_BYTES).hex()
        floor = max(self.contents, default=0)
        self.reads += [
            (self.cluster.describe(ip), floor) for ip in IPS if self.cluster.network.machines[ip].on
        ]
        while True:
            call = self.cluster.replace(self.rng.choice(living), self.version, content)
            while not call.status:
                self.cluster.run(0.01)
            if call.status == 200:
                break
            assert call.status == 503
        self.contents[self.version] = content
        self.check_reads()

    def check_reads(self) -> None:
        """Checks that no read is older than what was confirmed before it started."""
        for call, floor in [read for read in self.reads if read[0].status]:
            status, body, _ = call.answers[0]
            if status == 200:
                head, _, content = body.partition(b" ")
                version = int(head[1:])
                assert version >= floor
                assert self.contents.get(version, content.decode()) == content.decode()
        self.reads = [read for read in self.reads if not read[0].status]

    def check_caught_up(self, ip: str) -> None:
        """Checks that a member votes, and has the same state, text and version history as the others."""
        programs = self.cluster.programs
        replica = programs[ip].replica
        assert replica.known_state is not None
        assert replica.known_state.version == self.version
        assert replica.store.has_text(replica.known_state.digest)
        assert replica.is_member()
        values = [programs[each].replica.state.value for each in IPS]
        assert len({None if value is None else value.revision for value in values}) == 1
        assert values[0] is not None
        assert values == [values[0]] * 3
        assert len(values[0].history) == min(len(self.contents), MAX_VERSIONS)

    def check_bounded(self) -> None:
        """Checks that the files on a disk do not grow with the number of changes."""
        for ip in IPS:
            files = self.cluster.network.machines[ip].disk.files
            assert len(files) <= FILES_BOUND + 8, sorted(files)  # The drift history has texts, too.
            register = len(files["register"])
            assert register < MAX_VERSIONS * RECORD_SIZE + 4096

    def miss_changes(self, ip: str, how: str, changes: int) -> None:
        """Lets a member miss some changes and return."""
        others = [each for each in IPS if each != ip]
        machine = self.cluster.network.machines[ip]
        if how == "cut":
            self.cluster.split([ip], others)
        elif how == "frozen":
            machine.frozen = True
        else:
            machine.off(power=how != "killed")
        if how == "wiped":
            machine.disk.files.clear()
        for _ in range(changes):
            self.change(others)
        if how == "cut":
            self.cluster.network.cuts.clear()
        elif how == "frozen":
            machine.unfreeze()
        else:
            self.cluster.start(ip)
        for _ in range(self.rng.choice((0, 3))):
            self.change(others)
        self.cluster.run(CATCH_UP_S)
        self.check_reads()
        self.check_caught_up(ip)
        self.check_bounded()


@pytest.mark.parametrize("how", ["killed", "power", "wiped", "cut", "frozen"])
def test_a_member_that_missed_changes_catches_up(how: str) -> None:
    sequence = ChangeSequence(41)
    spans = (1, 2, 7, CHANGES // 8, CHANGES // 4, CHANGES // 2)
    for number, span in enumerate(spans):
        sequence.miss_changes(IPS[number % 3], how, max(1, span))
    first, last = min(sequence.contents), max(sequence.contents)
    again = [
        sequence.cluster.replace(ip, version, sequence.contents[version])
        for ip in IPS
        for version in (first, last)
    ]
    other = [sequence.cluster.replace(ip, version, "another") for ip in IPS for version in (first, last)]
    sequence.cluster.run(0.9)
    assert {call.status for call in again} == {200}
    assert {call.status for call in other} == {409}


def test_a_member_that_missed_changes_proposes_from_the_newest_state_at_once() -> None:
    sequence = ChangeSequence(42)
    for seed in range(6):
        ip = IPS[seed % 3]
        others = [each for each in IPS if each != ip]
        sequence.cluster.network.machines[ip].off(power=True)
        for _ in range(5):
            sequence.change(others)
        sequence.cluster.start(ip)
        sequence.cluster.run(0.3)
        newest = sequence.version
        read, order = sequence.cluster.describe(ip), sequence.cluster.replace(ip, newest, "another")
        sequence.cluster.run(0.9)
        assert read.status in (200, 503)
        assert read.status == 503 or read.answers[0][1].startswith(b"r%d " % newest)
        assert order.status in (409, 503)
