# instances out of service at once against the budgets, in a wave over 46 instances under load, with a paused node and lost answers (P1)
start_ladderworks 3 --reboot-ms 300
declare -A BUDGETS=([quotes]=2 [cutlists]=2 [certificates]=1 [stock]=2 [planning]=2)
start_load "$FLEET_DIR/load.json" "${TARGET_OPTIONS[@]}" "${TEAM_OPTIONS[@]}" "${ALL_SERVICES[@]}" --requests 1000000 --threads 16 --seed "$SEED" \
    --run-ms 20 --balance --ledger "127.0.0.1:$PLATFORM_PORT" --records "$FLEET_DIR/records.jsonl"
standin_post faults/log '{"listener":1,"lose-append-answers":true}'
begun=$(now_ms)
client maintenance start --reason "measurement" >/dev/null
declare -A MOST
paused=0
while true; do
    curl -sf "http://127.0.0.1:$PLATFORM_PORT/instances" | grep -o '"pool":"[^"]*","rack":"[^"]*","state":"[^"]*"' |
        sed 's/"pool":"\([^"]*\)".*"state":"\([^"]*\)"/\1 \2/' | grep -v ' live$' | sort | uniq -c >"$FLEET_DIR/out.txt" || true
    while read -r count pool state; do
        [ "${MOST[$pool]:-0}" -ge "$count" ] || MOST[$pool]=$count
    done < <(awk '{ out[$2] += $1 } END { for (pool in out) print out[pool], pool }' "$FLEET_DIR/out.txt")
    elapsed=$(($(now_ms) - begun))
    if [ "$paused" = 0 ] && [ "$elapsed" -gt 3000 ]; then
        # Pauses the node that executes the wave, so that it resumes with outdated grants.
        kill -STOP "${NODE_PIDS[0]}"
        paused=1
    elif [ "$paused" = 1 ] && [ "$elapsed" -gt 20000 ]; then
        kill -CONT "${NODE_PIDS[0]}"
        paused=2
    fi
    left=$(CLIENT_NODE=${OPERATOR_ADDRESSES[1]} client maintenance --output json | sed -n 's/.*"left": \([0-9]*\).*/\1/p')
    out=$(CLIENT_NODE=${OPERATOR_ADDRESSES[1]} client maintenance --output json | grep -c '"state": "planned-outage"' || true)
    [ "${left:-1}" != 0 ] || [ "$out" != 0 ] || break
    [ "$elapsed" -lt 150000 ] || break
done
emit "time to maintain 50 instances once" "$(($(now_ms) - begun))" ms null "at most" null
emit "instances left" "${left:-50}" instances 0 "at most" null
for pool in "${!BUDGETS[@]}"; do
    emit "most out at once, $pool" "${MOST[$pool]:-0}" instances "${BUDGETS[$pool]}" "at most" null
done
kill -TERM "$LOAD_PID"
wait "$LOAD_PID"
emit "cut requests on nodes that were not paused" "$(grep '"result":"cut"' "$FLEET_DIR/records.jsonl" | grep -vc '"target":0,' || true)" requests 0 "at most" null
emit "wrong answers" "$(summary_number wrong-answers "$FLEET_DIR/load.json")" requests 0 "at most" null
emit "double runs" "$(summary_number double-runs "$FLEET_DIR/load.json")" requests 0 "at most" null
