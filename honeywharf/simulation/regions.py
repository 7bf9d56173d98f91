"""Seeded days of regions: sources, gateways and destinations on simulated machines, and what went wrong.

The programs are the real ones (`SessionClient`, `GatewayNode`, `Destination`) on `simulation` hosts; 35 ms
and a bound of bandwidth between regions. A day has uploads, print orders, deletions and reads, and its
troubles: drains by order, some taken back, SIGTERM, kills, cuts, restarts of destinations.
"""

from __future__ import annotations

import sys
from collections import Counter
from typing import Any

from honeywharf.programs.gateway import GatewayNode, GatewayOptions
from honeywharf.sessions.body_quota import BodyQuota
from honeywharf.sessions.destination import Destination
from honeywharf.sessions.drain import smallest_remainder_first
from honeywharf.sessions.gateway_location import GatewayLocation
from honeywharf.sessions.session_client import SessionClient
from honeywharf.simulation.machine import Machine, Network, Process
from honeywharf.simulation.world import World
from honeywharf.transport.stream import ForwardedRequest
from honeywharf.verdict import FULL, NOT_RUN, Verdict

GATE, LAND = 7640, 7641
BETWEEN_S, WITHIN_S = 0.035, 0.0003
READ, ORDER, UPLOAD = 0, 1, 2
LOAD = (3, 4, 5)
TROUBLES = "drain term kill cut restart"


class Seas(Network):
    """Zones are named REGION-ZONE: between regions it is far."""

    def delay(self, a: Machine, b: Machine) -> float:
        """Seconds, a little different each time."""
        if a is b:
            return 0.00005
        base = WITHIN_S if a.zone.split("-")[0] == b.zone.split("-")[0] else BETWEEN_S
        return base * (1.0 + 0.1 * self.world.random.random())


class Quarry:
    """A destination and its backend: runs what is whole, after a while; now and then the gate refuses."""

    def __init__(self, host: Process, day: Day) -> None:
        self.host, self.day, self.refused = host, day, 0
        region = host.machine.zone.split("-")[0]
        self.destination = Destination(host, (host.machine.ip, LAND), region, self.begin, BodyQuota())

    def begin(self, ask: ForwardedRequest, answers: Any) -> Job | None:
        """As `Inbound.begin`."""
        if self.day.world.random.random() < self.day.refuse:
            self.refused += 1
            answers.fail(Verdict(NOT_RUN, FULL, False, 0.01), LOAD)
            return None
        return Job(self, ask, answers)


class Job:
    """One request at a backend."""

    def __init__(self, quarry: Quarry, ask: ForwardedRequest, answers: Any) -> None:
        self.quarry, self.ask, self.answers = quarry, ask, answers
        self.body, self.credit, self.over, self.sent = b"", 64 * 1024, False, 0
        self.size = int(ask.target) if ask.kind == READ else 20
        if not ask.length:
            self.end()

    def data(self, data: bytes) -> None:
        """A part of the body."""
        self.body += data

    def end(self) -> None:
        """It is whole: it runs."""
        day, ask = self.quarry.day, self.ask
        day.runs.setdefault(ask.attempt_id, []).append(self.body)
        self.quarry.host.after(day.world.random.uniform(*day.work_s), self._answer)

    def _answer(self) -> None:
        if self.over:
            return
        if self.size <= 64 * 1024:
            self.over = True
            self.answers.answer(200, b"", self.size, LOAD, bytes(self.size))
        else:
            self.answers.answer(200, b"", self.size, LOAD, None)
            self._push()

    def _push(self) -> None:
        while self.credit > 0 and self.sent < self.size:
            piece = min(16384, self.credit, self.size - self.sent)
            self.sent += piece
            self.credit -= piece
            self.answers.data(bytes(piece))
        if self.sent == self.size and not self.over:
            self.over = True
            self.answers.complete()

    def window(self, size: int) -> None:
        """So many bytes of the answer went on."""
        self.credit += size
        if not self.over and self.sent:
            self._push()

    def cancel(self) -> None:
        """Nobody waits any more."""
        self.over = True


class Client:
    """One request of a client, as a course has it; `tries`: not run may be tried again."""

    def __init__(self, day: Day, source: Source, kind: int, size: int, patience_s: float) -> None:
        self.day, self.source, self.kind, self.size = day, source, kind, size
        self.until = source.host.now() + patience_s
        self.began = day.world.now
        self.end: object = None
        self.ended_at = 0.0
        self.tries = 0
        self.aim_s = 0.15 if size <= 50 else 0.5  # inner calls are small and in haste
        self.attempts: list[bytes] = []
        day.clients.append(self)
        self._try()

    def _try(self) -> None:
        self.tries += 1
        day, host = self.day, self.source.host
        attempt = host.random(8)
        self.attempts.append(attempt)
        length = 0 if self.kind == READ else self.size if day.world.random.random() < 0.7 else -1
        target = b"%d" % self.size if self.kind == READ else b"0"
        ask = ForwardedRequest(
            service="quarry",
            attempt_id=attempt,
            kind=self.kind,
            remaining_s=self.until - host.now(),
            max_queue_wait_s=0.0,
            priority=1,
            latency_target_s=self.aim_s,
            caller="tiles",
            method=b"POST",
            target=target,
            fields=b"",
            length=length,
            revision=1,
        )
        self.body = day.world.random.randbytes(self.size) if self.kind != READ else b""
        self.at, self.credit, self.got = 0, 0, 0
        to = day.world.random.choice(day.others(self.source.region))
        self.channel = self.source.session_client.open(
            to, ask, self, allowed_regions=day.homes(self.source.region)
        )
        if self.channel is None:
            self.failed(Verdict(NOT_RUN, FULL))

    def admitted(self) -> None:
        """The body is wanted."""
        self.window(64 * 1024)

    def window(self, size: int) -> None:
        """So much more of it."""
        self.credit += size
        self.source.host.after(self.day.slow_s, self._send)

    def _send(self) -> None:
        if self.end is not None or self.channel is None or self.kind == READ or self.at < 0:
            return
        piece = self.body[self.at : self.at + self.credit]
        self.credit -= len(piece)
        self.at += len(piece)
        if piece:
            self.channel.data(piece)
        if self.at == len(self.body):
            self.at = -1
            self.channel.end()

    def answered(self, status: int, fields: bytes, length: int, body: bytes | None) -> None:
        """A backend's answer."""
        if body is not None:
            self.got = len(body)
            self._over("done")

    def data(self, data: bytes) -> None:
        """A part of it."""
        self.got += len(data)
        assert self.channel is not None
        self.channel.window(len(data))

    def completed(self) -> None:
        """It is whole."""
        self._over("done")

    def load(self, load: tuple[int, int, int]) -> None:
        """Not used."""

    def failed(self, verdict: Verdict) -> None:
        """No answer."""
        now = self.source.host.now()
        if verdict.ran == NOT_RUN and self.tries < 8 and self.until - now > 0.05:
            self.channel = None
            self.day.proofs.extend(self.attempts[-1:])
            self.source.host.after(0.02, self._try)
        else:
            self._over("not run" if verdict.ran == NOT_RUN else "may have run")

    def _over(self, end: str) -> None:
        if self.end is not None:
            self.day.faults.append(f"told twice: {self.end}, {end}")
        self.end, self.ended_at = end, self.day.world.now


class Source:
    """Where clients are."""

    def __init__(self, host: Process, day: Day) -> None:
        self.host, self.region = host, host.machine.zone.split("-")[0]
        self.session_client = SessionClient(
            host, self.region, host.machine.zone, day.places, day.world.random.random, day.sessions
        )


class Day:
    """One seeded day. `troubles`: what may come; `sessions=False`: what loses its gateway fails."""

    def __init__(
        self,
        seed: int,
        regions: int = 2,
        sessions: bool = True,
        troubles: str = TROUBLES,
        mbps: float = 80.0,
        seconds: float = 6.0,
        order: Any = smallest_remainder_first,
        uploads: int = 3,
        most_bytes: int = 1 << 20,
        sources: int = 1,
    ) -> None:
        self.world = World(seed)
        self.world.strict = True
        self.network = Seas(self.world)
        self.mbps = mbps
        self.sessions, self.seconds, self.order, self.most_bytes = sessions, seconds, order, most_bytes
        self.regions = "abc"[:regions]
        self.refuse, self.work_s = 0.02, (0.005, 0.2)  # of the gates, and seconds that a backend works
        self.slow_s = self.world.random.choice((0.0, 0.0, 0.02))
        self.runs: dict[bytes, list[bytes]] = {}
        self.proofs: list[bytes] = []
        self.clients: list[Client] = []
        self.faults: list[str] = []
        self.restarts = self.cuts = 0
        self.places = [
            GatewayLocation((f"10.{n}.1.{k}", GATE), region, f"{region}-{k}")
            for n, region in enumerate(self.regions)
            for k in (1, 2)
        ]
        self.keepers = [
            self._process(place.address[0], place.zone, "keeper", self._keeper(place), mbps)
            for place in self.places
        ]
        self.quarries = [
            self._process(f"10.{n}.2.{k}", f"{region}-{k}", "quarry", lambda host: Quarry(host, self))
            for n, region in enumerate(self.regions)
            for k in (1, 2)
        ]
        self.sources = [
            self._process(f"10.{n}.3.{k}", f"{region}-{1 + k % 2}", "source", lambda host: Source(host, self))
            for n, region in enumerate(self.regions)
            for k in range(sources)
        ]
        for process in (*self.keepers, *self.quarries, *self.sources):
            self.world.at(self.world.random.uniform(0.0, 0.1), process.start)
        draw = self.world.random
        for _ in range(uploads):
            size = draw.randint(100_000, 1_500_000)
            self.world.at(draw.uniform(0.5, seconds - 1.0), self._client, UPLOAD, size, 14.0)
        for _ in range(12):
            size = draw.choice((0, 400, 20_000))
            self.world.at(draw.uniform(0.5, seconds), self._client, ORDER, size, 6.0)
            size = draw.choice((10, 40_000, 300_000))
            self.world.at(draw.uniform(0.5, seconds), self._client, READ, size, 4.0)
        if troubles:
            for _ in range(draw.randint(1, 5)):
                self.world.at(draw.uniform(0.6, seconds), self._trouble, draw.choice(troubles.split()))

    def _process(self, ip: str, zone: str, name: str, make: Any, mbps: float = 1000.0) -> Process:
        return Process(Machine(self.network, ip, zone, mbps=mbps), f"{name}-{ip}", make)

    def _keeper(self, place: GatewayLocation) -> Any:
        def make(host: Process) -> GatewayNode:
            keeper = GatewayNode(
                host,
                place,
                self.places,
                LAND,
                GatewayOptions(grace_s=5.0, max_bytes=self.most_bytes, order=self.order, link_mbps=self.mbps),
            )
            host.on_signal(15, keeper.terminate)
            return keeper

        return make

    def gates(self) -> list[Quarry]:
        """The destinations that live now."""
        return [each.program for each in self.quarries if isinstance(each.program, Quarry)]

    def others(self, region: str) -> list[str]:
        """Destinations of the other regions."""
        mine = str(self.regions.index(region))
        return [process.machine.ip for process in self.quarries if process.machine.ip.split(".")[1] != mine]

    def homes(self, region: str) -> tuple[str, ...]:
        """Homes: the regions that the destinations above are of."""
        return tuple(each for each in self.regions if each != region)

    def _client(self, kind: int, size: int, patience_s: float) -> None:
        source = self.world.random.choice(self.sources).program
        if isinstance(source, Source):
            Client(self, source, kind, size, patience_s)

    def _trouble(self, kind: str) -> None:
        draw, keeper = self.world.random, self.world.random.choice(self.keepers)
        self.world.record("trouble", kind, keeper.name)
        if kind == "kill":
            keeper.kill()
        elif kind == "term":
            keeper.signal(15)
        elif kind == "restart":
            self.restarts += 1
            draw.choice(self.quarries).kill()
        elif kind == "drain" and isinstance(keeper.program, GatewayNode):
            keeper.program.order_drain()
            if draw.random() < 0.5:
                self.world.at(self.world.now + draw.uniform(0.0, 2.0), self._back, keeper)
        elif kind == "cut":
            self.cuts += 1
            there = draw.choice([*self.quarries, *self.sources]).machine.ip
            pairs = [(keeper.machine.ip, there), (there, keeper.machine.ip)][: draw.choice((1, 2))]
            self.network.cut(pairs)
            self.world.at(
                self.world.now + draw.choice((0.05, 0.5, 2.0, 4.0)), self.network.remove_cuts, pairs
            )

    @staticmethod
    def _back(keeper: Process) -> None:
        if isinstance(keeper.program, GatewayNode):
            keeper.program.cancel_drain()

    def play(self) -> Day:
        """To the end of all patience."""
        self.world.run(self.seconds + 15.0)
        for _, who, trace in self.world.crashes:
            self.faults.append(f"{who}: {trace}")
        for client in self.clients:
            self._judge(client)
        self._leaks()
        return self

    def _judge(self, client: Client) -> None:
        ran = [body for attempt in client.attempts for body in self.runs.get(attempt, [])]
        whole = client.size if client.kind == READ else 20
        if client.end is None:
            self.faults.append(f"never told, kind {client.kind}")
        for attempt in client.attempts:
            if len(self.runs.get(attempt, ())) > 1:
                self.faults.append(f"an attempt ran {len(self.runs[attempt])} times")
        if len(ran) > 1 and client.kind != READ:
            self.faults.append("an order ran twice")
        if client.kind != READ and any(body != client.body for body in ran):
            self.faults.append("the backend saw another body")
        if client.end == "done" and (not ran or client.got != whole):
            self.faults.append(f"told done, ran {len(ran)} times, {client.got} of {whole} bytes")
        if client.end == "not run" and ran:
            self.faults.append("told not run, and ran")
        if client.end == "may have run" and not self.restarts and not self.cuts and self.sessions:
            self.faults.append("no verdict, though no destination restarted")

    def _leaks(self) -> None:
        for process in self.keepers:
            if isinstance(process.program, GatewayNode):
                one = process.program.relay
                if one.relayed_sessions or one.in_flight_bytes:
                    self.faults.append(
                        f"{process.name} holds {len(one.relayed_sessions)} rows, {one.in_flight_bytes} bytes"
                    )
                if one.forbidden:
                    self.faults.append(f"{process.name} was asked against the homes")
        for process in self.sources:
            if isinstance(process.program, Source) and process.program.session_client.sessions:
                self.faults.append("a session that is over is held")
        for process in self.quarries:
            if (
                isinstance(process.program, Quarry)
                and process.program.destination.receivers.body_quota.reserved_bytes
            ):
                self.faults.append("room of a body that is over is held")

    @property
    def ends(self) -> Counter[tuple[int, object]]:
        """How many requests of each kind ended how."""
        return Counter((client.kind, client.end) for client in self.clients)


def main() -> int:
    """`python -m honeywharf.simulation.regions FIRST COUNT [REGIONS] [sessions|none] [TROUBLES]`."""
    first, count = int(sys.argv[1]), int(sys.argv[2])
    regions = int(sys.argv[3]) if len(sys.argv) > 3 else 2
    sessions = len(sys.argv) < 5 or sys.argv[4] == "sessions"
    troubles = sys.argv[5] if len(sys.argv) > 5 else TROUBLES
    broken, ends, moves, twice = 0, Counter[tuple[int, object]](), 0, 0
    for played, seed in enumerate(range(first, first + count), 1):
        day = Day(seed, regions, sessions, troubles).play()
        ends += day.ends
        for process in day.sources:
            assert isinstance(process.program, Source)
            moves += process.program.session_client.moves
            twice += process.program.session_client.retransmitted_bytes
        if day.faults:
            broken += 1
            print(seed, day.faults[:3])
        if played % 50 == 0 or played == count:
            print(
                f"{played} days, {broken} broken; moves {moves}, bytes twice {twice}; "
                + ", ".join(
                    f"{('reads', 'orders', 'uploads')[kind]} {end}: {n}"
                    for (kind, end), n in sorted(ends.items(), key=str)
                ),
                flush=True,
            )
    return int(broken > 0)


if __name__ == "__main__":
    sys.exit(main())
