# maximum of tasks running at once for each team against its limit, counted by the workers; skewed balancer, nodes killed and replaced (P4)
start_ladderworks 9
start_load "$FLEET_DIR/load.json" "${TARGET_OPTIONS[@]}" "${TEAM_OPTIONS[@]}" "${ALL_SERVICES[@]}" --requests 12000 --threads 400 --seed "$SEED" \
    --idempotent 0.7 --run-ms 150 --skew 0.8 --balance --deadline-ms 20000 --ledger "127.0.0.1:$PLATFORM_PORT"
sleep 2
kill_node 0
sleep 1
start_node 0 "${ZONES[0]}"
sleep 1
for index in 1 3 5 7; do
    kill_node "$index"
done
for index in 1 3 5 7; do
    start_node "$index" "${ZONES[$((index % 3))]}"
done
# A quota holder that was paused for longer than its lease resumes and starts work.
kill -STOP "${NODE_PIDS[2]}"
sleep 20
kill -CONT "${NODE_PIDS[2]}"
wait "$LOAD_PID"
ledger teams >"$FLEET_DIR/teams.json"
for limit in brennan:60 dunmore:60 cork-retail:20 waterford-joinery:20 schools:10 depot:10; do
    team=${limit%:*}
    most=$(grep -o "\"$team\":{[^}]*" "$FLEET_DIR/teams.json" | grep -o '"running-most":[0-9]*' | cut -d: -f2)
    emit "most running at once, $team" "$most" tasks "${limit#*:}" "at most" null
done
for count in double-runs false-refusals wrong-answers; do
    emit "$count" "$(summary_number "$count" "$FLEET_DIR/load.json")" requests 0 "at most" null
done
emit "answered" "$(summary_number answered "$FLEET_DIR/load.json")" requests null "at least" null
