"""Which traces are kept: every bad one on every hop, and an unbiased part of the others. Without I/O.

Theory of operation. A hop judges a request when nothing of it is out any more. What is bad there is
exported at once. What is ordinary is kept if the trace-id's own randomness says so, which is the same word
at every hop; each such trace stands for 1/rate ordinary ones. The other ordinary ones are held for
`hold_ms`, as another hop may have seen trouble:

- upwards, an answer says whether its hop keeps the trace, so that whoever passes it on keeps it too;
- downwards, the next request of the trace says that the caller keeps it, and a note can say so later: what
  is held of the trace is exported then. A trace that was told of is remembered as long, for parts that end
  after the note.

Held traces are bounded in number and in bytes, the oldest ordinary going first; each that goes untold is
counted. So is what one trace's trouble may keep of its other parts (`MAX_TOLD`): a client may give all its
requests one trace-id, and have one of them fail.

    held -> exported      a note or a request of the trace says that it is kept
    held -> dropped       after hold_ms, or for want of room
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass

from ddsketch import DDSketch

from honeywharf.traces import context
from honeywharf.traces.spans import BAD_ENDS, HopTrace

ACCURACY = 0.02  # relative error of the learned quantiles
MIN_ANSWERS = 200  # before a learned quantile is believed
RENEW = 64  # answers after which the quantile is looked up again
# one answer in so many is learned, once enough are known: a sketch costs more than a comparison
LEARN_EACH = 4
# answers after which a class's sketch begins anew, with the quantile kept until it is believed
FORGET = 50_000
EXPIRE_EACH = 0.01  # of the time for which traces are held, between looks for those that were long enough
MAX_TOLD = 32  # further parts of one trace that are kept at this hop, within `hold_ms`, as one part was bad
HOP_BYTES, ATTEMPT_BYTES = 900, 700  # what a held trace and each of its attempts are counted with


@dataclass(frozen=True)
class Sampling:
    """`rate`: part of the ordinary that is kept.

    `hold_ms`, `most_held`, `most_bytes`: bounds of what is held.
    """

    rate: float = 0.01
    hold_ms: float = 10_000.0
    most_held: int = 4000
    most_bytes: int = 8 * 1024 * 1024
    quantile: float = 0.99


class Usual:
    """The usual times of one class's answers."""

    __slots__ = ("answers", "late_ms", "quantile", "sketch")

    def __init__(self, quantile: float) -> None:
        self.quantile = quantile
        self.sketch = DDSketch(ACCURACY)
        self.answers = 0
        self.late_ms = float("inf")  # what only 1 - quantile of the answers take longer than

    def late(self, took_ms: float) -> bool:
        """Whether an answer took longer than nearly all; learn from it."""
        self.answers += 1
        if self.answers <= MIN_ANSWERS or self.answers % LEARN_EACH == 0:
            self.sketch.add(took_ms)
        if self.answers >= MIN_ANSWERS and self.answers % RENEW == 0:
            # Guards against calling half of equal times late: the sketch may tell so much too little.
            found = self.sketch.get_quantile_value(self.quantile) or float("inf")
            self.late_ms = found * (1.0 + 2.0 * ACCURACY)
            if self.answers >= FORGET:
                self.sketch, self.answers = DDSketch(ACCURACY), 0
        return took_ms > self.late_ms


class Told:
    """A trace that is kept here or elsewhere: until when that is known, and how many more parts it keeps."""

    __slots__ = ("left", "until_ms")

    def __init__(self, until_ms: float) -> None:
        self.until_ms, self.left = until_ms, MAX_TOLD


class Sampler:
    """The judgement of one hop. Times are ms on the caller's clock; they never go back."""

    def __init__(
        self,
        rules: Sampling,
        aims_ms: dict[str, float],
        export: Callable[[HopTrace], None],
        *,
        trusts: bool,
        rule: Callable[[HopTrace], bool] | None = None,
    ) -> None:
        self.rules, self.aims_ms, self.export, self.rule = rules, aims_ms, export, rule
        self.trusts = trusts  # whether a caller's word that it keeps a trace counts: not that of clients
        self.threshold = context.threshold(rules.rate)
        self.usual: dict[str, Usual] = {}  # by class: as many as the settings name
        self.held: dict[str, list[HopTrace]] = {}  # by trace
        # the held, the oldest first, and those that have been exported since
        self.queue: deque[HopTrace] = deque()
        self.held_bytes = 0
        self.expire_ms = 0.0  # when it is looked next whether any is held long enough
        # traces that others keep, and until when that is known
        self.told: OrderedDict[str, Told] = OrderedDict()
        self.counts = dict.fromkeys(
            ("bad", "ordinary", "ordinary kept", "told kept", "told over", "held out", "no room"), 0
        )

    def ordinary(self, randomness: str) -> bool:
        """Whether a trace of that randomness, 14 hex digits, is one of the ordinary that are kept."""
        return randomness >= self.threshold

    def began(self, now: float, hop: HopTrace, bad: bool, randomness: str) -> None:
        """A request has come; `bad`: its caller says that it keeps the trace for what it saw."""
        hop.ordinary = randomness >= self.threshold
        if self.trusts and bad:
            hop.keep("told")
            self.note(now, hop.trace_id)

    def answered(self, hop: HopTrace) -> bool:
        """The request has its answer: whether this hop keeps the trace, as far as is known by now."""
        if hop.how in BAD_ENDS:
            hop.keep("failed")
        elif hop.how == "refused":
            hop.keep("refused")
        elif hop.how == "served":
            usual = self.usual.get(hop.cls)
            if usual is None and hop.cls in self.aims_ms:
                usual = self.usual[hop.cls] = Usual(self.rules.quantile)
            took = hop.duration_ms
            if (usual is not None and usual.late(took)) or took > self.aims_ms.get(hop.cls, took):
                hop.keep("slow")
        if len(hop.attempts) > 1:
            hop.keep("copied" if any(a.copy for a in hop.attempts) else "retried")
        if self.rule is not None and self.rule(hop):
            hop.keep("rule")
        return bool(hop.kept)

    def settled(self, now: float, hop: HopTrace) -> None:
        """Nothing of the request is out any more: export, hold, or let go."""
        if now >= self.expire_ms:
            self.expire(now)
        for attempt in hop.attempts:
            if attempt.after_answer and attempt.outcome != "ok":
                hop.keep("late attempt")
        told = self.told.get(hop.trace_id)
        if told is not None and not hop.kept:
            if told.left > 0:
                told.left -= 1
                hop.keep("told")
            else:
                self.counts["told over"] += 1
        if hop.kept:
            self.counts["bad"] += 1
            self.export(hop)
            self.note(now, hop.trace_id)  # other requests of the trace at this hop
            return
        self.counts["ordinary"] += 1
        if hop.ordinary:
            hop.weight = 1.0 / self.rules.rate
            self.counts["ordinary kept"] += 1
            self.export(hop)
            return
        hop.bytes = HOP_BYTES + ATTEMPT_BYTES * len(hop.attempts)
        self.held_bytes += hop.bytes
        beside = self.held.get(hop.trace_id)
        if beside is None:
            self.held[hop.trace_id] = [hop]
        else:
            beside.append(hop)
        self.queue.append(hop)
        while len(self.queue) > self.rules.most_held or self.held_bytes > self.rules.most_bytes:
            self._let_go("no room")

    def note(self, now: float, trace_id: str) -> None:
        """Another hop, or another request, keeps the trace: what is held of it is exported."""
        told = self.told.get(trace_id)
        if told is None:
            told = self.told[trace_id] = Told(now + self.rules.hold_ms)
            while len(self.told) > self.rules.most_held:
                self.told.popitem(last=False)
        # A trace that is told of again gets no further parts until the first word of it is forgotten.
        for hop in self.held.pop(trace_id, ()):
            self.held_bytes -= hop.bytes
            hop.bytes = 0  # its place in the queue is left behind
            if told.left <= 0:
                self.counts["told over"] += 1
                continue
            told.left -= 1
            hop.keep("told")
            self.counts["told kept"] += 1
            self.export(hop)

    def expire(self, now: float) -> None:
        """Let go of what was held long enough."""
        self.expire_ms = now + EXPIRE_EACH * self.rules.hold_ms
        while self.queue and self.queue[0].answered_ms + self.rules.hold_ms <= now:
            self._let_go("held out")
        while self.told and next(iter(self.told.values())).until_ms <= now:
            self.told.popitem(last=False)

    def _let_go(self, why: str) -> None:
        """The oldest goes, counted, unless it was exported meanwhile."""
        hop = self.queue.popleft()
        if hop.bytes:
            self.held_bytes -= hop.bytes
            beside = self.held[hop.trace_id]
            beside.remove(hop)
            if not beside:
                del self.held[hop.trace_id]
            self.counts[why] += 1
