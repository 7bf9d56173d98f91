"""Small programs for tests of the simulated machine: a client, a server, and logs of their callbacks."""

from __future__ import annotations

from collections.abc import Callable

from honeywharf.simulation.disk import Disk
from honeywharf.simulation.machine import Machine, Network, Process
from honeywharf.simulation.world import World
from honeywharf.transport.host import Connection

HERE, THERE = "10.1.0.1", "10.2.0.1"


class CallbackLog:
    """A handler that records its callbacks, and echoes on request."""

    def __init__(self, process: Process, connection: Connection, echo: bool = False) -> None:
        self.process, self.connection, self.echo = process, connection, echo
        self.data, self.told = b"", list[tuple[float, str]]()

    def tell(self, what: str) -> None:
        self.told.append((self.process.world.now, what))

    def opened(self) -> None:
        self.tell("opened")

    def received(self, data: bytes) -> None:
        self.data += data
        self.tell("data")
        if self.echo:
            self.connection.send(data)

    def ended(self) -> None:
        self.tell("ended")
        if self.echo:
            self.connection.close()

    def drained(self) -> None:
        self.tell("drained")

    def closed(self, why: str) -> None:
        self.tell(f"closed {why}")

    def names(self) -> list[str]:
        return [what for _, what in self.told if what != "data"]


class TwoMachines:
    """Two machines in two zones with a process each; the second accepts connections at port 80."""

    def __init__(self, seed: int = 1, echo: bool = True, loss: float = 0.0) -> None:
        self.world = World(seed)
        self.network = Network(self.world, loss=loss)
        self.accepted: list[CallbackLog] = []
        self.here = Process(Machine(self.network, HERE, "a"), "here", lambda process: None)
        self.there = Process(Machine(self.network, THERE, "b", Disk()), "there", self._serve)
        self.echo = echo
        self.here.start()
        self.there.start()
        self.world.run(0.01)

    def _serve(self, process: Process) -> object:
        process.listen((THERE, 80), self._accept)
        return None

    def _accept(self, connection: Connection) -> CallbackLog:
        self.accepted.append(CallbackLog(self.there, connection, self.echo))
        return self.accepted[-1]

    def open_connection(self, port: int = 80, within: float = 1.0) -> CallbackLog:
        logs: list[CallbackLog] = []

        def made(connection: Connection) -> CallbackLog:
            logs.append(CallbackLog(self.here, connection))
            return logs[0]

        self.here.connect((THERE, port), made, within)
        return logs[0]

    def call_in(self, process: Process, do: Callable[[], None]) -> None:
        process.call(process.incarnation, do)
