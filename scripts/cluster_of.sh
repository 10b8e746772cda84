# Functions that start a cluster and read its metrics for the measurements in
# bench/; to be sourced after cluster.sh.

# start_cluster DAEMONS ENDPOINTS ZONES: starts daemons and endpoints, spread over
# the zones in turn, and waits until all daemons are ready and reach each other.
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
  write_instance_list "$(join_entries "${daemons[@]}")" "$(join_entries "${endpoints[@]}")"
  for i in $(seq 1 "$1"); do start_daemon "$i"; done
  write_configuration
  wait_until 20 ctl config apply --store "127.0.0.1:$store_port" --file "$work/configuration.json"
  for i in $(seq 1 "$1"); do wait_until 30 is_ready "$i"; wait_until 30 has_reachable_peers "$i" $(($1 - 1)); done
}

# metric DAEMON NAME: prints the value of a metric; NAME includes the labels, but
# not the prefix dogwoodfall_.
metric() {
  curl -s "http://127.0.0.1:$(operators_port "$1")/metrics" | awk -v name="dogwoodfall_$2" '$1 == name {print $2}'
}

# sum_metric DAEMONS NAME: prints the sum of a metric over daemons 1 to DAEMONS.
sum_metric() {
  local i
  for i in $(seq 1 "$1"); do metric "$i" "$2"; done | awk '{sum += $1} END {printf "%d", sum}'
}

# cpu_ticks DAEMON: prints the processor time used so far, in 1/100 s.
cpu_ticks() { awk '{print $14 + $15}' "/proc/${daemon_pid[$1]}/stat"; }
# rss_kb DAEMON: prints the resident memory in kB.
rss_kb() { awk '/VmRSS/ {print $2}' "/proc/${daemon_pid[$1]}/status"; }
