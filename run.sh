#!/usr/bin/env bash
# Entry point for building, testing, the demo and the benches. See README.md.
set -euo pipefail
cd "$(dirname "$0")"
exec scripts/main.sh "$@"
