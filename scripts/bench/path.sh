# added latency, and requests per second per core, through one node compared with direct calls
start_ladderworks 1
REQUESTS=20000
run_load() {
    load "${TEAM_OPTIONS[@]}" "${ALL_SERVICES[@]}" --requests "$REQUESTS" --threads 8 --seed "$SEED" "$@"
}
run_load --direct "127.0.0.1:$PLATFORM_PORT" --prefix warm >/dev/null
run_load --direct "127.0.0.1:$PLATFORM_PORT" --prefix direct >"$FLEET_DIR/direct.json"
for kind in 1 0; do
    run_load "${TARGET_OPTIONS[@]}" --idempotent "$kind" --prefix "warm$kind" >/dev/null
    before=$(cpu_ticks "${NODE_PIDS[0]}")
    run_load "${TARGET_OPTIONS[@]}" --idempotent "$kind" --prefix "node$kind" >"$FLEET_DIR/node.json"
    after=$(cpu_ticks "${NODE_PIDS[0]}")
    [ "$kind" = 1 ] && label=idempotent || label=non-idempotent
    for part in p50 p99; do
        direct=$(summary_number "latency-$part-ms" "$FLEET_DIR/direct.json")
        through=$(summary_number "latency-$part-ms" "$FLEET_DIR/node.json")
        emit "added latency $part, $label" "$(calculate "$through - $direct")" ms 0 "at most" "$direct"
    done
    emit "requests per core-second, $label" "$(calculate "$REQUESTS / (($after - $before + 0.001) / $(getconf CLK_TCK))")" requests/s null "at least" null
    emit "answered, $label" "$(summary_number answered "$FLEET_DIR/node.json")" requests "$REQUESTS" "at least" null
done
