"""Reserved ports stay with their stand-in while it does not run."""

from __future__ import annotations

import asyncio
import errno
import socket

import pytest

from honeywharf.standins import node
from honeywharf.standins.backend import Backend
from tests.loopback import run


class FixedRandom:
    """A generator that returns these numbers in order."""

    def __init__(self, *ports: int) -> None:
        self.ports = list(ports)

    def randrange(self, *_: int) -> int:
        return self.ports.pop(0)


def test_a_reserved_port_is_not_given_out_again(monkeypatch: pytest.MonkeyPatch) -> None:
    first, second = node.free_ports(2)
    other = node.free_ports(1)[0]
    node._reserved.pop().close()
    monkeypatch.setattr(node, "_random", FixedRandom(first, second, other))
    assert node.free_ports(1) == [other]
    low, high = node.PORT_RANGE
    assert all(low <= port < high for port in (first, second, other))
    with socket.socket() as sock, pytest.raises(OSError, match="in use"):
        sock.bind((node.LOOPBACK, first))


def test_a_port_with_a_udp_socket_of_another_is_skipped(monkeypatch: pytest.MonkeyPatch) -> None:
    used, free = node.free_ports(2)
    for _ in range(2):
        node._reserved.pop().close()
    with socket.socket(type=socket.SOCK_DGRAM) as other:
        other.bind((node.LOOPBACK, used))
        monkeypatch.setattr(node, "_random", FixedRandom(used, free))
        assert node.free_ports(1) == [free]


def test_an_error_is_raised_where_no_port_is_free(monkeypatch: pytest.MonkeyPatch) -> None:
    (used,) = node.free_ports(1)
    monkeypatch.setattr(node, "_random", FixedRandom(*[used] * node.MAX_PORT_ATTEMPTS))
    with pytest.raises(OSError, match=r"expected a free port in 16384-32767, got none in 1000 attempts"):
        node.free_ports(1)


def test_the_number_of_reserved_ports_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    node.free_ports(1)
    monkeypatch.setattr(node, "MAX_RESERVED_PORTS", len(node._reserved) + 2)
    oldest = node._reserved[0]
    node.free_ports(4)
    assert len(node._reserved) == node.MAX_RESERVED_PORTS
    assert oldest.fileno() == -1


def test_a_crashed_backend_refuses_connections_and_returns_to_its_port() -> None:
    async def main() -> None:
        backend = await Backend().start()
        port = backend.port
        for _ in range(3):
            await backend.crash()
            with pytest.raises(ConnectionRefusedError):
                await asyncio.open_connection(node.LOOPBACK, port)
            with socket.socket() as other:
                assert other.connect_ex((node.LOOPBACK, port)) == errno.ECONNREFUSED
            await backend.restart()
            assert backend.port == port
            _, writer = await asyncio.open_connection(node.LOOPBACK, port)
            writer.close()
        await backend.stop()

    run(main())
