"""The platform's words stand in the adapter alone."""

from __future__ import annotations

import pathlib
import re
import unittest

_PACKAGE = pathlib.Path(__file__).parents[2] / "merlintrestle"
_ADAPTER = _PACKAGE / "platform"
# Headers, calls, keys, fields and settings of the platform.
_WORDS = re.compile(
    r"X-Attempt|X-Deadline|X-Target-Instance|X-Caller-Service|X-Not-Executed"
    r"|X-Response-Signature|X-Served-By|X-Server-Load"
    r"|kv-(key|range|watch|txn|lease|keep)|op/config|Instances\."
    r"|maxAttempts|timeoutMs|targetLatencyMs|coldRemainingMs|heartbeatMs"
    r"|non_idempotent|retryBudgetRatio|internalPorts|sidecar"
)
_MOST_LINES = 1500


class WordsTest(unittest.TestCase):
    def test_no_word_of_the_platform_outside_the_adapter(self):
        found = [
            f"{path.relative_to(_PACKAGE)}: {match.group()}"
            for path in sorted(_PACKAGE.rglob("*.py"))
            if _ADAPTER not in path.parents
            for match in _WORDS.finditer(path.read_text())
        ]
        self.assertEqual(found, [])

    def test_the_adapter_is_small(self):
        lines = sum(
            len(path.read_text().splitlines())
            for path in _ADAPTER.rglob("*.py")
        )
        self.assertLess(lines, _MOST_LINES)
