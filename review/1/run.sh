#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" || exit 2
command -v python3 >/dev/null || { echo "python3 is missing"; exit 2; }
[ -x ../../target/release/snowshelf ] || { echo "target/release/snowshelf is missing"; exit 2; }
export PYTHONDONTWRITEBYTECODE=1
python3 -c 'import asyncio, sys; sys.exit(sys.version_info < (3, 8))' || { echo "python3 is too old"; exit 2; }
timeout --kill-after=2 117 python3 case.py
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
