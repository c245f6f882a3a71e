"""Short soak test with daemons that are separate processes."""

from __future__ import annotations

import unittest

from tests.platform import era_soak
from tests.platform import leave_soak
from tests.platform import maintenance_soak
from tests.platform import notice_soak
from tests.platform import stop_soak

_SEEDS = (1, 2, 10)
_NOTICE_SEEDS = (1, 2)
_ERA_SEEDS = (1, 2)
_LEAVE_SEEDS = (1, 2)
_STOP_SEEDS = (1, 2)
_QUICK_WORK_S = 1.2


class SoakTest(unittest.IsolatedAsyncioTestCase):
    async def test_maintenance_does_not_affect_callers(self) -> None:
        """Guards against maintenance that loses or repeats callers' requests.

        Daemons restart, the configuration and the settings change and the store
        is unavailable while callers send requests over open connections. A
        daemon may refuse a request, but not one that ran and must not be
        repeated, nor a nested call while it stops.
        """
        for seed in _SEEDS:
            with self.subTest(seed=seed):
                result = await maintenance_soak.Soak(seed).run()
                self.assertEqual(result.violations, [])
                self.assertGreater(result.response_counts["200"], 0)

    async def test_notices_of_backend_servers_amid_maintenance(self) -> None:
        """Guards against limits and leaves that are missed amid restarts."""
        for seed in _NOTICE_SEEDS:
            with self.subTest(seed=seed):
                result = await notice_soak.NoticeSoak(seed).run()
                self.assertEqual(result.violations, [])
                self.assertGreater(result.response_counts["200"], 0)

    async def test_store_that_comes_back_amid_maintenance(self) -> None:
        """Guards against versions and requests that a new era loses."""
        for seed in _ERA_SEEDS:
            with self.subTest(seed=seed):
                result = await era_soak.EraSoak(seed).run()
                self.assertEqual(result.violations, [])
                self.assertGreater(result.response_counts["200"], 0)

    async def test_leaves_amid_kills(self) -> None:
        """Guards against requests to servers that left before a kill."""
        for seed in _LEAVE_SEEDS:
            with self.subTest(seed=seed):
                result = await leave_soak.LeaveSoak(seed).run()
                self.assertEqual(result.violations, [])
                self.assertGreater(result.response_counts["200"], 0)

    async def test_requests_late_in_the_grace_of_stops(self) -> None:
        """Guards against requests that are passed on and then cut."""
        for seed in _STOP_SEEDS:
            with self.subTest(seed=seed):
                result = await stop_soak.StopSoak(seed).run()
                self.assertEqual(result.violations, [])
                self.assertGreater(result.response_counts["200"], 0)

    async def test_quick_requests_late_in_the_grace_of_stops(self) -> None:
        """Guards against quick requests that are passed on and then cut."""
        for seed in _STOP_SEEDS:
            with self.subTest(seed=seed):
                result = await stop_soak.StopSoak(seed, _QUICK_WORK_S).run()
                self.assertEqual(result.violations, [])
                self.assertGreater(result.response_counts["200"], 0)
