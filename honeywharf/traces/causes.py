"""Root-cause analysis: the values of fields that are much more frequent in bad traces than in good ones.

Theory of operation. For each field and value (text) the share of bad traces that have it is compared with the
share of good ones. The good ones are the sampled ordinary traces, which represent all of them; bad traces are
all kept. A text is a cause if its odds ratio is at least `MIN_ODDS_RATIO`, at least `MIN_SHARE_BAD` of the
bad traces have it, and the G-test (Dunning 1993) of its two-by-two table is significant at
`FALSE_POSITIVE_RATE`, corrected for the number of texts. The search is greedy: the text with the most
evidence is first, and the next one explains bad traces that do not have it.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from statistics import NormalDist, median
from typing import Any

MIN_ODDS_RATIO = 3.0  # The odds are at least as many times as great among the bad as among the good.
MIN_SHARE_BAD = 0.2
MIN_BAD_TRACES = 8  # Fewer bad traces are not analysed.
FALSE_POSITIVE_RATE = 1e-4  # The probability of a cause where bad traces have nothing in common.
MAX_CANDIDATES = 10_000  # The limit of texts that are tested, from the most frequent on.
MAX_CAUSES = 5
CANDIDATE_FIELDS = ("server", "class", "tenant", "node")


@dataclass(frozen=True)
class Cause:
    """A text that bad traces have in common.

    `bad`: number of the `of_bad` bad traces that have it. `share_good`: share of good traces that have it.
    """

    field: str
    text: str
    bad: int
    of_bad: int
    share_good: float
    evidence: float  # G, which is distributed as chi-square with one degree of freedom.

    @property
    def share_bad(self) -> float:
        """The share of bad traces that have the text."""
        return self.bad / self.of_bad

    @property
    def odds(self) -> float:
        """The odds ratio of being bad with the text and without."""
        bad, good = self.share_bad, self.share_good
        return bad * (1.0 - good) / (good * (1.0 - bad)) if good and bad < 1.0 else math.inf

    @property
    def lift(self) -> float:
        """The share of bad traces divided by the share of good ones."""
        return self.share_bad / self.share_good if self.share_good else math.inf

    def description(self) -> str:
        """Returns a line for the operator."""
        lift = f"{self.lift:.1f} times as often as" if self.share_good else "and none of"
        return (
            f"{self.field} {self.text}: in {self.bad} of {self.of_bad} bad traces, {lift} the good ones"
            f" ({100 * self.share_good:.1f} in 100)"
        )


def evidence(bad: int, of_bad: int, good: int, of_good: int) -> float:
    """Returns G of the two-by-two table; 0 if the text is not more frequent in bad traces."""
    if not of_bad or not of_good or bad * of_good <= good * of_bad:
        return 0.0
    total, g = of_bad + of_good, 0.0
    for observed, row, column in (
        (bad, of_bad, bad + good),
        (of_bad - bad, of_bad, total - bad - good),
        (good, of_good, bad + good),
        (of_good - good, of_good, total - bad - good),
    ):
        if observed:
            g += observed * math.log(observed * total / (row * column))
    return 2.0 * g


def features(row: Mapping[str, Any]) -> set[tuple[str, str]]:
    """Returns the candidate causes in one trace: fields with texts, and zones with the hop that sent there.

    A zone alone is no candidate, as most traces pass through every zone at some hop.
    """
    found = {(name, text) for name in CANDIDATE_FIELDS for text in row[name] if text}
    for hop in row["spans"]:
        found.update(("zone", f"{a['honeywharf.zone']} ({hop['hop']})") for a in hop["attempts"])
    return found


def causes(bad: Sequence[Mapping[str, Any]], good: Sequence[Mapping[str, Any]]) -> list[Cause]:
    """Returns the causes, from the one with the most evidence on."""
    found: list[Cause] = []
    remaining, counts_good = [features(row) for row in bad], _counts(features(row) for row in good)
    candidate_count = len(_counts(remaining)) or 1
    # The Bonferroni correction; chi-square with one degree of freedom is the square of a normal deviate.
    min_evidence = NormalDist().inv_cdf(1.0 - FALSE_POSITIVE_RATE / candidate_count / 2.0) ** 2
    while len(remaining) >= MIN_BAD_TRACES and len(found) < MAX_CAUSES and good:
        best: Cause | None = None
        for (name, text), count in _counts(remaining).most_common(MAX_CANDIDATES):
            if count < MIN_SHARE_BAD * len(bad):
                break
            share_good = counts_good[name, text] / len(good)
            candidate = Cause(
                name,
                text,
                count,
                len(remaining),
                share_good,
                evidence(count, len(remaining), counts_good[name, text], len(good)),
            )
            if (
                candidate.evidence >= min_evidence
                and candidate.odds >= MIN_ODDS_RATIO
                and (best is None or candidate.evidence > best.evidence)
            ):
                best = candidate
        if best is None:
            break
        found.append(best)
        remaining = [
            row_features for row_features in remaining if (best.field, best.text) not in row_features
        ]
    return found


def by_kind(
    bad: Sequence[Mapping[str, Any]],
    good: Sequence[Mapping[str, Any]],
) -> dict[str, list[Cause]]:
    """Returns the causes for requests that were not served, and for those that were only late.

    They are separate, as frequent late requests would hide what a few failures have in common.
    """
    kinds = {"unserved": [r for r in bad if not r["served"]], "late": [r for r in bad if r["served"]]}
    return {kind: causes(rows, good) for kind, rows in kinds.items()}


def _counts(feature_sets: Iterable[set[tuple[str, str]]]) -> Counter[tuple[str, str]]:
    return Counter(feature for feature_set in feature_sets for feature in feature_set)


@dataclass(frozen=True)
class FailureGroup:
    """The bad traces that failed at one hop.

    `own_ms`: by hop, the median of the time that it took without downstream hops.
    """

    failing: str
    number: int
    own_ms: dict[str, float]


def own_times(row: Mapping[str, Any]) -> dict[str, float]:
    """Returns by hop the ms that it and its nodes took without downstream hops.

    Only durations are used, as the clocks of hops may differ.
    """
    spans: list[dict[str, Any]] = row["spans"]
    downstream_ms: Counter[str] = Counter()
    hop_by_attempt = {a["span_id"]: h["span_id"] for h in spans for a in h["attempts"]}
    for hop in spans:
        caller = hop_by_attempt.get(hop["parent_id"])
        if caller is not None:
            downstream_ms[caller] += hop["duration_ms"]
    own_ms: Counter[str] = Counter()
    for hop in spans:
        own_ms[hop["hop"]] += max(0.0, hop["duration_ms"] - downstream_ms[hop["span_id"]])
    return dict(own_ms)


def failure_groups(bad: Iterable[Mapping[str, Any]]) -> list[FailureGroup]:
    """Groups bad traces by the most downstream hop where something failed; the largest group is first."""
    times_by_failing_hop: dict[str, list[dict[str, float]]] = {}
    for row in bad:
        times_by_failing_hop.setdefault(row["failing"], []).append(own_times(row))
    groups = [
        FailureGroup(
            name,
            len(times),
            {
                hop: median(t.get(hop, 0.0) for t in times)
                for hop in sorted({hop for t in times for hop in t})
            },
        )
        for name, times in times_by_failing_hop.items()
    ]
    return sorted(groups, key=lambda group: -group.number)
