"""Configurations' texts, by digest: those of changes under way, those on disk, and those that others have."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from honeywharf.control.address import address_of

if TYPE_CHECKING:
    from honeywharf.control.store import Store
    from honeywharf.transport.host import Host
    from honeywharf.transport.rpc import Caller

FETCH_S = 3.0  # that one source of a text has
MAX_FETCHES = 8  # texts being fetched

Done = Callable[[bytes | None], None]


class ConfigurationTexts:
    """Gives a text from here, or from whoever has it. `sources`: addresses to ask, without this one."""

    def __init__(self, host: Host, store: Store, caller: Caller, sources: Callable[[], list[str]]) -> None:
        self.host, self.store, self.caller, self.sources = host, store, caller, sources
        self.proposed: dict[str, bytes] = {}  # texts of changes under way here, compressed
        self.fetches: dict[str, list[Done]] = {}

    def get(self, digest: str, done: Done) -> None:
        """A configuration's text, compressed; None where nobody has it."""
        here = self.local(digest)
        if here is not None or (digest not in self.fetches and len(self.fetches) >= MAX_FETCHES):
            done(here)
            return
        waiting = self.fetches.setdefault(digest, [])
        waiting.append(done)
        if len(waiting) == 1:
            self._fetch(digest, self.sources())

    def local(self, digest: str) -> bytes | None:
        """A text that is here, compressed; None where it is not."""
        proposed = self.proposed.get(digest)
        if proposed is not None:
            return proposed
        try:
            return self.store.get(digest)
        except OSError as fault:
            self.host.log(f"replica: a configuration can't be read: {fault}")
            return None

    def keep(self, digest: str, text: bytes) -> None:
        """Keep a text on disk, if the disk lets it."""
        try:
            self.store.keep(digest, text)
            self.store.sync_names()
        except OSError as fault:
            self.host.log(f"replica: a configuration could not be kept: {fault}")

    def sweep(self, named: set[str]) -> None:
        """Remove what is neither named, nor of a change under way, nor among the last."""
        try:
            self.store.sweep(named | set(self.proposed))
        except OSError as fault:
            self.host.log(f"replica: old configurations stay: {fault}")

    def _fetch(self, digest: str, sources: list[str]) -> None:
        """Ask one source after another."""
        if not sources:
            self._fetched(digest, None)
            return

        def received(text: Any) -> None:
            if isinstance(text, bytes):
                self._fetched(digest, text)
            else:
                self._fetch(digest, sources[1:])

        self.caller.call(address_of(sources[0]), "word.body", digest, FETCH_S, received)

    def _fetched(self, digest: str, text: bytes | None) -> None:
        if text is not None:
            self.keep(digest, text)
        for done in self.fetches.pop(digest):
            done(text)
