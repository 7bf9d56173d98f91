"""Ports that stay a stand-in's own while it is away, whatever others ask for meanwhile."""

from __future__ import annotations

import asyncio
import errno
import socket

import pytest

from honeywharf.standins import node
from honeywharf.standins.backend import Backend
from tests.loopback import run


class Fixed:
    """Draws these numbers, one after the other."""

    def __init__(self, *ports: int) -> None:
        self.ports = list(ports)

    def randrange(self, *_: int) -> int:
        return self.ports.pop(0)


def test_a_port_that_is_held_goes_to_nobody_who_looks_for_one(monkeypatch: pytest.MonkeyPatch) -> None:
    first, second = node.free_ports(2)
    other = node.free_ports(1)[0]
    node._held.pop().close()
    monkeypatch.setattr(node, "_draw", Fixed(first, second, other))
    assert node.free_ports(1) == [other]
    low, high = node.PORTS
    assert all(low <= port < high for port in (first, second, other))
    with socket.socket() as sock, pytest.raises(OSError, match="in use"):
        sock.bind((node.LOCAL, first))


def test_a_port_whose_datagrams_are_another_s_is_passed_over(monkeypatch: pytest.MonkeyPatch) -> None:
    taken, free = node.free_ports(2)
    for _ in range(2):
        node._held.pop().close()
    with socket.socket(type=socket.SOCK_DGRAM) as other:
        other.bind((node.LOCAL, taken))
        monkeypatch.setattr(node, "_draw", Fixed(taken, free))
        assert node.free_ports(1) == [free]


def test_where_nothing_is_free_the_error_says_so(monkeypatch: pytest.MonkeyPatch) -> None:
    (taken,) = node.free_ports(1)
    monkeypatch.setattr(node, "_draw", Fixed(*[taken] * node.MAX_TRIED))
    with pytest.raises(OSError, match=r"found no free port of 1000 in 16384-32767, wanted one"):
        node.free_ports(1)


def test_as_many_are_held_as_the_bound_says(monkeypatch: pytest.MonkeyPatch) -> None:
    node.free_ports(1)
    monkeypatch.setattr(node, "MAX_HELD", len(node._held) + 2)
    oldest = node._held[0]
    node.free_ports(4)
    assert len(node._held) == node.MAX_HELD
    assert oldest.fileno() == -1


def test_a_stand_in_that_is_away_refuses_and_finds_its_port_again() -> None:
    async def main() -> None:
        backend = await Backend().start()
        port = backend.port
        for _ in range(3):
            await backend.crash()
            with pytest.raises(ConnectionRefusedError):
                await asyncio.open_connection(node.LOCAL, port)
            with socket.socket() as other:
                assert other.connect_ex((node.LOCAL, port)) == errno.ECONNREFUSED
            await backend.restart()
            assert backend.port == port
            _, writer = await asyncio.open_connection(node.LOCAL, port)
            writer.close()
        await backend.stop()

    run(main())
