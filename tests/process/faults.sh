#!/usr/bin/env bash
# Kills, pauses and stops daemons and takes the store down, under a load with
# resubmissions. No task may start twice, and every answer must agree with the
# starts that the endpoints counted.
# Usage: faults.sh BUILD SEED SECONDS
set -euo pipefail
cd "$(dirname "$0")/../.."
export DOGWOODFALL_BUILD="$1" DOGWOODFALL_FIRST_PORT="${DOGWOODFALL_FIRST_PORT:-24400}"
source scripts/cluster.sh
seconds="$3"

start_store
start_endpoints 6 --slowness-percent 300
start_instances --lag-ms 500
endpoints=()
for i in 1 2 3; do endpoints+=("$(endpoint_entry "$i" north)"); done
for i in 4 5 6; do endpoints+=("$(endpoint_entry "$i" south)"); done
write_instance_list "$(join_entries "$(daemon_entry 1 north)" "$(daemon_entry 2 north)" "$(daemon_entry 3 south)" "$(daemon_entry 4 south)")" "$(join_entries "${endpoints[@]}")"
write_settings 1 north; write_settings 2 north; write_settings 3 south; write_settings 4 south
for i in 1 2 3 4; do start_daemon "$i"; done
write_configuration
wait_until 20 ctl config apply --store "127.0.0.1:$store_port" --file "$work/configuration.json"
for i in 1 2 3 4; do wait_until 20 is_ready "$i"; wait_until 20 has_reachable_peers "$i" 3; done

python3 tests/process/submit_load.py "$2" "$seconds" "$endpoint_port" \
  "$(callers_port 1)" "$(callers_port 2)" "$(callers_port 3)" "$(callers_port 4)" &
load_pid=$!
step_seconds=$((seconds / 6))
sleep "$step_seconds"
echo "kill -9 of d2"; kill -9 "${daemon_pid[2]}"; sleep "$step_seconds"; start_daemon 2
echo "pause of d3 for longer than its leases"; kill -STOP "${daemon_pid[3]}"; sleep 4; kill -CONT "${daemon_pid[3]}"
echo "store is down"; store_control '{"mode":"down"}' >/dev/null; sleep 2
echo "store executes requests but sends no answers"; store_control '{"mode":"lose"}' >/dev/null; sleep 2
store_control '{"mode":"ok"}' >/dev/null
echo "graceful shutdown of d4"; kill "${daemon_pid[4]}"
wait "${daemon_pid[4]}" || { echo "d4 exited with an error"; exit 1; }
start_daemon 4
wait "$load_pid"
endpoint_counts
echo
[ "$(endpoint_counts | jq .repeated)" = 0 ]
echo "no task started twice and every answer agreed with the starts"
