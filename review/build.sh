#!/usr/bin/env bash
# Prepares the stand-ins of the cases: they are Python programs without dependencies, so they are only checked.
set -euo pipefail
cd "$(dirname "$0")"
export PYTHONDONTWRITEBYTECODE=1
for file in *.py [0-9]/*.py; do
    python3 - "$file" <<'PYTHON'
import sys
with open(sys.argv[1], encoding="utf-8") as file:
    compile(file.read(), sys.argv[1], "exec")
PYTHON
done
echo "stand-ins checked"
