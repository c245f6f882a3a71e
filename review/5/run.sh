#!/bin/sh
# Runs the case; exits with 1 if the rule was broken, 0 if it held, 2 if unrun.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH="$PWD:target/deps" exec python3 -m review.5.case
