"""The host as a process, with real standard input and output."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from honeywharf import simhost
from honeywharf.policy import interface as api

ROOT = Path(__file__).parent.parent
SETTINGS: dict[str, Any] = {
    "bounds": {"mostTries": 3, "cancel": True, "secondCopies": False, "cpuUsPerS": 1},
    "contract": {"coldShare": 0.3, "warmAfterMs": 8500.0, "graceToAnswerMs": 8.0, "askEveryMs": 10000.0},
    "discovery": "push",
    "familyInfo": {"passesDeadline": True},
    "me": 0,
    "nInstances": 1,
    "profiles": [{"name": "c", "aimMs": 750.0, "deadlineMs": 2000.0, "idempotency": "repeatable"}],
    "prices": {"crossZone": 0.2},
    "report": {"fields": ["pending"], "how": "piggyback"},
    "tier": 0,
    "tiers": ["t"],
    "zone": "z",
    "zones": ["z", "y"],
    "surprise": [1, 2],
}
LEDGER = {
    "Ledger": {
        "page": 0,
        "members": [
            {"backend": "b1", "familyType": "k", "nominal": 1, "bay": 0, "locality": "z", "status": "ready"}
        ],
    }
}


def born(who: int = 0, seed: int = 5) -> dict[str, Any]:
    return {"Born": {"who": who, "prng": seed, "settings": SETTINGS}}


def member(who: int = 0) -> dict[str, Any]:
    return {"Membership": {"who": who, "kind": "C", "serial": 1, "page": 0}}


def item(ref: str, who: int = 0) -> dict[str, Any]:
    return {"WorkItem": {"who": who, "ref": ref, "kind": "c", "remainingMs": 1000.0, "novelty": 1}}


def batch(round_: int, *events: Any) -> str:
    return json.dumps({"tMs": 100.0 + round_, "round": round_, "arrivals": list(events)})


def run(*lines: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "honeywharf.simhost"],
        input="".join(x + "\n" for x in lines),
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=120,
        check=False,
    )


def test_a_sequence_of_batches() -> None:
    ended = {
        "Ended": {
            "who": 0,
            "ref": "r1",
            "shot": 0,
            "backend": "b1",
            "how": 200,
            "waitTimeMs": 2.5,
            "complete": True,
            "metrics": [1],
        }
    }
    result = run(
        batch(1),
        batch(2, born(), LEDGER, member()),
        batch(3, item("r1")),
        batch(4, ended),
        batch(5, {"Expired": {"who": 0, "ref": "r1"}}, {"Exit": {"who": 0}}, item("r2")),
    )
    assert result.returncode == 0, result.stderr
    replies = [json.loads(line) for line in result.stdout.splitlines()]
    assert [r["round"] for r in replies] == [1, 2, 3, 4, 5]
    assert replies[2]["output"] == [
        {"Transmit": {"who": 0, "ref": "r1", "timeoutMs": 1000.0, "backend": "b1"}}
    ]
    assert all(not replies[i]["output"] for i in (0, 1, 3, 4))


def test_page_numbers_are_resolved_in_order() -> None:
    other = json.loads(json.dumps(LEDGER).replace("b1", "b2"))
    lists = batch(1, born(0), born(1), LEDGER, member(0), other, member(1))
    result = run(lists, batch(2, item("r", 0), item("s", 1)))
    sent = [a["Transmit"]["backend"] for a in json.loads(result.stdout.splitlines()[1])["output"]]
    assert sent == ["b1", "b2"]


@pytest.mark.parametrize(
    ("line", "fault"),
    [
        ("{not json", "JSON"),
        ("[]", "a batch is an object"),
        (batch(7, {"Nonsense": {"who": 0}}), "round 7: Nonsense: unknown event"),
        (batch(7, {"WorkItem": {"who": 0, "kind": "c", "remainingMs": 5}}), "round 7: WorkItem: ref"),
        (batch(7, {"WorkItem": {"who": "0", "ref": "r", "kind": "c", "remainingMs": 5}}), "WorkItem: who"),
        (batch(7, {"WorkItem": {"who": 0, "ref": "r", "kind": "c", "remainingMs": "5"}}), "remainingMs"),
        (batch(7, born(), {"Membership": {"who": 0, "kind": "C", "page": 9}}), "page 9 was never sent"),
        (batch(7, {"Ended": {"who": 0, "ref": "r", "shot": 0, "how": 777, "waitTimeMs": 1}}), "how"),
        (
            batch(7, {"Born": {"who": 0, "prng": 1, "settings": {**SETTINGS, "profiles": []}}}),
            "no request class",
        ),
        (json.dumps({"tMs": 1.0, "arrivals": []}), "round"),
    ],
)
def test_an_invalid_line_ends_the_process(line: str, fault: str) -> None:
    result = run(batch(6), line)
    assert result.returncode != 0
    assert len(result.stdout.splitlines()) == 1
    assert fault in result.stderr
    assert len(result.stderr.splitlines()) == 1


@pytest.mark.pure
def test_a_failed_decision_is_reported(monkeypatch: pytest.MonkeyPatch) -> None:
    host = simhost.Host()
    host.batch(json.loads(batch(1, born(), LEDGER, member())))

    def broken(now: float, event: api.Event) -> list[api.Action]:
        raise KeyError("gone")

    monkeypatch.setattr(host.balancers[0], "handle", broken)
    reply = host.batch(json.loads(batch(2, item("r"))))
    assert reply["output"] == [{"Panic": {"who": 0, "words": "KeyError: 'gone'"}}]


def test_instances_do_not_affect_each_other() -> None:
    script = [
        batch(1, born(0, 5), born(1, 6), LEDGER, member(0), member(1)),
        *(batch(i, item(f"r{i}", i % 2)) for i in range(2, 30)),
    ]
    together = [a for line in run(*script).stdout.splitlines() for a in json.loads(line)["output"]]
    for who in (0, 1):
        own_lines = []
        for line in script:
            message = json.loads(line)
            message["arrivals"] = [
                e for e in message["arrivals"] if next(iter(e.values())).get("who", who) == who
            ]
            own_lines.append(json.dumps(message))
        alone = [a for line in run(*own_lines).stdout.splitlines() for a in json.loads(line)["output"]]
        assert alone == [a for a in together if next(iter(a.values()))["who"] == who]
