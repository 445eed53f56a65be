#!/usr/bin/env bash
# Runs one named measurement: bench.sh NAME [--seed N] | --list. Prints one JSON object per line.
set -euo pipefail

if [ "${1:-}" = --list ]; then
    for file in scripts/bench/*.sh; do
        printf '%-10s %s\n' "$(basename "$file" .sh)" "$(sed -n '1s/^# //p' "$file")"
    done
    exit 0
fi

NAME=${1:-}
if [ ! -f "scripts/bench/$NAME.sh" ]; then
    echo "there is no measurement '$NAME'; see ./run.sh bench --list" >&2
    exit 2
fi
shift
SEED=1
while [ "$#" -gt 0 ]; do
    case $1 in
    --seed)
        SEED=$2
        shift 2
        ;;
    *)
        echo "unknown option $1" >&2
        exit 2
        ;;
    esac
done
export SEED
source scripts/fleet.sh
source scripts/benchlib.sh
source "scripts/bench/$NAME.sh"
