"""Nothing of others is installed, started or looked for: what is met outside is in honeywharf/standins."""

from __future__ import annotations

import re
import subprocess
from pathlib import Path

ROOT = Path(__file__).parent.parent
#: In two halves, so that this file does not find itself.
NAMES = [
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
WHERE = (".ci", "bench", "tests", "honeywharf", "deploy", "README.md", "docs/operators", "setup.py")


def test_no_program_of_others_is_named_where_something_could_start_it() -> None:
    listed = subprocess.run(
        ["git", "ls-files", *WHERE], cwd=ROOT, capture_output=True, text=True, check=False
    ).stdout.split()
    files = [ROOT / name for name in listed] or [  # a copy without its history
        path
        for where in WHERE
        for path in ([ROOT / where] if (ROOT / where).is_file() else sorted((ROOT / where).rglob("*.*")))
        if path.suffix in (".py", ".sh", ".toml", ".md")
    ]
    assert len(files) > 50
    pattern = re.compile(rf"\b({'|'.join(map(re.escape, NAMES))})\b", re.I)
    assert pattern.search("starts " + NAMES[0])
    found = [
        (str(path), match[0])
        for path in files
        if path.exists() and path.suffix != ".so"
        for match in pattern.finditer(path.read_text("utf-8", "replace"))
    ]
    assert not found
