"""The table of known idempotency keys: their states, limits and claims. No I/O, no clock.

All times are ms on the caller's clock, which never goes back. Each claim has a fencing token greater than
those before: calls with an older token change nothing (as Chubby's sequencers do, Burrows 2006, section 2.4).
"""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from enum import Enum
from itertools import islice

from honeywharf.policy import interface as api

ENTRY_BYTES = 700  # memory of a key with its entries in the tables, without its answer's body
MAX_UNSETTLED_SHARE = 0.5  # one tenant's running and uncertain keys may be this share of all entries


class State(Enum):
    """The state of a known key."""

    RUNNING = "running"
    DONE = "done"
    UNCERTAIN = "uncertain"


class Verdict(Enum):
    """How to handle a request with a key."""

    RUN = "run"  # the request holds the claim
    JOIN = "join"  # another request holds the claim
    ANSWER = "answer"  # the key is done and its answer is known
    OTHER_PAYLOAD = "other payload"  # the key was used for another request
    FULL = "full"  # no room for a new key; this request has not run
    BUSY = "busy"  # another request holds the claim, and too many requests wait already
    STORE_UNAVAILABLE = "away"  # a shared store doesn't answer or has lost its keys: this request has not run


# Plain classes, because data classes are not compiled and are several times slower to create.


class Answer:
    """The final answer to a key's request, status 200.

    `origin`: the trace mark of the attempt that got it, if traces are recorded; not shared between proxies.
    """

    __slots__ = ("body", "kind", "origin")

    def __init__(self, body: bytes, kind: bytes = b"", origin: bytes = b"") -> None:
        self.body, self.kind, self.origin = body, kind, origin


class Claim:
    """The verdict on a request. `fence` and `earlier` are set if it may run, `answer` if the key is done.

    `digest`: digest of the first answer, if that was too long to keep. `wait_ms`: how long the lease of the
    running key lasts, or how long a store that has lost its keys does not answer claims.
    """

    __slots__ = ("answer", "digest", "earlier", "fence", "verdict", "wait_ms")

    def __init__(
        self,
        verdict: Verdict,
        fence: int = 0,
        earlier: api.Earlier | None = None,
        answer: Answer | None = None,
        digest: bytes = b"",
        wait_ms: float = 0.0,
    ) -> None:
        self.verdict, self.fence, self.earlier = verdict, fence, earlier
        self.answer, self.digest, self.wait_ms = answer, digest, wait_ms


class Entry:
    """One key. `earlier` is the first attempt that may have run; `digest` that of a long answer.

    `bytes`: its size as counted towards the limit on bytes.
    """

    __slots__ = ("answer", "bytes", "digest", "earlier", "expires_ms", "fence", "payload", "state", "tenant")

    def __init__(self, tenant: str, payload: bytes, fence: int) -> None:
        self.tenant, self.payload, self.fence = tenant, payload, fence
        self.state, self.expires_ms = State.RUNNING, 0.0
        self.earlier: api.Earlier | None = None
        self.answer: Answer | None = None
        self.digest = b""
        self.bytes = ENTRY_BYTES + len(tenant)


def digest(data: bytes) -> bytes:
    """Returns a digest of 16 bytes; BLAKE2b (RFC 7693)."""
    return hashlib.blake2b(data, digest_size=16).digest()


def key_name(tenant: str, class_name: str, key: bytes) -> bytes:
    """Returns the name of a key in the table: 16 bytes, however long the key is.

    Each field is preceded by its length, so that no tenant can construct a key that equals another's.
    """
    tenant_bytes, class_bytes = tenant.encode("utf-8", "surrogateescape"), class_name.encode()
    return digest(b"%d:%b%d:%b%b" % (len(tenant_bytes), tenant_bytes, len(class_bytes), class_bytes, key))


def payload_digest(method: bytes, target: bytes, body: bytes) -> bytes:
    """Returns the fingerprint of a request's payload, 16 bytes."""
    return digest(b"%b %b\n%b" % (method, target, body))


class Table:
    """All keys, within limits on entries and bytes. `max_answer_bytes`: the longest answer that is kept.

    A full table drops done keys, the oldest one of the tenant with most of them first. Running and uncertain
    keys stay until they expire; if only such keys are left, a new key is refused.
    """

    def __init__(self, entries: int, max_bytes: int, max_answer_bytes: int) -> None:
        if entries < 1 or max_bytes < ENTRY_BYTES:
            raise ValueError(
                f"order_keys: expected room for at least one key, got {entries} entries, {max_bytes} bytes"
            )
        self.max_entries, self.max_bytes, self.max_answer_bytes = entries, max_bytes, max_answer_bytes
        self.entries: dict[bytes, Entry] = {}
        self.held_bytes = 0
        self.fence = 0
        self.done: dict[str, OrderedDict[bytes, None]] = {}  # done keys by tenant, the oldest first
        self.tenants_by_done: dict[int, dict[str, None]] = {}  # tenants by their number of done keys
        self.max_done = 0
        self.unsettled: dict[str, int] = {}  # number of running and uncertain keys by tenant
        # settled keys, roughly in the order in which they expire
        self.expiries: OrderedDict[bytes, None] = OrderedDict()
        self.dropped = 0  # done keys that were dropped before they expired

    def claim(self, name: bytes, tenant: str, payload: bytes, now_ms: float) -> Claim:
        """Claims the key for a request, or returns why it can't be claimed."""
        entry = self.entries.get(name)
        if entry is not None and entry.state is not State.RUNNING and entry.expires_ms <= now_ms:
            self._remove(name, entry)
            entry = None
        if entry is None:
            if not self._ensure_capacity(tenant, ENTRY_BYTES + len(tenant), now_ms):
                return Claim(Verdict.FULL)
            self.fence += 1
            entry = self.entries[name] = Entry(tenant, payload, self.fence)
            self.held_bytes += entry.bytes
            self.unsettled[tenant] = self.unsettled.get(tenant, 0) + 1
            return Claim(Verdict.RUN, self.fence)
        if entry.payload != payload:
            return Claim(Verdict.OTHER_PAYLOAD)
        if entry.state is State.RUNNING:
            return Claim(Verdict.JOIN)
        if entry.answer is not None:
            return Claim(Verdict.ANSWER, answer=entry.answer)
        # The key is uncertain, or done with an answer too long to keep: only the cell that ran it may answer.
        self._remove_from_lists(name, entry)
        self.fence += 1
        entry.state, entry.fence = State.RUNNING, self.fence
        self._add_to_lists(name, entry)
        return Claim(Verdict.RUN, self.fence, entry.earlier, digest=entry.digest)

    def finish(
        self,
        name: bytes,
        fence: int,
        answer: Answer,
        earlier: api.Earlier | None,
        until_ms: float,
    ) -> bool:
        """Marks a key as done and keeps its answer until `until_ms`. Returns False if the claim was lost."""
        entry = self._claimed_entry(name, fence)
        if entry is None:
            return False
        is_short = len(answer.body) + len(answer.kind) <= self.max_answer_bytes
        self._remove_from_lists(name, entry)
        entry.state, entry.expires_ms = State.DONE, until_ms
        entry.earlier = entry.earlier or earlier
        if is_short:
            entry.answer = answer
            size = len(answer.body) + len(answer.kind) + len(answer.origin)
            entry.bytes += size
            self.held_bytes += size
        else:
            entry.digest = digest(answer.body)
        self._add_to_lists(name, entry)
        while self.held_bytes > self.max_bytes and self._drop_done():
            pass
        return True

    def settle(self, name: bytes, fence: int, earlier: api.Earlier | None, until_ms: float) -> bool:
        """Ends a claim without an answer; `earlier` is set if an attempt may have run.

        A key without such an attempt becomes free. Returns False if the claim was lost.
        """
        entry = self._claimed_entry(name, fence)
        if entry is None:
            return False
        self._remove_from_lists(name, entry)
        entry.earlier = entry.earlier or earlier
        if entry.digest:
            entry.state = State.DONE
        elif entry.earlier is None:
            self.held_bytes -= entry.bytes
            del self.entries[name]
            return True
        else:
            entry.state = State.UNCERTAIN
        if entry.state is State.UNCERTAIN:
            entry.expires_ms = max(entry.expires_ms, until_ms)
        self._add_to_lists(name, entry)
        return True

    def expire(self, now_ms: float, max_removed: int = 256) -> int:
        """Removes up to `max_removed` settled keys that have expired. Returns how many were removed."""
        expired = 0
        for name in list(islice(self.expiries, max_removed)):
            entry = self.entries[name]
            if entry.expires_ms <= now_ms:
                self._remove(name, entry)
                expired += 1
            else:
                # Keys of other classes may expire earlier, so this one is checked later.
                self.expiries.move_to_end(name)
        return expired

    def known(self, name: bytes, now_ms: float) -> Entry | None:
        """Returns the entry of a key, None if it is unknown or expired; nothing is changed."""
        entry = self.entries.get(name)
        if entry is None or (entry.state is not State.RUNNING and entry.expires_ms <= now_ms):
            return None
        return entry

    def forget(self, name: bytes) -> bool:
        """Removes a settled key, so that a repeat runs. Returns False if the key is unknown or running."""
        entry = self.entries.get(name)
        if entry is None or entry.state is State.RUNNING:
            return False
        self._remove(name, entry)
        return True

    # Limits.

    def _claimed_entry(self, name: bytes, fence: int) -> Entry | None:
        entry = self.entries.get(name)
        return entry if entry is not None and entry.state is State.RUNNING and entry.fence == fence else None

    def _ensure_capacity(self, tenant: str, size: int, now_ms: float) -> bool:
        """Drops keys that may be dropped. Returns whether there is room for one more key of the tenant."""
        if self.unsettled.get(tenant, 0) >= max(1, int(self.max_entries * MAX_UNSETTLED_SHARE)):
            return False
        while len(self.entries) >= self.max_entries or self.held_bytes + size > self.max_bytes:
            if not self.expire(now_ms) and not self._drop_done():
                return False
        return True

    def _drop_done(self) -> bool:
        """Drops the oldest done key of the tenant with most, so that a flood costs others no keys."""
        while self.max_done and not self.tenants_by_done.get(self.max_done):
            self.max_done -= 1
        if not self.max_done:
            return False
        tenant = next(iter(self.tenants_by_done[self.max_done]))
        name = next(iter(self.done[tenant]))
        self._remove(name, self.entries[name])
        self.dropped += 1
        return True

    def _remove(self, name: bytes, entry: Entry) -> None:
        self._remove_from_lists(name, entry)
        self.held_bytes -= entry.bytes
        del self.entries[name]

    def _add_to_lists(self, name: bytes, entry: Entry) -> None:
        """Adds a key to the lists of its state."""
        if entry.state is State.DONE:
            names = self.done.setdefault(entry.tenant, OrderedDict())
            names[name] = None
            self._recount(entry.tenant, len(names) - 1, len(names))
        else:
            self.unsettled[entry.tenant] = self.unsettled.get(entry.tenant, 0) + 1
        if entry.state is not State.RUNNING:
            self.expiries[name] = None

    def _remove_from_lists(self, name: bytes, entry: Entry) -> None:
        if entry.state is State.DONE:
            names = self.done[entry.tenant]
            del names[name]
            self._recount(entry.tenant, len(names) + 1, len(names))
            if not names:
                del self.done[entry.tenant]
        else:
            self.unsettled[entry.tenant] -= 1
            if not self.unsettled[entry.tenant]:
                del self.unsettled[entry.tenant]
        self.expiries.pop(name, None)

    def _recount(self, tenant: str, old_count: int, new_count: int) -> None:
        if old_count:
            group = self.tenants_by_done[old_count]
            del group[tenant]
            if not group:
                del self.tenants_by_done[old_count]
        if new_count:
            self.tenants_by_done.setdefault(new_count, {})[tenant] = None
            self.max_done = max(self.max_done, new_count)
