"""`honeywharf demo --gateway`: two regions on loopback, drains and kills of gateways under uploads; counted.

Theory of operation. Gateways and destinations are processes of their own; the source of region a, its clients
and the operator are on one loop of this process. A destination's backend notes each run of an attempt and
writes the notes down when it is ended; they are compared with what clients were told. No delay is added
between the regions: what is seen is what processes and kernels cost (`simulation` has the delay).
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
from honeywharf.simulation import field
from honeywharf.standins import meshdemo
from honeywharf.transport.event_loop import EventLoop
from honeywharf.transport.host import Connection
from honeywharf.transport.stream import ForwardedRequest
from honeywharf.verdict import NOT_RUN, Verdict

READ, ORDER, UPLOAD = 0, 1, 2
#: name, kind, share of the requests, bytes of the body, bytes of the answer
SHAPES = (
    ("tile", READ, 0.35, 0, 20_000),
    ("manifest", READ, 0.2, 0, 400),
    ("inner", READ, 0.25, 0, 50),
    ("print order", ORDER, 0.15, 2_000, 20),
    ("tag deletion", ORDER, 0.05, 0, 20),
)
AIM_S = {"tile": 0.4, "manifest": 0.4, "inner": 0.15}
PATIENCE_S, UPLOAD_S = 5.0, 60.0
UPLOADS = 6  # at a time
PIECE, PACE_S = 48 * 1024, 0.06  # of an upload's client
UP_S = 15.0
SAMPLE_S = 0.1
MAX_WARNED = 8
MAX_TRIES = 6
LOAD = (1, 0, 8)


class Child:
    """A process of this demo."""

    def __init__(self, arguments: list[str], log: Path, settings: Path | None = None) -> None:
        self.arguments, self.log, self.settings = arguments, log, settings
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Begin a life."""
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
        """Send a signal, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def wait(self) -> None:
        """Until it has ended; killed where that takes too long."""
        if self.process is not None:
            try:
                self.process.wait(5.0)
            except subprocess.TimeoutExpired:
                self.process.kill()
                self.process.wait()


class Quarry:
    """A destination and its backend, in a process of its own. At SIGTERM it writes the runs to `file`."""

    def __init__(self, loop: EventLoop, ip: str, port: int, region: str, file: Path) -> None:
        self.loop, self.file, self.chance = loop, file, random.Random(ip)
        self.runs: Counter[str] = Counter()
        self.sizes: dict[str, int] = {}
        self.destination = Destination(loop, (ip, port), region, self._begin)

    def _begin(self, ask: ForwardedRequest, answers: Any) -> _Job:
        return _Job(self, ask, answers)

    def end(self) -> None:
        """Write down what ran, and go."""
        self.file.write_text(json.dumps({"runs": self.runs, "sizes": self.sizes}))
        self.loop.exit(0)


class _Job:
    """One request at the backend."""

    def __init__(self, quarry: Quarry, ask: ForwardedRequest, answers: Any) -> None:
        self.quarry, self.ask, self.answers, self.size = quarry, ask, answers, 0
        if not ask.length:
            self.end()

    def data(self, data: bytes) -> None:
        """A part of the body."""
        self.size += len(data)

    def end(self) -> None:
        """It is whole: it runs."""
        attempt = self.ask.attempt_id.hex()
        self.quarry.runs[attempt] += 1
        self.quarry.sizes[attempt] = self.size
        self.quarry.loop.after(self.quarry.chance.uniform(0.002, 0.02), self._answer)

    def _answer(self) -> None:
        size = int(self.ask.target)
        self.answers.answer(200, b"", size, LOAD, bytes(size))

    def window(self, size: int) -> None:
        """All answers are whole."""

    def cancel(self) -> None:
        """It has run, and its answer is of no use."""


class Client:
    """One request, tried again where that is allowed."""

    def __init__(self, day: Day, shape: tuple[str, int, float, int, int], patience_s: float) -> None:
        self.day, self.shape = day, shape
        self.name, self.kind, self.size = shape[0], shape[1], shape[3]
        self.began = day.loop.now()
        self.until = self.began + patience_s
        self.attempts: list[bytes] = []
        self.end, self.took = "", 0.0
        self.channel: Any = None
        day.clients.append(self)
        self._try()

    def _try(self) -> None:
        day, now = self.day, self.day.loop.now()
        attempt = day.loop.random(8)
        self.attempts.append(attempt)
        self.at, self.credit, self.resting = 0, 0, False
        ask = ForwardedRequest(
            service="quarry",
            attempt_id=attempt,
            kind=self.kind,
            remaining_s=self.until - now,
            max_queue_wait_s=0.0,
            priority=1,
            latency_target_s=AIM_S.get(self.name, 0.5),
            caller="tiles",
            method=b"POST",
            target=b"%d" % self.shape[4],
            fields=b"",
            length=self.size,
            revision=1,
        )
        self.channel = day.session_client.open(
            day.chance.choice(day.destinations), ask, self, allowed_regions=("b",)
        )

    def admitted(self) -> None:
        """The body is wanted."""
        self.window(64 * 1024)

    def window(self, size: int) -> None:
        """So much more of it."""
        self.credit += size
        if not self.resting:
            self._send()

    def _send(self) -> None:
        self.resting = False
        if self.end or self.channel is None or self.at >= self.size:
            return
        size = min(PIECE, self.credit, self.size - self.at)
        if size > 0:
            self.at += size
            self.credit -= size
            self.resting = True
            self.day.loop.after(PACE_S if self.kind == UPLOAD else 0.0, self._send)
            self.channel.data(bytes(size))
            if self.at == self.size:
                self.channel.end()

    def answered(self, status: int, fields: bytes, length: int, body: bytes | None) -> None:
        """The answer; all are short."""
        self._over("done")

    def data(self, data: bytes) -> None:
        """Not used."""

    def completed(self) -> None:
        """Not used."""

    def load(self, load: tuple[int, int, int]) -> None:
        """Not used."""

    def failed(self, verdict: Verdict) -> None:
        """No answer: tried again after a proof, and reads after anything."""
        now = self.day.loop.now()
        if (
            (verdict.ran == NOT_RUN or self.kind == READ)
            and len(self.attempts) < MAX_TRIES
            and (self.until - now > 0.05)
        ):
            self.channel = None
            self.day.loop.after(0.01, self._try)
        else:
            self._over("not run" if verdict.ran == NOT_RUN else "may have run")

    def _over(self, end: str) -> None:
        if self.end:
            self.day.twice_told += 1
        self.end, self.took = end, self.day.loop.now() - self.began
        if self.kind == UPLOAD:
            self.day.upload()


class Day:
    """Two regions, clients of both users, and an operator who drains and kills."""

    def __init__(self, folder: Path, seed: int, rate: float, sessions: bool) -> None:
        self.folder, self.rate, self.chance = folder, rate, random.Random(seed)
        self.subnet, shift = meshdemo.place()
        self.gate, self.door = field.INTERNAL + shift, field.CONTROL + shift
        self.loop = EventLoop(None)
        self.places = [
            GatewayLocation((f"{self.subnet}.{10 * n + k}", self.gate), region, f"{region}-{k}")
            for n, region in enumerate("ab", 1)
            for k in (1, 2)
        ]
        self.keepers = {place.node: self._keeper(place) for place in self.places}
        self.destinations = [f"{self.subnet}.{30 + k}" for k in (1, 2)]
        self.quarries = [
            Child(
                ["honeywharf.standins.gatewaydemo", ip, str(self.gate + 1), "b", str(folder / ip)],
                folder / "quarry.log",
            )
            for ip in self.destinations
        ]
        self.clients: list[Client] = []
        self.windows: dict[str, list[tuple[str, float]]] = {"drain": [], "kill": []}
        self.phases: list[tuple[float, str]] = []  # of troubles: when, what
        self.drains_s: list[float] = []
        self.samples: list[tuple[float, list[int]]] = []  # when; uploads by gateway
        self.twice_told, self.stopping = 0, False
        self.warned = 0  # orders that a gateway took for the last one's
        for child in (*self.keepers.values(), *self.quarries):
            child.start()
        self.session_client = SessionClient(self.loop, "a", "a-1", self.places, self.chance.random, sessions)

    def _keeper(self, place: GatewayLocation) -> Child:
        ip = place.address[0]
        settings = json.loads(field.settings(ip, place.zone, [ip], True))
        settings.update(
            {
                "role": "gateway",
                "region": place.region,
                "internal-port-range": [self.gate, self.gate + 8],
                "zones": {each.zone: each.region for each in self.places},
                "listen-addresses": {"control-plane": f"{ip}:{self.door}"},
                "gateways": [
                    {"address": each.node, "region": each.region, "zone": each.zone} for each in self.places
                ],
            }
        )
        file = self.folder / f"{ip}.yaml"
        file.write_text(json.dumps(settings))
        return Child(["honeywharf.programs.gateway"], self.folder / f"{ip}.log", file)

    # The loop.

    def until(self, reached: Callable[[], bool], within_s: float) -> bool:
        """Run until something holds; whether it did in time."""
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

    def rest(self, seconds: float) -> None:
        """Let the day go on for so long."""
        end = self.loop.now() + seconds
        self.until(lambda: self.loop.now() >= end, seconds + 1.0)

    def up(self) -> bool:
        """Whether all gateways are heard."""
        return all(
            path.gateway.is_connected and path.gateway.is_advertised
            for path in self.session_client.paths.values()
        )

    # Traffic.

    def drive(self) -> None:
        """Begin the traffic."""
        for _ in range(UPLOADS):
            self.upload()
        self._ask()
        self._sample()

    def upload(self) -> None:
        """One more upload."""
        if not self.stopping:
            size = self.chance.randint(1 << 20, 3 << 20)
            self.loop.after(0.05, partial(self._begin, ("upload", UPLOAD, 0.0, size, 20), UPLOAD_S))

    def _begin(self, shape: tuple[str, int, float, int, int], patience_s: float) -> None:
        Client(self, shape, patience_s)

    def _ask(self) -> None:
        if not self.stopping:
            shape = self.chance.choices(SHAPES, [each[2] for each in SHAPES])[0]
            self._begin(shape, PATIENCE_S)
            self.loop.after(self.chance.expovariate(self.rate), self._ask)

    def _sample(self) -> None:
        """Note how many uploads each gateway carries."""
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
            self.loop.after(SAMPLE_S, self._sample)

    # Troubles.

    def busiest(self) -> str:
        """The gateway with the most sessions of this source."""
        return max(self.session_client.paths, key=lambda node: len(self.session_client.paths[node].sessions))

    def order(self, node: str, what: str) -> str:
        """An operator's call at a gateway; the last line of the answer, or nothing within two seconds."""
        path = f"POST /api/gateway/{what} HTTP/1.1\r\nHost: gateway\r\nContent-Length: 0\r\n\r\n".encode()
        call = _Call(self.loop, (node.rpartition(":")[0], self.door), path)
        self.until(lambda: bool(call.answer), 2.0)
        return call.answer.rpartition(b"\n")[2].decode("latin-1")

    def order_drain(self, node: str) -> None:
        """Order it; one that takes itself for the last of its region is not forced, and asked again later."""
        for _ in range(MAX_WARNED):
            if self.order(node, "drain") != "warned":
                return
            self.warned += 1
            self.order(node, "back")
            self.rest(0.5)

    def drain(self) -> tuple[str, int, float]:
        """Drain the busiest gateway and take the order back: which, uploads there, seconds until none was."""
        node = self.busiest()
        sessions = self.session_client.paths[node].sessions
        held = sum(session.priority_class == BULK for session in sessions.values())
        self.phases.append((self.loop.now(), "drain"))
        begun = self.loop.now()
        self.order_drain(node)
        self.until(lambda: not self.session_client.paths[node].gateway.is_advertised and not sessions, 8.0)
        took = self.loop.now() - begun
        self.drains_s.append(took)
        self.rest(max(0.0, 1.5 - took))
        self.order(node, "back")
        self.until(self.up, 5.0)
        return node, held, took

    def kill(self) -> tuple[str, int]:
        """Kill the busiest gateway and start it again: which, and uploads there."""
        node = self.busiest()
        held = sum(
            session.priority_class == BULK for session in self.session_client.paths[node].sessions.values()
        )
        self.phases.append((self.loop.now(), "kill"))
        child = self.keepers[node]
        child.send(signal.SIGKILL)
        child.wait()
        self.rest(1.0)
        child.start()
        self.until(self.up, UP_S)
        return node, held

    # The end.

    def close(self) -> dict[str, Any]:
        """End traffic and processes; the figures."""
        self.stopping = True
        self.until(lambda: not self.session_client.sessions, PATIENCE_S + 20.0)
        self.session_client.close()
        self.rest(0.1)
        for child in (*self.keepers.values(), *self.quarries):
            child.send(signal.SIGTERM if child in self.quarries else signal.SIGKILL)
        for child in (*self.keepers.values(), *self.quarries):
            child.wait()
        runs: Counter[str] = Counter()
        sizes: dict[str, int] = {}
        for ip in self.destinations:
            said = json.loads((self.folder / ip).read_text())
            runs.update(said["runs"])
            sizes.update(said["sizes"])
        self.loop.epoll.close()
        return {**self._counted(runs, sizes), **self._latencies()}

    def _counted(self, runs: Counter[str], sizes: dict[str, int]) -> dict[str, Any]:
        found: Counter[str] = Counter()
        for client in self.clients:
            ran = sum(runs[attempt.hex()] for attempt in client.attempts)
            group = ("reads", "orders", "uploads")[client.kind]
            found[f"{group} begun"] += 1
            found[f"{group} {'finished' if client.end == 'done' else f'told {client.end or None}'}"] += 1
            if client.kind != READ:
                found[f"{group} recorded twice"] += ran > 1
                found[f"{group} told done and never recorded"] += client.end == "done" and ran == 0
                found[f"{group} told not run and recorded"] += client.end == "not run" and ran > 0
                found[f"{group} sent again whole"] += len(client.attempts) > 1
                found["bodies cut short"] += any(
                    sizes.get(attempt.hex(), client.size) != client.size for attempt in client.attempts
                )
            elif client.end != "done" or client.took > AIM_S[client.name]:
                found["reads over their aim"] += 1
        sent = sum(client.size * (len(client.attempts) - 1) for client in self.clients)
        found["told twice"], found["moves"] = self.twice_told, self.session_client.moves
        found["bytes sent twice"] = self.session_client.retransmitted_bytes + sent
        found["orders taken for the last gateway's"] = self.warned
        return dict(found)

    def _latencies(self) -> dict[str, Any]:
        """p50 and p99 of inner calls in ms: in the second before, the second from, the second after 1.5 s."""
        found: dict[str, Any] = {}
        for what in ("drain", "kill"):
            at = [when for when, kind in self.phases if kind == what]
            for name, low, high in (("before", -1.0, 0.0), ("during", 0.0, 1.0), ("after", 1.5, 2.5)):
                took = sorted(
                    client.took
                    for client in self.clients
                    if client.name == "inner"
                    and client.end
                    and any(low <= client.began - when < high for when in at)
                )
                if took:
                    p50, p99 = (took[int(len(took) * part)] * 1000.0 for part in (0.5, 0.99))
                    found[f"inner {what} {name}"] = f"p50 {p50:.1f} p99 {p99:.1f} ms of {len(took)}"
        if self.drains_s:
            found["drains"] = (
                f"median {sorted(self.drains_s)[len(self.drains_s) // 2]:.2f} s, "
                f"longest {max(self.drains_s):.2f} s"
            )
        return found


class _Call:
    """One HTTP call; `answer`: the bytes that came first."""

    def __init__(self, loop: EventLoop, to: tuple[str, int], text: bytes) -> None:
        self.text, self.answer = text, b""
        loop.connect(to, self._made)

    def _made(self, connection: Connection) -> _Call:
        self.connection = connection
        return self

    def opened(self) -> None:
        """It is up."""
        self.connection.send(self.text)

    def received(self, data: bytes) -> None:
        """The answer; it is short."""
        self.answer += data
        self.connection.close()

    def ended(self) -> None:
        """The far side has closed."""
        self.connection.close()

    def drained(self) -> None:
        """All has gone."""

    def closed(self, why: str) -> None:
        """It is gone."""


#: Figures that must be 0, with what a newcomer is told of them.
ZEROS = (
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
    say: Callable[[str], None],
    between_s: float = 1.5,
    drew: Callable[[Day], None] = lambda day: None,
) -> dict[str, Any]:
    """A day; its figures; `drew(day)` is told before its end. RuntimeError where no gateway comes up."""
    with tempfile.TemporaryDirectory() as name:
        day = Day(Path(name), seed, rate, sessions)
        try:
            if not day.until(day.up, UP_S):
                raise RuntimeError(f"the gateways were not up in {UP_S:g} s")
            day.drive()
            day.rest(2.0)
            begun = time.monotonic()
            for number in range(max(drains, kills)):
                if number < drains:
                    node, held, took = day.drain()
                    say(
                        f"{time.monotonic() - begun:6.1f} s  gateway {node} drained with {held} uploads:"
                        f" empty after {took:.2f} s, taken back"
                    )
                    day.rest(between_s)
                if number < kills:
                    node, held = day.kill()
                    say(
                        f"{time.monotonic() - begun:6.1f} s  gateway {node} killed with {held} uploads,"
                        " started again"
                    )
                    day.rest(between_s)
            drew(day)
            return day.close()
        finally:
            for child in (*day.keepers.values(), *day.quarries):
                child.send(signal.SIGKILL)
                child.wait()


def play(seed: int, say: Callable[[str], None], rate: float = 80.0, sessions: bool = True) -> int:
    """Three drains and two kills; 0 where every upload finished and every order was recorded once."""
    say("two regions on loopback, two gateways each; uploads, orders, deletions, tiles, inner calls")
    figures = run(3, 2, rate, seed, sessions, say)
    for name, value in sorted(figures.items()):
        say(f"{'BROKEN ' if name in ZEROS and value else ''}{name}: {value}")
    broken = any(figures.get(name) for name in ZEROS)
    lost = figures.get("uploads finished") != figures.get("uploads begun")
    say(
        "broken"
        if broken
        else "some uploads did not finish"
        if lost
        else "every upload finished, every order was recorded once"
    )
    return int(broken or lost)


def main() -> int:
    """A destination's process: `python -m honeywharf.standins.gatewaydemo IP PORT REGION FILE`."""
    ip, port, region, file = sys.argv[1:5]
    loop = EventLoop(None)
    quarry = Quarry(loop, ip, int(port), region, Path(file))
    loop.on_signal(signal.SIGTERM, partial(quarry.end))
    return loop.run()


if __name__ == "__main__":
    sys.exit(main())
