#!/usr/bin/env bash
# The stand-ins of the cases are Python programs that need only its standard library: nothing is compiled. Checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PY'
import ast
import pathlib
for file in sorted(pathlib.Path(".").rglob("*.py")):
    ast.parse(file.read_text(encoding="utf-8"), str(file))
PY
