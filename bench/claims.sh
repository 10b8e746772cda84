#!/usr/bin/env bash
# Claim calls to the store, response time and peer traffic of jobs: without ids, with minted ids and with ids chosen by the caller
set -euo pipefail
export DOGWOODFALL_FIRST_PORT="${DOGWOODFALL_FIRST_PORT:-25000}"
source scripts/cluster.sh
source scripts/cluster_of.sh
seconds="${1:-8}"
start_cluster 4 20 2
sleep 3
ports="$(callers_port 1),$(callers_port 2),$(callers_port 3),$(callers_port 4)"
echo "| ids | jobs per second | p50 ms | p95 ms | p99 ms | claim calls per job | peer bytes per job | wasted messages per start | codes |"
echo "|---|---|---|---|---|---|---|---|---|"
for rate in 50 200 600; do
  for ids in none minted chosen; do
    calls_before="$(sum_metric 4 'store_calls_total{purpose="claim"}')"
    bytes_before="$(sum_metric 4 'peer_bytes_total{way="sent"}')"
    result="$("$build/stand_ins/caller_load" --ports "$ports" --ids "$ids" --rate "$rate" --seconds "$seconds" --tasks 1 --run-ms 20 --seed "$rate")"
    calls_after="$(sum_metric 4 'store_calls_total{purpose="claim"}')"
    bytes_after="$(sum_metric 4 'peer_bytes_total{way="sent"}')"
    jq -r --arg ids "$ids" --argjson rate "$rate" --argjson calls $((calls_after - calls_before)) --argjson bytes $((bytes_after - bytes_before)) \
      '"| \($ids) | \($rate) | \(.p50_ms * 10 | round / 10) | \(.p95_ms * 10 | round / 10) | \(.p99_ms * 10 | round / 10) | \($calls / .jobs * 1000 | round / 1000) | \($bytes / .jobs | round) | \(.wasted / ([.starts, 1] | max) * 1000 | round / 1000) | \(.codes | tojson) |"' <<<"$result"
  done
done
