#!/bin/sh
# Builds the stand-ins that the scripts start. They are review/lib/standins.py alone,
# which needs only Python's standard library, so that compiling it is all there is to do.
# Run `sh deploy/build.sh` before: the scripts start the programs in target/deps.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q lib 1 2 3 4
