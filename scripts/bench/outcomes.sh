# wrong answers, false refusals and double runs over 100000 requests with faulty workers (P5, P6, P7)
start_ladderworks 3
standin_post 'faults/worker/*' '{"lose-answer":0.01,"silent":0.002,"cross":0.01,"truncate":0.01,"duplicate":0.01,"damage":0.01}'
standin_post 'faults/worker/quotes-1' '{"failing":true}'
load "${TARGET_OPTIONS[@]}" "${TEAM_OPTIONS[@]}" "${ALL_SERVICES[@]}" --requests 100000 --threads 64 --seed "$SEED" \
    --ledger "127.0.0.1:$PLATFORM_PORT" >"$FLEET_DIR/load.json"
for count in wrong-answers false-refusals double-runs answers-without-run; do
    emit "$count" "$(summary_number "$count" "$FLEET_DIR/load.json")" requests 0 "at most" null
done
emit "cut connections" "$(summary_number cut "$FLEET_DIR/load.json")" requests 0 "at most" null
for count in answered not-run unknown; do
    emit "$count" "$(summary_number "$count" "$FLEET_DIR/load.json")" requests null "at least" null
done
emit "latency p99" "$(summary_number latency-p99-ms "$FLEET_DIR/load.json")" ms null "at most" null
