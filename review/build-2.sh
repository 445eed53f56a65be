#!/usr/bin/env bash
# Checks what the scripts of review/6 to review/10 start: the program of the deploy file, and the stand-ins, which are Python without
# further packages and need no build.
set -euo pipefail
cd "$(dirname "$0")"
test -x ../target/tools/cornelquay-jobd/cornelquay-jobd || { echo "build the deploy file first" >&2; exit 1; }
for file in standin-2/standin.py */run.py; do
    python3 -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file"
done
