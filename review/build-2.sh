#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8. They are Python programs that need the standard library alone, so that
# building them is compiling them to byte code, which finds an interpreter that is missing or too old.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(0 if sys.version_info >= (3, 8) else "Python 3.8 or later is needed")'
for file in standins2/*.py [4-8]/*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
echo "stand-ins are ready"
