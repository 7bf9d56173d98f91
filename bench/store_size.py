"""Size of the register on a control machine's disk and in its messages, by number of changes.

    python -m bench.store_size [--changes 1,100,1000,2048,4200,1533000]

Applies changes of the configuration to a state of six members and prints for each number of changes the
length of the version history, the bytes of the file and of a message with the state, and the milliseconds of
one change without and with encoding. No disk and no network is used.
"""

from __future__ import annotations

import argparse
import sys
import time

import msgpack  # type: ignore[import-untyped]

from honeywharf.control import mesh_state, messages
from honeywharf.control.acceptor import AcceptorState
from honeywharf.control.mesh_state import MeshState
from honeywharf.control.messages import Accept, ProposalNumber
from honeywharf.control.store import encode_register

MEMBERS = 6
TIMED_CHANGES = 200  # Number of changes over which the mean duration is taken.


def apply_change(state: MeshState, version: int) -> MeshState:
    """Returns the state after one more change."""
    new_state, _ = mesh_state.replace_configuration(version, f"{version * 2654435761:032x}")(state)
    assert new_state is not None
    return new_state


def state_after(changes: int) -> MeshState:
    """Returns the state after some changes, whose versions rise by three."""
    state = mesh_state.initial_state(
        mesh_state.initial_membership([f"10.0.0.{n}:7620" for n in range(MEMBERS)])
    )
    for number in range(changes):
        state = apply_change(state, 3 * number)
    return state


def change_duration_ms(state: MeshState, with_encoding: bool) -> float:
    """Returns the mean duration of a change in milliseconds."""
    proposal = ProposalNumber(1, "10.0.0.1:7620", 1)
    started_at = time.process_time()
    for number in range(TIMED_CHANGES):
        new_state = apply_change(state, state.version + 1 + number)
        if with_encoding:
            encode_register(AcceptorState("first", 1, new_state.members, proposal, proposal, new_state))
    return (time.process_time() - started_at) * 1000.0 / TIMED_CHANGES


def format_row(changes: int) -> str:
    """Returns one line of the table."""
    state = state_after(changes)
    proposal = ProposalNumber(1, "10.0.0.1:7620", 1)
    acceptor = AcceptorState("first", 1, state.members, proposal, proposal, state)
    message = msgpack.packb(messages.pack(Accept("first", acceptor.decided, proposal, state)))
    times = f"{change_duration_ms(state, False):.3f} {change_duration_ms(state, True):.3f}"
    return f"{changes:9} {len(state.history):6} {len(encode_register(acceptor)):8} {len(message):8} {times}"


def main(arguments: list[str]) -> int:
    """Prints the table."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else "")
    parser.add_argument("--changes", default="1,100,1000,2048,4200")
    options = parser.parse_args(arguments)
    print("  changes  kept   file B  message B  ms a change, with its packing")
    for changes in options.changes.split(","):
        print(format_row(int(changes)), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
