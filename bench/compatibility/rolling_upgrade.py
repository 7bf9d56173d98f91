"""Upgrades three real control processes from one checkout to another and back, then restarts them together.

    python -m bench.compatibility.rolling_upgrade OTHER_CHECKOUT

The processes start from OTHER_CHECKOUT. One by one they are ended by SIGTERM and started from this checkout;
one of them goes back; then all of them are killed and started again on their disks. Each step replaces the
configuration, sends the newest and an older one again (expected: 200) and sends different contents under
their versions (expected: 409), at every node. Prints one line for each step; status 1 where one fails.
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

THIS_CHECKOUT = Path(__file__).resolve().parents[2]
END_TIMEOUT_S = 10.0  # Time limit of a process to end after SIGTERM.
VERSION_GAP = 3  # Versions between the newest one and the older one that is sent again.
TIMEOUTS_MS = (3000, 1234)  # Time-outs of the routes, which make the contents differ.


def end_gracefully(node: ControlNode) -> int | None:
    """Ends a process by SIGTERM; returns its exit status, or None where it had to be killed."""
    node.signal_process(signal.SIGTERM)
    assert node.process is not None
    try:
        return node.process.wait(END_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        node.kill()
        return None


class Upgrade(Session):
    """A session of three nodes with the checkout that each one runs."""

    def __init__(self, folder: Path, other: Path) -> None:
        super().__init__(folder, rounds=0, changes=0)
        self.other = other

    def restart(self, number: int, checkout: Path) -> str:
        """Ends a node and starts it from a checkout; returns a text with its exit status."""
        node = self.nodes[number]
        status = end_gracefully(node)
        node.checkout = checkout
        node.start()
        return f"status {status}"

    def step(self, action: str) -> None:
        """Replaces the configuration and repeats earlier and conflicting requests at every node."""
        newest = self.next_configuration(TIMEOUTS_MS[0])
        first = self.replace_until_answered(self.nodes[self.version % len(self.nodes)], newest)[0]
        versions = [self.version, max(1, self.version - VERSION_GAP)]
        repeated_statuses, other, read = [], [], []
        for node in self.nodes:
            repeated_statuses += [
                self.replace_until_answered(node, configuration(version, TIMEOUTS_MS[0]))[0]
                for version in versions
            ]
            other += [
                self.replace_until_answered(node, configuration(version, TIMEOUTS_MS[1]))[0]
                for version in versions
            ]
            read.append(self.describe_until_confirmed(node) == (200, newest))
        is_good = first == 200 and set(repeated_statuses) == {200} and set(other) == {409} and all(read)
        self.print_result(
            action, f"new {first}, same {repeated_statuses}, other {other}, read back {read}", is_good
        )

    def describe_until_confirmed(self, node: ControlNode) -> tuple[int, bytes]:
        """Returns a node's description, retried until its status is 200 or `END_TIMEOUT_S` have passed."""
        end = time.monotonic() + END_TIMEOUT_S
        answer = node.describe()
        while answer[0] != 200 and time.monotonic() < end:
            time.sleep(0.05)
            answer = node.describe()
        return answer

    def run(self) -> int:
        """Runs all steps; returns the exit status."""
        for node in self.nodes:
            node.checkout = self.other
            node.start()
        try:
            for _ in range(VERSION_GAP + 1):
                self.replace_until_answered(self.nodes[0], self.next_configuration(TIMEOUTS_MS[0]))
            self.step("three processes of the other checkout")
            for number in range(len(self.nodes)):
                exit_text = self.restart(number, THIS_CHECKOUT)
                self.step(f"process {number + 1} now of this checkout, the other ended with {exit_text}")
            exit_text = self.restart(0, self.other)
            self.step(f"process 1 back to the other checkout, this one's ended with {exit_text}")
            for node in self.nodes:
                node.kill()
            for node in self.nodes:
                node.checkout = THIS_CHECKOUT
                node.start()
            self.step("all killed, and started cold from this checkout on their disks")
        finally:
            for node in self.nodes:
                node.kill()
        return 1 if self.failure_count else 0


def main(arguments: list[str]) -> int:
    """Runs the upgrade; returns the exit status."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    parser.add_argument("checkout", type=Path)
    options = parser.parse_args(arguments)
    with tempfile.TemporaryDirectory(dir=os.environ.get("TMPDIR")) as folder:
        return Upgrade(Path(folder), options.checkout.resolve()).run()


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
