"""Each mechanism of the control plane left out, one at a time: the scenario that needs it finds that out."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from honeywharf.control import mesh_state
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


def answers_from_what_it_knows(patch: Patch) -> None:
    """A read is answered from this machine's own knowledge."""

    def read(self: ReadQueue, within: float, told: Callable[[MeshState | None], None]) -> None:
        state = self.voter.state.value
        self.host.after(0.0, lambda: told(state))

    patch.setattr(ReadQueue, "read", read)
    patch.setattr(ContactTracker, "reaches_majority", lambda self: True)


def confirms_what_it_knows(patch: Patch) -> None:
    """An order that is not above the version known here is confirmed without asking anybody."""
    right = OperatorApi._replace

    def replace(self: OperatorApi, call: Any) -> None:
        state, checked = self.replica.known_state, self.check(call.body)
        if checked.is_ok() and state is not None and checked.unwrap().version <= state.version:
            self.answer(call, 200, b"{}")
        else:
            right(self, call)

    patch.setattr(OperatorApi, "_replace", replace)
    patch.setattr(ContactTracker, "reaches_majority", lambda self: True)


def waits_although_alone(patch: Patch) -> None:
    """A machine that has lost its majority finds out anew with every call."""
    patch.setattr(ContactTracker, "reaches_majority", lambda self: True)


def tells_late_reads(patch: Patch) -> None:
    """What a standstill held up is told all the same."""

    def end(self: ReadQueue, batch: Any, result: Any, value: Any) -> None:
        for one in batch:
            one.complete(result, value)

    patch.setattr(ReadQueue, "_complete", end)


def starts_alone(patch: Patch) -> None:
    """A sidecar takes what one control node knows."""
    right = MeshStateReplica.start

    def start(self: MeshStateReplica) -> None:
        core = self.control_nodes()[0]
        self.rpc_client.call(
            core, "word.known", None, 0.7, lambda value: self._majority_answered(core, value)
        )
        right(self)

    patch.setattr(MeshStateReplica, "start", start)


def remembers_no_versions(patch: Patch) -> None:
    """Whatever is not above the version in force is confirmed."""
    right = mesh_state.replace_configuration

    def replace(version: int, digest: str) -> mesh_state.Change:
        def change(state: MeshState) -> tuple[MeshState | None, Any]:
            if version > state.version:
                return right(version, digest)(state)
            return None, Confirmation(Outcome.CONFIRMED, version, digest, digest)

        return change

    patch.setattr(mesh_state, "replace_configuration", replace)


def remembers_the_version_in_force_alone(patch: Patch) -> None:
    """What was overtaken is refused, as if it had never been confirmed."""
    right = mesh_state.replace_configuration

    def replace(version: int, digest: str) -> mesh_state.Change:
        def change(state: MeshState) -> tuple[MeshState | None, Any]:
            if version >= state.version:
                return right(version, digest)(state)
            return None, Confirmation(Outcome.CONFLICT, version, digest, "")

        return change

    patch.setattr(mesh_state, "replace_configuration", replace)


def leaves_without_handing_over(patch: Patch) -> None:
    """A member that ends keeps its place, and its standby waits until it is silent."""
    patch.setattr(Handover, "begin", lambda self, timeout, done: done())


def joiners_grow_the_membership(patch: Patch) -> None:
    """Who is not needed is a member all the same."""
    right = mesh_state.admit

    def admit(joiner: Any, silent: Any) -> mesh_state.Change:
        def change(state: MeshState) -> tuple[MeshState | None, Any]:
            made, answer = right(joiner, silent)(state)
            if answer is not mesh_state.Admission.STANDBY:
                return made, answer
            members = (*state.members, joiner)
            return state.with_members(members, state.target_size), mesh_state.Admission.MEMBER

        return change

    def admit_at_once(self: Joining, args: Any, reply: Any, peer: Any) -> None:
        joiner = mesh_state.Member(*args[:4])
        if joiner.id not in mesh_state.member_ids(self.voter.state.members):
            change = mesh_state.admit(joiner, self.contacts.unreachable(1.0))
            self.changes.submit(
                change, 1.0, lambda result, told: self._answer_decided_membership(args, reply, peer)
            )
        else:
            self._answer_decided_membership(args, reply, peer)

    patch.setattr(mesh_state, "admit", admit)
    patch.setattr(Joining, "_admit", admit_at_once)


def votes_without_the_text(patch: Patch) -> None:
    """A joiner is admitted before it holds the newest text."""
    patch.setattr(mesh_state, "require_text", lambda change, digest: change)


def leaves_the_last_round_open(patch: Patch) -> None:
    """A state that was accepted and never told to be committed stays so."""
    right = MembershipManager._catch_up

    def catch_up(self: MembershipManager) -> None:
        value = self.voter.state.value
        if value is None or value.revision <= self.known_state().revision:
            right(self)

    patch.setattr(MembershipManager, "_catch_up", catch_up)


def scenario(test: Callable[..., None], *rows: Any) -> Scenario:
    """A test as it stands, with each of its rows in turn."""

    def play() -> None:
        for row in rows or [()]:
            test(*row) if isinstance(row, tuple) else test(row)

    return play


LEFT_OUT: list[tuple[Callable[[Patch], None], Scenario]] = [
    (answers_from_what_it_knows, scenario(test_cut_off.test_twenty_seconds_cut_off, "both")),
    (confirms_what_it_knows, scenario(test_cut_off.test_twenty_seconds_cut_off, "in")),
    (waits_although_alone, scenario(test_cut_off.test_twenty_seconds_cut_off, "out")),
    (
        tells_late_reads,
        scenario(test_cut_off.test_a_read_that_a_freeze_held_up_is_not_told_when_its_time_is_over),
    ),
    (
        starts_alone,
        scenario(test_mesh_state.test_without_a_majority_it_takes_nothing_however_long_it_waits),
    ),
    (
        remembers_no_versions,
        scenario(test_one_content.test_of_two_contents_under_one_version_one_is_confirmed_and_read_back),
    ),
    (remembers_no_versions, scenario(test_history.test_every_history_is_that_of_one_register, 3)),
    (answers_from_what_it_knows, scenario(test_history.test_every_history_is_that_of_one_register, 3)),
    (
        remembers_the_version_in_force_alone,
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
        leaves_the_last_round_open,
        scenario(test_second_loss.test_a_leaver_that_is_killed_while_it_hands_over, *test_second_loss.STEPS),
    ),
]


@pytest.mark.parametrize("left_out", range(len(LEFT_OUT)), ids=[made.__name__ for made, _ in LEFT_OUT])
def test_a_mechanism_that_is_left_out_is_missed(left_out: int, monkeypatch: Patch) -> None:
    leave_out, play = LEFT_OUT[left_out]
    leave_out(monkeypatch)
    with pytest.raises(AssertionError):
        play()
