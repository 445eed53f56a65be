#!/usr/bin/env bash
# The stand-ins of the cases 11 to 15 are Python and need no build; this checks that they can be run.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - standin-3/standin.py 1[1-5]/case.py <<'END'
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as source:
        compile(source.read(), name, "exec")
END
