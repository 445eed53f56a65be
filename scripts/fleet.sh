# Functions that start and stop a fleet on loopback; sourced by the demo and the benches.
# Every process is ended by its own id when the script ends.

BUILD=${BUILD:-build}
FLEET_DIR=$(mktemp -d)
OPERATOR_TOKEN=operator-token-for-loopback-only
NODE_PIDS=()
STANDIN_PID=
CALLER_ADDRESSES=()
OPERATOR_ADDRESSES=()

end_process() {
    local pid=$1
    kill -CONT "$pid" 2>/dev/null || true
    kill -TERM "$pid" 2>/dev/null || true
}

# Ends all processes of the fleet. A new fleet may be started afterwards.
stop_fleet() {
    local pid
    for pid in "${NODE_PIDS[@]}"; do
        [ -z "$pid" ] || end_process "$pid"
    done
    for pid in "${NODE_PIDS[@]}"; do
        [ -z "$pid" ] || wait "$pid" 2>/dev/null || true
    done
    [ -z "$STANDIN_PID" ] || end_process "$STANDIN_PID"
    [ -z "$STANDIN_PID" ] || wait "$STANDIN_PID" 2>/dev/null || true
    NODE_PIDS=()
    STANDIN_PID=
    CALLER_ADDRESSES=()
    OPERATOR_ADDRESSES=()
}

end_fleet() {
    stop_fleet
    rm -rf "$FLEET_DIR"
}
trap end_fleet EXIT

# wait_for COMMAND...: waits until the command succeeds; fails after 100 tries, 0.1 s apart.
wait_for() {
    local try
    for try in $(seq 1 100); do
        if "$@" >/dev/null 2>&1; then
            return 0
        fi
        sleep 0.1
    done
    echo "timed out waiting for: $*" >&2
    return 1
}

json_field() {
    sed -n "s/.*\"$1\":\([0-9]*\).*/\1/p"
}

# start_standin NODES OPTION...: starts the platform and its workers, with one log listener for each node.
start_standin() {
    local nodes=$1
    shift
    : >"$FLEET_DIR/standin.out"
    "$BUILD/tools/cornelquay-standin/cornelquay-standin" --log-listeners "$nodes" "$@" >"$FLEET_DIR/standin.out" 2>"$FLEET_DIR/standin.err" &
    STANDIN_PID=$!
    wait_for test -s "$FLEET_DIR/standin.out"
    PLATFORM_PORT=$(json_field platform-port <"$FLEET_DIR/standin.out")
    IFS=, read -r -a LOG_PORTS <<<"$(sed 's/.*\[\(.*\)\].*/\1/' "$FLEET_DIR/standin.out")"
}

write_settings() {
    local index=$1 zone=$2
    cat >"$FLEET_DIR/node-$index.yaml" <<YAML
name: node-$index
zone: $zone
callers: {address: "${CALLER_ADDRESSES[$index]:-127.0.0.1:0}", threads: ${CALLER_THREADS:-256}, plain: true}
operators-listener: {address: "127.0.0.1:0", plain: true}
peer-address: "127.0.0.1:0"
peer-secret: loopback-secret-0123456789
log: "127.0.0.1:${LOG_PORTS[$index]}"
platform: "127.0.0.1:$PLATFORM_PORT"
operators:
  - name: nuala
    token-sha256: $(printf %s "$OPERATOR_TOKEN" | sha256sum | cut -d' ' -f1)
${EXTRA_SETTINGS:-}
YAML
}

# start_node INDEX ZONE: starts one node and stores its addresses in CALLER_ADDRESSES and OPERATOR_ADDRESSES.
start_node() {
    local index=$1 zone=$2
    write_settings "$index" "$zone"
    : >"$FLEET_DIR/node-$index.out"
    "$BUILD/tools/cornelquayd/cornelquayd" "$FLEET_DIR/node-$index.yaml" >"$FLEET_DIR/node-$index.out" 2>>"$FLEET_DIR/node-$index.err" &
    NODE_PIDS[index]=$!
    wait_for test -s "$FLEET_DIR/node-$index.out"
    CALLER_ADDRESSES[index]=127.0.0.1:$(json_field callers-port <"$FLEET_DIR/node-$index.out")
    OPERATOR_ADDRESSES[index]=127.0.0.1:$(json_field operators-port <"$FLEET_DIR/node-$index.out")
}

# stop_node INDEX: stops a node gracefully and waits for its end.
stop_node() {
    local pid=${NODE_PIDS[$1]}
    end_process "$pid"
    wait "$pid" || true
    NODE_PIDS[$1]=
}

# kill_node INDEX: kills a node without a graceful stop, as when its machine fails.
kill_node() {
    kill -KILL "${NODE_PIDS[$1]}"
    wait "${NODE_PIDS[$1]}" 2>/dev/null || true
    NODE_PIDS[$1]=
}

wait_ready() {
    wait_for curl -sf "http://${CALLER_ADDRESSES[$1]}/ready"
}

# client ARGUMENT...: runs the operators' client against the first node.
# Exit code 7 (not yet in force on every node) counts as success.
client() {
    CORNELQUAY_NODE=${CLIENT_NODE:-${OPERATOR_ADDRESSES[0]}} CORNELQUAY_TOKEN=$OPERATOR_TOKEN "$BUILD/tools/cornelquay/cornelquay" "$@" || [ $? -eq 7 ]
}

# grant_keys TEAM...: grants each team a key and stores the cornelquay-load options for them in TEAM_OPTIONS.
grant_keys() {
    TEAM_OPTIONS=()
    local team key
    for team in "$@"; do
        key=$(client key grant "$team" --reason "loopback fleet" --output json | sed -n 's/.*"key": "\(.*\)".*/\1/p')
        TEAM_OPTIONS+=(--team "$team=$key")
    done
}

# team_key TEAM: prints TEAM=KEY with the key granted by grant_keys.
team_key() {
    printf '%s\n' "${TEAM_OPTIONS[@]}" | grep "^$1="
}

target_options() {
    TARGET_OPTIONS=()
    local address
    for address in "${CALLER_ADDRESSES[@]}"; do
        TARGET_OPTIONS+=(--target "$address")
    done
}

load() {
    "$BUILD/tools/cornelquay-load/cornelquay-load" "$@"
}

# start_load FILE OPTION...: starts cornelquay-load in the background, with its summary in FILE and its process id in LOAD_PID.
start_load() {
    local file=$1
    shift
    "$BUILD/tools/cornelquay-load/cornelquay-load" "$@" >"$file" &
    LOAD_PID=$!
}

standin_post() {
    curl -sf -X POST -d "${2:-{\}}" "http://127.0.0.1:$PLATFORM_PORT/$1" >/dev/null
}

# all_instances_enrolled COUNT: succeeds if at least COUNT instances accept work.
all_instances_enrolled() {
    [ "$(client instances --output json | grep -c '"accepts-work": true')" -ge "$1" ]
}
