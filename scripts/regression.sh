#!/usr/bin/env bash
# Scores the deployments of the regression runs and prints, for each, score, gate and worth with the change since the entry before.
# regression.sh BENCH FOLDER WHY: BENCH is the users' bench program, FOLDER holds the folders of the site files.
set -euo pipefail

if [ "$#" -ne 3 ]; then
    sed -n '2,3s/^# //p' "$0" >&2
    exit 2
fi
BENCH=$1
FOLDER=$2
WHY=$3
cd "$(dirname "$0")/.."
SITES=(large/lsp-kilkenny-large further-grown/jadeterrace-ops-grown further/jadeterrace-ops
    grown/lsp-kilkenny-grown grown/hoian-bung-grown)

for site in "${SITES[@]}"; do
    "$BENCH" score "$FOLDER/$site.toml" --why "$WHY" >&2
done
python3 scripts/regressiontable.py journal "${SITES[@]##*/}"
