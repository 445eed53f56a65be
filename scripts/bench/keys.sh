# time from a key's withdrawal to its last accepted use on any of nine nodes, with a healthy log, a slow log, and a log unreachable for one node (P3)
start_ladderworks 9
for case in whole slow lost-to-one; do
    case $case in
    whole) ;;
    slow) standin_post faults/log '{"listener":-1,"delay-ms":700}' ;;
    lost-to-one)
        standin_post faults/log '{"listener":-1}'
        standin_post faults/log '{"listener":6,"down":true}'
        ;;
    esac
    sleep 2
    key=$(client key grant brennan --reason "measurement" --output json | sed -n 's/.*"key": "\(.*\)".*/\1/p')
    id=$(echo "$key" | cut -d_ -f2)
    start_load "$FLEET_DIR/load.json" "${TARGET_OPTIONS[@]}" --team "brennan=$key" --service quotes --requests 100000 --rate 900 --threads 64 --idempotent 1 \
        --seed "$SEED" --prefix "$case" --records "$FLEET_DIR/records.jsonl"
    sleep 2
    withdrawn=$(now_ms)
    client key withdraw "$id" --reason "measurement" --output json >"$FLEET_DIR/withdraw.json"
    sleep 7
    kill -TERM "$LOAD_PID"
    wait "$LOAD_PID"
    last=$(grep -E '"result":"(answered|unknown)"' "$FLEET_DIR/records.jsonl" | grep -o '"started-unix-ms":[0-9]*' | cut -d: -f2 | sort -n | tail -1)
    emit "last accepted use after the withdrawal, log $case" "$((last > withdrawn ? last - withdrawn : 0))" ms 5000 "at most" null
    emit "uses accepted before it, log $case" "$(grep -c '"result":"answered"' "$FLEET_DIR/records.jsonl")" requests 1 "at least" null
    emit "refused afterwards, log $case" "$(grep -c '"reason":"key-invalid"' "$FLEET_DIR/records.jsonl")" requests 1 "at least" null
done
# Valid keys must keep working while no node reaches the log, also with one node dead.
standin_post faults/log '{"listener":-1,"down":true}'
kill_node 8
sleep 12
load "${TARGET_OPTIONS[@]}" "${TEAM_OPTIONS[@]}" "${ALL_SERVICES[@]}" --requests 2000 --threads 16 --idempotent 1 --seed "$SEED" --prefix down --balance >"$FLEET_DIR/down.json"
emit "answered while the log is down for everybody" "$(summary_number answered "$FLEET_DIR/down.json")" requests 2000 "at least" null
if client key withdraw "$(client key list --output json | grep '"id"' | head -1 | cut -d'"' -f4)" --reason "during outage" >/dev/null 2>&1; then
    accepted=1
else
    accepted=0
fi
emit "withdrawals reported as accepted while the log is down" "$accepted" requests 0 "at most" null
