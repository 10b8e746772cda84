#!/usr/bin/env bash
# Sends invalid requests to a running daemon. Each must be refused with its own
# result code; none may start a task, a valid job must still complete, and the
# daemon's memory must stay bounded.
# Usage: bad_input.sh BUILD
set -euo pipefail
cd "$(dirname "$0")/../.."
export DOGWOODFALL_BUILD="$1" DOGWOODFALL_FIRST_PORT="${DOGWOODFALL_FIRST_PORT:-24200}"
source scripts/cluster.sh

start_store
start_endpoints 1
start_instances
write_instance_list "$(daemon_entry 1 north)" "$(endpoint_entry 1 north)"
write_settings 1 north
jq '.callers += {max_connections: 20, read_timeout_ms: 1500, max_body_bytes: 200000}' "$work/d1.json" >"$work/d1.new"
mv "$work/d1.new" "$work/d1.json"
start_daemon 1
url="http://127.0.0.1:$(callers_port 1)"

failure_count=0
# expect CODE HTTP_STATUS CURL_ARGUMENTS...: checks that a request is refused
# with this result code and HTTP status, and with state not_started.
expect() {
  local code="$1" status="$2" actual
  shift 2
  actual="$(curl -s -w ' %{http_code}' "$@" | jq -rs '"\(.[0].code) \(.[1]) \(.[0].state)"' 2>/dev/null || true)"
  if [ "$actual" != "$code $status not_started" ]; then
    echo "expected $code $status, got '$actual' for: ${*:0:200}"
    failure_count=$((failure_count + 1))
  fi
}

# job JQ_FILTER: prints a valid job after the filter has changed it.
job() { jq -nc "{customer: \"wharf\", deadline_ms: 1000, tasks: [{id: \"a\", kind: \"k\", run_ms: 1, memory_mb: 1, payload: \"1\"}]} | $1"; }

wait_until 20 curl -s "$url/"
expect 203 503 -d "$(job .)" "$url/v1/jobs"
write_configuration
wait_until 20 ctl config apply --store "127.0.0.1:$store_port" --file "$work/configuration.json"
wait_until 20 is_ready 1
expect 100 400 -d '{' "$url/v1/jobs"
expect 100 400 -d '' "$url/v1/jobs"
expect 103 400 -d "$(job '.tasks = []')" "$url/v1/jobs"
expect 104 400 -d "$(job '.tasks += .tasks')" "$url/v1/jobs"
expect 105 400 -d "$(job '.deadline_ms = -1')" "$url/v1/jobs"
expect 105 400 -d "$(job '.tasks[0].run_ms = 1e300')" "$url/v1/jobs"
expect 106 403 -d "$(job '.customer = "nobody"')" "$url/v1/jobs"
expect 107 404 -d '{}' "$url/v2/jobs"
expect 108 405 "$url/v1/jobs"
expect 109 400 -d "$(job '.id = "no time"')" "$url/v1/jobs"
expect 113 400 -d "$(job '.colour = 1')" "$url/v1/jobs"
expect 202 422 -d "$(job '.tasks[0].memory_mb = 999999')" "$url/v1/jobs"
job '.tasks = [range(1501) | {id: "t\(.)", kind: "k", run_ms: 1, memory_mb: 1}]' >"$work/many.json"
expect 102 400 -d "@$work/many.json" "$url/v1/jobs"
head -c 400000 /dev/zero | tr '\0' 'x' >"$work/large"
expect 101 413 -H 'Expect:' -d "@$work/large" "$url/v1/jobs"

# Callers that never complete a request use up all connections of the listener.
# Further callers must be refused, and jobs accepted again after the read timeout.
python3 - "$(callers_port 1)" <<'PYTHON' &
import socket, sys, time
connections = []
for i in range(30):
    connection = socket.create_connection(("127.0.0.1", int(sys.argv[1])))
    connection.sendall(b"POST /v1/jobs HTTP/1.1\r\nContent-Length: 9\r\n")
    connections.append(connection)
time.sleep(3)
PYTHON
slow_callers_pid=$!
sleep 0.5
expect 205 503 -d "$(job .)" "$url/v1/jobs"
wait "$slow_callers_pid"
wait_until 10 bash -c "curl -s -d '$(job .)' '$url/v1/jobs' | jq -e '.status == \"complete\"'"

# The daemon must not buffer a body beyond the size limit.
head -c 50000000 /dev/zero | curl -s -m 10 -H 'Expect:' --data-binary @- "$url/v1/jobs" >/dev/null || true
rss_kb="$(awk '/VmRSS/ {print $2}' "/proc/${daemon_pid[1]}/status")"
echo "resident memory after a body of 50 MB: $rss_kb kB"
[ "$rss_kb" -lt 131072 ] || failure_count=$((failure_count + 1))
starts="$(endpoint_counts | jq .starts)"
[ "$starts" = 1 ] || { echo "endpoints started $starts tasks, expected 1"; failure_count=$((failure_count + 1)); }
[ "$failure_count" = 0 ]
echo "every invalid request was refused with its result code"
