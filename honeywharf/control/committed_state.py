"""The newest committed mesh state that this control node knows, and its announcement."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from honeywharf import rpc_methods
from honeywharf.control.membership import KnownState
from honeywharf.control.mesh_state import NO_REVISION, MemberId, MeshState
from honeywharf.control.messages import DecidedMembership
from honeywharf.control.quorum_client import CALL_TIMEOUT_S
from honeywharf.transport.address import parse_address

if TYPE_CHECKING:
    from honeywharf.control.configuration_texts import ConfigurationTexts
    from honeywharf.control.store import Store
    from honeywharf.control.voter import Voter
    from honeywharf.transport.host import Address, Host
    from honeywharf.transport.rpc_client import RpcClient

ANNOUNCE_INTERVAL_S = 0.3  # The interval of checks whether a missing text has arrived.


class CommittedState:
    """The newest known committed state. `on_state` is called with each newer one, once its text is on disk.

    A state is never replaced by an older one. The known state may be old: a caller that needs the newest
    reads it from a majority (`register_queues.ReadQueue`).
    """

    def __init__(
        self,
        host: Host,
        caller: RpcClient,
        store: Store,
        voter: Voter,
        texts: ConfigurationTexts,
        on_state: Callable[[MeshState], None],
    ) -> None:
        self.host, self.caller, self.store, self.voter = host, caller, store, voter
        self.texts, self.on_state = texts, on_state
        self.known: MeshState | None = None
        self.announced_revision = NO_REVISION  # The revision that `on_state` was last called with.

    @property
    def revision(self) -> int:
        """Returns the revision of the known state; `NO_REVISION` without one."""
        return self.known.revision if self.known is not None else NO_REVISION

    def summary(self) -> KnownState:
        """Returns the part of the known state that heartbeats report."""
        state = self.known
        if state is None:
            return KnownState(NO_REVISION, "")
        return KnownState(state.revision, state.digest if self.store.has_text(state.digest) else "")

    def start(self) -> None:
        """Starts the periodic announcement of states whose text arrives later."""
        self.host.after(0.0, self._announce_periodically)

    def local_write_committed(self, state: MeshState, members: list[MemberId]) -> None:
        """Records the state of a write that this node committed, and notifies the members that took part."""
        is_newer = state.revision > self.revision
        self.advance(state)
        if not is_newer:
            return
        for address, _ in members:
            if address != self.voter.local_address:
                self.caller.call(
                    parse_address(address),
                    rpc_methods.STATE_COMMITTED,
                    state.pack_public(),
                    CALL_TIMEOUT_S,
                    lambda answer: None,
                )

    def advance(self, state: MeshState) -> None:
        """Records a committed state if it is newer, and announces it."""
        if state.revision > self.revision:
            self.known = state
            self._announce()

    def adopt(self, packed: Any) -> None:
        """Records a state that a peer reports as committed.

        Raises KeyError, TypeError or ValueError for anything else than a packed state.
        """
        state = MeshState.unpack(packed)
        self.voter.adopt_membership(DecidedMembership(state.epoch, state.members))
        self.advance(state)

    def fetch(self, source: Address) -> None:
        """Requests the state that a peer knows, and records it if it is newer."""
        self.caller.call(source, rpc_methods.KNOWN_STATE, None, CALL_TIMEOUT_S, self._fetched)

    def _fetched(self, packed: Any) -> None:
        if packed is None:
            return
        try:
            self.adopt(packed)
        except (ValueError, TypeError, LookupError) as error:
            self.host.log(f"replica: invalid mesh state from a peer: {error!r}")

    def _announce_periodically(self) -> None:
        self._announce()
        self.host.after(ANNOUNCE_INTERVAL_S, self._announce_periodically)

    def _announce(self) -> None:
        """Calls `on_state` with the known state, once its text is on disk."""
        state = self.known
        if state is None or state.revision <= self.announced_revision:
            return
        digest = state.digest
        if digest and not self.store.has_text(digest):
            if digest not in self.texts.fetches:
                self.texts.get(digest, lambda text: self._announce() if self.store.has_text(digest) else None)
            return
        self.announced_revision = state.revision
        self._remove_unreferenced_texts(state)
        self.on_state(state)

    def _remove_unreferenced_texts(self, state: MeshState) -> None:
        referenced = {state.digest}
        accepted = self.voter.state.value
        if accepted is not None:
            referenced.add(accepted.digest)
        self.texts.remove_unreferenced(referenced)
