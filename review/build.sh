#!/bin/sh
# Builds the stand-ins that the scripts start: those of the review and those of
# the project that they use. All are Python and need only what the build of the
# deploy file has put into target/deps.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:. python3 -m compileall -q review tests/harness \
    tests/standins
PYTHONPATH=target/deps:. python3 -c 'import review.rig.deployment'
