#!/bin/sh
# Installs the node with only its run-time dependencies, and compiles all of it
# to bytecode.
set -eu
rm -rf target/deps
python3 -m pip install --quiet --no-compile --target target/deps \
    --requirement deploy/requirements.txt
cp -R src/savorylift target/deps/savorylift
python3 -m compileall -q target/deps
