"""The program's entry point: the proxy if no argument is given, else the command line."""

from __future__ import annotations

import sys


def main() -> int:
    """Runs the program. Returns the exit status."""
    if len(sys.argv) == 1:
        from honeywharf.proxy import run_proxy

        return run_proxy()
    from honeywharf.cli import main as command

    command(prog_name="honeywharf")
    return 0


if __name__ == "__main__":
    sys.exit(main())
