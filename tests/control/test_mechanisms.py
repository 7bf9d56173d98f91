"""Leaves out one mechanism of the control plane at a time; the scenario that needs it must fail."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from honeywharf.control import mesh_state, register
from honeywharf.control.contacts import ContactTracker
from honeywharf.control.joining import Joining
from honeywharf.control.membership import MembershipManager
from honeywharf.control.mesh_state import Confirmation, MeshState, Outcome
from honeywharf.control.operator_api import OperatorApi
from honeywharf.control.register_queues import ReadQueue
from honeywharf.control.standby import Handover
from honeywharf.sidecar.mesh_state import MeshStateReplica
from tests.control import test_cut_off, test_history, test_one_content, test_second_loss
from tests.sidecar import test_mesh_state

Patch = pytest.MonkeyPatch
Scenario = Callable[[], None]


def reads_local_state(patch: Patch) -> None:
    """A read is answered from the local state, without a majority."""

    def read(self: ReadQueue, timeout: float, done: Callable[[MeshState | None], None]) -> None:
        state = self.voter.state.value
        self.host.after(0.0, lambda: done(state))

    patch.setattr(ReadQueue, "read", read)
    patch.setattr(ContactTracker, "reaches_majority", lambda self: True)


def confirms_from_local_state(patch: Patch) -> None:
    """An order that is not above the locally known version is confirmed without a majority."""
    original = OperatorApi._replace

    def replace(self: OperatorApi, call: Any) -> None:
        state, checked = self.replica.known_state, self.check(call.body)
        if checked.is_ok() and state is not None and checked.unwrap().version <= state.version:
            self.answer(call, 200, b"{}")
        else:
            original(self, call)

    patch.setattr(OperatorApi, "_replace", replace)
    patch.setattr(ContactTracker, "reaches_majority", lambda self: True)


def waits_without_majority(patch: Patch) -> None:
    """A machine without a majority waits for the time-out of every call."""
    patch.setattr(ContactTracker, "reaches_majority", lambda self: True)


def completes_late_reads(patch: Patch) -> None:
    """A read that a stall has delayed is completed after its deadline."""

    def complete_all(self: ReadQueue, batch: Any, result: Any, value: Any) -> None:
        for request in batch:
            request.complete(result, value)

    patch.setattr(ReadQueue, "_complete", complete_all)


def starts_without_majority(patch: Patch) -> None:
    """A sidecar starts with the state that one control node knows."""
    original = MeshStateReplica.start

    def start(self: MeshStateReplica) -> None:
        core = self.control_nodes()[0]
        self.rpc_client.call(
            core, "word.known", None, 0.7, lambda value: self._majority_answered(core, value)
        )
        original(self)

    patch.setattr(MeshStateReplica, "start", start)


def keeps_no_version_history(patch: Patch) -> None:
    """Any content under a version up to the one in force is confirmed."""
    original = mesh_state.replace_configuration

    def replace(version: int, digest: str) -> mesh_state.Change:
        def change(state: MeshState) -> tuple[MeshState | None, Any]:
            if version > state.version:
                return original(version, digest)(state)
            return None, Confirmation(Outcome.CONFIRMED, version, digest, digest)

        return change

    patch.setattr(mesh_state, "replace_configuration", replace)


def keeps_only_the_version_in_force(patch: Patch) -> None:
    """An older version is rejected, as if it had never been confirmed."""
    original = mesh_state.replace_configuration

    def replace(version: int, digest: str) -> mesh_state.Change:
        def change(state: MeshState) -> tuple[MeshState | None, Any]:
            if version >= state.version:
                return original(version, digest)(state)
            return None, Confirmation(Outcome.CONFLICT, version, digest, "")

        return change

    patch.setattr(mesh_state, "replace_configuration", replace)


def leaves_without_handing_over(patch: Patch) -> None:
    """A member that shuts down keeps its place, and a standby waits until the member is unreachable."""
    patch.setattr(Handover, "begin", lambda self, timeout, done: done())


def joiners_grow_the_membership(patch: Patch) -> None:
    """A machine that should be a standby becomes a member."""
    original = mesh_state.admit

    def admit(joiner: Any, replaceable: Any) -> mesh_state.Change:
        def change(state: MeshState) -> tuple[MeshState | None, Any]:
            changed, answer = original(joiner, replaceable)(state)
            if answer is not mesh_state.Admission.STANDBY:
                return changed, answer
            members = (*state.members, joiner)
            return state.with_members(members, state.target_size), mesh_state.Admission.MEMBER

        return change

    def admit_at_once(self: Joining, args: Any, reply: Any, peer: Any) -> None:
        joiner = mesh_state.Member(*args[:4])
        if joiner.id not in mesh_state.member_ids(self.voter.state.members):
            change = mesh_state.admit(joiner, self.replacement.contacts.unreachable(1.0))
            self.changes.submit(
                change, 1.0, lambda result, outcome: self._answer_decided_membership(args, reply, peer)
            )
        else:
            self._answer_decided_membership(args, reply, peer)

    patch.setattr(mesh_state, "admit", admit)
    patch.setattr(Joining, "_admit", admit_at_once)


def votes_without_the_text(patch: Patch) -> None:
    """A joiner is admitted before it has accepted its admission, for which it needs the newest text."""
    patch.setattr(register, "newcomers", lambda base, proposal: ())


def leaves_the_last_write_open(patch: Patch) -> None:
    """A state that was accepted, but is not known to be committed, is not settled."""
    original = MembershipManager._catch_up

    def catch_up(self: MembershipManager) -> None:
        value = self.voter.state.value
        if value is None or value.revision <= self.known_state().revision:
            original(self)

    patch.setattr(MembershipManager, "_catch_up", catch_up)


def scenario(test: Callable[..., None], *rows: Any) -> Scenario:
    """Returns a scenario that runs a test with each of its rows of arguments."""

    def play() -> None:
        for row in rows or [()]:
            test(*row) if isinstance(row, tuple) else test(row)

    return play


LEFT_OUT: list[tuple[Callable[[Patch], None], Scenario]] = [
    (reads_local_state, scenario(test_cut_off.test_twenty_seconds_cut_off, "both")),
    (confirms_from_local_state, scenario(test_cut_off.test_twenty_seconds_cut_off, "in")),
    (waits_without_majority, scenario(test_cut_off.test_twenty_seconds_cut_off, "out")),
    (
        completes_late_reads,
        scenario(test_cut_off.test_a_read_that_a_freeze_delayed_past_its_deadline_is_not_answered),
    ),
    (
        starts_without_majority,
        scenario(test_mesh_state.test_without_a_majority_it_takes_nothing_however_long_it_waits),
    ),
    (
        keeps_no_version_history,
        scenario(test_one_content.test_of_two_contents_under_one_version_one_is_confirmed_and_read_back),
    ),
    (keeps_no_version_history, scenario(test_history.test_every_history_is_that_of_one_register, 3)),
    (reads_local_state, scenario(test_history.test_every_history_is_that_of_one_register, 3)),
    (
        keeps_only_the_version_in_force,
        scenario(
            test_one_content.test_an_order_whose_answer_was_lost_is_confirmed_by_any_machine_after_losses_and_changes
        ),
    ),
    (
        leaves_without_handing_over,
        scenario(test_second_loss.test_a_loss_right_after_a_planned_replacement, *test_second_loss.STEPS),
    ),
    (
        joiners_grow_the_membership,
        scenario(test_second_loss.test_a_loss_right_after_a_planned_replacement, *test_second_loss.STEPS),
    ),
    (votes_without_the_text, scenario(test_second_loss.test_a_joiner_has_no_vote_before_it_holds_the_text)),
    (
        leaves_the_last_write_open,
        scenario(test_second_loss.test_a_leaver_that_is_killed_while_it_hands_over, *test_second_loss.STEPS),
    ),
]


@pytest.mark.parametrize("left_out", range(len(LEFT_OUT)), ids=[patch.__name__ for patch, _ in LEFT_OUT])
def test_leaving_out_a_mechanism_fails_its_scenario(left_out: int, monkeypatch: Patch) -> None:
    leave_out, play = LEFT_OUT[left_out]
    leave_out(monkeypatch)
    with pytest.raises(AssertionError):
        play()
