#!/usr/bin/env bash
# The stand-ins of review/4 to review/8 are Python on its standard library: nothing is built but their byte code is
# checked. The entry instances are those of the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PY'
import ast, pathlib, sys
if sys.version_info < (3, 8):
    sys.exit("Python 3.8 or later is needed")
for path in sorted([*pathlib.Path("kit-2").glob("*.py"), *pathlib.Path(".").glob("[4-8]/case.py")]):
    ast.parse(path.read_text(encoding="utf-8"), str(path))
PY
