"""What the parts of a control node's program are given of it, so that none of them knows the program."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

if TYPE_CHECKING:
    from honeywharf.control.operator import Operator
    from honeywharf.control.replica import Replica
    from honeywharf.gossip.membership import Membership
    from honeywharf.transport.host import Address, Host
    from honeywharf.transport.rpc import Caller


class Viewed(Protocol):
    """A part that has figures for operators."""

    def view(self) -> dict[str, Any]:
        """The figures, as JSON holds them."""


class ControlParts(Protocol):
    """A control node's program. `here`: its internal address; `membership`: of gossip, once it has begun."""

    host: Host
    replica: Replica
    caller: Caller
    operator: Operator
    here: Address

    @property
    def membership(self) -> Membership | None:
        """Gossip, once it has begun."""

    @property
    def handing(self) -> Viewed:
        """Hinted handoff."""
