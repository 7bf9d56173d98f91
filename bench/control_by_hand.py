"""Real control nodes on loopback: their responses under faults, through the published calls.

    python -m bench.control_by_hand [--rounds 40] [--changes 300]

Starts three control processes, and later a fourth, with temporary data directories. Prints one line for each
part: the actions, the responses, and whether they are as expected. Status 1 where they are not.
"""

from __future__ import annotations

import argparse
import json
import os
import signal
import subprocess
import sys
import tempfile
import threading
import time
from collections import Counter
from http.client import HTTPConnection, HTTPException
from pathlib import Path
from typing import Any

from honeywharf.simulation import deployment
from honeywharf.standins import meshdemo

THIS_CHECKOUT = Path(__file__).resolve().parents[1]
START_TIMEOUT_S = 10.0
CALL_TIMEOUT_S = 2.0
MINORITY_S = 9.0
DETECTION_S = 1.5  # A control node has detected the loss of its majority after this time.
RETRY_INTERVAL_S = 0.05
Answer = tuple[int, bytes]
NO_ANSWER: Answer = (0, b"")


def configuration(version: int, timeout_ms: int) -> bytes:
    """Returns a valid configuration; contents differ by a route's time-out."""
    valid = meshdemo.configuration(version, moved=False)
    fields = json.loads(valid.text)
    fields["routes"][0]["timeout"] = f"{timeout_ms}ms"
    return json.dumps(fields).encode()


class ControlNode:
    """One control process at a loopback address."""

    def __init__(self, folder: Path, ip: str, shift: int, seeds: list[str], first: bool) -> None:
        self.ip, self.port, self.folder = ip, deployment.CONTROL + shift, folder / ip
        self.folder.mkdir()
        settings: dict[str, Any] = json.loads(
            deployment.settings(ip, deployment.ZONES[int(ip[-1]) % 3], seeds, first)
        )
        settings["listen-addresses"]["control-plane"] = f"{ip}:{self.port}"
        settings["internal-port-range"] = [deployment.INTERNAL + shift, deployment.INTERNAL + shift + 15]
        settings["seed-nodes"] = [f"{seed}:{self.port}" for seed in seeds]
        settings["data-directory"] = str(self.folder)
        self.settings, self.file = settings, folder / f"{ip}.yaml"
        self.checkout = THIS_CHECKOUT  # The checkout whose code runs.
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Starts the process."""
        self.file.write_text(json.dumps(self.settings))
        self.settings["initial-start"] = False
        self.process = subprocess.Popen(
            [sys.executable, "-P", "-m", "honeywharf.programs.control"],
            cwd=self.checkout,
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
            stdin=subprocess.DEVNULL,
            env={
                **os.environ,
                "HONEYWHARF_SETTINGS": str(self.file),
                "PYTHONPATH": str(self.checkout),
            },
        )

    def signal_process(self, number: int) -> None:
        """Sends a signal, if the process runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kills the process."""
        self.signal_process(signal.SIGCONT)
        self.signal_process(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def call(self, method: str, path: str, body: bytes = b"") -> Answer:
        """Makes one call; returns `NO_ANSWER` if none arrives."""
        connection = HTTPConnection(self.ip, self.port, timeout=CALL_TIMEOUT_S)
        try:
            connection.request(method, path, body)
            answer = connection.getresponse()
            return answer.status, answer.read()
        except (OSError, HTTPException):
            return NO_ANSWER
        finally:
            connection.close()

    def replace(self, text: bytes) -> Answer:
        """Sends a configuration."""
        return self.call("POST", "/api/configuration/replace", text)

    def describe(self) -> Answer:
        """Returns the current configuration."""
        return self.call("GET", "/api/configuration/describe")


class Session:
    """The control nodes, and the number of failed parts."""

    def __init__(self, folder: Path, rounds: int, changes: int) -> None:
        self.rounds, self.changes = rounds, changes
        subnet, shift = meshdemo.find_free_subnet()
        seeds = [f"{subnet}.{number}" for number in (1, 2, 3)]
        self.nodes = [ControlNode(folder, ip, shift, seeds, True) for ip in seeds]
        self.standby = ControlNode(folder, f"{subnet}.4", shift, seeds, False)
        self.version = 0
        self.failure_count = 0

    def print_result(self, actions: str, responses: str, is_good: bool) -> None:
        """Prints one line."""
        self.failure_count += not is_good
        print(f"{'good' if is_good else 'BAD '} | {actions} | {responses}", flush=True)

    def replace_until_answered(
        self, node: ControlNode, text: bytes, within: float = START_TIMEOUT_S
    ) -> Answer:
        """Sends a configuration until the answer is definite or `within` seconds have passed."""
        end = time.monotonic() + within
        while True:
            answer = node.replace(text)
            if answer[0] in (200, 400, 409) or time.monotonic() > end:
                return answer
            time.sleep(RETRY_INTERVAL_S)

    def next_configuration(self, timeout_ms: int = 3000) -> bytes:
        """Returns a configuration of the next version."""
        self.version += 1
        return configuration(self.version, timeout_ms)

    def send_conflicting_contents(self) -> None:
        """Sends two contents under one version at the same time."""
        rounds_by_result: Counter[str] = Counter()
        for _ in range(self.rounds):
            self.version += 1
            texts = [configuration(self.version, timeout) for timeout in (2000, 2500)]
            answers = [NO_ANSWER, NO_ANSWER]

            def order(number: int, texts: list[bytes] = texts, answers: list[Answer] = answers) -> None:
                answers[number] = self.replace_until_answered(self.nodes[number], texts[number])

            threads = [threading.Thread(target=order, args=(number,)) for number in (0, 1)]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
            statuses = [status for status, _ in answers]
            described_contents = {node.describe()[1] for node in self.nodes}
            is_correct = sorted(statuses) == [200, 409] and described_contents == {texts[statuses.index(200)]}
            rounds_by_result[
                "one confirmed, one 409, the confirmed one read back" if is_correct else f"{statuses}"
            ] += 1
        self.print_result(
            f"two contents under one version, {self.rounds} rounds",
            str(dict(rounds_by_result)),
            len(rounds_by_result) == 1,
        )

    def repeat_requests(self) -> None:
        """Repeats confirmed configurations, and sends other contents under their versions."""
        first = self.next_configuration()
        later = [self.next_configuration() for _ in range(10)]
        self.replace_until_answered(self.nodes[0], first)
        for text in later:
            self.replace_until_answered(self.nodes[1], text)
        repeated_statuses = [
            self.replace_until_answered(node, text)[0] for node in self.nodes for text in (first, later[-1])
        ]
        self.print_result(
            "a confirmed order sent again to each machine, after ten more",
            str(repeated_statuses),
            set(repeated_statuses) == {200},
        )
        version = self.version
        other_statuses = [
            self.replace_until_answered(node, configuration(number, 1234))[0]
            for node in self.nodes
            for number in (version - 10, version)
        ]
        self.print_result(
            "another content under these versions", str(other_statuses), set(other_statuses) == {409}
        )

    def call_minority(self) -> None:
        """Calls one node whose majority is frozen."""
        newest = self.next_configuration()
        self.replace_until_answered(self.nodes[0], newest)
        for node in self.nodes[1:]:
            node.signal_process(signal.SIGSTOP)
        time.sleep(DETECTION_S)
        answers: Counter[int] = Counter()
        slowest, end = 0.0, time.monotonic() + MINORITY_S
        while time.monotonic() < end:
            for call in (
                ("POST", "/api/configuration/replace", newest),
                ("POST", "/api/configuration/replace", configuration(self.version, 1234)),
                ("POST", "/api/configuration/replace", configuration(self.version + 1, 1234)),
                ("POST", f"/api/evacuations/{deployment.ZONES[0]}/start", b""),
                ("GET", "/api/configuration/describe", b""),
                ("GET", "/api/readiness", b""),
            ):
                started_at = time.monotonic()
                answers[self.nodes[0].call(*call)[0]] += 1
                slowest = max(slowest, time.monotonic() - started_at)
        for node in self.nodes[1:]:
            node.signal_process(signal.SIGCONT)
        responses = f"{dict(answers)}, slowest {slowest * 1000:.0f} ms"
        self.print_result(
            f"one machine without its majority for {MINORITY_S:g} s, every call",
            responses,
            set(answers) == {503},
        )
        status = self.replace_until_answered(self.nodes[0], newest)[0]
        self.print_result("the same order when the others are back", str(status), status == 200)

    def miss_changes(self) -> None:
        """Makes many changes; one machine is down for half of them."""
        for number in range(self.changes):
            if number == self.changes // 4:
                self.nodes[2].kill()
            if number == self.changes * 3 // 4:
                self.nodes[2].start()
            self.replace_until_answered(self.nodes[number % 2], self.next_configuration())
        end = time.monotonic() + 4.0
        newest = self.nodes[0].describe()
        while self.nodes[2].describe() != newest and time.monotonic() < end:
            time.sleep(RETRY_INTERVAL_S)
        sizes = [
            (len(list(node.folder.iterdir())), sum(file.stat().st_size for file in node.folder.iterdir()))
            for node in self.nodes
        ]
        files, bytes_ = max(count for count, _ in sizes), max(size for _, size in sizes)
        self.print_result(
            f"{self.changes} changes, one machine down for half of them",
            f"caught up {self.nodes[2].describe() == newest}, at most {files} files and {bytes_} bytes",
            self.nodes[2].describe() == newest,
        )

    def lose_second_machine(self) -> None:
        """Replaces one machine as planned and kills another one right after."""
        newest = self.next_configuration()
        self.replace_until_answered(self.nodes[0], newest)
        self.standby.start()
        time.sleep(4.0)
        self.nodes[0].signal_process(signal.SIGTERM)
        assert self.nodes[0].process is not None
        status = self.nodes[0].process.wait()
        self.nodes[1].kill()
        remaining = [self.nodes[2], self.standby]
        time.sleep(DETECTION_S)
        is_described = [node.describe() == (200, newest) for node in remaining]
        next_status = self.replace_until_answered(self.standby, self.next_configuration())[0]
        members = json.loads(self.standby.call("GET", "/api/members")[1] or b"{}")
        self.print_result(
            "planned replacement (SIGTERM), then another machine killed",
            f"exit {status}, described {is_described}, next order {next_status},"
            f" bearable {members.get('bearable-losses')}",
            status == 0 and all(is_described) and next_status == 200,
        )

    def run(self) -> int:
        """Runs all parts; returns the exit status."""
        for node in self.nodes:
            node.start()
        try:
            status = self.replace_until_answered(self.nodes[0], self.next_configuration(), START_TIMEOUT_S)[0]
            self.print_result("three control nodes, the first configuration", str(status), status == 200)
            self.send_conflicting_contents()
            self.repeat_requests()
            self.call_minority()
            self.miss_changes()
            self.lose_second_machine()
        finally:
            for node in (*self.nodes, self.standby):
                node.kill()
        return 1 if self.failure_count else 0


def main(arguments: list[str]) -> int:
    """Runs the session; returns the exit status."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else "")
    parser.add_argument("--rounds", type=int, default=40)
    parser.add_argument("--changes", type=int, default=300)
    options = parser.parse_args(arguments)
    with tempfile.TemporaryDirectory() as folder:
        return Session(Path(folder), options.rounds, options.changes).run()


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
