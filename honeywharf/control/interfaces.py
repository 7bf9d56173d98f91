"""Interfaces of a control node's program for its parts, so that none of them imports the program."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

if TYPE_CHECKING:
    from honeywharf.control.operator_api import OperatorApi
    from honeywharf.control.replica import Replica
    from honeywharf.gossip.membership import Membership
    from honeywharf.transport.host import Address, Host
    from honeywharf.transport.rpc_client import RpcClient


class StatisticsSource(Protocol):
    """A part of the program that reports statistics to operators."""

    def view(self) -> dict[str, Any]:
        """Returns the statistics as a JSON object."""


class ControlProgram(Protocol):
    """A control node's program. `local_address` is its internal address."""

    host: Host
    replica: Replica
    caller: RpcClient
    operator: OperatorApi
    local_address: Address

    @property
    def membership(self) -> Membership | None:
        """Returns the gossip membership, once gossip has started."""

    @property
    def hinted_handoff(self) -> StatisticsSource:
        """Returns the statistics of the hinted handoff to returned members."""
