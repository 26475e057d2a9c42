#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" || exit 2
command -v python3 >/dev/null || { echo "python3 is missing"; exit 2; }
[ -x ../../target/release/snowshelf ] || { echo "target/release/snowshelf is missing"; exit 2; }
PYTHONDONTWRITEBYTECODE=1 exec timeout --kill-after=3 118 python3 case.py
