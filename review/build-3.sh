#!/bin/sh
# Checks the stand-ins of cases 11 to 15 after the build of the deploy file.
# They are Python, so that there is nothing to compile.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps PYTHONDONTWRITEBYTECODE=1 python3 - <<'END'
import sys

sys.path[:0] = ["review/stand-ins-3", "deploy/tests"]
import harness
import standin_store

print("stand-ins of the review can be used:", harness.__name__, standin_store.__name__)
END
