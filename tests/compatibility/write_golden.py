"""Rewrites the golden files from the current code. To be run only for an intended change of a format.

PYTHONHASHSEED=0 python -m tests.compatibility.write_golden
"""

from __future__ import annotations

import json
from pathlib import Path

from honeywharf.lab.results import Results
from tests.compatibility import message_shapes, stored_disks
from tests.compatibility.golden_messages import GOLDEN
from tests.compatibility.stored_disks import DISKS

FOLDER = stored_disks.GOLDEN
MESSAGES, SHAPES, LABORATORY = FOLDER / "messages.json", FOLDER / "shapes.json", FOLDER / "laboratory.sqlite"
LABORATORY_CODE = "0123456789ab"
LABORATORY_ROWS = (
    ("cell-1", "aims", {"limiter": "lateness", "load": "1.2"}, 7, {"score": 0.75, "rules": []}),
    ("cell-2", "aims", {"limiter": "vegas", "load": "1.2"}, 7, {"score": 0.5, "rules": ["LATE"]}),
)


def write_laboratory(path: Path) -> None:
    """Writes a file of the laboratory's results."""
    results = Results(path, code=LABORATORY_CODE)
    for row in LABORATORY_ROWS:
        results.add(*row)
    results.database.close()


def main() -> None:
    """Writes all golden files."""
    FOLDER.mkdir(exist_ok=True)
    texts = {name: golden.build().hex() for name, golden in GOLDEN.items()}
    MESSAGES.write_text(json.dumps(texts, indent=1) + "\n")
    SHAPES.write_text(json.dumps(message_shapes.record(), indent=1) + "\n")
    for ip, files in stored_disks.play().items():
        (DISKS / ip).mkdir(parents=True, exist_ok=True)
        for name, data in files.items():
            (DISKS / ip / name).write_bytes(data)
    LABORATORY.unlink(missing_ok=True)
    write_laboratory(LABORATORY)


if __name__ == "__main__":
    main()
