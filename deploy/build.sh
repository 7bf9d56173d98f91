#!/bin/sh
# Lay the environment in .venv and install honeywharf there, compiled where a C compiler is at hand.
# Does nothing where the sources are those that were installed last.
set -eu
cd "$(dirname "$0")/.."
sources=$(cat setup.py pyproject.toml requirements.txt requirements-build.txt deploy/build.sh \
    $(find honeywharf -name '*.py' | LC_ALL=C sort) | sha256sum)
if [ "$(cat .venv/honeywharf.sources 2>/dev/null)" = "$sources" ]; then
    exit 0
fi
test -x .venv/bin/python || python3 -m venv .venv
.venv/bin/pip -q install -r requirements.txt -r requirements-build.txt
work=$(mktemp -d)  # setuptools reuses what it finds in a folder: guards against code of an earlier build
trap 'rm -rf "$work"' EXIT
cp -R honeywharf setup.py pyproject.toml README.md LICENSE "$work"
rm -rf .venv/lib/python3*/site-packages/honeywharf*
.venv/bin/pip -q install --no-deps --no-build-isolation --force-reinstall "$work" ||
    HONEYWHARF_PURE=1 .venv/bin/pip -q install --no-deps --no-build-isolation --force-reinstall "$work"
for folder in honeywharf .venv/lib/python3*/site-packages/honeywharf; do
    .venv/bin/python -m compileall -q "$folder"
done
printf '%s\n' "$sources" > .venv/honeywharf.sources
