#!/usr/bin/env bash
# Checks that the stand-ins compile; they need Python's standard library only.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PY'
import pathlib

for path in sorted(pathlib.Path(".").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
PY
