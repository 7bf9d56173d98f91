"""The operators' view of the membership: members that are behind, and the losses that it can tolerate now."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from honeywharf.control.contacts import UNREACHABLE_AFTER_S
from honeywharf.control.mesh_state import member_ids

if TYPE_CHECKING:
    from honeywharf.control.mesh_state import Member
    from honeywharf.control.messages import Heartbeat
    from honeywharf.control.replica import Replica


def members_view(replica: Replica) -> dict[str, Any]:
    """Returns the membership as this control node sees it, as JSON: each member with its fault, if any.

    `bearable-losses` is the number of current members that may fail at once while a majority of current
    members remains; `bearable-zones` are the zones whose members may all fail at once under the same
    condition.
    """
    members = replica.state.members
    faults = {member: _fault(replica, member) for member in members}
    current = [member for member, fault in faults.items() if not fault]
    majority = len(members) // 2 + 1
    zones = sorted({member.zone for member in members if member.zone})
    standbys = replica.membership.standbys.present(replica.host.now(), member_ids(members))
    return {
        "node": replica.local_address,
        "epoch": replica.state.epoch,
        "majority": majority,
        "members": [
            {"address": member.address, "zone": member.zone, "disk": member.disk, "fault": fault}
            for member, fault in faults.items()
        ],
        "standbys": [
            {"address": standby.member.address, "zone": standby.member.zone} for standby in standbys
        ],
        "bearable-losses": max(0, len(current) - majority),
        "bearable-zones": [
            zone for zone in zones if sum(member.zone != zone for member in current) >= majority
        ],
    }


def _fault(replica: Replica, member: Member) -> str:
    """Returns why a member is not current; empty if it is. The text is shown to operators."""
    if member.id == replica.member_id:
        return _lag(replica, replica.membership.own_heartbeat())
    if member.id in replica.unreachable_members(UNREACHABLE_AFTER_S):
        return "silent"
    heartbeat = replica.membership.contacts.heartbeats.get(member.id)
    return "not heard yet" if heartbeat is None else _lag(replica, heartbeat)


def _lag(replica: Replica, heartbeat: Heartbeat) -> str:
    """Returns what a machine that has sent a heartbeat has not caught up with; empty if it is current."""
    known = replica.known_state
    if heartbeat.accepted < max(replica.membership.highest_accepted, replica.state.accepted):
        return "behind: it has not accepted the newest state"
    if known is not None and known.digest and heartbeat.digest != known.digest:
        return "behind: it has not told that it holds the newest configuration's text"
    return ""
