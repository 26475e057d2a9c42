#!/usr/bin/env bash
# Builds the stand-ins: they are Python without packages, so this only checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins.py */case.py; do
    python3 - "$file" <<'CHECK'
import ast
import sys

ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])
CHECK
done
