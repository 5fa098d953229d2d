#!/bin/sh
# Compiles every stand-in and program that the cases 6 to 10 start; those that
# several cases share are beside case 6. Their
# dependencies are those of the deploy file's build, in target/deps.
set -eu
cd "$(dirname "$0")/.."
if [ ! -d target/deps/savorylift ]; then
    echo "build the deploy file first" >&2
    exit 2
fi
python3 -m compileall -q tests/standins tests/harness
for number in 6 7 8 9 10; do
    if [ -d "review/$number" ]; then
        python3 -m compileall -q "review/$number"
    fi
done
PYTHONPATH="target/deps:.:review/6" python3 -c "import deployment"
