#!/usr/bin/env bash
# Runs the fault soak briefly with each seed in tests/soak/seeds.txt.
# Usage: soak.sh BUILD
set -euo pipefail
cd "$(dirname "$0")/../.."
grep -v '^#' tests/soak/seeds.txt | while read -r seed seconds _; do
  python3 tests/soak/soak.py "$1/apps/dogwoodfalld" --seed "$seed" \
    --seconds "$seconds" --first-port $((24700 + 20 * (seed % 50)))
done
