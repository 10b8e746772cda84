#!/usr/bin/env bash
# Control traffic of an idle cluster: bytes, processor time, memory and store calls per daemon, for a number of daemons and endpoints
set -euo pipefail
export DOGWOODFALL_FIRST_PORT="${DOGWOODFALL_FIRST_PORT:-25200}"
source scripts/cluster.sh
source scripts/cluster_of.sh
seconds="${1:-10}"
daemons="${2:-4}"
endpoints="${3:-20}"
start_cluster "$daemons" "$endpoints" 2
sleep 15
purposes="configuration claim ownership stop_note"
snapshot() {
  sum_metric "$daemons" 'peer_bytes_total{way="sent"}'
  echo
  for i in $(seq 1 "$daemons"); do cpu_ticks "$i"; done | awk '{s += $1} END {print s}'
  for purpose in $purposes; do sum_metric "$daemons" "store_calls_total{purpose=\"$purpose\"}"; echo; done
}
mapfile -t first < <(snapshot)
sleep "$seconds"
mapfile -t last < <(snapshot)
rss="$(for i in $(seq 1 "$daemons"); do rss_kb "$i"; done | sort -n | tail -1)"
echo "| daemons | endpoints | bytes sent per second | % of a core | max memory kB | store calls per second: $purposes |"
echo "|---|---|---|---|---|---|"
awk -v d="$daemons" -v e="$endpoints" -v s="$seconds" -v rss="$rss" \
  -v bytes="$((last[0] - first[0]))" -v cpu="$((last[1] - first[1]))" \
  -v a="$((last[2] - first[2]))" -v b="$((last[3] - first[3]))" -v c="$((last[4] - first[4]))" -v n="$((last[5] - first[5]))" \
  'BEGIN {printf "| %d | %d | %.0f | %.2f | %d | %.2f %.2f %.2f %.2f |\n", d, e, bytes / d / s, cpu / d / s, rss, a / d / s, b / d / s, c / d / s, n / d / s}'
