# requests interrupted under load by a graceful stop of a node and by a drain of an upstream (P9)
start_ladderworks 2
start_load "$FLEET_DIR/stop.json" --target "${CALLER_ADDRESSES[0]}" "${TEAM_OPTIONS[@]}" "${ALL_SERVICES[@]}" --requests 200000 --threads 16 --seed "$SEED" --run-ms 30 \
    --ledger "127.0.0.1:$PLATFORM_PORT" --prefix stop
STOP_LOAD=$LOAD_PID
start_load "$FLEET_DIR/drain.json" --target "${CALLER_ADDRESSES[1]}" "${TEAM_OPTIONS[@]}" "${ALL_SERVICES[@]}" --requests 200000 --threads 16 --seed "$SEED" --run-ms 30 \
    --ledger "127.0.0.1:$PLATFORM_PORT" --prefix drain
DRAIN_LOAD=$LOAD_PID
sleep 2
begun=$(now_ms)
end_process "${NODE_PIDS[0]}"
for instance in quotes-1 stock-2 planning-3; do
    standin_post "instances/$instance/drain" "{\"fence\":1000000,\"begin-before\":$(($(now_ms) + 60000))}"
done
# The balancer stops sending to the node once it is not ready, so its callers must be done before its listener closes.
wait_for sh -c "! curl -sf http://${CALLER_ADDRESSES[0]}/ready"
kill -TERM "$STOP_LOAD"
wait "$STOP_LOAD"
wait "${NODE_PIDS[0]}" || true
NODE_PIDS[0]=
ended=$(now_ms)
sleep 2
kill -TERM "$DRAIN_LOAD"
wait "$DRAIN_LOAD"
for run in stop drain; do
    emit "cut or failed requests, $run" \
        "$(($(summary_number cut "$FLEET_DIR/$run.json") + $(summary_number unknown "$FLEET_DIR/$run.json")))" requests 0 "at most" null
    emit "answered, $run" "$(summary_number answered "$FLEET_DIR/$run.json")" requests 1 "at least" null
    emit "wrong answers, $run" "$(summary_number wrong-answers "$FLEET_DIR/$run.json")" requests 0 "at most" null
done
emit "time of the graceful stop" "$((ended - begun))" ms null "at most" null
