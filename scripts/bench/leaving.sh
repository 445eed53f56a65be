# time from marking an upstream as leaving to the last task started on it, nine nodes under load (P8)
start_ladderworks 9
start_load "$FLEET_DIR/load.json" "${TARGET_OPTIONS[@]}" "${TEAM_OPTIONS[@]}" "${ALL_SERVICES[@]}" --requests 200000 --threads 48 --seed "$SEED" \
    --run-ms 10 --ledger "127.0.0.1:$PLATFORM_PORT"
sleep 2
for instance in quotes-3 stock-1 cutlists-9 planning-2 certificates-4; do
    standin_post "faults/leave/$instance"
done
sleep 8
kill -TERM "$LOAD_PID"
wait "$LOAD_PID"
emit "last start on a leaving upstream" "$(ledger late-start | grep -o '[0-9]*' | head -1)" ms 5000 "at most" null
emit "answered" "$(summary_number answered "$FLEET_DIR/load.json")" requests 1 "at least" null
emit "cut or unknown" "$(($(summary_number cut "$FLEET_DIR/load.json") + $(summary_number unknown "$FLEET_DIR/load.json")))" requests 0 "at most" null
