# Functions shared by the measurements; sourced by bench.sh.

LADDERWORKS_POOLS=(--pool quotes:10 --pool cutlists:10 --pool certificates:8 --pool stock:10 --pool planning:8 --pool spare:4)
LADDERWORKS_TEAMS=(brennan dunmore cork-retail waterford-joinery schools depot)
ALL_SERVICES=(--service quotes --service cutlists --service certificates --service stock --service planning)
ZONES=(kilkenny-a kilkenny-b kilkenny-c)

# emit MEASURE VALUE UNIT TARGET BOUND BASELINE: prints one result as a line of JSON.
emit() {
    printf '{"measure":"%s","value":%s,"unit":"%s","target":%s,"bound":"%s","baseline":%s,"seed":%s}\n' \
        "$1" "$2" "$3" "$4" "$5" "$6" "$SEED"
}

# summary_number KEY FILE: a number of a load summary; 0 if the key is missing.
summary_number() {
    local value
    value=$(grep -o "\"$1\":[-0-9.e+]*" "$2" | head -1 | cut -d: -f2)
    echo "${value:-0}"
}

# start_ladderworks NODES [STANDIN_OPTION...]: starts the stand-in and the nodes, applies the sample
# configuration, grants a key to each of its teams, and waits until 46 instances accept work.
start_ladderworks() {
    local nodes=$1 index
    shift
    start_standin "$nodes" --zones kilkenny-a,kilkenny-b,kilkenny-c --seed "$SEED" "${LADDERWORKS_POOLS[@]}" "$@"
    for index in $(seq 0 $((nodes - 1))); do
        start_node "$index" "${ZONES[$((index % 3))]}"
    done
    for index in $(seq 0 $((nodes - 1))); do
        wait_ready "$index"
    done
    client config apply "${CONFIGURATION:-samples/ladderworks.yaml}" --reason "measurement" >/dev/null
    grant_keys "${LADDERWORKS_TEAMS[@]}"
    wait_for all_instances_enrolled 46
    target_options
}

now_ms() {
    date +%s%3N
}

# cpu_ticks PID: processor time of a process in clock ticks.
cpu_ticks() {
    awk '{ sub(/^.*\) /, ""); print $12 + $13 }' "/proc/$1/stat"
}

resident_kib() {
    awk '/VmRSS/ { print $2 }' "/proc/$1/status"
}

# metric ADDRESS NAME: the value of a node's metric, summed over all labels.
metric() {
    curl -sf "http://$1/metrics" | awk -v name="cornelquay_$2" 'index($1, name) == 1 && ($1 == name || substr($1, length(name) + 1, 1) == "{") { sum += $2 } END { printf "%d\n", sum }'
}

ledger() {
    curl -sf "http://127.0.0.1:$PLATFORM_PORT/ledger/$1"
}

# calculate EXPRESSION: floating-point arithmetic.
calculate() {
    awk "BEGIN { printf \"%.4g\\n\", $1 }"
}
