"""The frames, the validation and the import of the state that a process hands over."""

from __future__ import annotations

import contextlib
import json
from typing import Any

import pytest
from hypothesis import given, strategies as st

from honeywharf.handover import frames, learned_state, state
from honeywharf.handover.frames import FrameError, Kind
from honeywharf.policy import interface as api
from honeywharf.policy.balancer import Balancer
from tests.helpers import Driver, endpoint, make_settings

JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.integers(-9, 10**15)
    | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(max_size=8), inner, max_size=4),
    max_leaves=12,
)


@given(st.sampled_from(Kind), JSON)
def test_encoded_values_are_decoded_unchanged(kind: Kind, value: Any) -> None:
    assert frames.decode(b"".join(frames.encode(kind, value))) == (kind, json.loads(json.dumps(value)))


def test_a_long_value_is_split_into_frames_of_one_message_each() -> None:
    value = ["x" * 1000] * 200
    encoded_frames = list(frames.encode(Kind.STATE, value))
    assert len(encoded_frames) > 5
    assert max(len(p) for p in encoded_frames) <= frames.MAX_FRAME_BYTES
    reader = frames.Reader()
    assert [reader.feed(p) for p in encoded_frames][-1] == (Kind.STATE, value)
    with pytest.raises(ValueError, match="payload: expected at most 8388608 bytes"):
        list(frames.encode(Kind.STATE, "x" * frames.MAX_PAYLOAD_BYTES))
    endless = frames.Reader()
    for _ in range(frames.MAX_PAYLOAD_BYTES // (frames.MAX_FRAME_BYTES - frames.HEADER.size)):
        assert endless.feed(encoded_frames[0]) is None
    with pytest.raises(FrameError, match="expected at most 8388608 bytes, got more"):
        endless.feed(encoded_frames[0])


@given(st.data())
def test_a_changed_byte_or_truncated_data_is_always_detected(data: st.DataObject) -> None:
    encoded = b"".join(frames.encode(Kind.WORDS, {"out": {"s-1": 17.0}, "evacuated": False}))
    offset = data.draw(st.integers(0, len(encoded) - 1))
    # The flags of the header are not in the checksum; a set `FLAG_MORE` leaves the value incomplete.
    changed = bytearray(encoded)
    changed[offset] ^= data.draw(st.integers(1, 255))
    decoded = None
    with contextlib.suppress(FrameError):
        decoded = frames.decode(bytes(changed))
    assert decoded is None or (offset in (5, 6, 7) and decoded[1] == frames.decode(encoded)[1])
    with pytest.raises(FrameError):
        frames.decode(encoded[:offset])


@pytest.mark.parametrize(
    ("frame", "message"),
    [
        (b"", "header: expected 16 bytes, got 0"),
        (b"GET / HTTP/1.1\r\n\r\n", "magic: expected b'HWHO', got b'GET '"),
        (frames.HEADER.pack(b"HWHO", 2, 1, 0, 0, 0), "version: expected 1, got 2"),
        (frames.HEADER.pack(b"HWHO", 1, 99, 0, 0, 0), "kind: expected one of .*, got 99"),
        (frames.HEADER.pack(b"HWHO", 1, 1, 0, 5, 0), "payload: expected 5 bytes, got 0"),
        (
            frames.HEADER.pack(b"HWHO", 1, 1, 0, 1, 0) + b"x",
            "checksum: expected that of the payload, got another",
        ),
    ],
)
def test_an_invalid_frame_is_reported(frame: bytes, message: str) -> None:
    with pytest.raises(FrameError, match=message):
        frames.Reader().feed(frame)


def balancer_with_learned_state() -> Driver:
    """Returns a balancer that has learned response times and a limit, and has ejected an endpoint."""
    driver = Driver(make_settings(balancers=4))
    driver.now = 1e6
    driver.list([endpoint(n) for n in ("a1", "a2", "a3", "a4")] + [endpoint("b1", "b")])
    for i in range(200):
        for action in driver.request():
            if isinstance(action, api.Send):
                bad = action.endpoint == "a1"
                driver.end(
                    api.Outcome.RESET if bad else api.Outcome.OK,
                    request_over=True,
                    after_ms=1.0 if bad else 40.0 + i % 7,
                )
    return driver


def test_a_new_balancer_imports_what_the_old_one_has_learned() -> None:
    old = balancer_with_learned_state()
    exported = json.loads(json.dumps(learned_state.export_learned_state(old.balancer)))
    new = Driver(make_settings(balancers=4))
    new.now = old.now + 50.0
    new.list([endpoint(n) for n in ("a1", "a2", "a3", "a4")] + [endpoint("b1", "b")])
    assert learned_state.import_learned_state(new.balancer, new.now, exported) >= 3
    assert learned_state.export_learned_state(new.balancer)["typical"] == exported["typical"]
    assert learned_state.export_learned_state(new.balancer)["zones"] == exported["zones"]
    ejected = {n for n, s in old.balancer.endpoints.servers.items() if s.ejected_until > new.now}
    assert (
        ejected
        == {"a1"}
        == {n for n, s in new.balancer.endpoints.servers.items() if s.ejected_until > new.now}
    )
    assert "a1" not in new.fill(50)
    other = Driver(make_settings(balancers=4))
    other.now = new.now
    other.list([endpoint("a1", started_ms=new.now - 1.0), endpoint("a2")])  # a1 has restarted.
    learned_state.import_learned_state(other.balancer, other.now, exported)
    assert other.balancer.endpoints.servers["a1"].ejected_until == 0.0


def test_a_new_balancer_delays_cold_servers_no_longer_than_the_old_one() -> None:
    """Guards against a delay that was computed before the response rate was imported."""
    old = balancer_with_learned_state()
    exported = json.loads(json.dumps(learned_state.export_learned_state(old.balancer)))
    new = Driver(make_settings(balancers=4))
    new.now = old.now + 50.0
    new.list([endpoint("a5", started_ms=new.now), *(endpoint(n) for n in ("a2", "a3", "a4"))])
    cold = new.balancer.endpoints.servers["a5"]
    usual, unknown = (d.balancer.endpoints.spacing(new.now, cold) for d in (old, new))
    assert 3.0 * usual < unknown
    cold.next_send_ms = new.now + unknown
    learned_state.import_learned_state(new.balancer, new.now, exported)
    assert cold.next_send_ms <= new.now + 1.5 * usual


def key_paths(value: Any, path: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    paths = [path] if path else []
    items = value.items() if isinstance(value, dict) else ()
    for key, inner in items:
        paths += key_paths(inner, (*path, key))
    return paths


EXPORTED = json.loads(json.dumps(learned_state.export_learned_state(balancer_with_learned_state().balancer)))
REPLACEMENTS = st.sampled_from([None, -1, 0, 1e30, 1e12, "x", [], {}, True, [1], {"a": 1}])


@given(st.sampled_from(key_paths(EXPORTED)), REPLACEMENTS)
def test_an_invalid_state_leaves_the_balancer_able_to_decide(path: tuple[Any, ...], replacement: Any) -> None:
    exported = json.loads(json.dumps(EXPORTED))
    inner = exported
    for key in path[:-1]:
        inner = inner[key]
    inner[path[-1]] = replacement
    new = Driver(make_settings(balancers=4))
    new.now = 1e6 + 20000.0
    new.list([endpoint(n) for n in ("a1", "a2", "a3", "a4")])
    learned_state.import_learned_state(new.balancer, new.now, exported)
    assert sum(new.fill(20).values()) >= 1
    assert all(
        s.ejected_until <= new.now + learned_state.MAX_REMAINING_EJECTION_MS
        for s in new.balancer.endpoints.servers.values()
    )
    assert 0.0 <= new.balancer.budget.tokens <= 5.0
    for zone in new.balancer.endpoints.zones.values():
        assert 0.0 < zone.limiter.limit < float("inf")


@pytest.mark.parametrize("value", [None, 7, [], {}, {"evacuated": 1}, {"evacuated": True, "at": "now"}])
def test_an_invalid_operator_state_is_ignored(value: Any) -> None:
    assert state.parse_operator_state(value) is None


def test_the_operator_state_is_bounded_and_validated() -> None:
    operator_state = state.parse_operator_state(
        {"evacuated": False, "at": 5, "out": {"a": 1, "": 2, "b": "x", "c": -1, "d" * 300: 3}, "back": [1]}
    )
    assert operator_state is not None
    assert (operator_state.excluded_ms, operator_state.included_ms, operator_state.evacuated_ms) == (
        {"a": 1.0},
        {},
        5.0,
    )
    assert state.parse_ids(["a", 3, "", "b"]) == ["a", "b"]
    assert state.parse_newer_list({"generation": 3, "instances": []}, 3) is None
    assert state.parse_newer_list({"generation": 4, "instances": []}, 3) is not None
    assert state.parse_newer_list({"generation": True, "instances": []}, 0) is None


def test_an_invalid_learned_state_imports_nothing() -> None:
    balancer = Balancer(make_settings(), 7)
    assert [learned_state.import_learned_state(balancer, 1.0, x) for x in (None, 3, {}, {"zones": 1})] == [
        0,
        0,
        0,
        0,
    ]


def test_two_processes_together_respect_the_limit_of_one() -> None:
    """Guards against a handover that doubles the load of the backends for some seconds."""
    driver = Driver(make_settings(balancers=4, zones=1))
    driver.list([endpoint("a1"), endpoint("a2")])
    driver.settle()

    def accepted() -> int:
        return sum(isinstance(a, api.Send) for _ in range(40) for a in driver.request())

    alone = accepted()
    other = Driver(make_settings(balancers=4, zones=1))
    other.list([endpoint("a1"), endpoint("a2")])
    other.settle()
    other.feed(api.CallsBeside({"a": alone}))
    driver = other
    assert accepted() <= 1  # A balancer at its limit may accept one more by chance.
    other.feed(api.CallsBeside({}))
    assert accepted() >= alone - 1
    assert state.parse_calls({"a": 2, "b": -1, "c": True, 3: 4, "d": "x"}) == {"a": 2}
    assert state.parse_calls([1]) == {}
