"""The platform's entry: the proxy where no argument is given, else the command line, the mesh's apart."""

from __future__ import annotations

import sys


def main() -> int:
    """Exit status."""
    if len(sys.argv) == 1:
        from honeywharf.proxy import run_proxy

        return run_proxy()
    if sys.argv[1] == "mesh":
        from honeywharf.cli.mesh import main as mesh

        return mesh(sys.argv[2:])
    from honeywharf.cli import main as command

    command(prog_name="honeywharf")
    return 0


if __name__ == "__main__":
    sys.exit(main())
