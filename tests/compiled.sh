#!/bin/sh
# Run the tests once more on a compiled copy of the tree: what deploy/build.sh installs is tested, too.
set -eu
cd "$(dirname "$0")/.."
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
if [ -e KNOWN-RED.txt ]; then cp KNOWN-RED.txt "$copy"; fi
cp -R bench deploy docs honeywharf tests setup.py pyproject.toml README.md LICENSE "$copy"
pure=$PWD
cd "$copy"
python setup.py -q build_ext --inplace >build.log 2>&1 || { cat build.log; exit 1; }
python - <<'EOF'
from honeywharf import limits, policy
from honeywharf.codecs import http1, mesh
from honeywharf.core import driver, exchange, messages, probes, transport, validation
from honeywharf.orderkeys import deduplicator, table
from honeywharf.limits import zone
from honeywharf.policy import balancer, choice, endpoints, health, interface
from honeywharf.terms import site
for module in (
        policy, balancer, choice, endpoints, health, interface, limits, zone, site, http1, mesh, driver, messages,
        transport, deduplicator, table, exchange, validation, probes):
    assert module.__file__.endswith(".so"), f"{module.__name__} is not compiled"
EOF
# Of the mesh only what passes through its compiled readers: the rest runs as it does from the sources.
alike=$(printf ' --ignore=tests/%s' drift monitor simulation failure_detector sessions control node gossip mesh_config admission)
# shellcheck disable=SC2086
HONEYWHARF_PURE_TREE=$pure python -m pytest -m "not pure and not model and not exclusive" $alike "$@"
# shellcheck disable=SC2086
HONEYWHARF_PURE_TREE=$pure python -m pytest -m "exclusive and not pure and not model" -n 0 $alike "$@"
