"""How a program of the mesh starts: the settings that its environment names, or a line on what is wrong."""

from __future__ import annotations

import os
import sys

TYPE_CHECKING = False
if TYPE_CHECKING:
    from honeywharf.mesh_config.settings import Settings

VARIABLE = "HONEYWHARF_SETTINGS"


def load_settings(default: str = "") -> Settings | None:
    """The settings; None where they can't be used, after one line on standard error.

    `default`: the path where the environment names none; empty: it must name one.
    """
    from honeywharf.mesh_config.settings import SettingsError, load

    path = os.environ.get(VARIABLE, default)
    if not path:
        sys.stderr.write(f"found no {VARIABLE}, wanted the path of a settings file\n")
        return None
    try:
        return load(path)
    except (OSError, SettingsError) as fault:
        sys.stderr.write(f"{fault}\n")
        return None
