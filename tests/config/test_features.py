"""The file of features, and the commands that read it."""

from __future__ import annotations

import asyncio
import json
import subprocess
import sys
import tomllib
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner
from hypothesis import given, settings, strategies as st

from honeywharf import VERSION, limits
from honeywharf.cli import main
from honeywharf.config import features, key_positions
from honeywharf.proxy import Proxy
from tests.loopback import make_config, run

ROOT = Path(__file__).parent.parent.parent


def write(folder: Path, text: str) -> Path:
    path = folder / "features.toml"
    path.write_text(text)
    return path


def test_the_shipped_file_is_valid_and_equals_the_defaults() -> None:
    assert features.load(ROOT / "deploy" / "features.toml") == features.Features()


@pytest.mark.parametrize(
    ("text", "message"),
    [
        (
            "[limits]\nlimiter = 'red'",
            ":2:1: limits.limiter: expected one of lateness, open, formerly, gradient, vegas, aimd, codel,"
            " got 'red'",
        ),
        (
            "[limits]\n  limiter = 3",
            ":2:3: limits.limiter: expected one of lateness, open, formerly, gradient, vegas, aimd, codel,"
            " got 3",
        ),
        (
            "[limits]\nlimiters = 'aimd'",
            ":2:1: limits.limiters: expected one of limiter, got an unknown key",
        ),
        (
            "\n[limit]",
            ":2:1: limit: expected one of limits, order_keys, coap, storms, reports, traces, admin, metrics,"
            " log, got an unknown key",
        ),
        ("limits = 7", ":1:1: limits: expected a table, got 7"),
        ("[limits", ": not TOML: "),
        ("[traces]\nrate = 7", ":2:1: traces.rate: expected a number over 0 and at most 1, got 7"),
        (
            "traces = { keep = '', rate = 7 }",
            ":1:23: traces.rate: expected a number over 0 and at most 1, got 7",
        ),
        (
            "[traces]\nquantile = 1",
            ":2:1: traces.quantile: expected a number at least 0.5 and under 1, got 1",
        ),
        ("[traces]\nheld = 0", ":2:1: traces.held: expected a whole number at least 1, got 0"),
        ("[storms]\non = 1", ":2:1: storms.on: expected true or false, got 1"),
        ("[coap]\nlisten = true", ":2:1: coap.listen: expected text in quotes, got true"),
        (
            "[order_keys]\nkeep_ms = { a = -1 }",
            ":2:13: order_keys.keep_ms.a: expected a number over 0, got -1",
        ),
        (
            "[order_keys]\nalone = 'a'",
            ":2:1: order_keys.alone: expected a list, each item text in quotes, got 'a'",
        ),
        ("[order_keys]\nalone = [\n 'a', 7]", ":3:7: order_keys.alone[1]: expected text in quotes, got 7"),
        (
            "[order_keys.redis]\nprefix = ''",
            ":2:1: order_keys.redis.prefix: expected text in quotes of 1 to 64 characters, got ''",
        ),
        (
            "[traces]\npeers = ['a:1',\n'b']",
            ":3:1: traces.peers[1]: expected host:port, such as 127.0.0.1:4000, got 'b'",
        ),
        ("[coap]\nlisten = 'x'", ":2:1: coap.listen: expected host:port, such as 127.0.0.1:4000, got 'x'"),
    ],
)
def test_an_error_names_file_position_key_and_values(tmp_path: Path, text: str, message: str) -> None:
    path = write(tmp_path, text)
    with pytest.raises(features.FeaturesError) as caught:
        features.load(path)
    assert str(caught.value).startswith(f"{path}{message}")
    assert "\n" not in str(caught.value)


def test_a_missing_file_is_reported(tmp_path: Path) -> None:
    with pytest.raises(features.FeaturesError, match="No such file"):
        features.load_from_environment({"HONEYWHARF_FEATURES": str(tmp_path / "none.toml")})
    assert features.load_from_environment({}) is None


def test_every_limiter_can_be_configured(tmp_path: Path) -> None:
    for name in limits.LIMITERS:
        assert features.load(write(tmp_path, f"[limits]\nlimiter = '{name}'")).limits.limiter == name


def test_a_proxy_uses_the_configured_limiter(tmp_path: Path) -> None:
    async def build() -> str:
        loop = asyncio.get_running_loop()
        configured = features.load(write(tmp_path, "[limits]\nlimiter = 'aimd'"))
        assert Proxy(make_config(1, []), loop).balancer.admission.limiter == limits.DEFAULT
        return Proxy(make_config(1, []), loop, configured).balancer.admission.limiter

    assert run(build()) == "aimd"


def test_check_config_exits_with_2_for_an_invalid_file(tmp_path: Path) -> None:
    good, bad = ROOT / "deploy" / "features.toml", write(tmp_path, "[limits]\nlimiter = 'red'")
    assert CliRunner().invoke(main, ["check-config", str(good)]).exit_code == 0
    result = CliRunner().invoke(main, ["check-config", str(good), str(bad)])
    assert result.exit_code == 2
    assert "got 'red'" in result.output
    node = tmp_path / "node.json"
    node.write_text("{}")
    result = CliRunner().invoke(main, ["check-config", str(node)])
    assert result.exit_code == 2
    assert "settings: expected an object, got NoneType" in result.output


def test_all_errors_of_a_file_are_reported_at_once(tmp_path: Path) -> None:
    path = tmp_path / "f.toml"
    path.write_text(
        '[limits]\nlimiter = "loud"\n[storms]\non = 1\nrate = 2\n'
        "[order_keys.redis]\nwait_ms = -1.0\n[colour]\nx = 1\n"
    )
    result = CliRunner().invoke(main, ["check-config", str(path)])
    assert result.exit_code == 2
    lines = result.output.splitlines()
    assert [line.removeprefix(f"{path}:").split(": expected")[0] for line in lines] == [
        "2:1: limits.limiter",
        "4:1: storms.on",
        "5:1: storms.rate",
        "7:1: order_keys.redis.wait_ms",
        "8:1: colour",
    ]
    path.write_text('[traces]\nnotes = "nowhere"\npeers = ["a:1", "b"]\nkeep = "durations > 5"\n')
    value_errors = CliRunner().invoke(main, ["check-config", str(path)]).output
    assert value_errors.count("expected host:port") == 2
    assert (
        f"{path}:4:1: traces.keep: field: expected one of attempts, class, copied, duration, errors, failed,"
        " late, outcome, reason, refused, request, retried, served, server, slow, tenant, trace, zone,"
        " got 'durations'"
    ) in value_errors


@given(
    st.recursive(
        st.booleans() | st.integers(-9, 9) | st.text("ab #=[]{},.'\n", max_size=6) | st.floats(0, 9),
        lambda inner: (
            st.lists(inner, max_size=3) | st.dictionaries(st.text("ab-", min_size=1), inner, max_size=3)
        ),
        max_leaves=12,
    )
)
@settings(deadline=None, max_examples=60)
def test_every_value_has_the_position_of_its_key(value: Any) -> None:
    def to_toml(node: Any) -> str:
        if isinstance(node, dict):
            return "{ " + ", ".join(f'"{k}" = {to_toml(v)}' for k, v in node.items()) + " }"
        if isinstance(node, list):
            return "[\n" + "".join(f"  {to_toml(v)}, # {i}\n" for i, v in enumerate(node)) + "]"
        return json.dumps(node) if not isinstance(node, float) else f"{node:.3f}"

    def paths(node: Any, path_so_far: tuple[str | int, ...]) -> Iterator[tuple[str | int, ...]]:
        yield path_so_far
        inner = node.items() if isinstance(node, dict) else enumerate(node) if isinstance(node, list) else ()
        for key, child in inner:
            yield from paths(child, (*path_so_far, key))

    text = f"# first\n[t]\nkey = {to_toml(value)}\nlast = 1\n"
    assert tomllib.loads(text)["t"]["last"] == 1
    positions_by_path = key_positions.positions(text)
    lines = text.split("\n")
    assert positions_by_path[("t", "last")] == (len(lines) - 1, 1)
    for path in paths(value, ("t", "key")):
        line, column = positions_by_path[path]
        rest = lines[line - 1][column - 1 :]
        if isinstance(path[-1], str):  # The key as it is written.
            assert rest.startswith((path[-1], f'"{path[-1]}"'))


def test_version_and_the_list_of_commands() -> None:
    assert CliRunner().invoke(main, ["version"]).output == f"honeywharf {VERSION}\n"
    assert all(name in CliRunner().invoke(main, []).output for name in ("run", "demo", "check-config"))


def test_a_proxy_with_an_invalid_file_of_features_does_not_start(tmp_path: Path) -> None:
    conf = tmp_path / "node.json"
    conf.write_text("{}")
    bad = write(tmp_path, "[limits]\nlimiter = 'red'")
    done = subprocess.run(
        [sys.executable, "-m", "honeywharf", "run", "--features", str(bad)],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
        env={"NODE_CONFIG": str(conf), "PATH": "/usr/bin"},
    )
    assert done.returncode == 2
    assert done.stderr.startswith("honeywharf: ")


def test_a_proxy_without_features_imports_none_of_them() -> None:
    """A proxy without features saves memory by not importing click, msgspec, stand-ins and tomllib."""
    script = (
        "import sys, honeywharf.__main__; "
        "print([m for m in ('click', 'msgspec', 'tomllib', 'honeywharf.standins',"
        " 'honeywharf.config.features',"
        " 'honeywharf.orderkeys', 'honeywharf.coap', 'honeywharf.codecs.coap')"
        " if m in sys.modules])"
    )
    done = subprocess.run(
        [sys.executable, "-c", script], cwd=ROOT, capture_output=True, text=True, check=True
    )
    assert done.stdout == "[]\n"
