"""Runs one upload and one order with a fault at every frame, and with two faults at any two frames.

Also checks that faulty implementations are detected. Run with `python -m tests.sessions.every_frame`.
"""

from __future__ import annotations

import sys
from collections import Counter

from tests.sessions.network import SessionNetwork
from tests.sessions.test_sessions import (
    FAULTS,
    AcknowledgingGateway,
    AnswerBeforeExecution,
    LateIdempotencyRecord,
    UnfencedReceivers,
    finds_violation,
    networks,
)

HEAL_AFTER_STEPS = (12, 45)


def plans(steps: int) -> list[tuple[str, dict[int, object], bool]]:
    """The runs for a network of `steps` steps: name, faults by step, and whether the request must finish."""
    found: list[tuple[str, dict[int, object], bool]] = []
    for at in range(steps + 1):
        found.append(("restart of the destination", {at: SessionNetwork.restart}, False))
        for name, fault in FAULTS.items():
            what = name.split()[0]
            if what != "cut":
                found.append((what, {at: fault}, True))
            else:
                found.extend(
                    (what, {at: fault, at + after: SessionNetwork.heal}, True) for after in HEAL_AFTER_STEPS
                )
    for first in ("drain a", "kill a", "cut a source", "cut a destination"):
        for second in ("drain b", "kill a", "kill b", "cut b source", "cut b destination"):
            if (first, second) == ("drain a", "drain b"):
                continue  # No gateway is left, so that nothing can finish.
            for at in range(steps + 1):
                for later in range(at + 1, steps + 12, 3):
                    found.append(
                        (
                            f"two: {first.split()[0]}, {second.split()[0]}",
                            {at: FAULTS[first], later: FAULTS[second], later + 40: SessionNetwork.heal},
                            True,
                        )
                    )
    return found


def main() -> int:
    """Prints the results; returns 1 if an invariant was violated or a faulty implementation not detected."""
    wrong = 0
    for what, make in networks():
        if what not in ("upload", "order"):
            continue
        steps = make().run().steps
        played: Counter[str] = Counter()
        violated: Counter[str] = Counter()
        for name, plan, must in plans(steps):
            played[name] += 1
            if make().run(plan).violations(must_finish=must):  # type: ignore[arg-type]
                violated[name] += 1
        wrong += sum(violated.values())
        print(
            f"one {what}, {steps} steps: {sum(played.values())} plays, {sum(violated.values())} broken; "
            + ", ".join(f"{name} {number}" for name, number in sorted(played.items())),
            flush=True,
        )
    for name, part, kind in (
        ("no epoch at the destination", "receivers_class", UnfencedReceivers),
        ("recorded after execution", "receivers_class", LateIdempotencyRecord),
        ("acknowledged before the backend has it", "receivers_class", AnswerBeforeExecution),
        ("acknowledged by the gateway", "relay_class", AcknowledgingGateway),
    ):
        found = finds_violation(type("Wrong", (SessionNetwork,), {part: kind}))
        wrong += not found
        print(f"faulty implementation, {name}: {'found' if found else 'NOT FOUND'}", flush=True)
    return int(wrong > 0)


if __name__ == "__main__":
    sys.exit(main())
