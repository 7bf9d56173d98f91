"""Configurations' texts, by digest: those of changes under way, those on disk, and those that others have."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING, Any

from honeywharf import rpc_methods
from honeywharf.transport.address import parse_address

if TYPE_CHECKING:
    from honeywharf.control.store import Store
    from honeywharf.transport.host import Host
    from honeywharf.transport.rpc_client import RpcClient

FETCH_TIMEOUT_S = 3.0  # that one source of a text has
MAX_FETCHES = 8  # texts being fetched at once

TextDone = Callable[[bytes | None], None]


class ConfigurationTexts:
    """Gives a compressed text from here, or from a peer that has it.

    `sources`: addresses of peers that may have texts, in the order in which they are asked.
    """

    def __init__(self, host: Host, store: Store, caller: RpcClient, sources: Callable[[], list[str]]) -> None:
        self.host, self.store, self.caller, self.sources = host, store, caller, sources
        self.proposed: dict[str, bytes] = {}  # texts of changes under way here, compressed
        self.fetches: dict[str, list[TextDone]] = {}  # who waits for each text that is fetched

    def get(self, digest: str, done: TextDone) -> None:
        """Give a text to `done`, now or later; None where nobody has it."""
        text = self.local(digest)
        if text is not None or (digest not in self.fetches and len(self.fetches) >= MAX_FETCHES):
            done(text)
            return
        waiting = self.fetches.setdefault(digest, [])
        waiting.append(done)
        if len(waiting) == 1:
            self._fetch(digest, self.sources())

    def local(self, digest: str) -> bytes | None:
        """A text that is here; None where it is not."""
        proposed = self.proposed.get(digest)
        if proposed is not None:
            return proposed
        try:
            return self.store.read_text(digest)
        except OSError as error:
            self.host.log(f"replica: a configuration can't be read: {error}")
            return None

    def persist(self, digest: str, text: bytes) -> None:
        """Sync a text to disk; an error of the disk is logged."""
        try:
            self.store.put_text(digest, text)
            self.store.sync_names()
        except OSError as error:
            self.host.log(f"replica: a configuration could not be kept: {error}")

    def remove_unreferenced(self, referenced: set[str]) -> None:
        """Remove what is neither referenced, nor of a change under way, nor among the last."""
        try:
            self.store.remove_unreferenced(referenced | set(self.proposed))
        except OSError as error:
            self.host.log(f"replica: old configurations stay: {error}")

    def _fetch(self, digest: str, sources: list[str]) -> None:
        """Ask one source after another."""
        if not sources:
            self._fetched(digest, None)
            return
        source = parse_address(sources[0])
        received = partial(self._received, digest, sources[1:])
        self.caller.call(source, rpc_methods.CONFIGURATION_TEXT, digest, FETCH_TIMEOUT_S, received)

    def _received(self, digest: str, other_sources: list[str], text: Any) -> None:
        if isinstance(text, bytes):
            self._fetched(digest, text)
        else:
            self._fetch(digest, other_sources)

    def _fetched(self, digest: str, text: bytes | None) -> None:
        if text is not None:
            self.persist(digest, text)
        for done in self.fetches.pop(digest):
            done(text)
