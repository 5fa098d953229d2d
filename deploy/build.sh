#!/bin/sh
# Installs the node with only its run-time dependencies, and compiles all of it
# to bytecode. Built beside what is in use: processes may start meanwhile.
set -eu
new=target/deps.new.$$
old=target/deps.old.$$
trap 'rm -rf "$new" "$old"' EXIT
python3 -m pip install --quiet --no-compile --target "$new" \
    --requirement deploy/requirements.txt
cp -R src/savorylift "$new/savorylift"
python3 -m compileall -q -s "$new" -p target/deps "$new"
if [ -e target/deps ]; then
    mv target/deps "$old"
fi
mv "$new" target/deps
