#!/usr/bin/env bash
# Starts three nodes of the job scheduler on an emulated platform and submits jobs through every node.
set -euo pipefail

FOLDER=$(mktemp -d)
PIDS=()
end_all() {
    for pid in "${PIDS[@]}"; do
        kill "$pid" 2>/dev/null || true
    done
    wait
    rm -rf "$FOLDER"
}
trap end_all EXIT

value_of() { # FILE KEY
    sed -n "1s/.*\"$2\":\"\\([^\"]*\\)\".*/\\1/p" "$1"
}

wait_until() { # SECONDS COMMAND...
    local end=$((SECONDS + $1))
    shift
    until "$@"; do
        [ "$SECONDS" -lt "$end" ] || { echo "timed out waiting for: $*" >&2; return 1; }
        read -r -t 0.1 <> <(:) || true
    done
}

echo "starting the emulated platform with 4 workers"
build/tools/cornelquay-emulator/cornelquay-emulator --workers 4 >"$FOLDER/platform" &
PLATFORM=$!
PIDS+=("$PLATFORM")
wait_until 10 test -s "$FOLDER/platform"

BASE=$((20000 + $$ % 20000))
for node in 0 1 2; do
    port=$((BASE + 10 * node))
    cat >"$FOLDER/node-$node.yaml" <<YAML
name: node-$node
zone: zone-a
callers: "127.0.0.1:$port"
readiness: "127.0.0.1:$((port + 1))"
peer-address: "127.0.0.1:$((port + 2))"
metrics: "127.0.0.1:$((port + 3))"
peer-secret: secret of this demonstration
store: "$(value_of "$FOLDER/platform" store)"
control-plane: "$(value_of "$FOLDER/platform" machines)"
YAML
    build/tools/cornelquay-jobd/cornelquay-jobd "$FOLDER/node-$node.yaml" >"$FOLDER/node-$node.log" &
    PIDS+=("$!")
done
echo "waiting for three nodes"
for node in 0 1 2; do
    wait_until 20 curl -fs -o "$FOLDER/ready" "http://127.0.0.1:$((BASE + 10 * node + 1))/readiness"
done

call() { # METHOD NODE JOB [BODY]
    curl -s -X "$1" -H "Host: jobs.example" -H "Cornelquay-Credential: key-1" ${4:+-d "$4"} "http://127.0.0.1:$((BASE + 10 * $2))/keyed/$3"
}
is_completed() { call GET 0 "$1" | grep -q completed; }

echo "submitting 12 jobs of two steps through every node"
BODY='{"spec":"cut list","steps":[{"count":4,"cpu":500,"mem_mb":100,"est_runtime_ms":60},{"count":1,"cpu":500,"mem_mb":100,"est_runtime_ms":60,"after":[0]}]}'
for number in $(seq 1 12); do
    call POST $((number % 3)) "$(printf '%016x' "$number")" "$BODY" >/dev/null
done
for number in $(seq 1 12); do
    wait_until 20 is_completed "$(printf '%016x' "$number")"
done
echo "all jobs completed; last log lines of the owner of the jobs:"
grep -h '"component":"owner","change":"\(serving\|pool\)"' "$FOLDER"/node-*.log | tail -2
kill "$PLATFORM"
wait "$PLATFORM" || true
echo "starts and violations counted by the workers: $(tail -1 "$FOLDER/platform")"
