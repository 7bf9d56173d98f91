"""`honeywharf demo --gateway`: drains and kills gateways between two regions on loopback during uploads.

Theory of operation. Gateways and destinations are processes of their own; the source of region a, its clients
and the operator share one event loop in this process. The backend of a destination counts the runs of each
attempt and writes the counts to a file at its end, where they are compared with the outcomes that the clients
received. No delay is added between the regions: the figures show what processes and kernels cost
(`simulation` has delays).
"""

from __future__ import annotations

import json
import os
import random
import signal
import subprocess
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any

from honeywharf.sessions.destination import Destination
from honeywharf.sessions.frames import BULK
from honeywharf.sessions.gateway_location import GatewayLocation
from honeywharf.sessions.session_client import SessionClient
from honeywharf.simulation import deployment
from honeywharf.standins import meshdemo
from honeywharf.transport.event_loop import EventLoop
from honeywharf.transport.host import Connection
from honeywharf.transport.stream import ForwardedRequest
from honeywharf.verdict import NOT_RUN, Verdict

READ, ORDER, UPLOAD = 0, 1, 2
#: Name, kind, share of the requests, bytes of the body, bytes of the answer.
REQUEST_SHAPES = (
    ("tile", READ, 0.35, 0, 20_000),
    ("manifest", READ, 0.2, 0, 400),
    ("inner", READ, 0.25, 0, 50),
    ("print order", ORDER, 0.15, 2_000, 20),
    ("tag deletion", ORDER, 0.05, 0, 20),
)
LATENCY_TARGET_S = {"tile": 0.4, "manifest": 0.4, "inner": 0.15}
REQUEST_TIMEOUT_S, UPLOAD_TIMEOUT_S = 5.0, 60.0
CONCURRENT_UPLOADS = 6
CHUNK_BYTES, CHUNK_INTERVAL_S = 48 * 1024, 0.06  # The rate of an upload's client.
START_TIMEOUT_S = 15.0
SAMPLE_INTERVAL_S = 0.1
MAX_WARNINGS = 8
MAX_ATTEMPTS = 6
REPORTED_LOAD = (1, 0, 8)


class Child:
    """A process of this demo."""

    def __init__(self, arguments: list[str], log: Path, settings: Path | None = None) -> None:
        self.arguments, self.log, self.settings = arguments, log, settings
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Starts the process."""
        more = {} if self.settings is None else {"HONEYWHARF_SETTINGS": str(self.settings)}
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", *self.arguments],
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                env={**os.environ, **more},
            )

    def send(self, number: int) -> None:
        """Sends a signal if the process runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def wait(self) -> None:
        """Waits until the process has ended; kills it if that takes too long."""
        if self.process is not None:
            try:
                self.process.wait(5.0)
            except subprocess.TimeoutExpired:
                self.process.kill()
                self.process.wait()


class DestinationProcess:
    """A destination and its backend in a process of its own. At SIGTERM it writes the runs to `file`."""

    def __init__(self, loop: EventLoop, ip: str, port: int, region: str, file: Path) -> None:
        self.loop, self.file, self.rng = loop, file, random.Random(ip)
        self.runs: Counter[str] = Counter()
        self.sizes: dict[str, int] = {}
        self.destination = Destination(loop, (ip, port), region, self._begin)

    def _begin(self, request: ForwardedRequest, answers: Any) -> _BackendRequest:
        return _BackendRequest(self, request, answers)

    def end(self) -> None:
        """Writes the runs to the file and exits."""
        self.file.write_text(json.dumps({"runs": self.runs, "sizes": self.sizes}))
        self.loop.exit(0)


class _BackendRequest:
    """One request at the backend."""

    def __init__(self, backend: DestinationProcess, request: ForwardedRequest, answers: Any) -> None:
        self.backend, self.request, self.answers, self.size = backend, request, answers, 0
        if not request.length:
            self.end()

    def data(self, data: bytes) -> None:
        """Counts a part of the body."""
        self.size += len(data)

    def end(self) -> None:
        """Runs the request, whose body is complete."""
        attempt = self.request.attempt_id.hex()
        self.backend.runs[attempt] += 1
        self.backend.sizes[attempt] = self.size
        self.backend.loop.after(self.backend.rng.uniform(0.002, 0.02), self._answer)

    def _answer(self) -> None:
        size = int(self.request.target)
        self.answers.answer(200, b"", size, REPORTED_LOAD, bytes(size))

    def window(self, size: int) -> None:
        """Does nothing: answers are sent in one piece."""

    def cancel(self) -> None:
        """Does nothing: the request has run already."""


class Client:
    """One request, retried where that is allowed."""

    def __init__(self, demo: GatewayDemo, shape: tuple[str, int, float, int, int], timeout_s: float) -> None:
        self.demo, self.shape = demo, shape
        self.name, self.kind, self.size = shape[0], shape[1], shape[3]
        self.started_at = demo.loop.now()
        self.deadline = self.started_at + timeout_s
        self.attempts: list[bytes] = []
        self.outcome, self.duration_s = "", 0.0
        self.channel: Any = None
        demo.clients.append(self)
        self._try()

    def _try(self) -> None:
        demo, now = self.demo, self.demo.loop.now()
        attempt = demo.loop.random(8)
        self.attempts.append(attempt)
        self.body_sent, self.credit, self.is_pacing = 0, 0, False
        request = ForwardedRequest(
            service="quarry",
            attempt_id=attempt,
            kind=self.kind,
            remaining_s=self.deadline - now,
            max_queue_wait_s=0.0,
            priority=1,
            latency_target_s=LATENCY_TARGET_S.get(self.name, 0.5),
            caller="tiles",
            method=b"POST",
            target=b"%d" % self.shape[4],
            fields=b"",
            length=self.size,
            revision=1,
        )
        self.channel = demo.session_client.open(
            demo.rng.choice(demo.destinations), request, self, allowed_regions=("b",)
        )

    def admitted(self) -> None:
        """Starts to send the body."""
        self.window(64 * 1024)

    def window(self, size: int) -> None:
        """Sends up to `size` further bytes of the body."""
        self.credit += size
        if not self.is_pacing:
            self._send()

    def _send(self) -> None:
        self.is_pacing = False
        if self.outcome or self.channel is None or self.body_sent >= self.size:
            return
        size = min(CHUNK_BYTES, self.credit, self.size - self.body_sent)
        if size > 0:
            self.body_sent += size
            self.credit -= size
            self.is_pacing = True
            self.demo.loop.after(CHUNK_INTERVAL_S if self.kind == UPLOAD else 0.0, self._send)
            self.channel.data(bytes(size))
            if self.body_sent == self.size:
                self.channel.end()

    def answered(self, status: int, fields: bytes, length: int, body: bytes | None) -> None:
        """Ends with the answer, which is short and complete."""
        self._finish("done")

    def data(self, data: bytes) -> None:
        """Does nothing."""

    def completed(self) -> None:
        """Does nothing."""

    def load(self, load: tuple[int, int, int]) -> None:
        """Does nothing."""

    def failed(self, verdict: Verdict) -> None:
        """Retries a failed request if it has not run, and a read in any case."""
        now = self.demo.loop.now()
        if (
            (verdict.ran == NOT_RUN or self.kind == READ)
            and len(self.attempts) < MAX_ATTEMPTS
            and (self.deadline - now > 0.05)
        ):
            self.channel = None
            self.demo.loop.after(0.01, self._try)
        else:
            self._finish("not run" if verdict.ran == NOT_RUN else "may have run")

    def _finish(self, end: str) -> None:
        if self.outcome:
            self.demo.repeated_outcomes += 1
        self.outcome, self.duration_s = end, self.demo.loop.now() - self.started_at
        if self.kind == UPLOAD:
            self.demo.upload()


class GatewayDemo:
    """Two regions, their clients, and an operator who drains and kills gateways."""

    def __init__(self, folder: Path, seed: int, rate: float, sessions: bool) -> None:
        self.folder, self.rate, self.rng = folder, rate, random.Random(seed)
        self.subnet, shift = meshdemo.find_free_subnet()
        self.gateway_port, self.operator_port = deployment.INTERNAL + shift, deployment.CONTROL + shift
        self.loop = EventLoop(None)
        self.locations = [
            GatewayLocation((f"{self.subnet}.{10 * n + k}", self.gateway_port), region, f"{region}-{k}")
            for n, region in enumerate("ab", 1)
            for k in (1, 2)
        ]
        self.gateways = {location.node: self._gateway_process(location) for location in self.locations}
        self.destinations = [f"{self.subnet}.{30 + k}" for k in (1, 2)]
        self.destination_processes = [
            Child(
                ["honeywharf.standins.gatewaydemo", ip, str(self.gateway_port + 1), "b", str(folder / ip)],
                folder / "quarry.log",
            )
            for ip in self.destinations
        ]
        self.clients: list[Client] = []
        self.windows: dict[str, list[tuple[str, float]]] = {"drain": [], "kill": []}
        self.fault_times: list[tuple[float, str]] = []  # The time and kind of each drain and kill.
        self.drain_durations_s: list[float] = []
        self.samples: list[tuple[float, list[int]]] = []  # Each time, and the number of uploads by gateway.
        self.repeated_outcomes, self.stopping = 0, False
        self.warnings = 0  # Drain orders rejected by a gateway that considered itself the last of its region.
        for child in (*self.gateways.values(), *self.destination_processes):
            child.start()
        self.session_client = SessionClient(self.loop, "a", "a-1", self.locations, self.rng.random, sessions)

    def _gateway_process(self, location: GatewayLocation) -> Child:
        ip = location.address[0]
        settings = json.loads(deployment.settings(ip, location.zone, [ip], True))
        settings.update(
            {
                "role": "gateway",
                "region": location.region,
                "internal-port-range": [self.gateway_port, self.gateway_port + 8],
                "zones": {each.zone: each.region for each in self.locations},
                "listen-addresses": {"control-plane": f"{ip}:{self.operator_port}"},
                "gateways": [
                    {"address": each.node, "region": each.region, "zone": each.zone}
                    for each in self.locations
                ],
            }
        )
        file = self.folder / f"{ip}.yaml"
        file.write_text(json.dumps(settings))
        return Child(["honeywharf.programs.gateway"], self.folder / f"{ip}.log", file)

    # The loop.

    def run_until(self, reached: Callable[[], bool], within_s: float) -> bool:
        """Runs the loop until a condition holds; returns whether it did in time."""
        end = self.loop.now() + within_s

        def look() -> None:
            if reached() or self.loop.now() >= end:
                self.loop.exit(0)
            else:
                self.loop.after(0.01, look)

        self.loop.status = None
        look()
        self.loop.run()
        return reached()

    def run_for(self, seconds: float) -> None:
        """Runs the loop for some seconds."""
        end = self.loop.now() + seconds
        self.run_until(lambda: self.loop.now() >= end, seconds + 1.0)

    def gateways_are_up(self) -> bool:
        """Returns whether all gateways are connected and advertised."""
        return all(
            path.gateway.is_connected and path.gateway.is_advertised
            for path in self.session_client.paths.values()
        )

    # Traffic.

    def start_traffic(self) -> None:
        """Starts the traffic."""
        for _ in range(CONCURRENT_UPLOADS):
            self.upload()
        self._send_request()
        self._sample()

    def upload(self) -> None:
        """Starts one more upload."""
        if not self.stopping:
            size = self.rng.randint(1 << 20, 3 << 20)
            self.loop.after(0.05, partial(self._begin, ("upload", UPLOAD, 0.0, size, 20), UPLOAD_TIMEOUT_S))

    def _begin(self, shape: tuple[str, int, float, int, int], timeout_s: float) -> None:
        Client(self, shape, timeout_s)

    def _send_request(self) -> None:
        if not self.stopping:
            shape = self.rng.choices(REQUEST_SHAPES, [each[2] for each in REQUEST_SHAPES])[0]
            self._begin(shape, REQUEST_TIMEOUT_S)
            self.loop.after(self.rng.expovariate(self.rate), self._send_request)

    def _sample(self) -> None:
        """Records how many uploads each gateway carries."""
        if not self.stopping:
            self.samples.append(
                (
                    self.loop.now(),
                    [
                        sum(session.priority_class == BULK for session in path.sessions.values())
                        for path in self.session_client.paths.values()
                    ],
                )
            )
            self.loop.after(SAMPLE_INTERVAL_S, self._sample)

    # Faults.

    def busiest(self) -> str:
        """Returns the gateway with the most sessions of this source."""
        return max(self.session_client.paths, key=lambda node: len(self.session_client.paths[node].sessions))

    def call_operator(self, node: str, command: str) -> str:
        """Calls a gateway's operator API; returns the answer's last line, "" after two seconds."""
        path = f"POST /api/gateway/{command} HTTP/1.1\r\nHost: gateway\r\nContent-Length: 0\r\n\r\n".encode()
        call = _Call(self.loop, (node.rpartition(":")[0], self.operator_port), path)
        self.run_until(lambda: bool(call.answer), 2.0)
        return call.answer.rpartition(b"\n")[2].decode("latin-1")

    def order_drain(self, node: str) -> None:
        """Orders a drain; cancels and repeats it if the gateway warns that it is the last one."""
        for _ in range(MAX_WARNINGS):
            if self.call_operator(node, "drain") != "warned":
                return
            self.warnings += 1
            self.call_operator(node, "back")
            self.run_for(0.5)

    def drain(self) -> tuple[str, int, float]:
        """Drains the busiest gateway for a while; returns its node, its uploads, and seconds until empty."""
        node = self.busiest()
        sessions = self.session_client.paths[node].sessions
        uploads = sum(session.priority_class == BULK for session in sessions.values())
        self.fault_times.append((self.loop.now(), "drain"))
        started_at = self.loop.now()
        self.order_drain(node)
        self.run_until(
            lambda: not self.session_client.paths[node].gateway.is_advertised and not sessions, 8.0
        )
        duration_s = self.loop.now() - started_at
        self.drain_durations_s.append(duration_s)
        self.run_for(max(0.0, 1.5 - duration_s))
        self.call_operator(node, "back")
        self.run_until(self.gateways_are_up, 5.0)
        return node, uploads, duration_s

    def kill(self) -> tuple[str, int]:
        """Kills and restarts the busiest gateway: returns its node and its uploads."""
        node = self.busiest()
        uploads = sum(
            session.priority_class == BULK for session in self.session_client.paths[node].sessions.values()
        )
        self.fault_times.append((self.loop.now(), "kill"))
        child = self.gateways[node]
        child.send(signal.SIGKILL)
        child.wait()
        self.run_for(1.0)
        child.start()
        self.run_until(self.gateways_are_up, START_TIMEOUT_S)
        return node, uploads

    # The end.

    def close(self) -> dict[str, Any]:
        """Ends traffic and processes; returns the figures."""
        self.stopping = True
        self.run_until(lambda: not self.session_client.sessions, REQUEST_TIMEOUT_S + 20.0)
        self.session_client.close()
        self.run_for(0.1)
        for child in (*self.gateways.values(), *self.destination_processes):
            child.send(signal.SIGTERM if child in self.destination_processes else signal.SIGKILL)
        for child in (*self.gateways.values(), *self.destination_processes):
            child.wait()
        runs: Counter[str] = Counter()
        sizes: dict[str, int] = {}
        for ip in self.destinations:
            recorded = json.loads((self.folder / ip).read_text())
            runs.update(recorded["runs"])
            sizes.update(recorded["sizes"])
        self.loop.epoll.close()
        return {**self._counted(runs, sizes), **self._latencies()}

    def _counted(self, runs: Counter[str], sizes: dict[str, int]) -> dict[str, Any]:
        found: Counter[str] = Counter()
        for client in self.clients:
            ran = sum(runs[attempt.hex()] for attempt in client.attempts)
            group = ("reads", "orders", "uploads")[client.kind]
            found[f"{group} begun"] += 1
            found[
                f"{group} {'finished' if client.outcome == 'done' else f'told {client.outcome or None}'}"
            ] += 1
            if client.kind != READ:
                found[f"{group} recorded twice"] += ran > 1
                found[f"{group} told done and never recorded"] += client.outcome == "done" and ran == 0
                found[f"{group} told not run and recorded"] += client.outcome == "not run" and ran > 0
                found[f"{group} sent again whole"] += len(client.attempts) > 1
                found["bodies cut short"] += any(
                    sizes.get(attempt.hex(), client.size) != client.size for attempt in client.attempts
                )
            elif client.outcome != "done" or client.duration_s > LATENCY_TARGET_S[client.name]:
                found["reads over their aim"] += 1
        sent = sum(client.size * (len(client.attempts) - 1) for client in self.clients)
        found["told twice"], found["moves"] = self.repeated_outcomes, self.session_client.moves
        found["bytes sent twice"] = self.session_client.retransmitted_bytes + sent
        found["orders taken for the last gateway's"] = self.warnings
        return dict(found)

    def _latencies(self) -> dict[str, Any]:
        """Returns p50 and p99 of inner calls in ms, for one second before, at, and 1.5 s after a fault."""
        found: dict[str, Any] = {}
        for fault_kind in ("drain", "kill"):
            times = [fault_at for fault_at, kind in self.fault_times if kind == fault_kind]
            for name, low, high in (("before", -1.0, 0.0), ("during", 0.0, 1.0), ("after", 1.5, 2.5)):
                duration_s = sorted(
                    client.duration_s
                    for client in self.clients
                    if client.name == "inner"
                    and client.outcome
                    and any(low <= client.started_at - fault_at < high for fault_at in times)
                )
                if duration_s:
                    p50, p99 = (duration_s[int(len(duration_s) * part)] * 1000.0 for part in (0.5, 0.99))
                    found[f"inner {fault_kind} {name}"] = (
                        f"p50 {p50:.1f} p99 {p99:.1f} ms of {len(duration_s)}"
                    )
        if self.drain_durations_s:
            found["drains"] = (
                f"median {sorted(self.drain_durations_s)[len(self.drain_durations_s) // 2]:.2f} s, "
                f"longest {max(self.drain_durations_s):.2f} s"
            )
        return found


class _Call:
    """One HTTP call; `answer` holds the received bytes."""

    def __init__(self, loop: EventLoop, to: tuple[str, int], text: bytes) -> None:
        self.text, self.answer = text, b""
        loop.connect(to, self._set_connection)

    def _set_connection(self, connection: Connection) -> _Call:
        self.connection = connection
        return self

    def opened(self) -> None:
        """Sends the call once the connection is established."""
        self.connection.send(self.text)

    def received(self, data: bytes) -> None:
        """Takes the answer, which is short."""
        self.answer += data
        self.connection.close()

    def ended(self) -> None:
        """Closes the connection after the peer's half-close."""
        self.connection.close()

    def drained(self) -> None:
        """Does nothing."""

    def closed(self, reason: str) -> None:
        """Does nothing."""


#: Figures that must be 0.
MUST_BE_ZERO = (
    "orders recorded twice",
    "orders told done and never recorded",
    "orders told not run and recorded",
    "uploads recorded twice",
    "uploads told done and never recorded",
    "bodies cut short",
    "told twice",
)


def run(
    drains: int,
    kills: int,
    rate: float,
    seed: int,
    sessions: bool,
    report: Callable[[str], None],
    between_s: float = 1.5,
    before_close: Callable[[GatewayDemo], None] = lambda demo: None,
) -> dict[str, Any]:
    """Runs the demo; returns its figures. RuntimeError if the gateways do not start.

    `before_close(demo)` is called before its end.
    """
    with tempfile.TemporaryDirectory() as name:
        demo = GatewayDemo(Path(name), seed, rate, sessions)
        try:
            if not demo.run_until(demo.gateways_are_up, START_TIMEOUT_S):
                raise RuntimeError(f"gateways: expected all to be up within {START_TIMEOUT_S:g} s")
            demo.start_traffic()
            demo.run_for(2.0)
            started = time.monotonic()
            for number in range(max(drains, kills)):
                if number < drains:
                    node, uploads, duration_s = demo.drain()
                    report(
                        f"{time.monotonic() - started:6.1f} s  gateway {node} drained with {uploads} uploads:"
                        f" empty after {duration_s:.2f} s, taken back"
                    )
                    demo.run_for(between_s)
                if number < kills:
                    node, uploads = demo.kill()
                    report(
                        f"{time.monotonic() - started:6.1f} s  gateway {node} killed with {uploads} uploads,"
                        " started again"
                    )
                    demo.run_for(between_s)
            before_close(demo)
            return demo.close()
        finally:
            for child in (*demo.gateways.values(), *demo.destination_processes):
                child.send(signal.SIGKILL)
                child.wait()


def play(seed: int, report: Callable[[str], None], rate: float = 80.0, sessions: bool = True) -> int:
    """Runs three drains and two kills; returns 0 if all uploads finish and each order is recorded once."""
    report("two regions on loopback, two gateways each; uploads, orders, deletions, tiles, inner calls")
    figures = run(3, 2, rate, seed, sessions, report)
    for name, value in sorted(figures.items()):
        report(f"{'BROKEN ' if name in MUST_BE_ZERO and value else ''}{name}: {value}")
    broken = any(figures.get(name) for name in MUST_BE_ZERO)
    is_unfinished = figures.get("uploads finished") != figures.get("uploads begun")
    report(
        "broken"
        if broken
        else "some uploads did not finish"
        if is_unfinished
        else "every upload finished, every order was recorded once"
    )
    return int(broken or is_unfinished)


def main() -> int:
    """Runs a destination: `python -m honeywharf.standins.gatewaydemo IP PORT REGION FILE`."""
    ip, port, region, file = sys.argv[1:5]
    loop = EventLoop(None)
    destination = DestinationProcess(loop, ip, int(port), region, Path(file))
    loop.on_signal(signal.SIGTERM, partial(destination.end))
    return loop.run()


if __name__ == "__main__":
    sys.exit(main())
