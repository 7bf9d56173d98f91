"""Leases in a control node: the votes that it grants, its own lease to remove members, and their view."""

from __future__ import annotations

import json
from functools import partial
from typing import TYPE_CHECKING, Any

from honeywharf import rpc_methods
from honeywharf.control import mesh_state
from honeywharf.drift import states
from honeywharf.lease.acquisition import LeaseAcquisition
from honeywharf.lease.grantor import MEMBER_REMOVAL, QUARANTINE, Grantor, Role, VoteAnswer

if TYPE_CHECKING:
    from collections.abc import Callable

    from honeywharf.control.interfaces import ControlProgram
    from honeywharf.control.operator_api import HttpCall
    from honeywharf.transport.host import Address
    from honeywharf.transport.rpc_server import Reply

REMOVAL_ROLE = Role(MEMBER_REMOVAL, "", 0)
HOLDER_ID_BYTES = 6  # The name of this process as a lease holder ends with these random bytes.
MAX_NAME_LENGTH = 200  # A name in a call has at most this many characters.


class ControlLeases:
    """The lease votes and the removal lease of a control node. Implements the replica's `RemovalLease`."""

    def __init__(self, program: ControlProgram) -> None:
        self.program, self.host, self.replica = program, program.host, program.replica
        self.grantor = Grantor(self.host.now(), self.slots)
        self.holder = f"{self.replica.local_address}/{self.host.random(HOLDER_ID_BYTES).hex()}"
        self.acquisition: LeaseAcquisition | None = None
        self.last_refusal = ""  # The reasons of the last refusal since a lease was granted, for the log.
        self.outcomes = {"granted": 0, "refused": 0, "lost": 0}  # Outcomes of this node's own acquisitions.
        self.replica.membership.removal.lease = self
        self.replica.voter.on_membership = self._adopt_membership
        self.replica.methods[rpc_methods.LEASE_REQUEST] = self._answer_request
        self.replica.methods[rpc_methods.LEASE_RELEASE] = self._answer_release
        program.operator.routes.add("GET", "/api/duties", self._answer_view)

    # Votes.

    def slots(self, kind: str, scope: str) -> int:
        """Returns how many nodes may hold a role at once, from the sidecars known by gossip."""
        if kind == MEMBER_REMOVAL:
            return int(scope == "")
        zones = self._sidecar_zones()
        return (
            states.zone_quarantine_limit(zones.count(scope))
            if scope
            else states.total_quarantine_limit(len(zones))
        )

    def _sidecar_zones(self) -> list[str]:
        """Returns the zone of each sidecar known by gossip."""
        membership = self.program.membership
        if membership is None:
            return []
        entries = membership.entries().values()
        return [entry.zone for entry in entries if entry.attributes is not None and entry.attributes.get("s")]

    def _adopt_membership(self) -> None:
        """Tells the grantor which membership is decided, and which one is accepted.

        It is called with each new membership, so that the grantor's term of waiting begins there and not
        with the first request, which comes with the next failure of a member.
        """
        state = self.replica.state
        accepted_epoch = state.value.epoch if state.value is not None else 0
        self.grantor.adopt_epoch(self.host.now(), state.epoch, accepted_epoch)

    def _answer_request(self, args: Any, reply: Reply, peer: Address) -> None:
        kind, scope, slot, holder, number, epoch, disk = args
        _check_names(kind, scope, holder, disk)
        _check_numbers(slot, number, epoch)
        state = self.replica.state
        if disk != state.disk or not self.replica.is_member():
            reply([VoteAnswer.OTHER_EPOCH, 0])  # The caller means another member.
            return
        self._adopt_membership()
        now = self.host.now()
        reply(list(self.grantor.request(now, Role(kind, scope, slot), holder, number, epoch)))

    def _answer_release(self, args: Any, reply: Reply, peer: Address) -> None:
        kind, scope, slot, holder, number, disk = args
        _check_names(kind, scope, holder, disk)
        _check_numbers(slot, number)
        if disk == self.replica.state.disk:
            self.grantor.release(Role(kind, scope, slot), holder, number)
        reply(True)

    # This node's own lease.

    def _call(self, to: Address, method: str, args: Any, timeout: float, done: Callable[[Any], None]) -> None:
        """Calls a method like `RpcClient.call`, but without a connection on this machine."""
        if to == self.program.local_address:
            self.host.after(0.0, lambda: self.replica.methods[method](args, done, to))
        else:
            self.program.caller.call(to, method, args, timeout, done)

    def begin(self, done: Callable[[bool], None]) -> None:
        """Requests the lease. Reports False at once while another acquisition is in progress."""
        if self.acquisition is not None:
            done(False)
            return
        state = self.replica.state
        self.acquisition = LeaseAcquisition(
            self.host,
            self._call,
            lambda: (state.epoch, mesh_state.member_ids(state.members)),
            self.holder,
            [[REMOVAL_ROLE]],
            self._lease_lost,
        )
        self.acquisition.begin(partial(self._acquired, done))

    def _acquired(self, done: Callable[[bool], None], granted: bool) -> None:
        self.outcomes["granted" if granted else "refused"] += 1
        if granted and self.acquisition is not None:
            number = self.acquisition.numbers()[0]
            # docs/operators/duties.md documents this line.
            self.host.log(f"duties: upkeep of the roster is ours, number {number}")
            self.last_refusal = ""
        else:
            self._log_refusal()
            self.acquisition = None
        done(granted)

    def _log_refusal(self) -> None:
        """Logs why the lease was refused, unless the last refusal had the same reasons."""
        rejections = self.acquisition.rejections if self.acquisition is not None else set()
        reason = ", ".join(sorted(rejections)) or "no majority answered"
        if reason != self.last_refusal:
            self.last_refusal = reason
            self.host.log(f"duties: upkeep of the roster is refused: {reason}")

    def _lease_lost(self) -> None:
        self.outcomes["lost"] += 1

    def holds(self) -> bool:
        """Returns whether this node holds the lease now."""
        return self.acquisition is not None and self.acquisition.holds()

    def end(self) -> None:
        """Releases the lease."""
        acquisition, self.acquisition = self.acquisition, None
        if acquisition is not None:
            acquisition.end()

    # The operators' view.

    def view(self) -> dict[str, Any]:
        """Returns valid votes, rejections and own acquisitions as JSON. Source: docs/operators/duties.md."""
        now = self.host.now()
        waiting = [kind for kind in (MEMBER_REMOVAL, QUARANTINE) if self.grantor.must_wait(now, kind)]
        return {
            "node": self.replica.local_address,
            "roster": self.replica.state.epoch,
            "votes": self.grantor.view(now),
            "refused": self.grantor.rejections,
            "waits": waiting,
            "upkeep": {**self.outcomes, "held": self.holds()},
            "admissions": dict(self.replica.membership.joining.log.outcomes),
            "hinted_handoff": self.program.hinted_handoff.view(),
        }

    def _answer_view(self, call: HttpCall) -> None:
        self.program.operator.answer(call, 200, json.dumps(self.view()).encode())


def _check_names(*names: object) -> None:
    """Raises ValueError unless all are short strings."""
    if not all(isinstance(name, str) and len(name) <= MAX_NAME_LENGTH for name in names):
        raise ValueError(
            f"lease call: expected names of at most {MAX_NAME_LENGTH} characters, got another value"
        )


def _check_numbers(*numbers: object) -> None:
    """Raises ValueError unless all are integers."""
    if not all(type(number) is int for number in numbers):
        raise ValueError("lease call: expected integers, got another value")
