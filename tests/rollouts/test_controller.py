"""Tests of when the end of a roll-out is written."""

from __future__ import annotations

import unittest

from merlintrestle.requests import backend as backends
from merlintrestle.rollouts import controller as keepers
from merlintrestle.rollouts import observer as observers
from merlintrestle.rollouts import storage as registers
from merlintrestle.schema import control_pb2
from tests.rollouts import builders

_OLD = "10.0.0.1:7600"
_NEW = "10.0.1.1:7600"
_UNKNOWN = "10.0.2.1:7600"


class KeeperTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.site = builders.Site(before=1, new=1)
        register = registers.RolloutStorage(
            builders.FakeStore(), registers.DefaultFormat()
        )
        observer = observers.Observer(
            self.site.book,
            backends.LocalBackend(),
            lambda: "",
            lambda: 0,
            self.site.clock,
        )
        self.keeper = keepers.RolloutController(
            self.site.book, observer, register, lambda: 0
        )

    def order(self) -> None:
        """Orders a version that shows itself good."""
        self.site.book.merge_rollout(
            builders.build_rollout(state=control_pb2.RUNNING)
        )
        good = builders.build_trial(_NEW, 500, 0, watched_ms=9_000)
        self.site.book.merge_trial(good)

    async def test_the_version_before_is_waited_for(self) -> None:
        """Guards against calls that are lost as their server is stopped."""
        self.order()
        await self.keeper.write(self.site.progress)
        self.assertFalse(self.site.progress.ended)
        self.site.book.merge_trial(builders.build_trial(_OLD, drained=True))
        await self.keeper.write(self.site.progress)
        self.assertTrue(self.site.progress.ended)

    async def test_one_that_says_no_version_is_not_waited_for(self) -> None:
        """Guards against an end held up by who runs and drains nothing."""
        unknown = builders.build_upstream(_UNKNOWN, "")
        self.site.upstreams = (*self.site.upstreams, unknown)
        self.order()
        self.site.book.merge_trial(builders.build_trial(_OLD, drained=True))
        await self.keeper.write(self.site.progress)
        self.assertTrue(self.site.progress.ended)
