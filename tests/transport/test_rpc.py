"""Remote calls: exactly one end for each, limits, lost and idle connections, the greeting of streams."""

from __future__ import annotations

from typing import Any

from honeywharf.transport import rpc_client, rpc_server
from honeywharf.transport.framing import FrameReader, encode_frame
from honeywharf.transport.host import Address, Connection, Handler
from honeywharf.transport.rpc_client import RpcClient
from honeywharf.transport.rpc_server import RpcServer
from tests.control.virtual_network import Machine, VirtualNetwork

SERVER_ADDRESS = ("10.0.0.2", 7000)


def make_client_and_server(
    methods: dict[str, rpc_server.Method],
) -> tuple[VirtualNetwork, Machine, Machine, RpcClient, RpcServer]:
    network = VirtualNetwork(3)
    a, b = network.machine("10.0.0.1"), network.machine("10.0.0.2")
    a.start(lambda host: None)
    b.start(lambda host: None)
    server = RpcServer(methods)
    b.listen(SERVER_ADDRESS, server.accept)
    return network, a, b, RpcClient(a), server


def echo(args: Any, reply: rpc_server.Reply, peer: Address) -> None:
    reply(args)
    reply("a second answer is dropped")


def test_small_and_large_answers_arrive_once() -> None:
    network, _, _, client, _ = make_client_and_server({"echo": echo})
    answers: list[object] = []
    large_body = b"x" * 3_000_000
    for args in (1, [2], large_body):
        client.call(SERVER_ADDRESS, "echo", args, 1.0, answers.append)
    assert answers == []
    network.run(2.0)
    assert answers == [1, [2], large_body]
    assert client.peers == 1


def test_no_answer_an_unknown_method_and_an_exception_give_none() -> None:
    def failing(args: Any, reply: rpc_server.Reply, peer: Address) -> None:
        raise KeyError("args")

    network, _, _, client, server = make_client_and_server(
        {"silent": lambda args, reply, peer: None, "wrong": failing}
    )
    answers: list[tuple[str, object]] = []
    for method in ("silent", "none", "wrong"):
        client.call(SERVER_ADDRESS, method, None, 0.3, lambda x, m=method: answers.append((m, x)))  # type: ignore[misc]
    network.run(1.0)
    assert sorted(answers) == [("none", None), ("silent", None), ("wrong", None)]
    assert server.malformed == 1


def test_calls_fail_with_none_and_work_again_after_recovery() -> None:
    network, _, b, client, server = make_client_and_server({"echo": echo})
    answers: list[object] = []
    client.call(("10.0.0.2", 9), "echo", 1, 1.0, answers.append)
    network.run(0.2)
    assert answers == [None]
    client.call(SERVER_ADDRESS, "echo", 2, 1.0, answers.append)
    network.run(0.4)
    network.cuts |= {("10.0.0.1", "10.0.0.2"), ("10.0.0.2", "10.0.0.1")}
    client.call(SERVER_ADDRESS, "echo", 3, 0.3, answers.append)
    network.run(0.8)
    assert answers == [None, 2, None]
    network.cuts.clear()
    client.call(SERVER_ADDRESS, "echo", 4, 0.3, answers.append)
    network.run(1.2)
    assert answers == [None, 2, None, 4]
    client.call(SERVER_ADDRESS, "echo", 5, 0.3, answers.append)
    b.off(power=False)
    network.run(1.6)
    b.start(lambda host: b.listen(SERVER_ADDRESS, server.accept))
    client.call(SERVER_ADDRESS, "echo", 6, 0.3, answers.append)
    network.run(2.5)
    assert answers == [None, 2, None, 4, None, 6]


def test_connections_and_calls_are_bounded_and_idle_connections_close() -> None:
    network, _, _, client, _ = make_client_and_server({"echo": echo})
    answers: list[object] = []
    for n in range(rpc_client.MAX_PEERS + 5):
        client.call(("10.0.1.1", 1 + n), "echo", n, 0.3, answers.append)
    assert client.peers == rpc_client.MAX_PEERS
    network.run(0.2)
    assert answers == [None] * 5  # Rejected at once, because all connections are busy.
    network.run(2.0)
    assert answers == [None] * (rpc_client.MAX_PEERS + 5)
    for n in range(rpc_client.MAX_PENDING_CALLS + 3):
        client.call(SERVER_ADDRESS, "echo", n, 0.3, answers.append)
    network.run(3.0)
    assert answers[-rpc_client.MAX_PENDING_CALLS - 3 : -rpc_client.MAX_PENDING_CALLS] == [None] * 3
    assert answers[-rpc_client.MAX_PENDING_CALLS :] == list(range(rpc_client.MAX_PENDING_CALLS))
    network.run(3.0 + 2 * rpc_client.IDLE_TIMEOUT_S + 1)
    assert client.peers == 0


def test_a_streams_greeting_passes_the_connection_and_its_frames_on() -> None:
    network, a, _, _, server = make_client_and_server({"echo": echo})
    events: list[object] = []

    class RecordingHandler:
        def opened(self) -> None:
            events.append("opened")

        def received(self, data: bytes) -> None:
            events.append(data)

        def ended(self) -> None:
            events.append("ended")

        def drained(self) -> None:
            events.append("drained")

        def closed(self, why: str) -> None:
            events.append(why)

    class ClientHandler(RecordingHandler):
        def closed(self, why: str) -> None:
            events.append("caller's end")

    def streams(connection: Connection, reader: FrameReader, frames: list[Any]) -> Handler:
        events.append(frames)
        return RecordingHandler()

    server.streams = streams
    client_connection = a.connect(SERVER_ADDRESS, lambda connection: ClientHandler())
    client_connection.send(encode_frame("streams") + encode_frame([1, 2]))
    network.run(0.5)
    client_connection.send(b"more")
    network.run(1.0)
    client_connection.abort()
    network.run(2.0)
    assert events == ["opened", [[1, 2]], b"more", "caller's end", "reset"]


def test_a_connection_without_a_greeting_is_closed() -> None:
    network, a, _, _, server = make_client_and_server({"echo": echo})
    a.connect(SERVER_ADDRESS, RpcServer({}).accept).send(b"GET / HTTP/1.1\r\n\r\n")
    network.run(1.0)
    assert server.malformed == 1


def test_a_late_answer_is_not_given_to_the_next_call() -> None:
    replies: list[rpc_server.Reply] = []

    def keep(args: Any, reply: rpc_server.Reply, peer: Address) -> None:
        replies.append(reply)

    network, _, _, client, _ = make_client_and_server({"keep": keep, "echo": echo})
    answers: list[tuple[str, object]] = []
    client.call(SERVER_ADDRESS, "keep", None, 0.3, lambda answer: answers.append(("first", answer)))
    for n in range(4):  # Progress on the connection keeps it open.
        network.run(0.1 * (n + 1))
        client.call(SERVER_ADDRESS, "echo", n, 1.0, lambda answer: None)
    network.run(0.5)
    assert answers == [("first", None)]
    assert client.peers == 1
    client.call(SERVER_ADDRESS, "keep", None, 1.0, lambda answer: answers.append(("second", answer)))
    network.run(0.6)
    replies[0]("late")
    network.run(0.7)
    assert answers == [("first", None)]
    replies[1]("due")
    network.run(0.8)
    assert answers == [("first", None), ("second", "due")]


def test_a_late_answer_is_not_given_to_a_call_on_a_new_connection() -> None:
    """Guards against mixing up the connections, which both number their calls from 1."""
    replies: list[rpc_server.Reply] = []
    methods: dict[str, rpc_server.Method] = {
        "keep": lambda args, reply, peer: replies.append(reply),
        "echo": echo,
    }
    network, _, _, client, _ = make_client_and_server(methods)
    answers: list[tuple[str, object]] = []
    client.call(SERVER_ADDRESS, "echo", 0, 1.0, lambda answer: answers.append(("up", answer)))
    network.run(0.1)
    network.cuts.add((SERVER_ADDRESS[0], "10.0.0.1"))
    client.call(SERVER_ADDRESS, "keep", None, 0.3, lambda answer: answers.append(("first", answer)))
    network.run(0.5)
    replies[0]("late")
    assert answers == [("up", 0), ("first", None)]
    assert client.peers == 0  # The connection is closed for lack of progress.
    network.cuts.clear()
    client.call(SERVER_ADDRESS, "keep", None, 1.0, lambda answer: answers.append(("second", answer)))
    network.run(1.4)
    assert len(answers) == 2
    replies[1]("due")
    network.run(1.45)
    assert answers[2:] == [("second", "due")]
