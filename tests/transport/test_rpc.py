"""Calls: one end for each, bounds, lost links, idle links, another acceptor for streams."""

from __future__ import annotations

from typing import Any

from honeywharf.transport import rpc_client, rpc_server
from honeywharf.transport.framing import FrameReader, encode_frame
from honeywharf.transport.host import Address, Connection, Handler
from honeywharf.transport.rpc_client import RpcClient
from honeywharf.transport.rpc_server import RpcServer
from tests.control.virtual_network import Machine, VirtualNetwork

AT = ("10.0.0.2", 7000)


def pair(
    methods: dict[str, rpc_server.Method],
) -> tuple[VirtualNetwork, Machine, Machine, RpcClient, RpcServer]:
    world = VirtualNetwork(3)
    a, b = world.machine("10.0.0.1"), world.machine("10.0.0.2")
    a.start(lambda host: None)
    b.start(lambda host: None)
    answerer = RpcServer(methods)
    b.listen(AT, answerer.accept)
    return world, a, b, RpcClient(a), answerer


def echo(args: Any, reply: rpc_server.Reply, peer: Address) -> None:
    reply(args)
    reply("a second answer is dropped")


def test_an_answer_comes_once_also_when_it_is_large() -> None:
    world, _, _, caller, _ = pair({"echo": echo})
    got: list[object] = []
    big = b"x" * 3_000_000
    for args in (1, [2], big):
        caller.call(AT, "echo", args, 1.0, got.append)
    assert got == []
    world.run(2.0)
    assert got == [1, [2], big]
    assert caller.peers == 1


def test_silence_an_unknown_method_and_nonsense_answer_none() -> None:
    def wrong(args: Any, reply: rpc_server.Reply, peer: Address) -> None:
        raise KeyError("args")

    world, _, _, caller, answerer = pair({"silent": lambda args, reply, peer: None, "wrong": wrong})
    got: list[tuple[str, object]] = []
    for method in ("silent", "none", "wrong"):
        caller.call(AT, method, None, 0.3, lambda x, m=method: got.append((m, x)))  # type: ignore[misc]
    world.run(1.0)
    assert sorted(got) == [("none", None), ("silent", None), ("wrong", None)]
    assert answerer.malformed == 1


def test_a_dead_port_a_cut_and_a_lost_process_answer_none_and_the_link_mends() -> None:
    world, _, b, caller, answerer = pair({"echo": echo})
    got: list[object] = []
    caller.call(("10.0.0.2", 9), "echo", 1, 1.0, got.append)
    world.run(0.2)
    assert got == [None]
    caller.call(AT, "echo", 2, 1.0, got.append)
    world.run(0.4)
    world.cuts |= {("10.0.0.1", "10.0.0.2"), ("10.0.0.2", "10.0.0.1")}
    caller.call(AT, "echo", 3, 0.3, got.append)
    world.run(0.8)
    assert got == [None, 2, None]
    world.cuts.clear()
    caller.call(AT, "echo", 4, 0.3, got.append)
    world.run(1.2)
    assert got == [None, 2, None, 4]
    caller.call(AT, "echo", 5, 0.3, got.append)
    b.off(power=False)
    world.run(1.6)
    b.start(lambda host: b.listen(AT, answerer.accept))
    caller.call(AT, "echo", 6, 0.3, got.append)
    world.run(2.5)
    assert got == [None, 2, None, 4, None, 6]


def test_links_are_bounded_and_idle_ones_close() -> None:
    world, _, _, caller, _ = pair({"echo": echo})
    got: list[object] = []
    for n in range(rpc_client.MAX_PEERS + 5):
        caller.call(("10.0.1.1", 1 + n), "echo", n, 0.3, got.append)
    assert caller.peers == rpc_client.MAX_PEERS
    world.run(0.2)
    assert got == [None] * 5  # refused at once, all links being at work
    world.run(2.0)
    assert got == [None] * (rpc_client.MAX_PEERS + 5)
    for n in range(rpc_client.MAX_PENDING_CALLS + 3):
        caller.call(AT, "echo", n, 0.3, got.append)
    world.run(3.0)
    assert got[-rpc_client.MAX_PENDING_CALLS - 3 : -rpc_client.MAX_PENDING_CALLS] == [None] * 3
    assert got[-rpc_client.MAX_PENDING_CALLS :] == list(range(rpc_client.MAX_PENDING_CALLS))
    world.run(3.0 + 2 * rpc_client.IDLE_TIMEOUT_S + 1)
    assert caller.peers == 0


def test_streams_are_handed_to_their_own_acceptor_with_what_is_left_over() -> None:
    world, a, _, _, answerer = pair({"echo": echo})
    seen: list[object] = []

    class Inner:
        def opened(self) -> None:
            seen.append("opened")

        def received(self, data: bytes) -> None:
            seen.append(data)

        def ended(self) -> None:
            seen.append("ended")

        def drained(self) -> None:
            seen.append("drained")

        def closed(self, why: str) -> None:
            seen.append(why)

    class Quiet(Inner):
        def closed(self, why: str) -> None:
            seen.append("caller's end")

    def streams(connection: Connection, reader: FrameReader, frames: list[Any]) -> Handler:
        seen.append(frames)
        return Inner()

    answerer.streams = streams
    wire = a.connect(AT, lambda connection: Quiet())
    wire.send(encode_frame("streams") + encode_frame([1, 2]))
    world.run(0.5)
    wire.send(b"more")
    world.run(1.0)
    wire.abort()
    world.run(2.0)
    assert seen == ["opened", [[1, 2]], b"more", "caller's end", "reset"]


def test_a_connection_that_begins_otherwise_is_dropped() -> None:
    world, a, _, _, answerer = pair({"echo": echo})
    a.connect(AT, RpcServer({}).accept).send(b"GET / HTTP/1.1\r\n\r\n")
    world.run(1.0)
    assert answerer.malformed == 1


def test_an_answer_after_its_call_has_timed_out_is_not_the_next_ones() -> None:
    owed: list[rpc_server.Reply] = []

    def keep(args: Any, reply: rpc_server.Reply, peer: Address) -> None:
        owed.append(reply)

    world, _, _, caller, _ = pair({"keep": keep, "echo": echo})
    got: list[tuple[str, object]] = []
    caller.call(AT, "keep", None, 0.3, lambda answer: got.append(("first", answer)))
    for n in range(4):  # the link lives, so it is kept
        world.run(0.1 * (n + 1))
        caller.call(AT, "echo", n, 1.0, lambda answer: None)
    world.run(0.5)
    assert got == [("first", None)]
    assert caller.peers == 1
    caller.call(AT, "keep", None, 1.0, lambda answer: got.append(("second", answer)))
    world.run(0.6)
    owed[0]("late")
    world.run(0.7)
    assert got == [("first", None)]
    owed[1]("due")
    world.run(0.8)
    assert got == [("first", None), ("second", "due")]


def test_an_answer_on_a_link_that_was_given_up_is_not_the_one_of_the_next_link() -> None:
    """Both links number their calls from 1."""
    owed: list[rpc_server.Reply] = []
    methods: dict[str, rpc_server.Method] = {
        "keep": lambda args, reply, peer: owed.append(reply),
        "echo": echo,
    }
    world, _, _, caller, _ = pair(methods)
    got: list[tuple[str, object]] = []
    caller.call(AT, "echo", 0, 1.0, lambda answer: got.append(("up", answer)))
    world.run(0.1)
    world.cuts.add((AT[0], "10.0.0.1"))
    caller.call(AT, "keep", None, 0.3, lambda answer: got.append(("first", answer)))
    world.run(0.5)
    owed[0]("late")
    assert got == [("up", 0), ("first", None)]
    assert caller.peers == 0  # nothing moved: the link was given up
    world.cuts.clear()
    caller.call(AT, "keep", None, 1.0, lambda answer: got.append(("second", answer)))
    world.run(1.4)
    assert len(got) == 2
    owed[1]("due")
    world.run(1.45)
    assert got[2:] == [("second", "due")]
