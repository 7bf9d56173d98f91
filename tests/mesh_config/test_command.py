"""`honeywharf mesh`: the output and exit status of each command, and its calls to a control node."""

from __future__ import annotations

import io
import json
import subprocess
import sys
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from http.server import BaseHTTPRequestHandler, HTTPServer
from pathlib import Path

import pytest

from honeywharf.cli import mesh
from tests.mesh_config.examples import CONFIGURATION, SETTINGS, example, text

Capture = pytest.CaptureFixture[str]
Log = pytest.LogCaptureFixture
Answer = tuple[int, bytes, str]  # The status, the body and the Location header.


@pytest.fixture
def files(tmp_path: Path) -> Path:
    """A directory with valid and invalid files."""
    (tmp_path / "good.json").write_bytes(CONFIGURATION)
    document = example()
    document["config-version"] = "r8"
    document["routes"][0]["timeout"] = "5s"
    document["routes"][0]["traffic-split"][0]["weight"] = 30
    document["routes"][1]["path-prefix"] = "/moved/"
    document["services"][0]["max-connections"] = 5
    document["services"].append({"name": "new"})
    document["limits"]["idle-timeout"] = "1s"
    (tmp_path / "next.json").write_bytes(text(document))
    document["routes"][1]["max-attempts"] = 0
    document["routes"][0]["timeout"] = "601s"
    (tmp_path / "bad.json").write_bytes(text(document))
    (tmp_path / "boot.yaml").write_text(SETTINGS)
    return tmp_path


@contextmanager
def control_node(answers: list[Answer]) -> Iterator[tuple[str, list[tuple[str, str, bytes]]]]:
    """Runs a server that gives these answers in turn; yields its address and the list of requests."""
    requests: list[tuple[str, str, bytes]] = []

    class Handler(BaseHTTPRequestHandler):
        def do_POST(self) -> None:
            body = self.rfile.read(int(self.headers.get("Content-Length") or 0))
            requests.append((self.command, self.path, body))
            status, answer, location = answers[len(requests) - 1]
            self.send_response(status)
            if location:
                self.send_header("Location", location.replace("HERE", at))
            self.send_header("Content-Length", str(len(answer)))
            self.end_headers()
            self.wfile.write(answer)

        do_GET = do_POST  # noqa: N815

        def log_message(self, *_: object) -> None:
            pass

    server = HTTPServer(("127.0.0.1", 0), Handler)
    at = f"127.0.0.1:{server.server_port}"
    thread = threading.Thread(target=server.serve_forever, args=(0.01,))
    thread.start()
    try:
        yield at, requests
    finally:
        server.shutdown()
        thread.join()
        server.server_close()


def test_check_prints_a_summary_or_every_error(files: Path, capsys: Capture) -> None:
    assert mesh.main(["check", str(files / "good.json")]) == 0
    assert "good.json: r7, 2 routes, 3 services, digest " in capsys.readouterr().out
    assert mesh.main(["check", str(files / "bad.json")]) == 1
    lines = capsys.readouterr().out.splitlines()
    assert [line.partition("bad.json: ")[2] for line in lines] == [
        'routes[0].timeout: expected at most 600s, got "601s"',
        "routes[1].max-attempts: expected 1 or more, got 0",
    ]


def test_check_reads_standard_input_once(monkeypatch: pytest.MonkeyPatch, capsys: Capture) -> None:
    monkeypatch.setattr(sys, "stdin", io.TextIOWrapper(io.BytesIO(CONFIGURATION)))
    monkeypatch.setattr(mesh, "_standard_input", [])
    assert mesh.main(["check", "-"]) == 0
    assert capsys.readouterr().out.startswith("-: r7, 2 routes")


def test_settings_are_printed_or_their_first_error(files: Path, capsys: Capture) -> None:
    assert mesh.main(["settings", str(files / "boot.yaml")]) == 0
    lines = capsys.readouterr().out.splitlines()
    for line in (
        "listen.outbound: 10.1.0.8:8304",
        "ports: 7620 to 7635",
        "bound contact: 3",
        "heartbeat_s: 1.3",
        "seeds: 10.1.0.12:8306, 10.2.0.9:8306",
        "data_directory: none",
    ):
        assert line in lines
    assert mesh.main(["settings", str(files / "good.json")]) == 1
    assert "node-name: expected a name, got nothing" in capsys.readouterr().out


def test_route_prints_the_route_of_a_path_without_its_query(files: Path, capsys: Capture) -> None:
    good = str(files / "good.json")
    assert mesh.main(["route", good, "JEPU9.example:80", "/lepu270/2f?a=/b/"]) == 0
    lines = capsys.readouterr().out.splitlines()
    assert lines[:2] == ["jepu9.example/lepu270/: r-n2ctnfz", "to: huvo11a 90%, kafi81c 10%"]
    assert "timeout: 1.5s" in lines
    assert mesh.main(["route", good, "jepu9.example", "/?/lepu270/"]) == 1
    assert mesh.main(["route", str(files / "bad.json"), "jepu9.example", "/lepu270/"]) == 2


def test_diff_prints_each_change_and_nothing_without_one(files: Path, capsys: Capture) -> None:
    good, after = str(files / "good.json"), str(files / "next.json")
    assert mesh.main(["diff", good, good]) == 0
    assert capsys.readouterr().out == ""
    assert mesh.main(["diff", good, after]) == 1
    assert capsys.readouterr().out.splitlines() == [
        "version: r7 -> r8",
        "limits: idle-timeout 15s -> 1s",
        "service huvo11a: max-connections 130 -> 5",
        "service new: added",
        "hulo84.example/moved/: added, mutating, to wuno96b",
        "hulo84.example/xapu221/ny95/: removed, mutating, to wuno96b",
        "jepu9.example/lepu270/: to huvo11a 90%, kafi81c 10% -> huvo11a 75%, kafi81c 25%",
        "jepu9.example/lepu270/: timeout 1.5s -> 5s",
    ]
    assert mesh.main(["diff", good, str(files / "bad.json")]) == 2


def test_replace_sends_the_file_as_it_is_and_follows_two_redirects(files: Path, capsys: Capture) -> None:
    moved = (307, b"", "http://HERE/api/configuration/replace?again")
    with control_node([moved, moved, (200, b"", "")]) as (at, requests):
        assert mesh.main(["replace", at, str(files / "good.json")]) == 0
    assert "acknowledged: r7" in capsys.readouterr().out
    assert [(method, body) for method, _, body in requests] == [("POST", CONFIGURATION)] * 3
    assert [path for _, path, _ in requests[:2]] == [
        "/api/configuration/replace",
        "/api/configuration/replace?again",
    ]


def test_a_third_redirect_is_not_followed(files: Path) -> None:
    moved = (307, b"", "http://HERE/api/configuration/replace")
    with control_node([moved] * 4) as (at, requests):
        assert mesh.main(["replace", at, str(files / "good.json")]) == 2
    assert len(requests) == 3


@pytest.mark.parametrize(
    "location", ["", "/else", "https://10.0.0.4:8080/x", "http://host:80/x", "http://[x/y"]
)
def test_a_redirect_to_an_invalid_address_ends_the_call(location: str, caplog: Log) -> None:
    with control_node([(307, b"", location)]) as (at, _):
        assert mesh.main(["describe", at]) == 2
    assert "wanted http://address:port/path" in caplog.text


def test_a_bad_configuration_is_not_sent(files: Path) -> None:
    with control_node([]) as (at, requests):
        assert mesh.main(["replace", at, str(files / "bad.json")]) == 1
    assert requests == []


ENDS = [(200, 0), (204, 0), (400, 1), (409, 1), (408, 2), (429, 2), (503, 2)]


@pytest.mark.parametrize(("status", "ends"), ENDS)
def test_an_order_for_a_zone_ends_as_it_was_answered(status: int, ends: int, caplog: Log) -> None:
    with control_node([(status, b"" if status == 204 else b"why", "")] * 2) as (at, requests):
        assert mesh.main(["evacuate", at, "tartu/saal"]) == ends
        assert mesh.main(["activate", at, "tartu-saal"]) == ends
    assert requests == [
        ("POST", "/api/evacuations/tartu%2Fsaal/start", b""),
        ("POST", "/api/evacuations/tartu-saal/complete", b""),
    ]
    assert ("may be in force, or may not" in caplog.text) == (ends == 2)


def test_duties_are_printed_a_line_each(capsys: pytest.CaptureFixture[str]) -> None:
    view = {
        "node": "10.1.0.1:7620",
        "roster": 2,
        "waits": ["aside"],
        "refused": {"held": 2},
        "votes": [["aside", "tartu-saal", 0, "10.1.0.9/ab", 17, 1.25]],
        "hinted_handoff": {"missing": 1},
        "upkeep": {"granted": 1, "held": False},
        "admissions": {"admitted": 1, "no-lease": 3},
    }
    with control_node([(200, json.dumps(view).encode(), "")]) as (at, requests):
        assert mesh.main(["duties", at]) == 0
    assert requests == [("GET", "/api/duties", b"")]
    assert capsys.readouterr().out.splitlines() == [
        "10.1.0.1:7620: roster 2, grants no aside yet",
        "vote aside tartu-saal 0: 10.1.0.9/ab, number 17, 1.25 s left",
        "refused held=2",
        "upkeep granted=1 held=0",
        "admissions admitted=1 no-lease=3",
        "hinted_handoff missing=1",
    ]
    with control_node([(404, b"", "")]) as (at, _):
        assert mesh.main(["duties", at]) == 2


def test_describe_prints_the_bytes_as_they_came() -> None:
    with control_node([(200, CONFIGURATION, "")]) as (at, requests):
        call = [sys.executable, "-m", "honeywharf", "mesh", "--verbose", "describe", at]
        done = subprocess.run(call, capture_output=True, check=False)
    assert (done.returncode, done.stdout) == (0, CONFIGURATION)
    assert f"-> 200, {len(CONFIGURATION)} bytes".encode() in done.stderr
    assert requests == [("GET", "/api/configuration/describe", b"")]


def test_a_wrong_call_a_missing_file_and_a_silent_address_end_with_two(files: Path, caplog: Log) -> None:
    with control_node([]) as (gone, _):
        pass
    for call in (
        [],
        ["bogus"],
        ["check"],
        ["check", str(files / "none")],
        ["describe", "core-1:8306"],
        ["describe", gone],
        ["evacuate", gone, "a"],
    ):
        assert mesh.main(call) == 2, call
    assert caplog.text.count("no clear answer") == 2


@pytest.mark.parametrize(("bearable", "status"), [(1, 0), (0, 1)])
def test_members_are_printed_a_line_each_and_no_tolerated_loss_is_status_1(
    bearable: int, status: int, capsys: pytest.CaptureFixture[str]
) -> None:
    view = {
        "node": "10.1.0.1:7620",
        "epoch": 3,
        "majority": 2,
        "members": [
            {"address": "10.1.0.1:7620", "zone": "a", "disk": "first", "fault": ""},
            {"address": "10.1.0.2:7620", "zone": "", "disk": "first", "fault": "silent"},
        ],
        "standbys": [{"address": "10.1.0.9:7620", "zone": "b"}],
        "bearable-losses": bearable,
        "bearable-zones": [],
    }
    with control_node([(200, json.dumps(view).encode(), "")]) as (at, requests):
        assert mesh.main(["members", at]) == status
    assert requests == [("GET", "/api/members", b"")]
    assert capsys.readouterr().out.splitlines() == [
        "10.1.0.1:7620: membership 3, majority 2",
        "member 10.1.0.1:7620 zone a: current",
        "member 10.1.0.2:7620 zone ?: silent",
        "standby 10.1.0.9:7620 zone b",
        f"losses that can be borne now: {bearable}",
        "zones that can be lost now: none",
    ]
