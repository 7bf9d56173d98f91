"""The example in README.md runs unchanged."""

from __future__ import annotations

import re
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent


def test_the_example_runs_and_serves() -> None:
    text = (ROOT / "README.md").read_text()
    (code,) = re.findall(r"```python\n(.*?)```", text, re.S)
    result = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, timeout=120, check=False
    )
    assert result.returncode == 0, result.stderr
    lines = result.stdout.splitlines()
    assert lines
    assert all(line in ("send to n1", "send to n2") for line in lines)
    assert len(set(lines)) == 2  # the second attempt avoids the endpoint of the first
