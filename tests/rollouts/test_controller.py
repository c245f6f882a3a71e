"""Tests of the time at which the final state of a roll-out is written."""

from __future__ import annotations

import unittest

from merlintrestle.requests import backend as backends
from merlintrestle.rollouts import controller as controllers
from merlintrestle.rollouts import observer as observers
from merlintrestle.rollouts import storage as storages
from merlintrestle.schema import control_pb2
from merlintrestle.store import eras
from tests.rollouts import builders

_OLD = "10.0.0.1:7600"
_NEW = "10.0.1.1:7600"
_UNKNOWN = "10.0.2.1:7600"


class RolloutControllerTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.fixture = builders.ServiceFixture(old=1, new=1)
        self.store = builders.FakeStore()
        self.storage = storage = storages.RolloutStorage(
            self.store, storages.DefaultFormat()
        )
        observer = observers.Observer(
            self.fixture.tracker,
            backends.LocalBackend(),
            lambda: "",
            lambda: 0,
            self.fixture.clock,
        )
        self.controller = controllers.RolloutController(
            self.fixture.tracker, observer, storage, lambda: 0
        )

    def start_rollout(self) -> None:
        """Starts a roll-out with a new version that is healthy."""
        self.fixture.tracker.merge_rollout(
            builders.build_rollout(state=control_pb2.RUNNING)
        )
        healthy = builders.build_report(_NEW, 500, 0, watched_ms=9_000)
        self.fixture.tracker.merge_report(healthy)

    async def test_completion_waits_for_old_version_to_drain(self) -> None:
        """Guards against calls that are lost when their server is stopped."""
        self.start_rollout()
        await self.controller.write_state(self.fixture.progress)
        self.assertFalse(self.fixture.progress.ended)
        self.fixture.tracker.merge_report(
            builders.build_report(_OLD, drained=True)
        )
        await self.controller.write_state(self.fixture.progress)
        self.assertTrue(self.fixture.progress.ended)

    async def test_completion_does_not_wait_for_unknown_version(self) -> None:
        """Guards against waiting for a server that never reports drained."""
        unknown = builders.build_upstream(_UNKNOWN, "")
        self.fixture.upstreams = (*self.fixture.upstreams, unknown)
        self.start_rollout()
        self.fixture.tracker.merge_report(
            builders.build_report(_OLD, drained=True)
        )
        await self.controller.write_state(self.fixture.progress)
        self.assertTrue(self.fixture.progress.ended)

    async def test_replaced_order_is_not_written_at_each_update(self) -> None:
        """Guards against calls to the store for an order that is replaced."""
        self.store.write(
            storages.ORDER_PREFIX + builders.SERVICE,
            builders.build_rollout(number=0).SerializeToString(),
        )
        self.start_rollout()
        self.fixture.tracker.merge_report(
            builders.build_report(_OLD, drained=True)
        )
        for _ in range(3):
            await self.controller.write_state(self.fixture.progress)
        self.assertFalse(self.fixture.progress.ended)
        self.assertEqual(self.store.calls["put"], 1)

    def build_order(self, revision: int, era: int) -> control_pb2.Rollout:
        """Builds the order as read from the store, in an era."""
        return builders.build_rollout(number=eras.qualify(revision, era))

    async def test_ended_order_that_is_written_again_stays_ended(self) -> None:
        """Guards against a bad version that is tried again in a new era."""
        for state in (control_pb2.ROLLED_BACK, control_pb2.COMPLETE):
            with self.subTest(state=state):
                self.setUp()
                await self.controller.handle_orders([self.build_order(70, 1)])
                ended = builders.copy(self.fixture.progress.rollout)
                ended.state = state
                self.fixture.tracker.merge_rollout(ended)
                self.store.begin_era(eras.qualify(60, 2))
                again = self.build_order(50, 2)
                await self.controller.handle_orders([again])
                self.assertTrue(self.fixture.progress.ended)
                self.assertEqual(self.fixture.progress.rollout.state, state)
                # The operators read the state, which was lost as well.
                self.assertEqual(await self.storage.read_state(again), state)

    async def test_open_order_that_is_written_again_keeps_its_evidence(
        self,
    ) -> None:
        """Guards against a trial that begins anew in a new era."""
        await self.controller.handle_orders([self.build_order(70, 1)])
        number = self.fixture.progress.rollout.number
        before = builders.build_report(_NEW, 40, 0, number=number)
        self.fixture.tracker.merge_report(before)
        await self.controller.handle_orders([self.build_order(50, 2)])
        progress = self.fixture.progress
        self.assertEqual(progress.rollout.number, eras.qualify(50, 2))
        self.assertEqual(progress.reports[_NEW].classes[0].calls, 40)
        # A daemon that has not heard of the new number yet reports.
        later = builders.build_report(_NEW, 60, 0, number=number)
        self.fixture.tracker.merge_report(later)
        self.assertEqual(progress.reports[_NEW].classes[0].calls, 60)

    async def test_next_order_of_a_new_era_is_a_new_one(self) -> None:
        """Guards against orders that are never carried out any more."""
        await self.controller.handle_orders([self.build_order(70, 1)])
        ended = builders.copy(self.fixture.progress.rollout)
        ended.state = control_pb2.ROLLED_BACK
        self.fixture.tracker.merge_rollout(ended)
        await self.controller.handle_orders([self.build_order(50, 2)])
        await self.controller.handle_orders([self.build_order(53, 2)])
        self.assertFalse(self.fixture.progress.ended)
