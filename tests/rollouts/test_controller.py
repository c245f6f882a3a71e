"""Tests of the time at which the final state of a roll-out is written."""

from __future__ import annotations

import unittest

from merlintrestle.requests import backend as backends
from merlintrestle.rollouts import controller as controllers
from merlintrestle.rollouts import observer as observers
from merlintrestle.rollouts import storage as storages
from merlintrestle.schema import control_pb2
from tests.rollouts import builders

_OLD = "10.0.0.1:7600"
_NEW = "10.0.1.1:7600"
_UNKNOWN = "10.0.2.1:7600"


class RolloutControllerTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.fixture = builders.ServiceFixture(old=1, new=1)
        storage = storages.RolloutStorage(
            builders.FakeStore(), storages.DefaultFormat()
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
