"""No third-party program is installed, started or searched for: honeywharf/standins replaces them."""

from __future__ import annotations

import re
import subprocess
from pathlib import Path

ROOT = Path(__file__).parent.parent
#: Split, so that the search does not match this file.
PROGRAM_NAMES = [
    a + b
    for a, b in (
        ("redis", "-server"),
        ("redis", "-cli"),
        ("val", "key"),
        ("ha", "proxy"),
        ("ng", "inx"),
        ("w", "rk"),
        ("lib", "coap"),
        ("coap", "-client"),
        ("coap", "-server"),
        ("en", "voy"),
        ("doc", "ker"),
        ("pod", "man"),
        ("kube", "ctl"),
        ("mini", "kube"),
        ("et", "cd"),
        ("con", "sul"),
        ("keep", "alived"),
        ("apt", "-get"),
    )
]
SEARCHED_PATHS = (".ci", "bench", "tests", "honeywharf", "deploy", "README.md", "docs/operators", "setup.py")


def test_no_third_party_program_is_named_where_it_could_be_started() -> None:
    listed = subprocess.run(
        ["git", "ls-files", *SEARCHED_PATHS], cwd=ROOT, capture_output=True, text=True, check=False
    ).stdout.split()
    files = [ROOT / name for name in listed] or [  # A copy without git history.
        path
        for searched in SEARCHED_PATHS
        for path in (
            [ROOT / searched] if (ROOT / searched).is_file() else sorted((ROOT / searched).rglob("*.*"))
        )
        if path.suffix in (".py", ".sh", ".toml", ".md")
    ]
    assert len(files) > 50
    pattern = re.compile(rf"\b({'|'.join(map(re.escape, PROGRAM_NAMES))})\b", re.I)
    assert pattern.search("starts " + PROGRAM_NAMES[0])
    found = [
        (str(path), match[0])
        for path in files
        if path.exists() and path.suffix != ".so"
        for match in pattern.finditer(path.read_text("utf-8", "replace"))
    ]
    assert not found
