# Function for measurements: starts a cluster; to be sourced after cluster.sh.

# start_cluster DAEMONS ENDPOINTS ZONES: daemons and endpoints in turn in zones.
start_cluster() {
  local daemons=() endpoints=() i
  for i in $(seq 1 "$1"); do
    daemons+=("$(daemon_entry "$i" "z$((i % $3))")")
    write_settings "$i" "z$((i % $3))"
  done
  for i in $(seq 1 "$2"); do endpoints+=("$(endpoint_entry "$i" "z$((i % $3))")"); done
  start_store
  start_endpoints "$2"
  start_instances
  write_list "$(join_entries "${daemons[@]}")" "$(join_entries "${endpoints[@]}")"
  for i in $(seq 1 "$1"); do start_daemon "$i"; done
  write_lists
  wait_until 20 ctl config apply --store "127.0.0.1:$store_port" --file "$work/lists.json"
  for i in $(seq 1 "$1"); do wait_until 30 is_ready "$i"; wait_until 30 sees_peers "$i" $(($1 - 1)); done
}

# metric DAEMON NAME: the value of a metric with its labels.
metric() {
  curl -s "http://127.0.0.1:$(operators_port "$1")/metrics" | awk -v name="dogwoodfall_$2" '$1 == name {print $2}'
}

# sum_metric DAEMONS NAME: the sum over daemons 1 to DAEMONS.
sum_metric() {
  local i
  for i in $(seq 1 "$1"); do metric "$i" "$2"; done | awk '{sum += $1} END {printf "%d", sum}'
}

# cpu_ticks DAEMON: processor time so far, in hundredths of a second.
cpu_ticks() { awk '{print $14 + $15}' "/proc/${daemon_pid[$1]}/stat"; }
rss_kb() { awk '/VmRSS/ {print $2}' "/proc/${daemon_pid[$1]}/status"; }
