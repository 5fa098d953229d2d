#!/bin/sh
# Installs the node and just the libraries that it imports, as bytecode too.
set -eu
rm -rf target/deps
python3 -m pip install --quiet --no-compile --target target/deps \
    --requirement deploy/requirements.txt
cp -R src/savorylift target/deps/savorylift
python3 -m compileall -q target/deps
