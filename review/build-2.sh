#!/usr/bin/env bash
# Prepares the stand-ins of the cases 6 to 10. They are Python scripts that need
# only the standard library, so nothing is compiled; this checks that they load.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B -c 'import sys; sys.path.insert(0, "stand_ins_2"); import fleet'
