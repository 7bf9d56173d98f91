"""A toy mesh whose programs share their state directly, and which can be made to break each rule."""

from __future__ import annotations

import json
from collections import deque
from typing import Any

from honeywharf.simulation.backends import COLD_PER_S
from honeywharf.simulation.deployment import (
    APPLICATION,
    CONTROL,
    INBOUND,
    OUTBOUND,
    READINESS,
    SIGTERM,
    ProgramFactory,
)
from honeywharf.simulation.http_peer import Caller, Message, Reader, text
from honeywharf.simulation.machine import Process
from honeywharf.simulation.world import World
from honeywharf.transport.host import Connection

KEEP = ("x-honeywharf-attempt-id", "x-honeywharf-deadline-remaining", "host", "x-honeywharf-caller-service")


class SharedState:
    """The state that all toy programs share; `fault` names the rule to break."""

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
        """Takes a configuration, and returns the status of the answer."""
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
    """A connection to a toy program; requests go in order, one at a time, to `take(message, reply)`."""

    def __init__(self, connection: Connection, take: Any) -> None:
        self.connection, self.take, self.reader = connection, take, Reader(requests=True)
        self.queue: deque[Message] = deque()
        self.busy = False
        self.given_up: Any = lambda: None  # Called when the peer has closed the connection.

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
    """The outbound and inbound sides of a sidecar and its backend list, from the shared state."""

    def __init__(self, host: Process, settings: str, shared: SharedState) -> None:
        self.host, self.shared, self.mine = host, shared, json.loads(settings)
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
        if self.shared.fault == "LOST":
            self.host.exit(0)
            return
        for port in (OUTBOUND, READINESS):
            self.host.stop_listening((self.ip, port))
        self.wait()

    def wait(self) -> None:
        if self.open:
            self.host.after(0.05, self.wait)
        else:
            self.host.after(0.3, lambda: self.host.exit(0))

    def ready(self, message: Message, reply: Any) -> None:
        reply(answer(200 if self.shared.version else 503))

    def beat(self, message: Message, reply: Any) -> None:
        name = message.path.split("/")[3]
        if message.path.endswith("deregister"):
            self.shared.backends.pop(name, None)
        else:
            told = json.loads(message.body)
            cold = int(told["status"]["cold-remaining"][:-2]) / 1000
            self.shared.backends[name] = {
                "ip": self.ip,
                "zone": told["details"]["zone"],
                "service": told["details"]["target-service"],
                "state": told["status"]["state"],
                "seen": self.host.world.now,
                "cold": self.host.world.now + cold,
            }
        reply(answer(200))

    def usable(self, service: str) -> list[str]:
        now, shared = self.host.world.now, self.shared
        return [
            name
            for name, at in shared.backends.items()
            if at["service"] == service
            and (at["state"] == "ready" or shared.fault == "DRAIN")
            and (at["zone"] not in shared.empty or shared.fault == "EVAC")
            and now - at["seen"] < 3.0
        ]

    def route(self, message: Message) -> str:
        routes = self.shared.routes
        if self.shared.fault == "CONFIG BACK" and self.host.random(1)[0] < 20 and self.shared.words:
            word = json.loads(self.shared.words[0])
            routes = {(route["hostname"], route["path-prefix"]): route for route in word["routes"]}
        for (host, prefix), route in routes.items():
            if host == message.headers["host"] and message.path.startswith(prefix):
                parts = [part for part in route["traffic-split"] if part["weight"] > 0]
                return str(self.host.world.random.choice(parts)["target-service"])
        return ""

    def outbound(self, message: Message, reply: Any, tries: int = 3) -> None:
        fault, service = self.shared.fault, self.route(message)
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

        caller = Caller(self.host, (self.shared.backends[name]["ip"], INBOUND), told)
        first = f"{message.method} {message.path} HTTP/1.1"
        caller.send_request(None, text(first, {**headers, "toy": name}, message.body))
        self.heed(reply, caller)

    def heed(self, reply: Any, caller: Caller) -> None:
        """Cancels a request when its client has disconnected."""

        def given_up() -> None:
            self.open -= caller.is_open
            caller.close()

        if self.shared.fault != "GONE":
            reply.__self__.given_up = given_up

    def over(self, message: Message, reply: Any, tries: int, got: Message | None) -> None:
        fault, repeat = self.shared.fault, message.method == "GET"
        refused = got is not None and "toy" in got.headers
        if tries and (
            refused
            or (fault == "TWICE" and not repeat and self.host.random(1)[0] < 8)
            or (fault == "BUDGET" and repeat)
        ):
            self.outbound(message, reply, tries - 1)
        elif got is None and repeat and tries and self.shared.extra < 20:
            self.shared.extra += 1
            self.outbound(message, reply, 0)
        elif got is None:
            reply(answer(502))
        elif fault == "REFUSED" and self.host.random(1)[0] < 8:
            reply(answer(503))
        elif fault == "MIXED" and self.shared.last is not None and self.host.random(1)[0] < 8:
            reply(self.shared.last)
        else:
            self.shared.last = got
            reply(got)

    def inbound(self, message: Message, reply: Any) -> None:
        name, now = message.headers["toy"], self.host.world.now
        here = self.shared.backends.get(name)
        refused = here is None or here["ip"] != self.ip or name not in self.usable(here["service"])
        while self.cold and self.cold[0] < now - 1.05:
            self.cold.popleft()
        if here is not None and now < here["cold"] + 0.5 and self.shared.fault != "FAILBACK":
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
    """The operator interface, from the shared state."""

    def __init__(self, host: Process, settings: str, shared: SharedState) -> None:
        self.shared = shared
        host.listen(
            (json.loads(settings)["ip-address"], CONTROL), lambda connection: Serving(connection, self.take)
        )

    def take(self, message: Message, reply: Any) -> None:
        path = message.path.split("/")
        if path[-1] == "replace":
            reply(answer(self.shared.take(message.body)))
        elif path[-1] == "describe":
            reply(answer(200, self.shared.words[0 if self.shared.fault == "READ BACK" else -1]))
        else:
            {"start": self.shared.empty.add, "complete": self.shared.empty.discard}[path[-1]](path[-2])
            reply(answer(200))


def toys(fault: str) -> tuple[ProgramFactory, ProgramFactory]:
    """Returns factories of programs that share one state in each simulation."""
    shared_states: dict[World, SharedState] = {}

    def shared(host: Process) -> SharedState:
        return shared_states.setdefault(host.world, SharedState(fault))

    return (
        lambda host, text: ToySidecar(host, text, shared(host)),
        lambda host, text: ToyControlNode(host, text, shared(host)),
    )
