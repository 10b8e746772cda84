# Functions that start daemons and stand-ins on loopback; to be sourced. Kills
# every process that was started, by its id, when the shell exits.

build="${DOGWOODFALL_BUILD:-build}"
first_port="${DOGWOODFALL_FIRST_PORT:-23000}"
store_port=$((first_port + 1))
instances_port=$((first_port + 2))
endpoint_port=$((first_port + 100))
work="$(mktemp -d)"
pids=()
declare -A daemon_pid

stop_all() {
  local code=$?
  for pid in "${pids[@]}"; do
    kill -CONT "$pid" 2>/dev/null || true
    kill -9 "$pid" 2>/dev/null || true
  done
  wait 2>/dev/null || true
  rm -rf "$work"
  exit "$code"
}
trap stop_all EXIT

# start_process LOG COMMAND...: starts a process in the background, writes its
# output to $work/LOG and sets $last_pid.
start_process() {
  local log="$1"
  shift
  "$@" >"$work/$log" 2>&1 &
  last_pid=$!
  pids+=("$last_pid")
}

callers_port() { echo $((first_port + 10 + $1)); }
operators_port() { echo $((first_port + 30 + $1)); }

# daemon_entry NUMBER ZONE: prints a daemon's entry in the list of instances.
daemon_entry() {
  echo "{\"id\":\"d$1\",\"zone\":\"$2\",\"ip\":\"127.0.0.1\",\"peer_tcp_port\":$((first_port + 50 + $1)),\"peer_udp_port\":$((first_port + 70 + $1))}"
}

# endpoint_entry NUMBER ZONE [STATE]: prints an endpoint's entry in the list of
# instances.
endpoint_entry() {
  echo "{\"id\":\"endpoint$1\",\"zone\":\"$2\",\"rack\":\"r1\",\"ip\":\"127.0.0.1\",\"port\":$((endpoint_port + $1 - 1)),\"slots\":8,\"memory_mb\":64000,\"state\":\"${3:-live}\"}"
}

join_entries() { local IFS=,; echo "$*"; }

# write_instance_list "DAEMONS" "ENDPOINTS": replaces the list of instances. The
# file is renamed into place, so that the stand-in never reads half of it.
write_instance_list() {
  echo "{\"daemons\":[$1],\"endpoints\":[$2]}" >"$work/instances.new"
  mv "$work/instances.new" "$work/instances.json"
}

# write_settings NUMBER ZONE: writes the settings file of a daemon.
write_settings() {
  cat >"$work/d$1.json" <<SETTINGS
{"daemon": {"id": "d$1", "zone": "$2"},
 "callers": {"ip": "127.0.0.1", "port": $(callers_port "$1")},
 "operators": {"ip": "127.0.0.1", "port": $(operators_port "$1")},
 "peers": {"ip": "127.0.0.1", "tcp_port": $((first_port + 50 + $1)),
           "udp_port": $((first_port + 70 + $1))},
 "store": {"ip": "127.0.0.1", "port": $store_port},
 "instances": {"ip": "127.0.0.1", "port": $instances_port}}
SETTINGS
}

# start_daemon NUMBER: starts a daemon and sets its entry in daemon_pid.
start_daemon() {
  start_process "d$1.log" "$build/apps/dogwoodfalld" --settings "$work/d$1.json"
  daemon_pid[$1]=$last_pid
}

start_store() { start_process store.log "$build/stand_ins/store_stand_in" --port "$store_port"; store_pid=$last_pid; }
start_instances() { start_process instances.log "$build/stand_ins/instances_stand_in" --port "$instances_port" --file "$work/instances.json" "$@"; }

# start_endpoints COUNT [OPTIONS]: starts one stand-in for COUNT endpoints.
start_endpoints() {
  local count="$1"
  shift
  start_process endpoints.log "$build/stand_ins/endpoint_stand_in" --count "$count" --first-port "$endpoint_port" "$@"
}

ctl() { "$build/apps/dogwoodfallctl" "$@"; }

# wait_until SECONDS COMMAND...: repeats a command until it succeeds; fails after
# SECONDS.
wait_until() {
  local end=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    [ "$SECONDS" -lt "$end" ] || { echo "timed out waiting for: $*" >&2; return 1; }
    sleep 0.1
  done
}

is_ready() { ctl ready --daemon "127.0.0.1:$(operators_port "$1")"; }

# has_reachable_peers NUMBER COUNT: succeeds when at least COUNT peers are
# reachable from the daemon.
has_reachable_peers() {
  local reachable
  reachable="$(ctl state --daemon "127.0.0.1:$(operators_port "$1")" --module membership | jq '[.daemons[] | select(.reachable)] | length')"
  [ "$reachable" -ge "$2" ]
}

endpoint_counts() { curl -s "http://127.0.0.1:$endpoint_port/v1/counts"; }
store_control() { curl -s -d "$1" "http://127.0.0.1:$store_port/control"; }

# write_configuration: writes a configuration with two customers on one plan.
write_configuration() {
  cat >"$work/configuration.json" <<CONFIGURATION
{"revision": 1,
 "customers": {"wharf": "standard", "depot": "standard"},
 "plans": {"standard": {"weight": 1, "tasks_at_once": 100000,
   "starts_per_second": 100000, "queued_tasks": 100000, "endpoints": ["*"]}}}
CONFIGURATION
}
