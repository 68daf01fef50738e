#!/bin/sh
# Copies the libraries of the entry and the agent, and installs the third-party
# packages that they require, to target/deps.
set -eu
mark=target/.requirements
if [ ! -f "$mark" ] || ! cmp -s deploy/requirements.txt "$mark"; then
    rm -rf target/deps
    python3 -m pip install --quiet --disable-pip-version-check --no-deps \
        --target target/deps -r deploy/requirements.txt
    cp deploy/requirements.txt "$mark"
fi
for library in core config table policy http held; do
    rm -rf "target/deps/endivetally_$library"
    cp -R "libs/endivetally-$library/src/endivetally_$library" target/deps/
done
rm -rf target/deps/endivetally_platform
cp -R platform/src/endivetally_platform target/deps/
# Nothing can be written at run time, so a module that is not compiled here is
# compiled again at each start. Copying changes modification times, so the bytecode
# is tied to the hash of its source instead.
python3 -m compileall -q -f --invalidation-mode unchecked-hash target/deps/endivetally_*
