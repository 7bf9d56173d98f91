#!/bin/sh
# Compiles the cases and their stand-ins, which use the standard library alone. The programs under test are
# those that the build line of deploy/system.toml lays.
set -eu
cd "$(dirname "$0")/.."
test -d target/deps/honeywharf || { echo "run the build line of deploy/system.toml first" >&2; exit 1; }
python3 -m py_compile review/harness.py review/*/case.py
