"""Tests of the measured acceptance rate of a backend server."""

from __future__ import annotations

import unittest

from merlintrestle.requests import backend as backends
from merlintrestle.requests.calls import call as calls
from merlintrestle.requests.load import acceptance
from merlintrestle.requests.load import admission
from merlintrestle.requests.load import loads
from merlintrestle.requests.load import observations
from merlintrestle.schema import control_pb2
from tests.requests import builders
from tests.requests import fakes


class AcceptanceTest(unittest.TestCase):
    """The acceptance rate of a backend server, with a simulated clock."""

    def setUp(self) -> None:
        self.clock = fakes.FakeClock()
        self.acceptance = acceptance.AcceptanceRate(self.clock.get_time)

    def test_every_second_call_is_rejected(self) -> None:
        for number in range(20):
            self.acceptance.record(number % 2 == 0)
        self.assertFalse(self.acceptance.is_healthy())
        self.assertAlmostEqual(self.acceptance.get(), 0.5, delta=0.1)

    def test_one_in_twenty_calls_is_rejected(self) -> None:
        for number in range(100):
            self.acceptance.record(number % 20 != 0)
            self.assertTrue(self.acceptance.is_healthy())

    def test_rate_recovers_after_some_seconds(self) -> None:
        """A backend server that has recovered does not stay idle forever.

        It rejected all calls, so other upstreams were picked. Without calls,
        nothing shows that it accepts them again.
        """
        for _ in range(100):
            self.acceptance.record(False)
        self.assertGreater(self.acceptance.get(), 0.0)
        self.clock.now += 5.0
        self.assertTrue(self.acceptance.is_healthy())


class SheddingTest(unittest.IsolatedAsyncioTestCase):
    """A backend server with free slots that rejects calls."""

    async def asyncSetUp(self) -> None:
        backend = backends.LocalBackend()
        backend.announce("kassa", "127.0.0.1:1", 4, control_pb2.READY)
        self.admission = admission.Admission(
            backend,
            fakes.FakeActiveVersion(builders.build_snapshot()),
            fakes.FakeMemberTable(),
            fakes.FakeClock().get_time,
        )
        for number in range(20):
            self.admission.record_acceptance(number % 2 == 0)

    async def test_call_with_other_upstreams_is_refused(self) -> None:
        """The caller's daemon sends the call to another backend server instead.

        If such calls were admitted, every second one would be rejected, and
        their retries would use up the retry budget within seconds.
        """
        call = builders.build_call()
        call.wait = calls.Wait.NONE
        refusal = await self.admission.acquire(call)
        assert refusal is not None
        self.assertTrue(refusal.unqueued)
        self.assertEqual(self.admission.in_flight, 0)

    async def test_call_that_polled_other_upstreams_is_admitted(self) -> None:
        """Guards against calls that all upstreams refuse."""
        self.assertIsNone(await self.admission.acquire(builders.build_call()))

    async def test_local_calls_are_sent_elsewhere(self) -> None:
        self.assertFalse(self.admission.has_capacity())

    async def test_other_daemons_receive_the_rate(self) -> None:
        """A daemon without recent calls to it learns the rate by one answer."""
        load = loads.decode_load(loads.encode_load(self.admission.get_load()))
        assert load is not None
        observation = observations.Observation()
        observation.record_load(10.0, load)
        self.assertLess(observation.estimate_success_rate(10.5), 0.7)
        self.assertEqual(observation.estimate_success_rate(20.0), 1.0)
