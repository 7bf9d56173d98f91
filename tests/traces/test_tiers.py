"""A small run of three tiers on sockets: every hop and attempt of a bad request is kept."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from bench.tiers import check_traces
from honeywharf.standins.tiers import TIERS, ClientRequest, NotesNetwork, ServedRequest, TieredFleet
from tests.loopback import run


def test_every_bad_request_is_kept_with_all_its_hops_and_attempts(tmp_path: Path) -> None:
    async def main() -> None:
        house = TieredFleet(tmp_path, errors=0.03, fronts=2, renders=2, stores=4, rate=0.001)
        try:
            await house.start()
            await house.send_requests(600, 300.0)
            await asyncio.sleep(0.5)  # A note is sent a second time after 0.1 s.
        finally:
            await house.stop()
        assert house.network is not None
        verdict = check_traces(
            house.client_requests, house.served_requests(), house.trace_files(), {}, house.network
        )
        assert verdict.bad > 10
        assert verdict.unexplained == []
        assert (verdict.complete, verdict.kept_hop_requests, verdict.kept_attempts) == (
            verdict.bad,
            verdict.hop_requests,
            verdict.attempts,
        )
        assert verdict.spans < 0.5 * verdict.total_spans  # Most other traces are not kept.

    run(main(), 120.0)


def seen(name: str, tier: int, node: str, status: int = 200, calls: tuple[str, ...] = ()) -> ServedRequest:
    return ServedRequest(name, tier, node, "ab" * 16, f"{tier}{name:0>15}", status, [(c, 200) for c in calls])


@pytest.mark.parametrize(("lost", "explained"), [(False, "unexplained"), (True, "notes lost twice")])
def test_check_explains_a_missing_hop_only_by_the_record(
    tmp_path: Path,
    lost: bool,
    explained: str,
) -> None:
    network = NotesNetwork({"p-f": 1}, 0.0, 1)
    if lost:
        network.missed["p-f", "ab" * 16] = 2
    record = [seen("c", 0, "f", 500), seen("c", 0, "f", calls=("d",)), seen("d", 1, "r")]
    file = tmp_path / "t.jsonl"
    file.write_text(
        '{"trace_id": "%s", "hop": "%s", "request": "c", "kept": ["retried"], "duration_ms": 1.0,'
        ' "attempts": [{"span_id": "0%015s"}]}\n'.replace("%015s", "c".rjust(15, "0"))
        .replace("%s", "ab" * 16, 1)
        .replace("%s", TIERS[0], 1)
    )
    verdict = check_traces([ClientRequest("c", "entry-0", 200, 0.0)], record, [file], {}, network)
    assert (verdict.bad, verdict.complete, verdict.hop_requests, verdict.kept_hop_requests) == (1, 0, 2, 1)
    assert dict(verdict.missing) == {explained: 1}
    assert len(verdict.unexplained) == (not lost)
