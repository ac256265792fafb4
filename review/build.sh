#!/usr/bin/env bash
# The stand-ins of the cases are in Python and need no build: checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m py_compile lib/*.py */case.py ../tools/lib/fleet.py ../tools/lib/platform_standins.py
echo "stand-ins: nothing to build"
