#!/usr/bin/env bash
# Runs the case: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/release/snowshelf ] || { echo "target/release/snowshelf is not built" >&2; exit 2; }
PYTHONDONTWRITEBYTECODE=1 timeout -k 3 116 python3 case.py
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
