#!/usr/bin/env bash
# Plays the case and writes record.txt in this folder: what was sent, answered and run. Exits with 1 if the rule was broken, 0 if it held,
# 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
python3 -B case.py >record.txt &
case_pid=$!
trap 'kill -TERM "$case_pid"' TERM INT
wait "$case_pid"
status=$?
while kill -0 "$case_pid" 2>/dev/null; do
    wait "$case_pid"
    status=$?
done
case $status in
0) exit 0 ;;
10) exit 1 ;;
*) exit 2 ;;
esac
