#!/bin/sh
# Builds the stand-ins that the cases start, after the build of the deploy file.
# They are Python modules, run with the libraries of that build.
cd "$(dirname "$0")/.." || exit 2
export PYTHONPATH="$PWD:$PWD/target/deps"
[ -d target/deps ] || { echo "build the deploy file first" >&2; exit 1; }
python3 -m compileall -q standins review || exit 1
exec python3 -c "from review.lib import consumer, deployment, runner"
