# time until a configuration is in force on nine nodes, with a healthy log, a slow log, lost answers, and a log unreachable for one node (P10)
EXTRA_SETTINGS='snapshot-every: 30'
start_ladderworks 9
version_of() {
    CLIENT_NODE=$1 client status --output json | sed -n 's/.*"configuration-version": \([0-9]*\).*/\1/p'
}
reverted=0
expected=1
for case in whole slow lost-answers lost-to-one; do
    standin_post faults/log '{"listener":-1}'
    case $case in
    whole) ;;
    slow) standin_post faults/log '{"listener":-1,"delay-ms":500}' ;;
    lost-answers) standin_post faults/log '{"listener":-1,"lose-append-answers":true}' ;;
    lost-to-one) standin_post faults/log '{"listener":5,"down":true}' ;;
    esac
    sleep 1
    sed "s/limit: 60/limit: $((60 + expected))/" samples/ladderworks.yaml >"$FLEET_DIR/next.yaml"
    begun=$(now_ms)
    client config apply "$FLEET_DIR/next.yaml" --base-version "$expected" --reason "$case" --output json >"$FLEET_DIR/apply.json"
    expected=$((expected + 1))
    while true; do
        behind=0
        for address in "${OPERATOR_ADDRESSES[@]}"; do
            version=$(version_of "$address")
            [ "$version" -ge "$expected" ] || behind=1
        done
        [ "$behind" = 1 ] || break
        [ $(($(now_ms) - begun)) -lt 20000 ] || break
    done
    emit "in force everywhere, log $case" "$(($(now_ms) - begun))" ms 11000 "at most" null
done
standin_post faults/log '{"listener":-1}'
# Two operators apply a change at the same time: one must succeed, and the other must get a conflict.
sed "s/limit: 60/limit: 90/" samples/ladderworks.yaml >"$FLEET_DIR/a.yaml"
sed "s/limit: 60/limit: 91/" samples/ladderworks.yaml >"$FLEET_DIR/b.yaml"
(CLIENT_NODE=${OPERATOR_ADDRESSES[1]} client config apply "$FLEET_DIR/a.yaml" --base-version "$expected" --reason race >"$FLEET_DIR/a.out" 2>&1; echo $? >"$FLEET_DIR/a.rc") &
racer=$!
(CLIENT_NODE=${OPERATOR_ADDRESSES[7]} client config apply "$FLEET_DIR/b.yaml" --base-version "$expected" --reason race >"$FLEET_DIR/b.out" 2>&1; echo $? >"$FLEET_DIR/b.rc") &
wait $! || true
wait "$racer" || true
emit "winners of a race of two operators" "$(grep -lx 0 "$FLEET_DIR"/[ab].rc | wc -l)" operators 1 "at most" null
emit "losers told of the version in force" "$(grep -l 'version-in-force' "$FLEET_DIR"/[ab].out | wc -l)" operators 1 "at least" null
expected=$((expected + 1))
# A node that starts after the oldest log entries have expired must never show an older version.
for record in $(seq 1 30); do
    client maintenance pause --reason "filler $record" >/dev/null
    client maintenance resume --reason "filler $record" >/dev/null
done
snapshot_written() {
    [ "$(metric "${OPERATOR_ADDRESSES[0]}" snapshots_written_total)" -ge 2 ]
}
wait_for snapshot_written
standin_post faults/log '{"listener":-1,"expire-before":40}'
stop_node 3
start_node 3 "${ZONES[0]}"
wait_ready 3
[ "$(version_of "${OPERATOR_ADDRESSES[3]}")" -ge "$expected" ] || reverted=1
emit "versions that went back" "$reverted" versions 0 "at most" null
