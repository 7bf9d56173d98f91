"""The program as a process: its configuration, signals, and too few descriptors."""

from __future__ import annotations

import json
import os
import resource
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import pytest

from honeywharf.config import node as config
from tests.loopback import SETTINGS, TIMEOUT_S, row

ROOT = Path(__file__).parent.parent


def write_configuration(path: Path, **changes: Any) -> dict[str, str]:
    raw = {
        "name": "n",
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:1",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": SETTINGS,
        "known": {"generation": 1, "reset": True, "instances": [row("b", 1)]},
        **changes,
    }
    file = path / "config.json"
    file.write_text(json.dumps(raw))
    return {**os.environ, "NODE_CONFIG": str(file)}


def test_the_configuration_is_typed(tmp_path: Path) -> None:
    loaded = config.load(write_configuration(tmp_path, listen="127.0.0.2:3000"))
    assert (loaded.listen, loaded.discovery, loaded.sockets) == (("127.0.0.2", 3000), ("127.0.0.1", 1), 1024)
    assert loaded.seed == 0x8C1F30D27A5BE964
    assert loaded.settings.report_fields == ("queue", "in_flight")
    assert loaded.report_fields == ("pending", "busy_reqs")


@pytest.mark.parametrize(
    "changes",
    [
        {"listen": "nowhere"},
        {"listen": "127.0.0.1:99999"},
        {"discovery": 5},
        {"seed": "xyz"},
        {"seed": None},
        {"settings": None},
        {"settings": {}},
        {"settings": {**SETTINGS, "zone": 3}},
        {"known": []},
        {"limits": {"sockets": "many"}},
        {"known": {"generation": 1, "instances": 5}},
        {"settings": {**SETTINGS, "profiles": []}},
        {"listen": "192.0.2.1:3000"},
    ],
)
def test_an_invalid_configuration_is_reported_in_one_line_with_status_2(
    tmp_path: Path, changes: dict[str, Any]
) -> None:
    result = subprocess.run(
        [sys.executable, "-m", "honeywharf"],
        env=write_configuration(tmp_path, **changes),
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
        check=False,
    )
    assert result.returncode == 2
    (line,) = result.stderr.splitlines()
    assert line.startswith("honeywharf: ")


@pytest.mark.parametrize("text", [None, "{", "[]"])
def test_a_missing_or_malformed_configuration_is_an_error(tmp_path: Path, text: str | None) -> None:
    file = tmp_path / "c.json"
    if text is not None:
        file.write_text(text)
    for environ in ({"NODE_CONFIG": str(file)}, {}):
        with pytest.raises(config.ConfigError):
            config.load(environ)


class Process:
    """A running proxy process that listens."""

    def __init__(self, path: Path, **changes: Any) -> None:
        descriptors = changes.pop("descriptors", 1024)
        self.process = subprocess.Popen(
            [sys.executable, "-m", "honeywharf"],
            cwd=ROOT,
            stderr=subprocess.PIPE,
            text=True,
            env=write_configuration(path, **changes),
            preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, descriptors)),
        )
        assert self.process.stderr is not None
        self.early: list[str] = []  # The lines of a store that connects before the proxy listens.
        line = self.process.stderr.readline()
        while line.startswith("order_keys: "):
            self.early.append(line)
            line = self.process.stderr.readline()
        assert line.startswith("n listens on 127.0.0.1:")
        self.port = int(line.rpartition(":")[2])

    def connect(self) -> socket.socket:
        connection = socket.create_connection(("127.0.0.1", self.port), TIMEOUT_S)
        connection.settimeout(TIMEOUT_S)
        return connection

    def get(self, path: str = "/health/ready") -> bytes:
        with self.connect() as connection:
            connection.sendall(f"GET {path} HTTP/1.1\r\n\r\n".encode())
            return connection.recv(4096)

    def __enter__(self) -> Process:
        return self

    def __exit__(self, *_: object) -> None:
        self.process.kill()
        self.process.communicate()


def test_the_process_ends_with_status_0_after_sigterm(tmp_path: Path) -> None:
    with Process(tmp_path) as proxy:
        assert proxy.get("/nowhere").startswith(b"HTTP/1.1 404 ")
        proxy.process.send_signal(signal.SIGTERM)
        assert proxy.process.wait(TIMEOUT_S) == 0


def test_too_few_descriptors_end_no_request_and_no_listener(tmp_path: Path) -> None:
    """With more clients than descriptors, the listener and the current clients keep working."""
    with Process(tmp_path, descriptors=64) as proxy:
        first = proxy.connect()  # This connection has a request in flight, so it must stay open.
        first.sendall(b"POST /nowhere HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
        assert first.recv(4096).startswith(b"HTTP/1.1 100 ")
        connections = []
        for _ in range(120):
            connection = socket.socket()
            connection.setblocking(False)
            connection.connect_ex(("127.0.0.1", proxy.port))
            connections.append(connection)
        first.sendall(b"ok")
        assert first.recv(4096).startswith(b"HTTP/1.1 404 ")
        for connection in connections:
            connection.close()
        end = time.monotonic() + TIMEOUT_S
        answer = b""
        while not answer:  # The listener accepts connections again once descriptors are free.
            assert time.monotonic() < end
            try:
                answer = proxy.get("/nowhere")
            except ConnectionError:
                time.sleep(0.01)
        assert answer.startswith(b"HTTP/1.1 404 ")
        assert proxy.process.poll() is None
        first.close()


class DiscoveryServer:
    """A discovery server that answers every request with an empty list."""

    def __init__(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.settimeout(TIMEOUT_S)
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"

    def accept_request(self) -> bytes:
        """Returns the request line of the first request on the next connection."""
        connection, _ = self.listener.accept()
        with connection:
            connection.settimeout(TIMEOUT_S)
            line = connection.recv(4096).split(b"\r\n")[0]
            body = b'{"generation":1,"reset":true,"instances":[]}'
            connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
        return line


def test_sighup_moves_discovery_and_an_invalid_file_is_reported_in_one_line(tmp_path: Path) -> None:
    first, second = DiscoveryServer(), DiscoveryServer()
    with Process(tmp_path, discovery=first.address) as proxy:
        assert first.accept_request().startswith(b"GET /registry/instances?after=1&")
        file = tmp_path / "config.json"
        valid, errors = json.loads(file.read_text()), proxy.process.stderr
        assert errors is not None
        for invalid_text in (
            "{",
            "[]",
            json.dumps({**valid, "discovery": "nowhere"}),
            json.dumps({**valid, "seed": []}),
            json.dumps({**valid, "settings": {**SETTINGS, "zone": 3}}),
            "\udcff",
        ):
            file.write_bytes(invalid_text.encode(errors="surrogateescape"))
            proxy.process.send_signal(signal.SIGHUP)
            while not (line := errors.readline()).startswith("reload: "):
                assert line.startswith("discovery: ")
            assert line.endswith("; the current configuration stays in force\n")
        assert proxy.get("/nowhere").startswith(b"HTTP/1.1 404 ")
        for server in (second, first, second):  # Discovery can move more than once.
            file.write_text(json.dumps({**valid, "discovery": server.address}))
            proxy.process.send_signal(signal.SIGHUP)
            while not server.accept_request().startswith(b"GET /registry/instances HTTP"):
                pass
        proxy.process.send_signal(signal.SIGTERM)
        proxy.process.send_signal(signal.SIGHUP)
        assert proxy.process.wait(TIMEOUT_S) == 0
    first.listener.close()
    second.listener.close()
