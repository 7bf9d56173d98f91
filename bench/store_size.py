"""What the register takes on a control machine's disk and in its messages, by the number of confirmed
changes.

    python -m bench.store_size [--changes 1,100,1000,2048,4200,1533000]

Makes a state of six members through so many changes of the configuration, as the register would, and prints
the bytes of its file, of a message that carries it, the milliseconds that a change takes with and without its
packing, and what a year of changes adds. No disk and no network is used.
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
TIMED = 200  # changes over which the time of one is taken


def changed(state: MeshState, version: int) -> MeshState:
    """After one more change."""
    made, _ = mesh_state.replace_configuration(version, f"{version * 2654435761:032x}")(state)
    assert made is not None
    return made


def after(changes: int) -> MeshState:
    """The state after so many changes; versions rise by three."""
    state = mesh_state.initial_state(
        mesh_state.initial_membership([f"10.0.0.{n}:7620" for n in range(MEMBERS)])
    )
    for number in range(changes):
        state = changed(state, 3 * number)
    return state


def timed_ms(state: MeshState, packed: bool) -> float:
    """Milliseconds that a change takes, mean."""
    ballot = ProposalNumber(1, "10.0.0.1:7620", 1)
    begun = time.process_time()
    for number in range(TIMED):
        made = changed(state, state.version + 1 + number)
        if packed:
            encode_register(AcceptorState("first", 1, made.members, ballot, ballot, made))
    return (time.process_time() - begun) * 1000.0 / TIMED


def row(changes: int) -> str:
    """One line of the table."""
    state = after(changes)
    ballot = ProposalNumber(1, "10.0.0.1:7620", 1)
    acceptor = AcceptorState("first", 1, state.members, ballot, ballot, state)
    message = msgpack.packb(messages.pack(Accept("first", acceptor.decided, ballot, state)))
    times = f"{timed_ms(state, False):.3f} {timed_ms(state, True):.3f}"
    return f"{changes:9} {len(state.history):6} {len(encode_register(acceptor)):8} {len(message):8} {times}"


def main(arguments: list[str]) -> int:
    """Print the table."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else "")
    parser.add_argument("--changes", default="1,100,1000,2048,4200")
    asked = parser.parse_args(arguments)
    print("  changes  kept   file B  message B  ms a change, with its packing")
    for changes in asked.changes.split(","):
        print(row(int(changes)), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
