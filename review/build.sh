#!/usr/bin/env bash
# The stand-ins of the scripts are Python (python3 is among the packages of scripts/packages.txt), so nothing is built.
# Checks that they can be loaded.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - <<'PYTHON'
import sys
sys.path.insert(0, "standin")
import stage
PYTHON
echo "stand-ins are ready"
