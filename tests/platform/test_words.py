"""Checks that terms of the platform only occur in the adapter."""

from __future__ import annotations

import pathlib
import re
import unittest

_PACKAGE = pathlib.Path(__file__).parents[2] / "merlintrestle"
_ADAPTER = _PACKAGE / "platform"
# Headers, methods, keys, fields and settings of the platform.
_TERMS = re.compile(
    r"X-Attempt|X-Deadline|X-Target-Instance|X-Caller-Service|X-Not-Executed"
    r"|X-Response-Signature|X-Served-By|X-Server-Load|X-Tenant"
    r"|Server-Limit|Server-Leaving|Store-Era"
    r"|kv-(key|range|watch|txn|lease|keep)|op/config|Instances\."
    r"|maxAttempts|timeoutMs|targetLatencyMs|coldRemainingMs|heartbeatMs"
    r"|tenants|apiKeys|allowAnonymous|ratePerS"
    r"|non_idempotent|retryBudgetRatio|internalPorts|sidecar"
)
_MAX_LINES = 1500


class TermsTest(unittest.TestCase):
    def test_platform_terms_occur_only_in_the_adapter(self):
        """Guards against other code that depends on the platform."""
        matches = [
            f"{path.relative_to(_PACKAGE)}: {match.group()}"
            for path in sorted(_PACKAGE.rglob("*.py"))
            if _ADAPTER not in path.parents
            for match in _TERMS.finditer(path.read_text())
        ]
        self.assertEqual(matches, [])

    def test_the_adapter_is_small(self):
        """Guards against decisions in the adapter, which only translates."""
        line_count = sum(
            len(path.read_text().splitlines())
            for path in _ADAPTER.rglob("*.py")
        )
        self.assertLess(line_count, _MAX_LINES)
