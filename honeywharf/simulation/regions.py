"""Seeded runs of several regions: sources, gateways and destinations on simulated machines, and their faults.

The programs are the real ones (`SessionClient`, `GatewayNode`, `Destination`) on simulated hosts. Regions are
35 ms apart and connected by links of limited bandwidth. A run has uploads, orders and reads. Its faults are
drains, some of them cancelled, SIGTERM, kills and cuts of gateways, and restarts of destinations.
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

GATEWAY_PORT, DESTINATION_PORT = 7640, 7641
CROSS_REGION_DELAY_S, IN_REGION_DELAY_S = 0.035, 0.0003
READ, ORDER, UPLOAD = 0, 1, 2
LOAD_REPORT = (3, 4, 5)
FAULT_KINDS = "drain term kill cut restart"


class RegionNetwork(Network):
    """A network of regions; zones are named REGION-ZONE."""

    def delay(self, a: Machine, b: Machine) -> float:
        """Returns the delay between two machines in seconds, with random jitter."""
        if a is b:
            return 0.00005
        base = IN_REGION_DELAY_S if a.zone.split("-")[0] == b.zone.split("-")[0] else CROSS_REGION_DELAY_S
        return base * (1.0 + 0.1 * self.world.random.random())


class DestinationBackend:
    """A destination with a backend that runs complete requests after a while and refuses some."""

    def __init__(self, host: Process, day: Day) -> None:
        self.host, self.day, self.refusals = host, day, 0
        region = host.machine.zone.split("-")[0]
        self.destination = Destination(
            host, (host.machine.ip, DESTINATION_PORT), region, self.begin, BodyQuota()
        )

    def begin(self, request: ForwardedRequest, answers: Any) -> DestinationRequest | None:
        """Handles a request as `Inbound.begin` does."""
        if self.day.world.random.random() < self.day.refusal_share:
            self.refusals += 1
            answers.fail(Verdict(NOT_RUN, FULL, False, 0.01), LOAD_REPORT)
            return None
        return DestinationRequest(self, request, answers)


class DestinationRequest:
    """One request at a backend."""

    def __init__(self, backend: DestinationBackend, request: ForwardedRequest, answers: Any) -> None:
        self.backend, self.request, self.answers = backend, request, answers
        self.body, self.credit, self.over, self.sent = b"", 64 * 1024, False, 0
        self.size = int(request.target) if request.kind == READ else 20
        if not request.length:
            self.end()

    def data(self, data: bytes) -> None:
        """Receives a part of the body."""
        self.body += data

    def end(self) -> None:
        """Runs the request, whose body is complete."""
        day, request = self.backend.day, self.request
        day.runs.setdefault(request.attempt_id, []).append(self.body)
        self.backend.host.after(day.world.random.uniform(*day.work_range_s), self._answer)

    def _answer(self) -> None:
        if self.over:
            return
        if self.size <= 64 * 1024:
            self.over = True
            self.answers.answer(200, b"", self.size, LOAD_REPORT, bytes(self.size))
        else:
            self.answers.answer(200, b"", self.size, LOAD_REPORT, None)
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
        """Adds credit for bytes of the answer."""
        self.credit += size
        if not self.over and self.sent:
            self._push()

    def cancel(self) -> None:
        """Cancels the request."""
        self.over = True


class Client:
    """A request of a client, which retries attempts that have not run."""

    def __init__(self, day: Day, source: Source, kind: int, size: int, timeout_s: float) -> None:
        self.day, self.source, self.kind, self.size = day, source, kind, size
        self.deadline = source.host.now() + timeout_s
        self.begun_at = day.world.now
        self.outcome: object = None
        self.ended_at = 0.0
        self.tries = 0
        self.latency_target = 0.15 if size <= 50 else 0.5  # Small requests have a short latency target.
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
        request = ForwardedRequest(
            service="quarry",
            attempt_id=attempt,
            kind=self.kind,
            remaining_s=self.deadline - host.now(),
            max_queue_wait_s=0.0,
            priority=1,
            latency_target_s=self.latency_target,
            caller="tiles",
            method=b"POST",
            target=target,
            fields=b"",
            length=length,
            revision=1,
        )
        self.body = day.world.random.randbytes(self.size) if self.kind != READ else b""
        self.offset, self.credit, self.received_bytes = 0, 0, 0
        to = day.world.random.choice(day.other_destinations(self.source.region))
        self.channel = self.source.session_client.open(
            to, request, self, allowed_regions=day.other_regions(self.source.region)
        )
        if self.channel is None:
            self.failed(Verdict(NOT_RUN, FULL))

    def admitted(self) -> None:
        """The request was admitted, and its body may be sent."""
        self.window(64 * 1024)

    def window(self, size: int) -> None:
        """Adds credit for bytes of the body."""
        self.credit += size
        self.source.host.after(self.day.client_delay_s, self._send)

    def _send(self) -> None:
        if self.outcome is not None or self.channel is None or self.kind == READ or self.offset < 0:
            return
        piece = self.body[self.offset : self.offset + self.credit]
        self.credit -= len(piece)
        self.offset += len(piece)
        if piece:
            self.channel.data(piece)
        if self.offset == len(self.body):
            self.offset = -1
            self.channel.end()

    def answered(self, status: int, fields: bytes, length: int, body: bytes | None) -> None:
        """Receives a backend's answer."""
        if body is not None:
            self.received_bytes = len(body)
            self._finish("done")

    def data(self, data: bytes) -> None:
        """Receives a part of the answer's body."""
        self.received_bytes += len(data)
        assert self.channel is not None
        self.channel.window(len(data))

    def completed(self) -> None:
        """The answer is complete."""
        self._finish("done")

    def load(self, load: tuple[int, int, int]) -> None:
        """Ignores the load report."""

    def failed(self, verdict: Verdict) -> None:
        """The attempt failed; retries it if it has not run."""
        now = self.source.host.now()
        if verdict.ran == NOT_RUN and self.tries < 8 and self.deadline - now > 0.05:
            self.channel = None
            self.day.not_run_attempts.extend(self.attempts[-1:])
            self.source.host.after(0.02, self._try)
        else:
            self._finish("not run" if verdict.ran == NOT_RUN else "may have run")

    def _finish(self, end: str) -> None:
        if self.outcome is not None:
            self.day.faults.append(f"two outcomes: {self.outcome}, {end}")
        self.outcome, self.ended_at = end, self.day.world.now


class Source:
    """A machine of clients with its session client."""

    def __init__(self, host: Process, day: Day) -> None:
        self.host, self.region = host, host.machine.zone.split("-")[0]
        self.session_client = SessionClient(
            host, self.region, host.machine.zone, day.locations, day.world.random.random, day.sessions
        )


class Day:
    """One seeded run with faults of `fault_kinds`; without `sessions`, a lost gateway fails its requests."""

    def __init__(
        self,
        seed: int,
        regions: int = 2,
        sessions: bool = True,
        fault_kinds: str = FAULT_KINDS,
        mbps: float = 80.0,
        seconds: float = 6.0,
        order: Any = smallest_remainder_first,
        uploads: int = 3,
        most_bytes: int = 1 << 20,
        sources: int = 1,
    ) -> None:
        self.world = World(seed)
        self.world.strict = True
        self.network = RegionNetwork(self.world)
        self.mbps = mbps
        self.sessions, self.seconds, self.order, self.most_bytes = sessions, seconds, order, most_bytes
        self.regions = "abc"[:regions]
        self.refusal_share, self.work_range_s = (
            0.02,
            (0.005, 0.2),
        )  # The backends' share of refusals, and their working times.
        self.client_delay_s = self.world.random.choice((0.0, 0.0, 0.02))
        self.runs: dict[bytes, list[bytes]] = {}
        self.not_run_attempts: list[bytes] = []
        self.clients: list[Client] = []
        self.faults: list[str] = []
        self.restarts = self.cuts = 0
        self.locations = [
            GatewayLocation((f"10.{n}.1.{k}", GATEWAY_PORT), region, f"{region}-{k}")
            for n, region in enumerate(self.regions)
            for k in (1, 2)
        ]
        self.gateways = [
            self._new_process(location.address[0], location.zone, "keeper", self._gateway(location), mbps)
            for location in self.locations
        ]
        self.destinations = [
            self._new_process(
                f"10.{n}.2.{k}", f"{region}-{k}", "quarry", lambda host: DestinationBackend(host, self)
            )
            for n, region in enumerate(self.regions)
            for k in (1, 2)
        ]
        self.sources = [
            self._new_process(
                f"10.{n}.3.{k}", f"{region}-{1 + k % 2}", "source", lambda host: Source(host, self)
            )
            for n, region in enumerate(self.regions)
            for k in range(sources)
        ]
        for process in (*self.gateways, *self.destinations, *self.sources):
            self.world.at(self.world.random.uniform(0.0, 0.1), process.start)
        rng = self.world.random
        for _ in range(uploads):
            size = rng.randint(100_000, 1_500_000)
            self.world.at(rng.uniform(0.5, seconds - 1.0), self._client, UPLOAD, size, 14.0)
        for _ in range(12):
            size = rng.choice((0, 400, 20_000))
            self.world.at(rng.uniform(0.5, seconds), self._client, ORDER, size, 6.0)
            size = rng.choice((10, 40_000, 300_000))
            self.world.at(rng.uniform(0.5, seconds), self._client, READ, size, 4.0)
        if fault_kinds:
            for _ in range(rng.randint(1, 5)):
                self.world.at(rng.uniform(0.6, seconds), self._inject_fault, rng.choice(fault_kinds.split()))

    def _new_process(self, ip: str, zone: str, name: str, make: Any, mbps: float = 1000.0) -> Process:
        return Process(Machine(self.network, ip, zone, mbps=mbps), f"{name}-{ip}", make)

    def _gateway(self, location: GatewayLocation) -> Any:
        def make(host: Process) -> GatewayNode:
            gateway = GatewayNode(
                host,
                location,
                self.locations,
                DESTINATION_PORT,
                GatewayOptions(grace_s=5.0, max_bytes=self.most_bytes, order=self.order, link_mbps=self.mbps),
            )
            host.on_signal(15, gateway.terminate)
            return gateway

        return make

    def running_destinations(self) -> list[DestinationBackend]:
        """Returns the running destinations."""
        return [each.program for each in self.destinations if isinstance(each.program, DestinationBackend)]

    def other_destinations(self, region: str) -> list[str]:
        """Returns the destinations in other regions."""
        mine = str(self.regions.index(region))
        return [
            process.machine.ip for process in self.destinations if process.machine.ip.split(".")[1] != mine
        ]

    def other_regions(self, region: str) -> tuple[str, ...]:
        """Returns the other regions, which are the allowed regions of a request."""
        return tuple(each for each in self.regions if each != region)

    def _client(self, kind: int, size: int, timeout_s: float) -> None:
        source = self.world.random.choice(self.sources).program
        if isinstance(source, Source):
            Client(self, source, kind, size, timeout_s)

    def _inject_fault(self, kind: str) -> None:
        rng, gateway = self.world.random, self.world.random.choice(self.gateways)
        self.world.record("trouble", kind, gateway.name)
        if kind == "kill":
            gateway.kill()
        elif kind == "term":
            gateway.signal(15)
        elif kind == "restart":
            self.restarts += 1
            rng.choice(self.destinations).kill()
        elif kind == "drain" and isinstance(gateway.program, GatewayNode):
            gateway.program.order_drain()
            if rng.random() < 0.5:
                self.world.at(self.world.now + rng.uniform(0.0, 2.0), self._cancel_drain, gateway)
        elif kind == "cut":
            self.cuts += 1
            there = rng.choice([*self.destinations, *self.sources]).machine.ip
            pairs = [(gateway.machine.ip, there), (there, gateway.machine.ip)][: rng.choice((1, 2))]
            self.network.cut(pairs)
            self.world.at(self.world.now + rng.choice((0.05, 0.5, 2.0, 4.0)), self.network.remove_cuts, pairs)

    @staticmethod
    def _cancel_drain(gateway: Process) -> None:
        if isinstance(gateway.program, GatewayNode):
            gateway.program.cancel_drain()

    def play(self) -> Day:
        """Runs until all time-outs have passed, and checks the outcomes."""
        self.world.run(self.seconds + 15.0)
        for _, who, trace in self.world.crashes:
            self.faults.append(f"{who}: {trace}")
        for client in self.clients:
            self._check_client(client)
        self._check_leaks()
        return self

    def _check_client(self, client: Client) -> None:
        ran = [body for attempt in client.attempts for body in self.runs.get(attempt, [])]
        whole = client.size if client.kind == READ else 20
        if client.outcome is None:
            self.faults.append(f"no outcome, kind {client.kind}")
        for attempt in client.attempts:
            if len(self.runs.get(attempt, ())) > 1:
                self.faults.append(f"an attempt ran {len(self.runs[attempt])} times")
        if len(ran) > 1 and client.kind != READ:
            self.faults.append("a request that is not repeatable ran twice")
        if client.kind != READ and any(body != client.body for body in ran):
            self.faults.append("the backend received another body")
        if client.outcome == "done" and (not ran or client.received_bytes != whole):
            self.faults.append(
                f"outcome done, but ran {len(ran)} times, {client.received_bytes} of {whole} bytes"
            )
        if client.outcome == "not run" and ran:
            self.faults.append("outcome not run, but ran")
        if client.outcome == "may have run" and not self.restarts and not self.cuts and self.sessions:
            self.faults.append("outcome may have run, although no destination restarted")

    def _check_leaks(self) -> None:
        for process in self.gateways:
            if isinstance(process.program, GatewayNode):
                one = process.program.relay
                if one.relayed_sessions or one.in_flight_bytes:
                    self.faults.append(
                        f"{process.name} leaks {len(one.relayed_sessions)} sessions, {one.in_flight_bytes} B"
                    )
                if one.forbidden:
                    self.faults.append(f"{process.name} was asked for a region that is not allowed")
        for process in self.sources:
            if isinstance(process.program, Source) and process.program.session_client.sessions:
                self.faults.append("a closed session is leaked")
        for process in self.destinations:
            if (
                isinstance(process.program, DestinationBackend)
                and process.program.destination.receivers.body_quota.reserved_bytes
            ):
                self.faults.append("a reservation of body quota is leaked")

    @property
    def outcomes(self) -> Counter[tuple[int, object]]:
        """Returns the numbers of requests by kind and outcome."""
        return Counter((client.kind, client.outcome) for client in self.clients)


def main() -> int:
    """`python -m honeywharf.simulation.regions FIRST COUNT [REGIONS] [sessions|none] [FAULT_KINDS]`."""
    first, count = int(sys.argv[1]), int(sys.argv[2])
    regions = int(sys.argv[3]) if len(sys.argv) > 3 else 2
    sessions = len(sys.argv) < 5 or sys.argv[4] == "sessions"
    fault_kinds = sys.argv[5] if len(sys.argv) > 5 else FAULT_KINDS
    broken, outcomes, moves, twice = 0, Counter[tuple[int, object]](), 0, 0
    for played, seed in enumerate(range(first, first + count), 1):
        day = Day(seed, regions, sessions, fault_kinds).play()
        outcomes += day.outcomes
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
                    for (kind, end), n in sorted(outcomes.items(), key=str)
                ),
                flush=True,
            )
    return int(broken > 0)


if __name__ == "__main__":
    sys.exit(main())
