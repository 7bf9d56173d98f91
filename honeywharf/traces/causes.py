"""What bad traces have in common that good ones lack: counts, a lift, and a test that chance seldom passes.

For each field and text the share of bad traces that have it is put beside the share of good ones. The good
are the ordinary that were sampled, which stand for all of them; what was kept as bad is all of the bad
there are. A text is named where the odds are `ODDS` times as great at least, and it covers `COVERS` of the
bad, and the log-likelihood ratio of the two-by-two table (G-test, Dunning 1993) is past the chi-square
bound for one error in `CHANCE` over all texts tried. Texts are then taken greedily: the one with the most
evidence, and after it what still stands out of the bad traces that it leaves.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from statistics import NormalDist, median
from typing import Any

ODDS = 3.0  # as great among the bad as among the good, at least
COVERS = 0.2
MIN_BAD = 8  # of fewer nothing is said
CHANCE = 1e-4  # of naming anything where nothing is the matter
MAX_TEXTS = 10_000  # that are tried: the most frequent among the bad
MAX_CAUSES = 5
ASKED = ("server", "class", "tenant", "node")


@dataclass(frozen=True)
class Cause:
    """One text that bad traces have in common. Shares are of bad and of good traces."""

    field: str
    text: str
    bad: int
    of_bad: int
    share_good: float
    evidence: float  # G, in the units of chi-square with one degree of freedom

    @property
    def share_bad(self) -> float:
        """The share of the bad that have it."""
        return self.bad / self.of_bad

    @property
    def odds(self) -> float:
        """The odds ratio of being bad with it and without."""
        bad, good = self.share_bad, self.share_good
        return bad * (1.0 - good) / (good * (1.0 - bad)) if good and bad < 1.0 else math.inf

    @property
    def lift(self) -> float:
        """How many times as frequent it is among the bad."""
        return self.share_bad / self.share_good if self.share_good else math.inf

    def words(self) -> str:
        """For the operator."""
        lift = f"{self.lift:.1f} times as often as" if self.share_good else "and none of"
        return (
            f"{self.field} {self.text}: in {self.bad} of {self.of_bad} bad traces, {lift} the good ones"
            f" ({100 * self.share_good:.1f} in 100)"
        )


def evidence(bad: int, of_bad: int, good: int, of_good: int) -> float:
    """G of the table; 0 where the text is not more frequent among the bad."""
    if not of_bad or not of_good or bad * of_good <= good * of_bad:
        return 0.0
    whole, g = of_bad + of_good, 0.0
    for seen, row, column in (
        (bad, of_bad, bad + good),
        (of_bad - bad, of_bad, whole - bad - good),
        (good, of_good, bad + good),
        (of_good - good, of_good, whole - bad - good),
    ):
        if seen:
            g += seen * math.log(seen * whole / (row * column))
    return 2.0 * g


def features(row: Mapping[str, Any]) -> set[tuple[str, str]]:
    """What may be a cause, of one trace: fields with texts, and zones by the hop that sent there.

    A trace passes several zones, so that most traces have each of them somewhere.
    """
    found = {(name, text) for name in ASKED for text in row[name] if text}
    for hop in row["spans"]:
        found.update(("zone", f"{a['honeywharf.zone']} ({hop['hop']})") for a in hop["attempts"])
    return found


def causes(bad: Sequence[Mapping[str, Any]], good: Sequence[Mapping[str, Any]]) -> list[Cause]:
    """What is named, with the most evidence first."""
    found: list[Cause] = []
    left, counts_good = [features(row) for row in bad], _counts(features(row) for row in good)
    tried = len(_counts(left)) or 1
    # Bonferroni over the texts; chi-square with one degree of freedom is the square of a normal deviate.
    bound = NormalDist().inv_cdf(1.0 - CHANCE / tried / 2.0) ** 2
    while len(left) >= MIN_BAD and len(found) < MAX_CAUSES and good:
        best: Cause | None = None
        for (name, text), number in _counts(left).most_common(MAX_TEXTS):
            if number < COVERS * len(bad):
                break
            share = counts_good[name, text] / len(good)
            made = Cause(
                name,
                text,
                number,
                len(left),
                share,
                evidence(number, len(left), counts_good[name, text], len(good)),
            )
            if (
                made.evidence >= bound
                and made.odds >= ODDS
                and (best is None or made.evidence > best.evidence)
            ):
                best = made
        if best is None:
            break
        found.append(best)
        left = [some for some in left if (best.field, best.text) not in some]
    return found


def by_kind(
    bad: Sequence[Mapping[str, Any]],
    good: Sequence[Mapping[str, Any]],
) -> dict[str, list[Cause]]:
    """What is named for the requests that had no good answer, and for those that were only late.

    Apart, as the tail of the late that any day has would hide what a few failures have in common.
    """
    kinds = {"unserved": [r for r in bad if not r["served"]], "late": [r for r in bad if r["served"]]}
    return {kind: causes(some, good) for kind, some in kinds.items()}


def _counts(some: Iterable[set[tuple[str, str]]]) -> Counter[tuple[str, str]]:
    return Counter(feature for features in some for feature in features)


@dataclass(frozen=True)
class Where:
    """Where the time of a group of traces went: by hop, the median of what it took itself, in ms."""

    failing: str
    number: int
    own_ms: dict[str, float]


def own_times(row: Mapping[str, Any]) -> dict[str, float]:
    """By hop, the time that it and its nodes took without the hops below.

    Durations only, no clocks compared.
    """
    spans: list[dict[str, Any]] = row["spans"]
    below: Counter[str] = Counter()
    attempts = {a["span_id"]: h["span_id"] for h in spans for a in h["attempts"]}
    for hop in spans:
        above = attempts.get(hop["parent_id"])
        if above is not None:
            below[above] += hop["duration_ms"]
    times: Counter[str] = Counter()
    for hop in spans:
        times[hop["hop"]] += max(0.0, hop["duration_ms"] - below[hop["span_id"]])
    return dict(times)


def groups(bad: Iterable[Mapping[str, Any]]) -> list[Where]:
    """Bad traces by the first hop, from below, that something failed at; the largest group first."""
    by: dict[str, list[dict[str, float]]] = {}
    for row in bad:
        by.setdefault(row["failing"], []).append(own_times(row))
    made = [
        Where(
            name,
            len(some),
            {hop: median(t.get(hop, 0.0) for t in some) for hop in sorted({hop for t in some for hop in t})},
        )
        for name, some in by.items()
    ]
    return sorted(made, key=lambda w: -w.number)
