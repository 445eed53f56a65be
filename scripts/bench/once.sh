# double runs when each request goes to three nodes at once, with nodes killed and replaced and answers lost (P7)
start_ladderworks 9
standin_post 'faults/worker/*' '{"lose-answer":0.01,"cross":0.01,"truncate":0.01}'
standin_post faults/log '{"listener":4,"lose-append-answers":true}'
start_load "$FLEET_DIR/load.json" "${TARGET_OPTIONS[@]}" "${TEAM_OPTIONS[@]}" "${ALL_SERVICES[@]}" --requests 20000 --threads 24 --seed "$SEED" \
    --idempotent 0 --copies 3 --run-ms 5 --ledger "127.0.0.1:$PLATFORM_PORT" --records "$FLEET_DIR/records.jsonl"
for index in 1 5 7; do
    sleep 1
    kill_node "$index"
    start_node "$index" "${ZONES[$((index % 3))]}"
done
wait "$LOAD_PID"
for count in double-runs false-refusals wrong-answers answers-without-run; do
    emit "$count" "$(summary_number "$count" "$FLEET_DIR/load.json")" requests 0 "at most" null
done
for count in answered not-run unknown not-sent cut; do
    emit "$count" "$(summary_number "$count" "$FLEET_DIR/load.json")" copies null "at least" null
done
emit "claims kept" "$(client status --output json | sed -n 's/.*"claims": \([0-9]*\).*/\1/p')" claims 1000000 "at most" null
