#!/usr/bin/env bash
# Builds what the cases of the third sitting start beside the programs of the deploy file. Their stand-ins (review/lib-2) are Python without
# dependencies, so there is nothing to compile; this checks that they can be loaded.
set -euo pipefail
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 -c 'import sys; sys.path.insert(0, "lib-2"); import lab'
echo "review/build-2.sh: stand-ins can be loaded"
