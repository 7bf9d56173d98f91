"""Names of the remote calls between the mesh's processes, as they appear on the wire.

Both builds of a rolling upgrade use these names, so a value never changes; a call whose arguments change gets
a new name. Each comment names the caller, the callee, the arguments and the answer. A callee that cannot
serve the call answers `None`, and so does a failed call (`transport.rpc_client`).
"""

from __future__ import annotations

#: Control node to control node: `control.messages.Heartbeat`, answered with the callee's heartbeat.
HEARTBEAT = "ping"
#: Control node to control node: `[packed request, configuration text or nil]`, answered with a packed answer.
REGISTER_REQUEST = "register.ask"
#: Control node to control node: the committed public mesh state, answered with true.
STATE_COMMITTED = "register.learn"
#: Control node to control node: no arguments, answered with the decided membership.
DECIDED_MEMBERSHIP = "register.roster"
#: Control node to control node: `[address, disk, zone, initial, digest]`, answered with the decided
#: membership.
ADMIT_MEMBER = "register.admit"

#: Member to member: `[epoch, seconds]`, for which the callee starts no changes but those of the membership (0
#: ends this), answered with true.
CLAIM_PRECEDENCE = "register.precedence"

#: Any process to a control node: no arguments, answered with the mesh state that a majority has accepted.
READ_STATE = "word.read"
#: Any process to any process: no arguments, answered with the committed mesh state that the callee knows.
KNOWN_STATE = "word.known"
#: Any process to any process: a digest, answered with the configuration's compressed text.
CONFIGURATION_TEXT = "word.body"

#: Any process to a control node: `[kind, scope, slot, holder, number, epoch, disk]`, answered with `[answer,
#: number]`.
LEASE_REQUEST = "lease.ask"
#: Any process to a control node: `[kind, scope, slot, holder, number, disk]`, answered with true.
LEASE_RELEASE = "lease.free"

#: Control node to a member that has returned: the public mesh state that it missed, answered with true.
HINTED_HANDOFF = "hinted_handoff.hand"

#: Sidecar to a control node: `[node, pairs of a backend's key and a call sequence]`, answered with true.
RECORD_DEPARTURES = "departures.record"
#: Any process to a sidecar: departures of its backend that its gossip entry lacks, answered with true.
DEPARTURES_MISSED = "departures.notify"

#: Sidecar to a control node: `[node, seconds, way, cause, revision]`, answered with true.
DRIFT_REPORT = "drift.slip"
#: Control node to a sidecar: no arguments, answered with the sidecar's view of its own drift.
DRIFT_VIEW = "drift.view"
#: Control node to control node: `[disk, highest accepted number]`, answered whether the callee's register
#: is older.
REGISTER_WENT_BACK = "drift.older"
