#!/usr/bin/env bash
# Processor time per start and memory per known submission, by number of tasks in a job
set -euo pipefail
export DOGWOODFALL_FIRST_PORT="${DOGWOODFALL_FIRST_PORT:-25400}"
source scripts/cluster.sh
source scripts/cluster_of.sh
seconds="${1:-8}"
start_cluster 4 20 2
sleep 3
ports="$(callers_port 1),$(callers_port 2),$(callers_port 3),$(callers_port 4)"
totals() {
  for i in 1 2 3 4; do echo "$(cpu_ticks "$i") $(rss_kb "$i") $(metric "$i" submissions_known) $(metric "$i" 'peer_bytes_total{way="sent"}')"; done |
    awk '{c += $1; r += $2; n += $3; b += $4} END {print c, r, n, b}'
}
echo "| tasks per job | jobs/s | starts/s | core time per start, us | task batches per job | peer bytes per start | bytes per known submission | p50 ms | p99 ms | wasted messages per start | codes |"
echo "|---|---|---|---|---|---|---|---|---|---|---|"
for tasks in 1 20 100; do
  rate=$((2000 / tasks))
  read -r cpu rss known bytes <<<"$(totals)"
  batches="$(for i in 1 2 3 4; do ctl state --daemon "127.0.0.1:$(operators_port "$i")" --module counters | jq .task_batches; done | awk '{s += $1} END {print s}')"
  result="$("$build/stand_ins/caller_load" --ports "$ports" --ids minted --rate "$rate" --seconds "$seconds" --tasks "$tasks" --run-ms 5 --seed 1)"
  read -r cpu2 rss2 known2 bytes2 <<<"$(totals)"
  batches2="$(for i in 1 2 3 4; do ctl state --daemon "127.0.0.1:$(operators_port "$i")" --module counters | jq .task_batches; done | awk '{s += $1} END {print s}')"
  jq -r --argjson tasks "$tasks" --argjson rate "$rate" --argjson s "$seconds" --argjson cpu $((cpu2 - cpu)) --argjson rss $((rss2 - rss)) \
    --argjson known $((known2 - known)) --argjson bytes "$(awk -v a="$bytes" -v b="$bytes2" 'BEGIN {printf "%d", b - a}')" --argjson batches $((batches2 - batches)) \
    '"| \($tasks) | \($rate) | \(.starts / $s | round) | \($cpu * 10000 / .starts | round) | \($batches / .jobs * 100 | round / 100) | \($bytes / .starts | round) | \($rss * 1024 / ([$known, 1] | max) | round) | \(.p50_ms * 10 | round / 10) | \(.p99_ms * 10 | round / 10) | \(.wasted / .starts * 1000 | round / 1000) | \(.codes | tojson) |"' <<<"$result"
done
