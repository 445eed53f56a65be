#!/usr/bin/env bash
# Checks the format of all sources, and runs the linter over the given files, or over all files if none are given.
set -euo pipefail
source scripts/build.sh
echo "checking format"
source_files | xargs clang-format --dry-run --Werror
echo "running the linter"
if [ "$#" -eq 0 ]; then
    mapfile -t files < <(source_files | grep '\.cpp$' | grep -v '/tests/')
else
    files=("$@")
fi
printf '%s\n' "${files[@]}" | xargs -P "$(nproc)" -n 2 clang-tidy -p build --quiet 2>/dev/null
echo "lint passed"
