"""What operators are shown of the membership: who is behind, and how many losses it can bear right now."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from honeywharf.control.contacts import UNREACHABLE_S
from honeywharf.control.mesh_state import member_ids

if TYPE_CHECKING:
    from honeywharf.control.mesh_state import Member
    from honeywharf.control.messages import Heartbeat
    from honeywharf.control.replica import Replica


def members_view(replica: Replica) -> dict[str, Any]:
    """The membership as this control node sees it, as JSON: each member with why it is not current.

    `bearable-losses`: current members that may be lost at once with a majority of current ones left;
    `bearable-zones`: zones of which the same holds for all their members together.
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
    """What keeps a member from being current; empty where it is. The words are shown to operators."""
    if member.id == replica.member_id:
        return _lag(replica, replica.membership.own_heartbeat())
    if member.id in replica.unreachable_members(UNREACHABLE_S):
        return "silent"
    heartbeat = replica.membership.contacts.heartbeats.get(member.id)
    return "not heard yet" if heartbeat is None else _lag(replica, heartbeat)


def _lag(replica: Replica, heartbeat: Heartbeat) -> str:
    """What a machine that has sent a heartbeat lacks; empty for nothing."""
    known = replica.known_state
    if heartbeat.accepted < max(replica.membership.highest_accepted, replica.state.accepted):
        return "behind: it has not accepted the newest state"
    if known is not None and known.digest and heartbeat.digest != known.digest:
        return "behind: it has not told that it holds the newest configuration's text"
    return ""
