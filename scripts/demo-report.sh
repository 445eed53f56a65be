#!/usr/bin/env bash
# Prints a load summary (one line of JSON) as a table that a person can read.
set -euo pipefail
sed 's/"teams":{/\n&/' "$1" | awk '
NR == 1 {
    gsub(/[{}"]/, "")
    n = split($0, parts, ",")
    print "Requests"
    for (i = 1; i <= n; i++) if (parts[i] != "") { sub(/^(results|reasons):/, "", parts[i]); sub(/:/, ": ", parts[i]); print "  " parts[i] }
}
NR == 2 {
    sub(/"teams":\{/, "")
    gsub(/[{}"]/, " ")
    gsub(/ :  ?/, ":")
    print "Teams"
    n = split($0, teams, /,  /)
    for (i = 1; i <= n; i++) { gsub(/ , ?|, /, "  ", teams[i]); gsub(/ :/, ":", teams[i]); print "  " teams[i] }
}'
