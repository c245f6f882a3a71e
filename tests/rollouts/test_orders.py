"""Tests of the audit trail of roll-outs."""

from __future__ import annotations

import unittest

from merlintrestle.rollouts import orders
from tests.rollouts import builders


class AuditTrailTest(unittest.IsolatedAsyncioTestCase):
    async def test_attempts_in_the_same_millisecond_are_listed(self) -> None:
        """Guards against an attempt that is missing in the audit trail.

        Two operators try to start a roll-out of a service in the same
        millisecond.
        """
        store = builders.FakeStore()
        for operator in ("anna", "bram"):
            attempt = orders.Attempt(
                orders.START, operator, 5, builders.SERVICE, "v2"
            )
            await orders.write_attempt(store, attempt, [])
        attempts = await orders.list_attempts(store, builders.SERVICE)
        self.assertCountEqual(
            [attempt.operator for attempt in attempts], ["anna", "bram"]
        )
