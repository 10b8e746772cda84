#!/usr/bin/env bash
# Sends malformed input to the listeners of a daemon built with sanitizers. The
# daemon must then still complete a job and exit without a sanitizer report.
# Usage: listener_fuzz.sh SANITIZED_BUILD SEED ROUNDS
set -euo pipefail
cd "$(dirname "$0")/../.."
export DOGWOODFALL_BUILD="$1" DOGWOODFALL_FIRST_PORT="${DOGWOODFALL_FIRST_PORT:-24000}"
source scripts/cluster.sh

start_store
start_endpoints 1
start_instances
write_instance_list "$(join_entries "$(daemon_entry 1 north)" "$(daemon_entry 9 north)")" "$(endpoint_entry 1 north)"
write_settings 1 north
start_daemon 1
write_configuration
wait_until 20 ctl config apply --store "127.0.0.1:$store_port" --file "$work/configuration.json"
wait_until 20 is_ready 1
# The ports are the peer ports of d1 and the UDP port of d9, which doesn't run.
python3 tests/process/fuzz_listeners.py "$2" "$3" "$(callers_port 1)" \
  $((first_port + 51)) $((first_port + 71)) $((first_port + 79))
python3 tests/process/fuzz_requests.py "$2" "$3" "$(callers_port 1)"
python3 tests/process/fuzz_requests.py "$2" "$(($3 / 4))" "$(operators_port 1)"

jq -n '{customer: "wharf", deadline_ms: 20000, tasks: [range(20) |
  {id: "t\(.)", kind: "check", run_ms: 10, memory_mb: 1, payload: "10"}]}' >"$work/job.json"
ctl submit --callers "127.0.0.1:$(callers_port 1)" --file "$work/job.json" | jq -e '.status == "complete"' >/dev/null
ctl metrics --daemon "127.0.0.1:$(operators_port 1)" | grep -E 'peer_dropped_total'
kill "${daemon_pid[1]}"
exit_code=0
wait "${daemon_pid[1]}" || exit_code=$?
if [ "$exit_code" -ne 0 ] || grep -qE 'AddressSanitizer|runtime error|LeakSanitizer' "$work/d1.log"; then
  tail -50 "$work/d1.log"
  echo "the daemon exited with code $exit_code"
  exit 1
fi
echo "the daemon completed a job after the malformed input and exited without errors"
