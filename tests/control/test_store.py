"""A power failure at every write, rename and removal leaves the old register or the new one."""

from __future__ import annotations

import zlib

import pytest

from honeywharf.control.acceptor import AcceptorState
from honeywharf.control.configuration_texts import ConfigurationTexts
from honeywharf.control.mesh_state import MeshState
from honeywharf.control.messages import ProposalNumber
from honeywharf.control.store import MAX_UNREFERENCED_TEXTS, REGISTER, REGISTER_NEW, Store
from honeywharf.transport.rpc_client import RpcClient
from tests.control.cluster import ControlCluster
from tests.control.virtual_network import Machine, PowerLostError, VirtualNetwork


def machine() -> Machine:
    return VirtualNetwork(1).machine("10.0.0.1")


def state(number: int) -> AcceptorState:
    value = MeshState(number, number, f"d{number}", {}, (), 1, 0)
    proposal = ProposalNumber(number, "p", 1)
    return AcceptorState("disk", 1, (), proposal, proposal, value)


def save_states(store: Store, saved: list[int]) -> None:
    """Saves texts and states; `saved` gets the numbers of the saved states."""
    for number in range(1, 7):
        store.put_text(f"d{number}", b"x" * (100 * number))
        store.save(state(number))
        saved.append(number)
        store.remove_unreferenced({f"d{number}"})


@pytest.mark.parametrize("torn", [False, True])
def test_power_lost_at_every_operation(torn: bool) -> None:
    undisturbed = machine()
    save_states(Store(undisturbed), [])
    assert undisturbed.disk.count > 18
    for at in range(1, undisturbed.disk.count + 1):
        host, saved = machine(), [0]
        Store(host).save(state(0))
        host.disk.fail_at, host.disk.torn = 2 + at, torn
        with pytest.raises(PowerLostError):
            save_states(Store(host), saved)
        again = Store(host)
        found = again.load()
        assert found is not None
        number = found.promised[0]
        assert number in (saved[-1], saved[-1] + 1)
        assert number == 0 or again.read_text(f"d{number}") == b"x" * (100 * number)


def test_damage_is_a_lost_register_and_a_missing_text() -> None:
    host = machine()
    store = Store(host)
    save_states(store, [])
    for name in (REGISTER, "config-d6"):
        data = bytearray(host.disk.files[name])
        data[len(data) // 2] ^= 1
        host.disk.files[name] = bytes(data)
    again = Store(host)
    assert again.load() is None
    assert not again.is_unused()
    assert again.read_text("d6") is None
    assert again.read_text("d5") == b"x" * 500
    assert REGISTER_NEW not in host.disk.files


def test_unreferenced_texts_are_removed_except_the_last() -> None:
    store = Store(machine())
    save_states(store, [])
    assert store.digests == [*[f"d{n}" for n in range(6 - MAX_UNREFERENCED_TEXTS, 6)], "d6"]
    with pytest.raises(ValueError, match="digest"):
        store.put_text("../register", b"")


def test_a_member_with_a_failing_disk_does_not_answer_and_recovers() -> None:
    cluster = ControlCluster(21)
    cluster.run(0.5)
    host = cluster.network.machines["10.0.0.2"]
    write = host.write

    def broken(name: str, data: bytes) -> None:
        raise OSError("no space")

    host.write = broken  # type: ignore[method-assign]
    promised = cluster.programs["10.0.0.2"].replica.state.promised
    first = cluster.replace("10.0.0.1", 1, "one")
    cluster.run(0.5)
    assert first.status == 200
    assert cluster.programs["10.0.0.2"].replica.state.promised == promised
    host.write = write  # type: ignore[method-assign]
    cluster.run(3.0)
    value = cluster.programs["10.0.0.2"].replica.state.value
    assert value is not None
    assert value.version == 1


def test_the_text_is_kept_compressed() -> None:
    cluster = ControlCluster(22)
    cluster.run(0.5)
    cluster.replace("10.0.0.1", 1, "same " * 10_000)
    cluster.run(0.5)
    files = cluster.network.machines["10.0.0.3"].disk.files
    (name,) = [name for name in files if name.startswith("config-")]
    assert len(files[name]) < 2000
    assert zlib.decompress(files[name][8:]).startswith(b"r1 same")


def test_a_text_that_was_fetched_keeps_its_name_over_a_loss_of_power() -> None:
    host = machine()
    texts = ConfigurationTexts(host, Store(host), RpcClient(host), list)
    texts.persist("d7", b"text")
    assert texts.store.has_text("d7")
    host.off(power=True, names_lost=True)
    again = Store(host)
    again.load()
    assert again.read_text("d7") == b"text"


def test_a_register_whose_rename_was_lost_is_recovered() -> None:
    host = machine()
    store = Store(host)
    store.save(state(1))
    store.save(state(2))
    host.disk.files[REGISTER_NEW] = host.disk.files.pop(REGISTER)
    found = Store(host).load()
    assert found is not None
    assert found.promised.counter == 2
    assert REGISTER in host.disk.files
    host.disk.files = {REGISTER_NEW: b"hwr1torn"}
    assert Store(host).load() is None


def test_a_damaged_register_is_replaced_by_a_complete_new_one() -> None:
    host = machine()
    store = Store(host)
    store.save(state(2))
    host.disk.files[REGISTER_NEW] = host.disk.files[REGISTER]
    host.disk.files[REGISTER] = host.disk.files[REGISTER][:-1] + b"?"
    found = Store(host).load()
    assert found is not None
    assert found.promised.counter == 2
