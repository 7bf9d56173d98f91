"""A mesh in little that knows the truth without asking, and can be told to break each rule."""

from __future__ import annotations

import json
from collections import deque
from typing import Any

from honeywharf.simulation.actors import COLD_PER_S, Caller, Message, Reader, text
from honeywharf.simulation.deployment import (
    APPLICATION,
    CONTROL,
    INBOUND,
    OUTBOUND,
    READINESS,
    SIGTERM,
    ProgramFactory,
)
from honeywharf.simulation.machine import Process
from honeywharf.simulation.world import World
from honeywharf.transport.host import Connection

KEEP = ("x-honeywharf-attempt-id", "x-honeywharf-deadline-remaining", "host", "x-honeywharf-caller-service")


class Truth:
    """What all toy programs share. `fault` names the rule to break."""

    def __init__(self, fault: str = "") -> None:
        self.fault = fault
        self.words: list[bytes] = []
        self.version, self.routes = 0, dict[tuple[str, str], Any]()
        self.contents: dict[int, bytes] = {}
        self.backends: dict[str, dict[str, Any]] = {}
        self.empty: set[str] = set()
        self.extra = 0
        self.last: Message | None = None

    def take(self, body: bytes) -> int:
        """A configuration, for its answer's status."""
        try:
            word = json.loads(body)
        except ValueError:
            return 400
        names = {service["name"] for service in word["services"]}
        bad = any(
            route["max-attempts"] == 0
            or route["timeout"] == "601s"
            or any(
                part["weight"] < 0 or part["target-service"] not in names for part in route["traffic-split"]
            )
            for route in word["routes"]
        )
        version = int(word["config-version"][1:])
        if bad and self.fault != "CONFIG":
            return 400
        if version > self.version or self.fault == "TWO CONTENTS":
            self.contents.setdefault(version, body)
        if self.contents.get(version, body) != body and self.fault != "TWO CONTENTS":
            return 409
        if self.fault == "REFUSED AGAIN" and version <= self.version:
            return 409
        if version > self.version:
            self.version = version
            self.words.append(body)
            self.routes = {(route["hostname"], route["path-prefix"]): route for route in word["routes"]}
        return 200


class Serving:
    """A connection to a toy: requests in order, one at a time; `take(message, reply)`."""

    def __init__(self, connection: Connection, take: Any) -> None:
        self.connection, self.take, self.reader = connection, take, Reader(requests=True)
        self.queue: deque[Message] = deque()
        self.busy = False
        self.given_up: Any = lambda: None  # called when the other end has left

    def opened(self) -> None: ...

    def drained(self) -> None: ...

    def received(self, data: bytes) -> None:
        self.queue.extend(self.reader.feed(data))
        self.go()

    def go(self) -> None:
        if self.queue and not self.busy:
            self.busy = True
            self.take(self.queue.popleft(), self.reply)

    def reply(self, message: Message | None) -> None:
        self.busy = False
        if message is None:
            self.connection.abort()
            return
        headers: dict[str, object] = {
            name: value
            for name, value in message.headers.items()
            if name not in ("content-length", "connection")
        }
        self.connection.send(text(f"HTTP/1.1 {message.status} Toy", headers, message.body))
        self.go()

    def ended(self) -> None:
        self.connection.close()

    def closed(self, why: str) -> None:
        self.given_up()


def answer(status: int, body: bytes = b"") -> Message:
    message = Message()
    message.status, message.body = status, body
    return message


class ToySidecar:
    """Outbound, inbound and the list, by the truth."""

    def __init__(self, host: Process, settings: str, truth: Truth) -> None:
        self.host, self.truth, self.mine = host, truth, json.loads(settings)
        self.ip, self.open = self.mine["ip-address"], 0
        self.cold: deque[float] = deque()
        self.serve(OUTBOUND, self.outbound)
        self.serve(INBOUND, self.inbound)
        self.serve(READINESS, self.ready)
        self.serve(CONTROL, self.beat)
        host.on_signal(SIGTERM, self.stop)

    def serve(self, port: int, take: Any) -> None:
        self.host.listen((self.ip, port), lambda connection: Serving(connection, take))

    def stop(self) -> None:
        if self.truth.fault == "LOST":
            self.host.exit(0)
            return
        for port in (OUTBOUND, READINESS):
            self.host.unlisten((self.ip, port))
        self.wait()

    def wait(self) -> None:
        if self.open:
            self.host.after(0.05, self.wait)
        else:
            self.host.after(0.3, lambda: self.host.exit(0))

    def ready(self, message: Message, reply: Any) -> None:
        reply(answer(200 if self.truth.version else 503))

    def beat(self, message: Message, reply: Any) -> None:
        name = message.path.split("/")[3]
        if message.path.endswith("deregister"):
            self.truth.backends.pop(name, None)
        else:
            told = json.loads(message.body)
            cold = int(told["status"]["cold-remaining"][:-2]) / 1000
            self.truth.backends[name] = {
                "ip": self.ip,
                "zone": told["details"]["zone"],
                "service": told["details"]["target-service"],
                "state": told["status"]["state"],
                "seen": self.host.world.now,
                "cold": self.host.world.now + cold,
            }
        reply(answer(200))

    def usable(self, service: str) -> list[str]:
        now, truth = self.host.world.now, self.truth
        return [
            name
            for name, at in truth.backends.items()
            if at["service"] == service
            and (at["state"] == "ready" or truth.fault == "DRAIN")
            and (at["zone"] not in truth.empty or truth.fault == "EVAC")
            and now - at["seen"] < 3.0
        ]

    def route(self, message: Message) -> str:
        routes = self.truth.routes
        if self.truth.fault == "CONFIG BACK" and self.host.random(1)[0] < 20 and self.truth.words:
            word = json.loads(self.truth.words[0])
            routes = {(route["hostname"], route["path-prefix"]): route for route in word["routes"]}
        for (host, prefix), route in routes.items():
            if host == message.headers["host"] and message.path.startswith(prefix):
                parts = [part for part in route["traffic-split"] if part["weight"] > 0]
                return str(self.host.world.random.choice(parts)["target-service"])
        return ""

    def outbound(self, message: Message, reply: Any, tries: int = 3) -> None:
        fault, service = self.truth.fault, self.route(message)
        if fault == "ROUTE" and self.host.random(1)[0] < 8:
            service = "order-desk" if service == "tile-vault" else "tile-vault"
        usable = self.usable(service)
        if not usable or not service or (fault == "RECOVER" and self.host.world.now > 18.0):
            reply(answer(503 if service else 404))
            return
        name = self.host.world.random.choice(usable)
        self.open += 1
        if fault != "UNASKED":
            message.headers["x-honeywharf-caller-service"] = self.mine["target-service"]
        headers: dict[str, object] = {key: message.headers[key] for key in KEEP}

        def told(tag: object, got: Message | None) -> None:
            self.open -= 1
            caller.close()
            self.over(message, reply, tries, got)

        caller = Caller(self.host, (self.truth.backends[name]["ip"], INBOUND), told)
        first = f"{message.method} {message.path} HTTP/1.1"
        caller.send_request(None, text(first, {**headers, "toy": name}, message.body))
        self.heed(reply, caller)

    def heed(self, reply: Any, caller: Caller) -> None:
        """Give a request up when the one that waits for it has left."""

        def given_up() -> None:
            self.open -= caller.is_open
            caller.close()

        if self.truth.fault != "GONE":
            reply.__self__.given_up = given_up

    def over(self, message: Message, reply: Any, tries: int, got: Message | None) -> None:
        fault, repeat = self.truth.fault, message.method == "GET"
        refused = got is not None and "toy" in got.headers
        if tries and (
            refused
            or (fault == "TWICE" and not repeat and self.host.random(1)[0] < 8)
            or (fault == "BUDGET" and repeat)
        ):
            self.outbound(message, reply, tries - 1)
        elif got is None and repeat and tries and self.truth.extra < 20:
            self.truth.extra += 1
            self.outbound(message, reply, 0)
        elif got is None:
            reply(answer(502))
        elif fault == "REFUSED" and self.host.random(1)[0] < 8:
            reply(answer(503))
        elif fault == "MIXED" and self.truth.last is not None and self.host.random(1)[0] < 8:
            reply(self.truth.last)
        else:
            self.truth.last = got
            reply(got)

    def inbound(self, message: Message, reply: Any) -> None:
        name, now = message.headers["toy"], self.host.world.now
        here = self.truth.backends.get(name)
        refused = here is None or here["ip"] != self.ip or name not in self.usable(here["service"])
        while self.cold and self.cold[0] < now - 1.05:
            self.cold.popleft()
        if here is not None and now < here["cold"] + 0.5 and self.truth.fault != "FAILBACK":
            refused = refused or len(self.cold) >= COLD_PER_S
            self.cold.append(now)
        if refused:
            no = answer(503)
            no.headers["toy"] = "not run"
            reply(no)
            return
        headers: dict[str, object] = {key: message.headers[key] for key in KEEP}
        echo = message.headers["x-honeywharf-attempt-id"]

        def told(tag: object, got: Message | None) -> None:
            self.open -= 1
            caller.close()
            wrong = got is not None and got.headers.get("x-honeywharf-attempt-id", echo) != echo
            reply(None if wrong else got)

        self.open += 1
        caller = Caller(self.host, (self.ip, APPLICATION), told)
        caller.send_request(
            None,
            text(
                f"{message.method} {message.path} HTTP/1.1",
                {**headers, "X-Honeywharf-Expected-Instance": name},
                message.body,
            ),
        )
        self.heed(reply, caller)


class ToyControlNode:
    """The operator's door, by the truth."""

    def __init__(self, host: Process, settings: str, truth: Truth) -> None:
        self.truth = truth
        host.listen(
            (json.loads(settings)["ip-address"], CONTROL), lambda connection: Serving(connection, self.take)
        )

    def take(self, message: Message, reply: Any) -> None:
        path = message.path.split("/")
        if path[-1] == "replace":
            reply(answer(self.truth.take(message.body)))
        elif path[-1] == "describe":
            reply(answer(200, self.truth.words[0 if self.truth.fault == "READ BACK" else -1]))
        else:
            {"start": self.truth.empty.add, "complete": self.truth.empty.discard}[path[-1]](path[-2])
            reply(answer(200))


def toys(fault: str) -> tuple[ProgramFactory, ProgramFactory]:
    """Programs that share one truth for each world."""
    truths: dict[World, Truth] = {}

    def truth(host: Process) -> Truth:
        return truths.setdefault(host.world, Truth(fault))

    return (
        lambda host, text: ToySidecar(host, text, truth(host)),
        lambda host, text: ToyControlNode(host, text, truth(host)),
    )
