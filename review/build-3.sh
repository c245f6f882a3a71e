#!/usr/bin/env bash
# Builds the stand-ins of the cases 9 to 13: compiles them. They need Python's
# standard library alone; the daemons come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q stage
