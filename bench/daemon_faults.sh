#!/usr/bin/env bash
# Seeds of daemon faults, and those with two runs of a task: scripts/measure daemon_faults --mix NAME [--seed N] [--seeds COUNT]
set -euo pipefail
exec "${DOGWOODFALL_BUILD:-build}/tests/daemon_faults" "$@"
