"""What a daemon knows of a backend server that turns calls away."""

from __future__ import annotations

import unittest

from merlintrestle.requests import backend
from merlintrestle.requests.calls import call as calls
from merlintrestle.requests.load import acceptance
from merlintrestle.requests.load import admission
from merlintrestle.requests.load import loads
from merlintrestle.requests.load import observations
from merlintrestle.schema import control_pb2
from tests.requests import builders
from tests.requests import fakes


class AcceptanceTest(unittest.TestCase):
    """A backend server on a clock of its own."""

    def setUp(self) -> None:
        self.clock = fakes.Clock()
        self.acceptance = acceptance.Acceptance(self.clock.get_time)

    def test_every_second_call_is_turned_away(self) -> None:
        for number in range(20):
            self.acceptance.record(number % 2 == 0)
        self.assertFalse(self.acceptance.is_healthy())
        self.assertAlmostEqual(self.acceptance.get(), 0.5, delta=0.1)

    def test_one_in_twenty_is_turned_away(self) -> None:
        for number in range(100):
            self.acceptance.record(number % 20 != 0)
            self.assertTrue(self.acceptance.is_healthy())

    def test_it_is_given_calls_again_after_some_seconds(self) -> None:
        """A backend server that is well again does not stay idle for good.

        It turned all calls away, so others were chosen. Without calls nothing
        would show that it takes them again.
        """
        for _ in range(100):
            self.acceptance.record(False)
        self.assertGreater(self.acceptance.get(), 0.0)
        self.clock.now += 5.0
        self.assertTrue(self.acceptance.is_healthy())


class SheddingTest(unittest.IsolatedAsyncioTestCase):
    """A backend server with free slots that turns calls away."""

    async def asyncSetUp(self) -> None:
        own = backend.LocalBackend()
        own.announce("kassa", "127.0.0.1:1", 4, control_pb2.READY)
        self.slots = admission.Admission(
            own,
            fakes.Holder(builders.build_snapshot()),
            fakes.Table(),
            fakes.Clock().get_time,
        )
        for number in range(20):
            self.slots.record_acceptance(number % 2 == 0)

    async def test_call_that_may_go_elsewhere_is_sent_on(self) -> None:
        """The caller's call goes to a backend server that takes it.

        Passed on here it would be turned away every second time, and each
        repeat is paid for from a budget that ends within seconds.
        """
        call = builders.build_call()
        call.wait = calls.Wait.NONE
        refusal = await self.slots.acquire(call)
        assert refusal is not None
        self.assertTrue(refusal.unqueued)
        self.assertEqual(self.slots.in_flight, 0)

    async def test_call_that_has_asked_elsewhere_is_taken(self) -> None:
        self.assertIsNone(await self.slots.acquire(builders.build_call()))

    async def test_own_calls_do_not_stay(self) -> None:
        self.assertFalse(self.slots.has_capacity())

    async def test_other_daemons_hear_of_it(self) -> None:
        """A daemon that has sent it no call lately knows with one answer."""
        told = loads.decode_load(loads.encode_load(self.slots.get_load()))
        assert told is not None
        seen = observations.Observation()
        seen.record_load(10.0, told)
        self.assertLess(seen.estimate_success_rate(10.5), 0.7)
        self.assertEqual(seen.estimate_success_rate(20.0), 1.0)
