#!/bin/sh
# Checks that the stand-ins of the cases 6 to 9 compile. They use the standard library
# only and are started from their sources, so nothing else has to be built.
set -eu
cd "$(dirname "$0")"
for file in lib-2/*.py 6/case.py 7/case.py 8/case.py 9/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
