"""What the parts of a control node's program see of it, so that none of them imports the program."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

if TYPE_CHECKING:
    from honeywharf.control.operator_api import OperatorApi
    from honeywharf.control.replica import Replica
    from honeywharf.gossip.membership import Membership
    from honeywharf.transport.host import Address, Host
    from honeywharf.transport.rpc_client import RpcClient


class StatisticsSource(Protocol):
    """A part that has figures for operators."""

    def view(self) -> dict[str, Any]:
        """The figures, as JSON holds them."""


class ControlProgram(Protocol):
    """A control node's program. `local_address`: its internal address."""

    host: Host
    replica: Replica
    caller: RpcClient
    operator: OperatorApi
    local_address: Address

    @property
    def membership(self) -> Membership | None:
        """Gossip, once it has begun."""

    @property
    def hinted_handoff(self) -> StatisticsSource:
        """Hinted handoff to members that are back."""
