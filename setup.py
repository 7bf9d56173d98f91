"""Build the request's path as C, with mypyc; where that is not to be had, the same code runs as it is.

`HONEYWHARF_PURE=1` leaves it as it is. What is compiled is what each request passes through and what holds no
class of the standard library's as a base; the rest gains nothing.
"""

import os
import sys
from glob import glob

from setuptools import setup

COMPILED = [
    *sorted(glob("honeywharf/limits/*.py")), *sorted(glob("honeywharf/policy/*.py")),
    *sorted(glob("honeywharf/reports/*.py")),
    "honeywharf/core/messages.py", "honeywharf/core/transport.py", "honeywharf/core/driver.py",
    "honeywharf/codecs/http1.py", "honeywharf/codecs/coap.py", "honeywharf/orderkeys/table.py",
    "honeywharf/orderkeys/edge.py",
    "honeywharf/traces/context.py", "honeywharf/traces/spans.py", "honeywharf/traces/sampler.py",
    "honeywharf/traces/recorder.py",
    *(path for path in sorted(glob("honeywharf/storms/*.py")) if not path.endswith("__init__.py")),
]


def extensions():
    """The modules to compile; none where mypyc is missing or refuses."""
    if os.environ.get("HONEYWHARF_PURE") == "1":
        return []
    try:
        from mypyc.build import mypycify
        made = mypycify(COMPILED, opt_level="3", group_name="honeywharf")
    except (ImportError, SystemExit) as fault:
        print(f"not compiled, the code runs as it is: {fault!r}", file=sys.stderr)
        return []
    for extension in made:
        extension.optional = True  # no compiler: build_ext says so and goes on
    return made


setup(ext_modules=extensions())
