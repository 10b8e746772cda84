#!/usr/bin/env bash
# Long stateful fuzz test of submissions: scripts/measure fuzz [SEEDS] [CASES]
set -euo pipefail
seeds="${1:-6}"
cases="${2:-3500}"
logs="$(mktemp -d)"
trap 'rm -rf "$logs"' EXIT
pids=()
for seed in $(seq 1001 $((1000 + seeds))); do
  RC_PARAMS="seed=$seed max_success=$cases max_size=200" \
    "${DOGWOODFALL_BUILD:-build}/tests/unit_tests" --gtest_filter='SubmissionFuzz*' >"$logs/$seed" 2>&1 &
  pids+=($!)
done
failed=0
for pid in "${pids[@]}"; do wait "$pid" || failed=$((failed + 1)); done
grep -h -A12 Falsifiable "$logs"/* || true
awk '/^steps/ {steps += $2; starts += $4; ok += $7} END {print "steps " steps ", starts " starts ", complete answers " ok}' "$logs"/*
echo "seeds that failed: $failed"
[ "$failed" -eq 0 ]
