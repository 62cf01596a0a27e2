#!/usr/bin/env bash
# Checks the stand-ins of the cases; they are Python and need no other build.
set -euo pipefail
root="$(cd "$(dirname "$0")/.." && pwd)"
export PYTHONPATH="$root/target/deps" PYTHONDONTWRITEBYTECODE=1
for file in "$root"/review/standins.py "$root"/review/*/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
python3 -c "import sys; sys.path.insert(0, '$root/review'); import standins"
