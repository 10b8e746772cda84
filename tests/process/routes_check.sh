#!/usr/bin/env bash
# Checks the exit codes and the output of dogwoodfallctl routes check, which
# scripts of operators test.
# Usage: routes_check.sh BUILD
set -euo pipefail
ctl="$1/apps/dogwoodfallctl"
work="$(mktemp -d)"
trap 'rm -rf "$work"' EXIT
cat >"$work/good.json" <<'JSON'
{"version": 8,
 "routes": [{"name": "plan", "host": "desk.example", "prefix": "/plan/",
             "service": "dispatch", "targetLatencyMs": 60, "timeoutMs": 1500}],
 "services": [{"name": "dispatch"}], "limits": {}}
JSON
sed 's/1500/0/' "$work/good.json" >"$work/contradiction.json"
sed 's/8/9/' "$work/good.json" >"$work/newer.json"
echo '{' >"$work/broken.json"

failure_count=0
# expect STATUS TEXT ARGUMENTS...: checks the exit code and a part of the output.
expect() {
  local status="$1" text="$2" actual=0 output
  shift 2
  output="$("$ctl" routes check "$@" 2>&1)" || actual=$?
  if [ "$actual" != "$status" ] || [[ "$output" != *"$text"* ]]; then
    echo "expected $status and '$text', got $actual: $output"
    failure_count=$((failure_count + 1))
  fi
}
expect 0 "0 findings" --file "$work/good.json"
expect 1 "contradiction /routes/0/timeoutMs" --file "$work/contradiction.json"
expect 1 '"path": "/routes/0/timeoutMs"' --file "$work/contradiction.json" --json
expect 1 "not_newer /version" --file "$work/good.json" --against "$work/newer.json"
expect 0 "0 differences" --file "$work/newer.json" --against "$work/good.json"
expect 2 "JSON" --file "$work/broken.json"
expect 2 "JSON" --file "$work/good.json" --against "$work/broken.json"
expect 2 "--file" --file "$work/missing.json"
expect 2 "--against" --file "$work/good.json" --against "$work/missing.json"
expect 2 "" --files x
[ "$failure_count" = 0 ] && echo "routes check: all as expected"
