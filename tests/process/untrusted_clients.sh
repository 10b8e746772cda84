#!/usr/bin/env bash
# Attacks the listeners of a daemon with clients that are not controlled. The
# process must live, its memory and descriptors stay under a bound, and an
# ordinary request must be answered afterwards. No times are checked.
# With `fuzz`, sends malformed requests instead, which depend on the seed only.
# Usage: untrusted_clients.sh BUILD own|fleet lines|heads|bodies|unread
#        untrusted_clients.sh BUILD own|fleet fuzz SEED ROUNDS
set -euo pipefail
cd "$(dirname "$0")/../.."
kind="$2" attack="$3"
export DOGWOODFALL_BUILD="$1" DOGWOODFALL_FIRST_PORT="${DOGWOODFALL_FIRST_PORT:-25200}"
source scripts/cluster.sh

# The limits of an instance with little memory. A setting that the build does
# not list is left out, since unknown settings are errors there.
memory_mb=64
add_memory_limit() {
  if "$build/apps/dogwoodfalld" --list-settings | grep -q '^| /limits/memory_mb '; then
    jq ".limits += {memory_mb: $memory_mb}" "$work/d1.json" >"$work/d1.new"
    mv "$work/d1.new" "$work/d1.json"
  fi
}

if [ "$kind" = own ]; then
  start_store
  start_endpoints 1
  start_instances
  write_instance_list "$(daemon_entry 1 north)" "$(endpoint_entry 1 north)"
  write_settings 1 north
  add_memory_limit
  start_daemon 1
  write_configuration
  wait_until 20 ctl config apply --store "127.0.0.1:$store_port" --file "$work/configuration.json"
  wait_until 20 is_ready 1
else
  start_process stand_ins.log python3 tests/process/fleet_stand_ins.py "$store_port" "$endpoint_port"
  cat >"$work/d1.json" <<SETTINGS
{"fleet": true, "daemon": {"id": "north1", "zone": "north", "cores": 0.25},
 "callers": {"address": "127.0.0.1:$(callers_port 1)"},
 "readiness": {"address": "127.0.0.1:$((first_port + 3))"},
 "operators": {"address": "127.0.0.1:$(operators_port 1)"},
 "peers": {"port": $((first_port + 51))},
 "store": {"address": "127.0.0.1:$store_port"}}
SETTINGS
  add_memory_limit
  start_daemon 1
fi
if [ "$attack" = fuzz ]; then
  wait_until 20 curl -s "http://127.0.0.1:$(operators_port 1)/metrics"
  python3 tests/process/fuzz_requests.py "$4" "$5" "$(callers_port 1)"
  python3 tests/process/fuzz_requests.py "$4" "$(($5 / 4))" "$(operators_port 1)"
fi
other_ports=("$(operators_port 1)")
[ "$kind" = own ] || other_ports+=($((first_port + 3)))
python3 tests/process/untrusted_clients.py "$kind" "$attack" "${daemon_pid[1]}" \
  "$(callers_port 1)" "${other_ports[@]}" || {
  tail -20 "$work/d1.log" | cut -c1-300
  exit 1
}
