# failed or interrupted requests under load while the nodes are replaced one by one, and then half of them at once (P9)
EXTRA_SETTINGS='times: {drain-delay: 1s}'
start_ladderworks 9
start_load "$FLEET_DIR/load.json" "${TARGET_OPTIONS[@]}" "${TEAM_OPTIONS[@]}" "${ALL_SERVICES[@]}" --requests 1000000 --threads 32 --seed "$SEED" \
    --run-ms 20 --balance --ledger "127.0.0.1:$PLATFORM_PORT"
begun=$(now_ms)
for index in $(seq 0 8); do
    stop_node "$index"
    start_node "$index" "${ZONES[$((index % 3))]}"
    wait_ready "$index"
done
one_by_one=$(now_ms)
for index in 1 3 5 7; do
    end_process "${NODE_PIDS[$index]}"
done
for index in 1 3 5 7; do
    stop_node "$index"
    start_node "$index" "${ZONES[$((index % 3))]}"
done
for index in 1 3 5 7; do
    wait_ready "$index"
done
ended=$(now_ms)
sleep 1
kill -TERM "$LOAD_PID"
wait "$LOAD_PID"
for count in cut unknown not-run not-sent wrong-answers double-runs false-refusals; do
    emit "$count" "$(summary_number "$count" "$FLEET_DIR/load.json")" requests 0 "at most" null
done
emit "answered" "$(summary_number answered "$FLEET_DIR/load.json")" requests 1 "at least" null
emit "time to replace nine nodes one by one" "$((one_by_one - begun))" ms null "at most" null
emit "time to replace four nodes at once" "$((ended - one_by_one))" ms null "at most" null
