#!/usr/bin/env bash
# Builds the stand-ins that the scripts of folders 4 to 8, lab and rig start.
# They are Python modules and use what the build of the deploy file has put into
# target/deps.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH="$PWD:$PWD/target/deps" python3 -m compileall -q \
  --invalidation-mode checked-hash review/lab review/rig review/[4-8] standins
