#!/usr/bin/env bash
# The stand-ins of the cases are Python scripts on the standard library: nothing is compiled. Checks that
# Python is there and takes them.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - <<'CHECK'
import ast
import pathlib
import sys

if sys.version_info < (3, 8):
    sys.exit("Python 3.8 or later is required")
for path in sorted(pathlib.Path(".").rglob("*.py")):
    ast.parse(path.read_text(encoding="utf-8"), str(path))
CHECK
