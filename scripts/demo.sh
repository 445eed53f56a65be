#!/usr/bin/env bash
# Starts a stand-in platform with 46 workers and three nodes, and sends requests of every team through every node.
set -euo pipefail
source scripts/fleet.sh

NODES=3
ZONES=(kilkenny-a kilkenny-b kilkenny-c)
TEAMS=(brennan dunmore cork-retail waterford-joinery schools depot)

echo "starting the platform stand-in"
start_standin "$NODES" --zones kilkenny-a,kilkenny-b,kilkenny-c \
    --pool quotes:10 --pool cutlists:10 --pool certificates:8 --pool stock:10 --pool planning:8 --pool spare:2
echo "starting $NODES nodes"
for index in $(seq 0 $((NODES - 1))); do
    start_node "$index" "${ZONES[$index]}"
done
for index in $(seq 0 $((NODES - 1))); do
    wait_ready "$index"
done
echo "applying the sample configuration"
client config apply samples/ladderworks.yaml --reason "demo" >/dev/null
grant_keys "${TEAMS[@]}"
echo "waiting for the instances"
wait_for all_instances_enrolled 46
echo "sending requests of every team through every node"
target_options
load "${TARGET_OPTIONS[@]}" "${TEAM_OPTIONS[@]}" --service quotes --service cutlists --service certificates --service stock --service planning \
    --requests 3000 --threads 48 --run-ms 20 --ledger "127.0.0.1:$PLATFORM_PORT" --text >"$FLEET_DIR/summary.txt"
echo
cat "$FLEET_DIR/summary.txt"
echo
echo "Services"
client services
echo
echo "Teams (limits as seen by the first node)"
client teams
echo
echo "stopping gracefully"
for index in $(seq 0 $((NODES - 1))); do
    end_process "${NODE_PIDS[$index]}"
done
for index in $(seq 0 $((NODES - 1))); do
    wait "${NODE_PIDS[$index]}"
    NODE_PIDS[index]=
done
echo "done"
