"""Exit codes of the operators' program."""

from __future__ import annotations

OK = 0
# The input is refused: findings are printed, nothing was changed.
FINDINGS = 1
# Wrong flags, arguments or settings (click's own code).
USAGE = 2
# Another operator was faster: nothing was changed.
LOST_RACE = 3
# The store does not answer, or holds a record that cannot be read.
STORE_UNAVAILABLE = 4
# The change may have been accepted: look into the audit trail.
UNKNOWN_OUTCOME = 5
# Not in force everywhere, or a target is missed.
NOT_FULFILLED = 6
# Ended by the operator (Ctrl-C), as shells count it.
INTERRUPTED = 130
