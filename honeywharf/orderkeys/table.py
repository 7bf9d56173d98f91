"""What is known of each idempotency key: its states, its bounds, who holds the claim. No I/O, no clock.

All times are ms on the caller's clock, which never goes back. A claim is held under a fence, a number that
grows with each claim: what comes under an older one changes nothing (Lamport's fencing, as in Chubby's
sequencers, Burrows 2006, section 2.4).
"""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from enum import Enum
from itertools import islice

from honeywharf.policy import interface as api

ENTRY_BYTES = 700  # that a key takes besides its answer's body, with its places in the tables; measured
PINNED_PART = 0.5  # of all entries that one tenant may hold as running or uncertain: the rest is for others


class State(Enum):
    """What is known of a key."""

    RUNNING = "running"
    DONE = "done"
    UNCERTAIN = "uncertain"


class Verdict(Enum):
    """What is to be done with a request."""

    RUN = "run"  # the claim is its own
    JOIN = "join"  # another request holds the claim
    ANSWER = "answer"  # the effect has happened: the answer is there
    OTHER_PAYLOAD = "other payload"  # the key was used for another request
    FULL = "full"  # no room for a new key: nothing has run
    BUSY = "busy"  # as JOIN, but too many wait already
    AWAY = "away"  # a shared store can't be asked, or doesn't know: nothing of this request has run


# Plain classes, not data classes: those are made by code that is not compiled, at several times the cost.


class Answer:
    """The final answer to a key's request, status 200.

    `origin`: the mark of the attempt that earned it, where traces are recorded; not shared between proxies.
    """

    __slots__ = ("body", "kind", "origin")

    def __init__(self, body: bytes, kind: bytes = b"", origin: bytes = b"") -> None:
        self.body, self.kind, self.origin = body, kind, origin


class Claim:
    """The verdict on a request. `fence` and `earlier` where it is to run, `answer` where it is done.

    `digest`: of the answer that the key's first request got, where it was too long to keep. `wait_ms`: how
    long a running key's lease still is, or a store waits that has lost its keys.
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
    """One key. `earlier` is the first attempt that may have run, `digest` of an answer too long to keep.

    `bytes`: what it counts for in the bound on bytes.
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
    """16 bytes that tell data apart; BLAKE2b (RFC 7693)."""
    return hashlib.blake2b(data, digest_size=16).digest()


def name_of(tenant: str, class_name: str, key: bytes) -> bytes:
    """A key's name in the table, 16 bytes however long the key is.

    Lengths part the fields: no tenant can reach another's key by clever characters.
    """
    tenant_bytes, class_bytes = tenant.encode("utf-8", "surrogateescape"), class_name.encode()
    return digest(b"%d:%b%d:%b%b" % (len(tenant_bytes), tenant_bytes, len(class_bytes), class_bytes, key))


def payload_of(method: bytes, target: bytes, body: bytes) -> bytes:
    """The fingerprint of what a key was used for, 16 bytes."""
    return digest(b"%b %b\n%b" % (method, target, body))


class Table:
    """All keys, within `entries` and `bytes`. `whole_bytes`: the longest answer that is kept whole.

    A full table drops done keys, of the tenant that has most of them, the oldest first; keys that run or are
    uncertain stay until their time is up, and where only such are left a new key is refused.
    """

    def __init__(self, entries: int, most_bytes: int, whole_bytes: int) -> None:
        if entries < 1 or most_bytes < ENTRY_BYTES:
            raise ValueError(
                f"order keys: room for a key is wanted, not {entries} entries of {most_bytes} bytes"
            )
        self.most, self.most_bytes, self.whole_bytes = entries, most_bytes, whole_bytes
        self.entries: dict[bytes, Entry] = {}
        self.held_bytes = 0
        self.fence = 0
        self.done: dict[str, OrderedDict[bytes, None]] = {}  # by tenant: done keys, the oldest first
        self.by_count: dict[int, dict[str, None]] = {}  # tenants by how many done keys they have
        self.most_done = 0
        self.pinned: dict[str, int] = {}  # by tenant: keys that run or are uncertain
        self.expiries: OrderedDict[bytes, None] = OrderedDict()  # settled keys, roughly by when they expire
        self.dropped = 0  # done keys that had to go before their time

    def claim(self, name: bytes, tenant: str, payload: bytes, now_ms: float) -> Claim:
        """Take the key for a request, or say why not."""
        entry = self.entries.get(name)
        if entry is not None and entry.state is not State.RUNNING and entry.expires_ms <= now_ms:
            self._remove(name, entry)
            entry = None
        if entry is None:
            if not self._make_room(tenant, ENTRY_BYTES + len(tenant), now_ms):
                return Claim(Verdict.FULL)
            self.fence += 1
            entry = self.entries[name] = Entry(tenant, payload, self.fence)
            self.held_bytes += entry.bytes
            self.pinned[tenant] = self.pinned.get(tenant, 0) + 1
            return Claim(Verdict.RUN, self.fence)
        if entry.payload != payload:
            return Claim(Verdict.OTHER_PAYLOAD)
        if entry.state is State.RUNNING:
            return Claim(Verdict.JOIN)
        if entry.answer is not None:
            return Claim(Verdict.ANSWER, answer=entry.answer)
        # Uncertain, or done with an answer that was too long: the rack that has it answers again, or nobody.
        self._unlist(name, entry)
        self.fence += 1
        entry.state, entry.fence = State.RUNNING, self.fence
        self._list(name, entry)
        return Claim(Verdict.RUN, self.fence, entry.earlier, digest=entry.digest)

    def finish(
        self,
        name: bytes,
        fence: int,
        answer: Answer,
        earlier: api.Earlier | None,
        until_ms: float,
    ) -> bool:
        """The effect has happened; the answer is kept until `until_ms`. False where the claim was lost."""
        entry = self._held(name, fence)
        if entry is None:
            return False
        whole = len(answer.body) + len(answer.kind) <= self.whole_bytes
        self._unlist(name, entry)
        entry.state, entry.expires_ms = State.DONE, until_ms
        entry.earlier = entry.earlier or earlier
        if whole:
            entry.answer = answer
            size = len(answer.body) + len(answer.kind) + len(answer.origin)
            entry.bytes += size
            self.held_bytes += size
        else:
            entry.digest = digest(answer.body)
        self._list(name, entry)
        while self.held_bytes > self.most_bytes and self._drop_done():
            pass
        return True

    def settle(self, name: bytes, fence: int, earlier: api.Earlier | None, until_ms: float) -> bool:
        """The request is over without an answer that counts; `earlier` if an attempt may have run.

        A key of which nothing has run is free again. False where the claim was lost.
        """
        entry = self._held(name, fence)
        if entry is None:
            return False
        self._unlist(name, entry)
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
        self._list(name, entry)
        return True

    def expire(self, now_ms: float, most: int = 256) -> int:
        """Forget settled keys whose time is up, at most so many at once; how many they were."""
        gone = 0
        for name in list(islice(self.expiries, most)):
            entry = self.entries[name]
            if entry.expires_ms <= now_ms:
                self._remove(name, entry)
                gone += 1
            else:
                self.expiries.move_to_end(name)  # classes differ in how long they keep: looked at in turn
        return gone

    def known(self, name: bytes, now_ms: float) -> Entry | None:
        """What is known of a key, if anything still is; nothing is changed."""
        entry = self.entries.get(name)
        if entry is None or (entry.state is not State.RUNNING and entry.expires_ms <= now_ms):
            return None
        return entry

    def forget(self, name: bytes) -> bool:
        """Drop a settled key: a repeat of it will run. False where it is not known, or runs."""
        entry = self.entries.get(name)
        if entry is None or entry.state is State.RUNNING:
            return False
        self._remove(name, entry)
        return True

    # Bounds.

    def _held(self, name: bytes, fence: int) -> Entry | None:
        entry = self.entries.get(name)
        return entry if entry is not None and entry.state is State.RUNNING and entry.fence == fence else None

    def _make_room(self, tenant: str, size: int, now_ms: float) -> bool:
        """Whether there is room for one more key of the tenant, after dropping what may go."""
        if self.pinned.get(tenant, 0) >= max(1, int(self.most * PINNED_PART)):
            return False
        while len(self.entries) >= self.most or self.held_bytes + size > self.most_bytes:
            if not self.expire(now_ms) and not self._drop_done():
                return False
        return True

    def _drop_done(self) -> bool:
        """Drop the oldest done key of a tenant that has most: a flood of one costs no other its keys."""
        while self.most_done and not self.by_count.get(self.most_done):
            self.most_done -= 1
        if not self.most_done:
            return False
        tenant = next(iter(self.by_count[self.most_done]))
        name = next(iter(self.done[tenant]))
        self._remove(name, self.entries[name])
        self.dropped += 1
        return True

    def _remove(self, name: bytes, entry: Entry) -> None:
        self._unlist(name, entry)
        self.held_bytes -= entry.bytes
        del self.entries[name]

    def _list(self, name: bytes, entry: Entry) -> None:
        """Enter a key in the lists that its state asks for."""
        if entry.state is State.DONE:
            names = self.done.setdefault(entry.tenant, OrderedDict())
            names[name] = None
            self._recount(entry.tenant, len(names) - 1, len(names))
        else:
            self.pinned[entry.tenant] = self.pinned.get(entry.tenant, 0) + 1
        if entry.state is not State.RUNNING:
            self.expiries[name] = None

    def _unlist(self, name: bytes, entry: Entry) -> None:
        if entry.state is State.DONE:
            names = self.done[entry.tenant]
            del names[name]
            self._recount(entry.tenant, len(names) + 1, len(names))
            if not names:
                del self.done[entry.tenant]
        else:
            self.pinned[entry.tenant] -= 1
            if not self.pinned[entry.tenant]:
                del self.pinned[entry.tenant]
        self.expiries.pop(name, None)

    def _recount(self, tenant: str, before: int, after: int) -> None:
        if before:
            group = self.by_count[before]
            del group[tenant]
            if not group:
                del self.by_count[before]
        if after:
            self.by_count.setdefault(after, {})[tenant] = None
            self.most_done = max(self.most_done, after)
