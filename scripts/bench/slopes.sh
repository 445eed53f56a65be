# growth of state, messages and processor time with size, and the values extrapolated to design size
"$BUILD/cornelquay/cornelquay-bench" slopes "$SEED"
# Processor time, traffic between nodes and memory of an idle node, by the number of nodes.
OBSERVED_SECONDS=8
for nodes in 3 5 7 9; do
    start_ladderworks "$nodes"
    sleep 3
    ticks=$(cpu_ticks "${NODE_PIDS[0]}")
    bytes=$(metric "${OPERATOR_ADDRESSES[0]}" peer_bytes)
    sleep "$OBSERVED_SECONDS"
    emit "steady control, $nodes nodes: share of a core" \
        "$(calculate "($(cpu_ticks "${NODE_PIDS[0]}") - $ticks) / $(getconf CLK_TCK) / $OBSERVED_SECONDS * 100")" % 3.1 "at most" null
    emit "steady control, $nodes nodes: bytes between nodes" \
        "$(calculate "($(metric "${OPERATOR_ADDRESSES[0]}" peer_bytes) - $bytes) / $OBSERVED_SECONDS")" bytes/s 9000 "at most" null
    emit "steady control, $nodes nodes: resident memory" "$(calculate "$(resident_kib "${NODE_PIDS[0]}") / 1024")" MiB 128 "at most" null
    stop_fleet
done
