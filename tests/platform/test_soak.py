"""A short soak of daemons that are processes of their own."""

from __future__ import annotations

import unittest

from tests.platform import soaking

_SEEDS = (1, 2, 10)


class SoakTest(unittest.IsolatedAsyncioTestCase):
    async def test_planned_work_harms_no_caller(self) -> None:
        """Guards against work lost, refused or run twice by planned work."""
        for seed in _SEEDS:
            with self.subTest(seed=seed):
                findings = await soaking.Soak(seed).run()
                self.assertEqual(findings.faults, [])
                self.assertGreater(findings.counts["200"], 0)
