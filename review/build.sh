#!/usr/bin/env bash
# Checks that the stand-ins of the cases can be used. They are Python and need
# only the libraries that the build of deploy/system.toml puts into target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:review/standins \
  python3 -c "import harness"
