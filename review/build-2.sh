#!/usr/bin/env bash
# The stand-ins are Python modules, so that there is nothing to compile. Checks
# that they load with the libraries of the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:review/standins-2 PYTHONDONTWRITEBYTECODE=1 \
  python3 -c 'import harness'
