"""Real control nodes on loopback, asked through the published calls: what they answer on the worst days.

    python -m bench.control_by_hand [--rounds 40] [--changes 300]

Starts three control nodes as processes of their own, and later a fourth, with data directories that are
removed at the end. Each part is one line: what was done, what was answered, and whether that is as wanted.
Status 1 where it is not.
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

HERE = Path(__file__).resolve().parents[1]
UP_S = 10.0
CALL_S = 2.0
ALONE_S = 9.0
HEARD_S = 1.5  # after which a control node knows that its majority is silent
RETRY_S = 0.05
Answer = tuple[int, bytes]
NO_ANSWER: Answer = (0, b"")


def configuration(version: int, timeout: int) -> bytes:
    """A valid configuration; contents differ by a route's timeout."""
    order = meshdemo.configuration(version, moved=False)
    whole = json.loads(order.text)
    whole["routes"][0]["timeout"] = f"{timeout}ms"
    return json.dumps(whole).encode()


class ControlNode:
    """One process at an address of loopback."""

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
        self.checkout = HERE  # whose code it runs
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Begin a life."""
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

    def send(self, number: int) -> None:
        """Send a signal, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self) -> None:
        """End it for good."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def call(self, method: str, path: str, body: bytes = b"") -> Answer:
        """One call; `NO_ANSWER` where none came."""
        connection = HTTPConnection(self.ip, self.port, timeout=CALL_S)
        try:
            connection.request(method, path, body)
            answer = connection.getresponse()
            return answer.status, answer.read()
        except (OSError, HTTPException):
            return NO_ANSWER
        finally:
            connection.close()

    def replace(self, text: bytes) -> Answer:
        """An order."""
        return self.call("POST", "/api/configuration/replace", text)

    def describe(self) -> Answer:
        """What is in force."""
        return self.call("GET", "/api/configuration/describe")


class Session:
    """The control nodes, and what was found."""

    def __init__(self, folder: Path, rounds: int, changes: int) -> None:
        self.rounds, self.changes = rounds, changes
        subnet, shift = meshdemo.find_free_subnet()
        seeds = [f"{subnet}.{number}" for number in (1, 2, 3)]
        self.nodes = [ControlNode(folder, ip, shift, seeds, True) for ip in seeds]
        self.standby = ControlNode(folder, f"{subnet}.4", shift, seeds, False)
        self.version = 0
        self.bad = 0

    def tell(self, what: str, answered: str, good: bool) -> None:
        """One line."""
        self.bad += not good
        print(f"{'good' if good else 'BAD '} | {what} | {answered}", flush=True)

    def until(self, node: ControlNode, text: bytes, within: float = UP_S) -> Answer:
        """An order that is sent until its answer is clear."""
        end = time.monotonic() + within
        while True:
            answer = node.replace(text)
            if answer[0] in (200, 400, 409) or time.monotonic() > end:
                return answer
            time.sleep(RETRY_S)

    def next(self, timeout: int = 3000) -> bytes:
        """A configuration of the next version."""
        self.version += 1
        return configuration(self.version, timeout)

    def one_number(self) -> None:
        """Two operators, two contents under one version, at the same time."""
        seen: Counter[str] = Counter()
        for _ in range(self.rounds):
            self.version += 1
            texts = [configuration(self.version, timeout) for timeout in (2000, 2500)]
            answers = [NO_ANSWER, NO_ANSWER]

            def order(number: int, texts: list[bytes] = texts, answers: list[Answer] = answers) -> None:
                answers[number] = self.until(self.nodes[number], texts[number])

            threads = [threading.Thread(target=order, args=(number,)) for number in (0, 1)]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
            statuses = [status for status, _ in answers]
            read = {node.describe()[1] for node in self.nodes}
            right = sorted(statuses) == [200, 409] and read == {texts[statuses.index(200)]}
            seen["one confirmed, one 409, the confirmed one read back" if right else f"{statuses}"] += 1
        self.tell(f"two contents under one version, {self.rounds} rounds", str(dict(seen)), len(seen) == 1)

    def sent_again(self) -> None:
        """Orders again, and other contents under their versions."""
        first = self.next()
        later = [self.next() for _ in range(10)]
        self.until(self.nodes[0], first)
        for text in later:
            self.until(self.nodes[1], text)
        again = [self.until(node, text)[0] for node in self.nodes for text in (first, later[-1])]
        self.tell(
            "a confirmed order sent again to each machine, after ten more", str(again), set(again) == {200}
        )
        version = self.version
        other = [
            self.until(node, configuration(number, 1234))[0]
            for node in self.nodes
            for number in (version - 10, version)
        ]
        self.tell("another content under these versions", str(other), set(other) == {409})

    def alone(self) -> None:
        """One without its majority."""
        newest = self.next()
        self.until(self.nodes[0], newest)
        for node in self.nodes[1:]:
            node.send(signal.SIGSTOP)
        time.sleep(HEARD_S)
        answers: Counter[int] = Counter()
        slowest, end = 0.0, time.monotonic() + ALONE_S
        while time.monotonic() < end:
            for call in (
                ("POST", "/api/configuration/replace", newest),
                ("POST", "/api/configuration/replace", configuration(self.version, 1234)),
                ("POST", "/api/configuration/replace", configuration(self.version + 1, 1234)),
                ("POST", f"/api/evacuations/{deployment.ZONES[0]}/start", b""),
                ("GET", "/api/configuration/describe", b""),
                ("GET", "/api/readiness", b""),
            ):
                begun = time.monotonic()
                answers[self.nodes[0].call(*call)[0]] += 1
                slowest = max(slowest, time.monotonic() - begun)
        for node in self.nodes[1:]:
            node.send(signal.SIGCONT)
        told = f"{dict(answers)}, slowest {slowest * 1000:.0f} ms"
        self.tell(
            f"one machine without its majority for {ALONE_S:g} s, every call", told, set(answers) == {503}
        )
        back = self.until(self.nodes[0], newest)[0]
        self.tell("the same order when the others are back", str(back), back == 200)

    def missed(self) -> None:
        """Many changes, of which one machine misses half."""
        for number in range(self.changes):
            if number == self.changes // 4:
                self.nodes[2].end()
            if number == self.changes * 3 // 4:
                self.nodes[2].start()
            self.until(self.nodes[number % 2], self.next())
        end = time.monotonic() + 4.0
        newest = self.nodes[0].describe()
        while self.nodes[2].describe() != newest and time.monotonic() < end:
            time.sleep(RETRY_S)
        sizes = [
            (len(list(node.folder.iterdir())), sum(file.stat().st_size for file in node.folder.iterdir()))
            for node in self.nodes
        ]
        files, bytes_ = max(count for count, _ in sizes), max(size for _, size in sizes)
        self.tell(
            f"{self.changes} changes, one machine down for half of them",
            f"caught up {self.nodes[2].describe() == newest}, at most {files} files and {bytes_} bytes",
            self.nodes[2].describe() == newest,
        )

    def second_loss(self) -> None:
        """A planned replacement, and a loss right after it."""
        newest = self.next()
        self.until(self.nodes[0], newest)
        self.standby.start()
        time.sleep(4.0)
        self.nodes[0].send(signal.SIGTERM)
        assert self.nodes[0].process is not None
        status = self.nodes[0].process.wait()
        self.nodes[1].end()
        left = [self.nodes[2], self.standby]
        time.sleep(HEARD_S)
        told = [node.describe() == (200, newest) for node in left]
        order = self.until(self.standby, self.next())[0]
        members = json.loads(self.standby.call("GET", "/api/members")[1] or b"{}")
        self.tell(
            "planned replacement (SIGTERM), then another machine killed",
            f"exit {status}, described {told}, next order {order}, bearable {members.get('bearable-losses')}",
            status == 0 and all(told) and order == 200,
        )

    def play(self) -> int:
        """All parts; the exit status."""
        for node in self.nodes:
            node.start()
        try:
            up = self.until(self.nodes[0], self.next(), UP_S)[0]
            self.tell("three control nodes, the first configuration", str(up), up == 200)
            self.one_number()
            self.sent_again()
            self.alone()
            self.missed()
            self.second_loss()
        finally:
            for node in (*self.nodes, self.standby):
                node.end()
        return 1 if self.bad else 0


def main(arguments: list[str]) -> int:
    """Play; the exit status."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else "")
    parser.add_argument("--rounds", type=int, default=40)
    parser.add_argument("--changes", type=int, default=300)
    asked = parser.parse_args(arguments)
    with tempfile.TemporaryDirectory() as folder:
        return Session(Path(folder), asked.rounds, asked.changes).play()


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
