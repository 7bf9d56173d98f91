"""Build the request's path as C, with mypyc; where that is not to be had, the same code runs as it is.

`HONEYWHARF_PURE=1` leaves it as it is. What is compiled is what each request passes through and what holds no
class of the standard library's as a base; the rest gains nothing.
"""

import os
import sys
from concurrent.futures import Future, ThreadPoolExecutor
from glob import glob

from setuptools import setup
from setuptools.command.build_ext import build_ext

COMPILED = [
    *sorted(glob("honeywharf/limits/*.py")),
    *sorted(glob("honeywharf/terms/*.py")),
    *sorted(glob("honeywharf/policy/*.py")),
    *sorted(glob("honeywharf/reports/*.py")),
    *sorted(glob("honeywharf/flow/*.py")),
    "honeywharf/core/messages.py",
    "honeywharf/core/transport.py",
    "honeywharf/core/hooks.py",
    "honeywharf/core/turns.py",
    "honeywharf/core/exchange.py",
    "honeywharf/core/validation.py",
    "honeywharf/core/probes.py",
    "honeywharf/core/driver.py",
    "honeywharf/codecs/reader.py",
    "honeywharf/codecs/http1.py",
    "honeywharf/codecs/coap.py",
    "honeywharf/codecs/heads.py",
    "honeywharf/codecs/mesh.py",
    "honeywharf/orderkeys/table.py",
    "honeywharf/orderkeys/deduplicator.py",
    "honeywharf/traces/context.py",
    "honeywharf/traces/spans.py",
    "honeywharf/traces/sampler.py",
    "honeywharf/traces/recorder.py",
    *(path for path in sorted(glob("honeywharf/storms/*.py")) if not path.endswith("__init__.py")),
]


def extensions():
    """The modules to compile; none where mypyc is missing or refuses."""
    if os.environ.get("HONEYWHARF_PURE") == "1":
        return []
    try:
        from mypyc.build import mypycify

        made = mypycify(COMPILED, opt_level="3", debug_level="0", multi_file=True, group_name="honeywharf")
    except (ImportError, SystemExit) as fault:
        print(f"not compiled, the code runs as it is: {fault!r}", file=sys.stderr)
        return []
    for extension in made:
        extension.optional = True  # no compiler: build_ext says so and goes on
    return made


class BuildSideBySide(build_ext):
    """Compiles the files of an extension on all cores: there are 20 MB of C, in one file for each module."""

    def build_extensions(self):
        """Each file is compiled when its turn comes, and linking waits for all of them."""
        compile_one, link = self.compiler._compile, self.compiler.link_shared_object
        under_way: list[Future] = []

        def linked(*args, **named):
            while under_way:
                under_way.pop().result()
            return link(*args, **named)

        with ThreadPoolExecutor(os.cpu_count()) as pool:
            self.compiler._compile = lambda *args: under_way.append(pool.submit(compile_one, *args))
            self.compiler.link_shared_object = linked
            super().build_extensions()


setup(ext_modules=extensions(), cmdclass={"build_ext": BuildSideBySide})
