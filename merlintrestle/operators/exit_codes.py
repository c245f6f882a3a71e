"""Exit codes of the operators' program."""

from __future__ import annotations

OK = 0
# The input was refused: findings were printed, nothing was changed. Also:
# `explain` found no line about the request.
FINDINGS = 1
# Wrong flags, arguments or settings; click uses the same code. Also: `explain`
# cannot read a log file.
USAGE = 2
# A change of another operator was accepted first: nothing was changed. Also:
# another operator ordered a roll-out first, or a roll-out was complete before
# it was aborted.
LOST_RACE = 3
# The store does not answer or has a record that cannot be read.
STORE_UNAVAILABLE = 4
# The change may have been accepted: the audit trail shows the outcome. Also: a
# roll-out may have been ordered or aborted, which its status shows.
UNKNOWN_OUTCOME = 5
# The version is not in force everywhere, or a target is missed. Also: the
# status of the fleet is unknown, or a roll-out is not complete.
NOT_FULFILLED = 6
# Interrupted by the operator (Ctrl-C): 128 plus the number of SIGINT, as shells
# report it.
INTERRUPTED = 130
