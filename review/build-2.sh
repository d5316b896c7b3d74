#!/usr/bin/env bash
# The stand-ins of review/6 to review/10 are Python 3 (3.11, standard library): nothing to compile, only checked.
set -euo pipefail
cd "$(dirname "$0")"
python3 - common-2/stage.py 6/case.py 7/case.py 8/case.py 9/case.py 10/case.py <<'CHECK'
import ast, pathlib, sys, tomllib
for name in sys.argv[1:]:
    if pathlib.Path(name).exists():
        ast.parse(pathlib.Path(name).read_text(), name)
CHECK
