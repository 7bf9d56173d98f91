"""One trouble at every frame of one upload and one order, two at any two, and who finds wrong rules.

python -m tests.sessions.every_frame
"""

from __future__ import annotations

import sys
from collections import Counter

from tests.sessions.network import Town
from tests.sessions.test_sessions import (
    TROUBLES,
    AcknowledgingGateway,
    LedgerAfterSend,
    NoEpochOutlets,
    ToldBeforeRun,
    broken,
    towns,
)

HEALED = (12, 45)  # steps after which a cut is whole again


def plans(steps: int) -> list[tuple[str, dict[int, object], bool]]:
    """What is played for a town of so many steps: a name, trouble by step, whether it must finish."""
    found: list[tuple[str, dict[int, object], bool]] = []
    for at in range(steps + 1):
        found.append(("restart of the destination", {at: Town.restart}, False))
        for name, trouble in TROUBLES.items():
            what = name.split()[0]
            if what != "cut":
                found.append((what, {at: trouble}, True))
            else:
                found.extend((what, {at: trouble, at + after: Town.join}, True) for after in HEALED)
    for first in ("drain a", "kill a", "cut a source", "cut a destination"):
        for second in ("drain b", "kill a", "kill b", "cut b source", "cut b destination"):
            if (first, second) == ("drain a", "drain b"):
                continue  # no gateway is left: nothing can finish, and nothing is said of it here
            for at in range(steps + 1):
                for later in range(at + 1, steps + 12, 3):
                    found.append(
                        (
                            f"two: {first.split()[0]}, {second.split()[0]}",
                            {at: TROUBLES[first], later: TROUBLES[second], later + 40: Town.join},
                            True,
                        )
                    )
    return found


def main() -> int:
    """Play, print, and 1 where anything broke or a wrong rule was not found."""
    wrong = 0
    for what, make in towns():
        if what not in ("upload", "order"):
            continue
        steps = make().play().steps
        played: Counter[str] = Counter()
        faults: Counter[str] = Counter()
        for name, plan, must in plans(steps):
            played[name] += 1
            if make().play(plan).faults(must_finish=must):  # type: ignore[arg-type]
                faults[name] += 1
        wrong += sum(faults.values())
        print(
            f"one {what}, {steps} steps: {sum(played.values())} plays, {sum(faults.values())} broken; "
            + ", ".join(f"{name} {number}" for name, number in sorted(played.items())),
            flush=True,
        )
    for name, part, kind in (
        ("no epoch at the destination", "outlets_class", NoEpochOutlets),
        ("ledger after the send", "outlets_class", LedgerAfterSend),
        ("acknowledged before the backend has it", "outlets_class", ToldBeforeRun),
        ("acknowledged by the gateway", "passages_class", AcknowledgingGateway),
    ):
        found = broken(type("Wrong", (Town,), {part: kind}))
        wrong += not found
        print(f"wrong rule, {name}: {'found' if found else 'NOT FOUND'}", flush=True)
    return int(wrong > 0)


if __name__ == "__main__":
    sys.exit(main())
