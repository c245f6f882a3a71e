"""Short soak test with daemons that are separate processes."""

from __future__ import annotations

import unittest

from tests.platform import soaking

_SEEDS = (1, 2, 10)


class SoakTest(unittest.IsolatedAsyncioTestCase):
    async def test_maintenance_does_not_affect_callers(self) -> None:
        """Guards against maintenance that loses, refuses or repeats calls."""
        for seed in _SEEDS:
            with self.subTest(seed=seed):
                result = await soaking.Soak(seed).run()
                self.assertEqual(result.violations, [])
                self.assertGreater(result.response_counts["200"], 0)
