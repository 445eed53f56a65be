# deviation from the shares in 10 s windows while the fleet is fully used, nine nodes, skewed balancer, and both baselines
CALLER_THREADS=1024
TEAM_SHARES="brennan:0.35 dunmore:0.35 cork-retail:0.1 waterford-joinery:0.1 schools:0.05 depot:0.05"

# nearness BEFORE AFTER: mean and maximum over the teams of |received - share| / share, between two ledger files.
nearness() {
    awk -v shares="$TEAM_SHARES" '
    function busy(file, team,    line, text) {
        getline line < file
        close(file)
        text = line
        sub(".*\"" team "\":{\"busy-ms\":", "", text)
        sub(",.*", "", text)
        return text + 0
    }
    BEGIN {
        n = split(shares, parts, " ")
        for (i = 1; i <= n; i++) {
            split(parts[i], pair, ":")
            got[i] = busy(ARGV[2], pair[1]) - busy(ARGV[1], pair[1])
            share[i] = pair[2]
            total += got[i]
        }
        for (i = 1; i <= n; i++) {
            off = got[i] / total - share[i]
            off = (off < 0 ? -off : off) / share[i]
            sum += off
            most = off > most ? off : most
        }
        printf "%.3f %.3f\n", sum / n, most
    }' "$1" "$2"
}

measure_policy() {
    EXTRA_SETTINGS="turns: $1
limits: {slots-per-instance: 2}"
    start_ladderworks 9 --slots 2
    # Each team has its own callers, so that every team has a backlog at all times.
    LOADS=()
    for team in "${LADDERWORKS_TEAMS[@]}"; do
        start_load "$FLEET_DIR/load-$team.json" "${TARGET_OPTIONS[@]}" --team "$(team_key "$team")" "${ALL_SERVICES[@]}" --requests 1000000 --threads 100 \
            --seed "$SEED" --idempotent 1 --urgent 0.1 --run-ms 100 --skew 0.4 --deadline-ms 30000 --prefix "$team"
        LOADS+=("$LOAD_PID")
    done
    sleep 6
    MEANS=()
    MOSTS=()
    for window in 1 2; do
        ledger teams >"$FLEET_DIR/before.json"
        sleep 10
        ledger teams >"$FLEET_DIR/after.json"
        read -r mean most <<<"$(nearness "$FLEET_DIR/before.json" "$FLEET_DIR/after.json")"
        MEANS+=("$mean")
        MOSTS+=("$most")
    done
    for pid in "${LOADS[@]}"; do
        kill -TERM "$pid"
    done
    wait "${LOADS[@]}"
    MEAN=$(printf '%s\n' "${MEANS[@]}" | sort -n | tail -1)
    MOST=$(printf '%s\n' "${MOSTS[@]}" | sort -n | tail -1)
    URGENT=$(cat "$FLEET_DIR"/load-*.json | grep -o '"urgent-latency-max-ms":[0-9.]*' | cut -d: -f2 | sort -n | tail -1)
    stop_fleet
}

measure_policy first-come
first_mean=$MEAN
first_most=$MOST
measure_policy node-shares
emit "nearness to share, mean, shares kept by each node alone" "$MEAN" fraction 0 "at most" "$first_mean"
emit "nearness to share, largest, shares kept by each node alone" "$MOST" fraction 0 "at most" "$first_most"
measure_policy fleet-shares
emit "nearness to share, mean" "$MEAN" fraction 0 "at most" "$first_mean"
emit "nearness to share, largest" "$MOST" fraction 0 "at most" "$first_most"
emit "submit to start of urgent work, most" "$(calculate "$URGENT - 100")" ms 4600 "at most" null
