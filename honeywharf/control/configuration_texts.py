"""The texts of configurations by digest: in pending changes, on the local disk, and on peers."""

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

FETCH_TIMEOUT_S = 3.0  # The time-out of a fetch from one source.
MAX_FETCHES = 8  # At most this many texts are fetched at once.

TextDone = Callable[[bytes | None], None]


class ConfigurationTexts:
    """Provides compressed texts from this node or from a peer.

    `sources` returns the addresses of peers that may have texts, in the order of the requests.
    """

    def __init__(self, host: Host, store: Store, caller: RpcClient, sources: Callable[[], list[str]]) -> None:
        self.host, self.store, self.caller, self.sources = host, store, caller, sources
        self.proposed: dict[str, bytes] = {}  # The compressed texts of this node's pending changes.
        self.fetches: dict[str, list[TextDone]] = {}  # The callbacks that wait for each text in flight.

    def get(self, digest: str, done: TextDone) -> None:
        """Calls `done` with a text, now or later; with None if no source has it."""
        text = self.local(digest)
        if text is not None or (digest not in self.fetches and len(self.fetches) >= MAX_FETCHES):
            done(text)
            return
        waiting = self.fetches.setdefault(digest, [])
        waiting.append(done)
        if len(waiting) == 1:
            self._fetch(digest, self.sources())

    def local(self, digest: str) -> bytes | None:
        """Returns a text that this node has; None if it does not have it."""
        proposed = self.proposed.get(digest)
        if proposed is not None:
            return proposed
        try:
            return self.store.read_text(digest)
        except OSError as error:
            self.host.log(f"replica: could not read configuration {digest}: {error}")
            return None

    def persist(self, digest: str, text: bytes) -> None:
        """Writes a text to disk and syncs it; a disk error is logged."""
        try:
            self.store.put_text(digest, text)
            self.store.sync_names()
        except OSError as error:
            self.host.log(f"replica: could not save configuration {digest}: {error}")

    def remove_unreferenced(self, referenced: set[str]) -> None:
        """Removes the texts that are not referenced, not in a pending change and not among the last ones."""
        try:
            self.store.remove_unreferenced(referenced | set(self.proposed))
        except OSError as error:
            self.host.log(f"replica: could not remove old configurations: {error}")

    def _fetch(self, digest: str, sources: list[str]) -> None:
        """Requests the text from one source after another."""
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
