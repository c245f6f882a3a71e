"""Tests of the memory that connections share."""

from __future__ import annotations

import asyncio
import functools
import unittest

from hypothesis import given
from hypothesis import strategies

from merlintrestle.ingress import limits
from merlintrestle.ingress import memory

_LIMIT = 1_000_000
_RESERVE = 100_000
_SMALL = 10_000


class MemoryBudgetTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.memory = memory.MemoryBudget(
            _LIMIT, _RESERVE, asyncio.get_running_loop()
        )

    async def test_small_requests_have_a_reserve(self) -> None:
        """Guards against callers who are shut out by large requests."""
        self.memory.change(_LIMIT)
        self.assertFalse(self.memory.has_room(memory.SMALL_BYTES + 1))
        self.assertTrue(self.memory.has_room(_SMALL))
        self.memory.change(_RESERVE)
        self.assertFalse(self.memory.has_room(_SMALL))

    async def test_reserve_is_not_for_the_rest_of_requests(self) -> None:
        """Guards against uploads that fill the reserve in small pieces."""
        self.memory.change(_LIMIT)
        self.assertFalse(self.memory.has_room(_SMALL, starts=False))

    async def test_room_is_made_before_a_request_waits(self) -> None:
        """Guards against requests that wait for senders that have stopped."""
        self.memory.change(_LIMIT + _RESERVE)
        self.memory.make_room = lambda small: self.memory.change(-_LIMIT)
        self.assertTrue(self.memory.has_room(_SMALL))

    async def test_what_waits_goes_on_when_bytes_are_given_back(self) -> None:
        """Guards against requests that wait although there is memory."""
        resumed: list[str] = []
        self.memory.change(_LIMIT)
        for name in ("first", "second"):
            self.memory.wait(
                name, _SMALL, functools.partial(resumed.append, name)
            )
        self.memory.cancel_wait("first")
        self.memory.change(-_SMALL)
        self.assertEqual(resumed, ["second"])

    async def test_room_is_made_for_what_waits(self) -> None:
        """Guards against a deadlock while nothing is given back."""
        resumed = asyncio.Event()
        self.memory.change(_LIMIT)
        self.memory.wait(self, _SMALL, resumed.set)
        self.memory.make_room = lambda small: self.memory.change(-_LIMIT)
        async with asyncio.timeout(10):
            await resumed.wait()


class BudgetsTest(unittest.TestCase):
    @given(
        memory_mb=strategies.floats(50, 100_000),
        descriptors=strategies.integers(64, 1_000_000),
    )
    def test_shares_fit_into_the_limits(
        self, memory_mb: float, descriptors: int
    ) -> None:
        """Guards against shares that together exceed what there is."""
        stated = limits.ProcessLimits(round(memory_mb * 1e6), descriptors)
        budgets = limits.compute_budgets(stated)
        self.assertLess(
            budgets.held_bytes + budgets.reserved_bytes,
            stated.memory_bytes / 4,
        )
        self.assertLess(
            budgets.caller_connections
            + budgets.peer_connections
            + 4 * budgets.endpoint_connections,
            descriptors,
        )
