#!/usr/bin/env bash
# Plays the case, see claim.txt: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out. What was sent, answered and run is written to record.txt.
cd "$(dirname "$0")" || exit 2
command -v python3 >/dev/null || { echo "python3 is missing" >&2; exit 2; }
PYTHONDONTWRITEBYTECODE=1 exec python3 run.py
