"""What operators are shown of the membership: who is behind, and how many losses it can bear right now."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from honeywharf.control.membership import SILENT_S

if TYPE_CHECKING:
    from honeywharf.control.mesh_state import Member
    from honeywharf.control.messages import Heartbeat
    from honeywharf.control.replica import Replica


def view(replica: Replica) -> dict[str, Any]:
    """The membership as this control node sees it, as JSON: each member with what keeps it from being
    current.

    `bearable-losses`: current members that may be lost at once with a majority of current ones left;
    `bearable-zones`: zones of which the same holds for all their members together.
    """
    members = replica.state.members
    faults = {member: _fault(replica, member) for member in members}
    current = [member for member, fault in faults.items() if not fault]
    majority = len(members) // 2 + 1
    zones = sorted({member.zone for member in members if member.zone})
    return {
        "node": replica.here,
        "epoch": replica.state.epoch,
        "majority": majority,
        "members": [
            {"address": member.address, "zone": member.zone, "disk": member.disk, "fault": fault}
            for member, fault in faults.items()
        ],
        "standbys": [
            {"address": standby.member.address, "zone": standby.member.zone}
            for standby in replica.upkeep.standbys.present(replica.host.now(), list(_keys(members)))
        ],
        "bearable-losses": max(0, len(current) - majority),
        "bearable-zones": [
            zone for zone in zones if sum(member.zone != zone for member in current) >= majority
        ],
    }


def _keys(members: tuple[Member, ...]) -> list[tuple[str, str]]:
    return [member.key for member in members]


def _fault(replica: Replica, member: Member) -> str:
    """What keeps a member from being current; empty where it is."""
    if member.key == replica.key:
        return _behind(replica, replica.upkeep.own())
    if member.key in replica.silent(SILENT_S):
        return "silent"
    heartbeat = replica.upkeep.heartbeats.get(member.key)
    return "not heard yet" if heartbeat is None else _behind(replica, heartbeat)


def _behind(replica: Replica, heartbeat: Heartbeat) -> str:
    known = replica.known
    if heartbeat.accepted < max(replica.upkeep.highest, replica.state.accepted):
        return "behind: it has not accepted the newest state"
    if known is not None and known.digest and heartbeat.digest != known.digest:
        return "behind: it has not told that it holds the newest configuration's text"
    return ""
