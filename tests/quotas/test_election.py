"""Tests of the lease of the quota coordinator, in virtual time."""

from __future__ import annotations

import asyncio
import functools
import random
from typing import Any
import unittest

from merlintrestle import errors
from merlintrestle.quotas import bounds as bounds_lib
from merlintrestle.quotas import election as elections
from tests.quotas import builders


class _LosingStore:
    """A store whose next write of a key takes effect without an answer."""

    def __init__(self, store: builders.Store, key: str) -> None:
        self.era = store.era
        self._store = store
        self._key = key

    def __getattr__(self, name: str) -> Any:
        return getattr(self._store, name)

    async def put(self, key: str, *args: Any) -> Any:
        reply = await self._store.put(key, *args)
        if key == self._key:
            self._key = ""
            raise errors.StoreUnknownOutcomeError("lost")
        return reply


class ElectionTest(unittest.TestCase):
    def build(self, store: Any, name: str, rank: int = 0) -> elections.Election:
        return elections.Election(
            store, name, lambda: rank, get_time=builders.get_time
        )

    async def hold(self, election: elections.Election, seconds: float) -> None:
        """Runs an election for a time; its process is frozen afterwards."""
        task = asyncio.create_task(election.run())
        await asyncio.sleep(seconds)
        task.cancel()

    async def succeed(self, store: builders.Store) -> elections.Term:
        """Returns the term of the next coordinator, and the time until then."""
        election = self.build(store, "next")
        task = asyncio.create_task(election.run())
        async with asyncio.timeout(10):
            while election.term is None:
                await asyncio.sleep(0.01)
        task.cancel()
        return election.term

    def test_first_coordinator_grants_at_once(self) -> None:
        """Guards against a fleet that refuses calls for seconds at first."""

        async def play() -> None:
            term = await self.succeed(builders.Store(random.Random(1)))
            self.assertEqual(term.starts_at, term.settled_at)
            self.assertTrue(term.starts_full)
            self.assertLessEqual(term.starts_at, builders.get_time())

        builders.run(play)

    def test_only_one_holds_the_lease(self) -> None:
        """Guards against a frozen holder that grants after it resumes."""

        async def play() -> None:
            store = builders.Store(random.Random(1))
            first = self.build(store, "first")
            await self.hold(first, 1.0)
            self.assertTrue(first.may_grant())
            second = self.build(store, "second")
            task = asyncio.create_task(second.run())
            while not second.may_grant():
                await asyncio.sleep(0.001)
                self.assertFalse(first.may_grant() and second.may_grant())
            self.assertFalse(first.may_grant())
            await first.step()
            self.assertIsNone(first.term)
            task.cancel()

        builders.run(play)

    def test_successor_depends_on_the_stage_of_its_predecessor(self) -> None:
        """Guards against tokens of three coordinators in one window."""

        async def play(seconds: float) -> tuple[float, bool]:
            store = builders.Store(random.Random(1))
            # The very first coordinator is settled from the beginning.
            await self.hold(self.build(store, "first"), 8.0)
            await asyncio.sleep(3)
            await self.hold(self.build(store, "second"), seconds)
            term = await self.succeed(store)
            return term.starts_at - builders.get_time(), term.starts_full

        for seconds, waits, starts_full in (
            (2.0, True, False),
            (4.5, False, False),
            (8.0, False, True),
        ):
            with self.subTest(seconds=seconds):
                wait_s, is_full = builders.run(functools.partial(play, seconds))
                self.assertEqual(wait_s > 2.9, waits)
                self.assertEqual(is_full, starts_full)

    def test_lost_answers_are_recognised(self) -> None:
        """Guards against a candidate that waits for its own lease to end."""

        async def play(key: str) -> None:
            store = builders.Store(random.Random(1))
            election = self.build(_LosingStore(store, key), "first")
            await self.hold(election, 1.0)
            self.assertTrue(election.may_grant())
            assert election.term is not None
            self.assertTrue(election.term.starts_full)

        for key in (elections.LEASE_KEY, elections.TERM_KEY):
            with self.subTest(key=key):
                builders.run(functools.partial(play, key))

    def test_store_from_a_copy_makes_the_successor_wait(self) -> None:
        """Guards against two coordinators, one with a lease that is lost."""

        async def play() -> None:
            store = builders.Store(random.Random(1))
            await self.hold(self.build(store, "first"), 8.0)
            store.return_from_copy(store.copy())
            term = await self.succeed(store)
            wait_s = term.starts_at - builders.get_time()
            least_s = bounds_lib.COUNTED_LIFETIME_S + 1.9
            self.assertGreater(wait_s, least_s)
            self.assertFalse(term.starts_full)

        builders.run(play)

    def test_store_outage_ends_the_grants_but_not_the_term(self) -> None:
        """Guards against grants without a lease."""

        async def play() -> None:
            store = builders.Store(random.Random(1))
            election = self.build(store, "first")
            task = asyncio.create_task(election.run())
            await asyncio.sleep(1)
            store.is_down = True
            await asyncio.sleep(2.5)
            self.assertFalse(election.may_grant())
            store.is_down = False
            await asyncio.sleep(3)
            self.assertTrue(election.may_grant())
            task.cancel()

        builders.run(play)

    def test_all_candidates_together_read_rarely(self) -> None:
        """Guards against reads that grow with the availability zones."""

        async def play() -> float:
            store = builders.Store(random.Random(1))
            for rank in range(40):
                election = self.build(store, f"{rank}", rank)
                asyncio.create_task(election.run())  # noqa: RUF006
            await asyncio.sleep(5)
            before = store.calls
            await asyncio.sleep(20)
            return (store.calls - before) / 20

        self.assertLess(builders.run(play), 4.0)
