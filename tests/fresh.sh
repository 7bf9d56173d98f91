#!/bin/sh
# Lay an environment with README's first command, as a new user does, and run every command of --help in it.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
command=$(sed -n '/<!-- first command -->/,/```$/p' "$root/README.md" | sed -n '/^```sh$/,/^```$/p' | sed '1d;$d')
test -n "$command"
cp -R "$root/honeywharf" "$root/deploy" "$root"/requirements*.txt "$work"
find "$work/honeywharf" -name '*.so' -delete
cd "$work"
# The demo that it ends with is one of the commands that are run below.
sh -euc "${command% && *}"
cp "$root/tests/every_command.py" .
.venv/bin/python every_command.py
