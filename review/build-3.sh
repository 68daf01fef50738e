#!/bin/sh
# Checks the stand-ins of the cases 11 to 15. They are in review/lib-3, in Python with
# its standard library alone, so nothing has to be built for them.
set -eu
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 python3 - <<'CHECK'
import ast
import pathlib
for path in sorted(pathlib.Path('review/lib-3').glob('*.py')):
    ast.parse(path.read_text())
CHECK
test -d target/deps/endivetally_platform || sh deploy/build.sh
