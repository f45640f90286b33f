#!/bin/sh
# Puts the pinned requirements and the package into target/deps, which is on the path of
# every process. The requirements are installed anew only when their list has changed.
set -eu
cd "$(dirname "$0")/.."
if [ ! target/deps/.installed -nt requirements.lock ]; then
    rm -rf target/deps
    python3 -m pip install --quiet --disable-pip-version-check \
        --target target/deps -r requirements.lock
    touch target/deps/.installed
fi
rm -rf target/deps/heathercleat
cp -r src/heathercleat target/deps/heathercleat
python3 -m compileall -q target/deps
