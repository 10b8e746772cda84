#!/usr/bin/env bash
# The stand-ins are Python programs that need only the standard library. There
# is nothing to build; this checks that they can be loaded.
set -euo pipefail
cd "$(dirname "$0")/stand_ins"
PYTHONDONTWRITEBYTECODE=1 python3 -c "import deployment, store, worker"
