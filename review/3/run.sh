#!/bin/sh
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH="$PWD:$PWD/target/deps" PYTHONDONTWRITEBYTECODE=1
exec python3 review/3/case.py
