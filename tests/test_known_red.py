"""The list of known failures names tests that exist, a cause and an issue, and is short."""

from __future__ import annotations

import pytest

from tests.known_red import MAX_KNOWN, ROOT, parse, read


def test_every_listed_test_stands_in_its_file() -> None:
    for failure in read():
        path, _, name = failure.test.partition("::")
        assert f"def {name.partition('[')[0]}(" in (ROOT / path).read_text("utf-8")


@pytest.mark.parametrize(
    "line", ["tests/a.py::test_b", "tests/a.py::test_b | cause", "tests/a.py::test_b | | issue 1"]
)
def test_a_line_that_lacks_a_part_is_no_line(line: str) -> None:
    with pytest.raises(ValueError, match=r"wanted `test \| cause \| issue`"):
        parse(line)


def test_the_list_is_short() -> None:
    line = "tests/a.py::test_b | cause | issue 1\n"
    assert len(parse(line * MAX_KNOWN)) == MAX_KNOWN
    with pytest.raises(ValueError, match=f"at most {MAX_KNOWN}"):
        parse(line * (MAX_KNOWN + 1))
