"""Rolls three real control processes from one checkout to another and back, and starts them cold.

    python -m bench.compatibility.rolling_upgrade OTHER_CHECKOUT

The processes begin as OTHER_CHECKOUT's. One by one they are ended by SIGTERM and started from this checkout,
one of them goes back, then all of them are started again on the disks that are there. At each step a new
configuration is ordered, the newest and an older one are sent again (200 wanted) and other contents are sent
under their versions (409 wanted), at every node. One line a step; status 1 where one is not as wanted.
"""

from __future__ import annotations

import argparse
import os
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from bench.control_by_hand import ControlNode, Session, configuration

HERE = Path(__file__).resolve().parents[2]
END_S = 10.0  # that a process has to end after SIGTERM
OLDER = 3  # versions between the newest and the older one that is sent again
TIMEOUTS_MS = (3000, 1234)  # of the routes, by which contents differ


def end_gracefully(node: ControlNode) -> int | None:
    """End a process by SIGTERM; its status, None where it had to be killed."""
    node.send(signal.SIGTERM)
    assert node.process is not None
    try:
        return node.process.wait(END_S)
    except subprocess.TimeoutExpired:
        node.end()
        return None


class Upgrade(Session):
    """The session of three nodes, and the checkouts that they run."""

    def __init__(self, folder: Path, other: Path) -> None:
        super().__init__(folder, rounds=0, changes=0)
        self.other = other

    def restart(self, number: int, checkout: Path) -> str:
        """End a node and start it from a checkout; what its end was."""
        node = self.nodes[number]
        status = end_gracefully(node)
        node.checkout = checkout
        node.start()
        return f"status {status}"

    def step(self, what: str) -> None:
        """Order a new configuration, and others again, at every node."""
        newest = self.next(TIMEOUTS_MS[0])
        first = self.until(self.nodes[self.version % len(self.nodes)], newest)[0]
        versions = [self.version, max(1, self.version - OLDER)]
        again, other, read = [], [], []
        for node in self.nodes:
            again += [self.until(node, configuration(version, TIMEOUTS_MS[0]))[0] for version in versions]
            other += [self.until(node, configuration(version, TIMEOUTS_MS[1]))[0] for version in versions]
            read.append(self.described(node) == (200, newest))
        good = first == 200 and set(again) == {200} and set(other) == {409} and all(read)
        self.tell(what, f"new {first}, same {again}, other {other}, read back {read}", good)

    def described(self, node: ControlNode) -> tuple[int, bytes]:
        """What a node describes, once it answers for sure."""
        end = time.monotonic() + END_S
        answer = node.describe()
        while answer[0] != 200 and time.monotonic() < end:
            time.sleep(0.05)
            answer = node.describe()
        return answer

    def play(self) -> int:
        """All steps; the exit status."""
        for node in self.nodes:
            node.checkout = self.other
            node.start()
        try:
            for _ in range(OLDER + 1):
                self.until(self.nodes[0], self.next(TIMEOUTS_MS[0]))
            self.step("three processes of the other checkout")
            for number in range(len(self.nodes)):
                ended = self.restart(number, HERE)
                self.step(f"process {number + 1} now of this checkout, the other ended with {ended}")
            ended = self.restart(0, self.other)
            self.step(f"process 1 back to the other checkout, this one's ended with {ended}")
            for node in self.nodes:
                node.end()
            for node in self.nodes:
                node.checkout = HERE
                node.start()
            self.step("all killed, and started cold from this checkout on their disks")
        finally:
            for node in self.nodes:
                node.end()
        return 1 if self.bad else 0


def main(arguments: list[str]) -> int:
    """Play; the exit status."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    parser.add_argument("checkout", type=Path)
    asked = parser.parse_args(arguments)
    with tempfile.TemporaryDirectory(dir=os.environ.get("TMPDIR")) as folder:
        return Upgrade(Path(folder), asked.checkout.resolve()).play()


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
