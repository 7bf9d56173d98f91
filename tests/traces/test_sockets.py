"""Traces of a running proxy: attempts, context, the file and its limits, and notes."""

from __future__ import annotations

import asyncio
import os
import re
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from honeywharf.config.features import Features, FeaturesError, Traces, load
from honeywharf.proxy import feature_faults
from honeywharf.traces import TracesComponent, store
from honeywharf.traces.notes import (
    BATCH_INTERVAL_MS,
    MAX_IDS_PER_DATAGRAM,
    MAX_PENDING_IDS,
    SENDS_PER_ID,
    Notes,
)
from honeywharf.traces.notes_socket import NotesSocket
from honeywharf.traces.queue import MAX_QUEUED_LINES
from honeywharf.traces.spool import Spool
from tests.loopback import Backend, Client, RunningProxy, reply, run, running_proxy, soon, until

PARENT = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
ID = PARENT[3:35]


def trace_features(path: Path, **changes: Any) -> Features:
    return Features(traces=Traces(file=str(path), **{"rate": 1e-9, **changes}))


def spool_of(w: RunningProxy) -> Spool:
    (part,) = [p for p in w.proxy.components if isinstance(p, TracesComponent)]
    (spool,) = part.exporters
    assert isinstance(spool, Spool)
    return spool


async def kept(w: RunningProxy, number: int) -> list[dict[str, Any]]:
    """Waits until `number` traces are written, and returns those in the file."""
    spool = spool_of(w)
    await until(lambda: spool.written >= number)
    return store.read([spool.path])[0]


def test_successful_retry_has_both_spans_and_one_end(tmp_path: Path) -> None:
    async def main() -> None:
        backend = await Backend().start()
        backend.script = ["close"]  # Only the first request gets no answer.
        async with running_proxy([backend.row("b1"), backend.row("b2")], trace_features(tmp_path / "t")) as w:
            client = await Client.to(w.port)
            name = client.send("read", b"", "4000m", f"traceparent: {PARENT}", "tracestate: other=1")
            first, headers, _ = await client.answer()
            assert first.split()[1] == b"200"
            (hop,) = await kept(w, 1)
            assert headers[b"traceresponse"].decode() == f"00-{ID}-{hop['span_id']}-01"
            assert (hop["trace_id"], hop["parent_id"], hop["request"]) == (ID, PARENT[36:52], name)
            assert (hop["end"], hop["kept"], hop["weight"]) == ("served", ["retried"], 1.0)
            lost, ok = hop["attempts"]
            assert (lost["honeywharf.outcome"], lost["honeywharf.proof"]) == ("reset", "may still run")
            assert (ok["honeywharf.outcome"], ok["http.request.resend_count"]) == ("ok", 1)
            assert {lost["server.address"], ok["server.address"]} == {"b1", "b2"}
            assert lost["honeywharf.why"]["usable"] == 2
            assert ok["honeywharf.why"]["budget"] < lost["honeywharf.why"]["budget"]
            request_headers = [m[1] for m in backend.requests]
            assert [t[b"traceparent"][36:52].decode() for t in request_headers] == [
                lost["span_id"],
                ok["span_id"],
            ]
            # The retry has the member by which downstream hops keep the trace.
            states = [t[b"tracestate"].decode() for t in request_headers]
            assert states[1] == f"hw=bad,{states[0]}"
            assert re.fullmatch(r"ot=rv:[0-9a-f]{14},other=1", states[0])
        await backend.stop()

    run(main())


@pytest.mark.parametrize(
    ("lines", "fault"),
    [
        ((f"traceparent: {PARENT}", f"traceparent: {PARENT}"), "twice"),
        (("traceparent: " + "0" * 10_000,), "parent"),
        ((f"traceparent: {PARENT}", "tracestate: =,="), "state"),
    ],
)
def test_request_with_invalid_context_is_served_and_counted(
    tmp_path: Path,
    lines: tuple[str, ...],
    fault: str,
) -> None:
    async def main() -> None:
        backend = await Backend().start()
        async with running_proxy([backend.row("b")], trace_features(tmp_path / "t", rate=1.0)) as w:
            client = await Client.to(w.port)
            client.send("read", b"", "4000m", *lines)
            assert await client.status() == 200
            (hop,) = await kept(w, 1)
            assert (hop["trace_id"] == ID) == (fault == "state")
            assert hop["kept"] == ["ordinary"]
            (part,) = w.proxy.components
            assert part.counts()[f"traces:damaged {fault}"] == 1
        await backend.stop()

    run(main())


def test_trace_kept_downstream_is_kept_and_clients_cannot_force_it(tmp_path: Path) -> None:
    async def main() -> None:
        backend = await Backend().start()
        async with running_proxy([backend.row("b")], trace_features(tmp_path / "t")) as w:
            client = await Client.to(w.port)
            for below in (0, 1):
                parent = PARENT.replace("0af7", f"0af{below}")
                backend.script.append(reply(200, b"ok", f"Traceresponse: {parent[:-2]}0{below}".encode()))
                client.send("read", b"", "4000m", f"traceparent: {parent}", "tracestate: hw=bad")
                assert await client.status() == 200
            (hop,) = await kept(w, 1)
            assert hop["kept"] == ["below"]
            assert not any(b"hw=" in m[1][b"tracestate"] for m in backend.requests)
        await backend.stop()

    run(main())


def test_forged_trace_ids_and_randomness_do_not_bias_sampling(tmp_path: Path) -> None:
    """3,000 forged requests and 3,000 others are kept at the same rate, with unbiased weights."""
    number, rate = 3000, 0.02

    async def main() -> None:
        backend = await Backend().start()
        async with running_proxy([backend.row("b")], trace_features(tmp_path / "t", rate=rate)) as w:

            async def send_requests(tenant: str, lines: Callable[[int], tuple[str, ...]]) -> None:
                client = await Client.to(w.port)
                for i in range(number):
                    client.send("read", b"", "4000m", f"X-Account: {tenant}", *lines(i))
                    assert await client.status() == 200

            await asyncio.gather(
                send_requests(
                    "forger",
                    lambda i: (
                        f"traceparent: 00-{i + 1:018x}{'f' * 14}-b7ad6b7169203331-03",
                        "tracestate: ot=rv:ffffffffffffff,hw=bad",
                    ),
                ),
                send_requests("plain", lambda i: ()),
            )
            spool = spool_of(w)
            (part,) = w.proxy.components
            hops = await kept(w, part.counts()["traces:ordinary kept"] + part.counts()["traces:bad"])
            assert not spool.queue.lost["lost ordinary"]
            tolerance = 5.0 * (number * rate) ** 0.5
            for tenant in ("forger", "plain"):
                sampled = [h for h in hops if h["tenant"] == tenant and h["kept"] == ["ordinary"]]
                assert abs(len(sampled) - number * rate) < tolerance, tenant
                assert abs(sum(h["weight"] for h in sampled) - number) < tolerance / rate
            forged = [h for h in hops if h["tenant"] == "forger"]
            # The trace-ids stay, so that a client finds its traces.
            assert all(h["trace_id"].endswith("f" * 14) for h in forged)
            trace_states = [
                m[1].get(b"tracestate", b"")
                for m in backend.requests
                if m[1][b"traceparent"][21:35] == b"f" * 14
            ]
            assert len(trace_states) == number
            assert all(t.startswith(b"ot=rv:") and b"ffffffffffffff" not in t for t in trace_states)
            # Downstream hops must not use the forged bits as random ones.
            assert not any(
                int(m[1][b"traceparent"][-2:], 16) & 2
                for m in backend.requests
                if m[1][b"traceparent"][21:35] == b"f" * 14
            )
        await backend.stop()

    run(main())


@pytest.mark.parametrize(
    ("trust", "tier", "trusted"),
    [
        ("tier", 0, False),
        ("tier", 1, True),
        ("nobody", 1, False),
        ("callers", 0, True),
    ],
)
def test_trusted_callers_are_configured(tmp_path: Path, trust: str, tier: int, trusted: bool) -> None:
    async def main() -> None:
        backend = await Backend().start()
        features = trace_features(tmp_path / "t", trust=trust)
        async with running_proxy([backend.row("b")], features, tier=tier, tiers=["t", "u"]) as w:
            client = await Client.to(w.port)
            client.send("read", b"", "4000m", f"traceparent: {PARENT}", "tracestate: ot=rv:ffffffffffffff")
            assert await client.status() == 200
            (part,) = w.proxy.components
            await until(lambda: part.counts()["traces:ordinary"] == 1)
            assert part.counts()["traces:ordinary kept"] == trusted
        await backend.stop()

    run(main())


def test_refused_failed_and_matching_requests_are_kept(tmp_path: Path) -> None:
    async def main() -> None:
        backend = await Backend().start()
        features = trace_features(tmp_path / "t", keep='tenant = "acme" and duration >= 0 ms')
        async with running_proxy([backend.row("b")], features) as w:
            client = await Client.to(w.port)
            for code, tenant, status in ((200, "other", 200), (500, "other", 502), (200, "acme", 200)):
                backend.script.append(reply(code))
                client.send("pay", b"x", "4000m", f"X-Account: {tenant}")
                assert await client.status() == status
            hops = await kept(w, 2)
            assert [(h["end"], h["kept"]) for h in hops] == [("failed", ["failed"]), ("served", ["rule"])]
            assert hops[0]["reason"] == "no server"  # A request that may have run can't be retried.
            assert hops[0]["honeywharf.why"]["usable"] == hops[0]["honeywharf.why"]["ready"] == 1
            assert "honeywharf.why" not in hops[1]
            (part,) = w.proxy.components
            assert part.counts()["traces:ordinary"] == 1
        await backend.stop()

    run(main())


def test_disabled_traces_add_no_headers_and_import_nothing() -> None:
    async def main() -> None:
        backend = await Backend().start()
        async with running_proxy([backend.row("b")]) as w:
            client = await Client.to(w.port)
            client.send("read", b"", "4000m", f"traceparent: {PARENT}")
            first, headers, _ = await client.answer()
            assert first.split()[1] == b"200"
            assert b"traceresponse" not in headers
            assert b"traceparent" not in backend.requests[0][1]
            assert w.actions[-1].why is None  # type: ignore[union-attr]
        await backend.stop()

    run(main())
    process = subprocess.run(
        [
            sys.executable,
            "-c",
            "import sys, honeywharf.proxy; print([m for m in sys.modules if 'traces' in m"
            " or m in ('lark', 'ddsketch')])",
        ],
        capture_output=True,
        text=True,
        check=True,
    )
    assert process.stdout.strip() == "[]"


def test_both_files_stay_within_the_limit(tmp_path: Path) -> None:
    spool = Spool(tmp_path / "t", 100_000)
    for i in range(300):
        spool.put(b"%0999d" % i, bad=True)
        if i % 7 == 0:
            spool.flush()
        assert sum(p.stat().st_size for p in tmp_path.iterdir()) <= 100_000
    spool.flush()
    lines = [*(tmp_path / "t.1").read_bytes().split(), *(tmp_path / "t").read_bytes().split()]
    assert [int(x) for x in lines] == list(range(300 - len(lines), 300))
    assert len(lines) >= 50
    assert os.stat(tmp_path / "t").st_mode & 0o777 == 0o600


def test_full_queue_drops_ordinary_lines_first_and_counts_them(tmp_path: Path) -> None:
    spool = Spool(tmp_path / "t", 100_000_000)
    for i in range(MAX_QUEUED_LINES):
        spool.put(b"%d" % i, bad=bool(i % 2))
    for _ in range(MAX_QUEUED_LINES):
        spool.put(b"bad", bad=True)
        assert len(spool.queue) <= MAX_QUEUED_LINES
    assert spool.queue.lost == {"lost ordinary": MAX_QUEUED_LINES // 2, "lost bad": MAX_QUEUED_LINES // 2}
    spool.put(b"x" * (8 * 1024 * 1024), bad=True)
    assert spool.queue.bytes <= 8 * 1024 * 1024


def test_disk_failure_fails_no_request_and_counts_lost_traces(tmp_path: Path) -> None:
    async def main() -> None:
        backend = await Backend().start()
        async with running_proxy([backend.row("b")], trace_features(tmp_path / "t", rate=1.0)) as w:
            client, spool = await Client.to(w.port), spool_of(w)
            spool.path = tmp_path / "not there" / "t"
            for _ in range(3):
                client.send()
                assert await client.status() == 200
            await until(lambda: spool.queue.lost["lost ordinary"] == 3)
            spool.path = tmp_path / "t"
            client.send()
            assert await client.status() == 200
            assert len(await kept(w, 1)) == 1
        await backend.stop()

    run(main())


WRITER = """
import sys, pathlib
from honeywharf.traces.spool import Spool
spool = Spool(pathlib.Path(sys.argv[1]), 50_000_000)
spool.start()
print("begun", flush=True)
i = 0
while True:
    spool.put(b'{"trace_id":"%032d","attempts":[],"kept":[],"duration_ms":1}' % i, True)
    i += 1
"""


def test_killed_writer_truncates_at_most_one_line(tmp_path: Path) -> None:
    async def main() -> None:
        path = tmp_path / "t"
        for _ in range(3):
            writer = await asyncio.create_subprocess_exec(
                sys.executable, "-c", WRITER, str(path), stdout=subprocess.PIPE
            )
            assert writer.stdout is not None
            await soon(writer.stdout.readline())
            await until(lambda: path.exists() and path.stat().st_size > 0)
            writer.kill()
            await soon(writer.wait())
            hops, damaged = store.read([path])
            assert hops
            assert damaged <= 1
            path.unlink()

    run(main())


def test_invalid_keep_rule_is_reported_with_file_key_and_position(tmp_path: Path) -> None:
    path = tmp_path / "f.toml"
    path.write_text('[traces]\nfile = "t"\nkeep = "durations > 5"\n')
    with pytest.raises(
        FeaturesError, match=r"traces\.keep: field: expected one of .*, got 'durations'"
    ) as fault:
        load(path, feature_faults)
    assert str(fault.value).startswith(f"{path}:3:1: ")


def part_of(w: RunningProxy) -> tuple[TracesComponent, NotesSocket]:
    (part,) = [p for p in w.proxy.components if isinstance(p, TracesComponent)]
    assert part.notes_socket is not None
    return part, part.notes_socket


@pytest.mark.parametrize("notified", [False, True])
def test_note_keeps_a_part_that_ended_downstream(
    tmp_path: Path,
    notified: bool,
) -> None:
    """Only the upstream one of two proxies has the rule that keeps the trace."""

    async def main() -> None:
        backend = await Backend().start()
        lower, upper = (
            trace_features(tmp_path / "b", notes="127.0.0.1:0"),
            trace_features(tmp_path / "a", notes="127.0.0.1:0", keep="duration >= 0 ms"),
        )
        async with (
            running_proxy([backend.row("n")], lower) as b,
            running_proxy([{**backend.row("b"), "hostPort": f"127.0.0.1:{b.port}"}], upper) as a,
        ):
            (above, up), (below, down) = part_of(a), part_of(b)
            up.peers, down.peers = (
                frozenset({below.notes_address}) if notified else frozenset(),
                frozenset({above.notes_address}),
            )
            client = await Client.to(a.port)
            client.send()
            assert await client.status() == 200
            (first,) = await kept(a, 1)
            if not notified:
                assert below.recorder.sampler.counts["ordinary"] == 1
                assert spool_of(b).written == 0
                return
            (second,) = await kept(b, 1)
            assert (first["kept"], second["kept"]) == (["rule"], ["told"])
            assert second["parent_id"] == first["attempts"][0]["span_id"]
            await until(lambda: down.notes.counts["heard"] == SENDS_PER_ID)
            assert down.notes.counts["told"] == 0  # A received note causes no further notes.
            up.notes.counts["strange"] = 0
            up.datagram_received(b"hwn1" + b"x" * 16, ("127.0.0.9", 9))
            assert up.notes.counts["strange"] == 1
        await backend.stop()

    run(main())


def test_notes_are_sent_twice_in_limited_batches() -> None:
    notes, ids = Notes(), [f"{i:032x}" for i in range(MAX_PENDING_IDS + 10)]
    for name in ids:
        notes.add(0.0, name)
        assert len(notes.pending) <= MAX_PENDING_IDS
    assert notes.counts["untold"] == 10
    assert notes.datagrams(BATCH_INTERVAL_MS / 2) == []
    heard: list[str] = []
    for now in (BATCH_INTERVAL_MS, 2 * BATCH_INTERVAL_MS, 3 * BATCH_INTERVAL_MS):
        for datagram in notes.datagrams(now):
            assert len(datagram) <= 4 + 16 * MAX_IDS_PER_DATAGRAM
            heard += notes.received(datagram)
    assert sorted(heard) == sorted(ids[10:] * SENDS_PER_ID)
    assert notes.due_ms == float("inf")


@pytest.mark.parametrize(
    "datagram",
    [
        b"",
        b"hwn1",
        b"hwn2" + b"x" * 16,
        b"hwn1" + b"x" * 15,
        b"hwn1" + b"x" * 16 * (MAX_IDS_PER_DATAGRAM + 1),
    ],
)
def test_invalid_note_is_dropped_and_counted(datagram: bytes) -> None:
    notes = Notes()
    assert notes.received(datagram) == []
    assert notes.counts["damaged"] == 1
