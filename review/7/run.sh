#!/usr/bin/env bash
# Plays the case; writes record.txt. Exits with 1 if the rule was broken, 0 if
# it held, 2 if the case couldn't run. TROUBLE=0 leaves out the disruption.
here="$(cd "$(dirname "$0")" && pwd)" || exit 2
cd "$here/../.." || exit 2
command -v python3 >/dev/null || exit 2
exec python3 "$here/case.py"
