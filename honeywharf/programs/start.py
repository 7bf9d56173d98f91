"""Loads the settings of a program of the mesh from the file that its environment names."""

from __future__ import annotations

import os
import sys

TYPE_CHECKING = False
if TYPE_CHECKING:
    from honeywharf.mesh_config.settings import Settings

SETTINGS_VARIABLE = "HONEYWHARF_SETTINGS"


def load_settings(default: str = "") -> Settings | None:
    """Returns the settings; None, after one line on standard error, if they cannot be used.

    `default` is the path to use if the environment names none. If it is empty, the environment must name one.
    """
    from honeywharf.mesh_config.settings import SettingsError, load

    path = os.environ.get(SETTINGS_VARIABLE, default)
    if not path:
        sys.stderr.write(f"{SETTINGS_VARIABLE}: expected the path of a settings file, got nothing\n")
        return None
    try:
        return load(path)
    except (OSError, SettingsError) as fault:
        sys.stderr.write(f"{fault}\n")
        return None
