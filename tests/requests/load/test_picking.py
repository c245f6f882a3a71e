"""Tests of the selection of the upstream that a call is sent to."""

from __future__ import annotations

import collections
import random
import time
from typing import TYPE_CHECKING
import unittest

from merlintrestle.requests import backend
from merlintrestle.requests.calls import outcomes
from merlintrestle.requests.load import observations
from merlintrestle.requests.load import picking
from tests.requests import builders
from tests.requests import fakes

if TYPE_CHECKING:
    from merlintrestle.members import table

_WORK_S = 0.01
_UNREACHABLE = outcomes.NotRun("", elsewhere=True, unreachable=True)
_REFUSED = outcomes.NotRun("", elsewhere=True, overloaded=True)


class PickingTest(unittest.TestCase):
    """Picks upstreams and records outcomes, with a simulated clock."""

    def setUp(self) -> None:
        self.now = 100.0
        self.has_local_capacity = False
        self.upstreams = tuple(
            builders.build_upstream(number) for number in range(4)
        )
        self.picker = picking.Picker(
            "noord",
            lambda: "10.0.0.0:1",
            lambda: self.has_local_capacity,
            lambda: self.now,
            random.Random(7),
        )

    def pick(self, probe: bool = False) -> table.Upstream:
        """Picks an upstream for a first attempt.

        Args:
            probe: Whether the call may probe an ejected upstream.
        """
        picked = self.picker.pick("kassa", self.upstreams, (), probe)
        assert picked is not None
        return picked

    def count(
        self, calls: int = 400, probe: bool = False
    ) -> collections.Counter[int]:
        """Counts the picks by number of the upstream; no call is in flight."""
        counts: collections.Counter[int] = collections.Counter()
        for _ in range(calls):
            counts[self.upstreams.index(self.pick(probe))] += 1
        return counts

    def record(self, number: int, outcome: outcomes.Outcome) -> None:
        """Records an outcome of a call to an upstream."""
        observation = self.picker.get_observation(
            self.upstreams[number].member_id
        )
        observation.begin(self.now, _WORK_S)
        observations.record_outcome(
            outcome, observation, self.now, self.now, _WORK_S
        )
        observation.end()

    def answer(self, number: int, latency_s: float) -> None:
        """Records an answer of an upstream."""
        observation = self.picker.get_observation(
            self.upstreams[number].member_id
        )
        observation.begin(self.now, _WORK_S)
        observation.record_answer(self.now, latency_s, _WORK_S)
        observation.end()

    def test_calls_are_spread_over_all_upstreams(self) -> None:
        """Guards against upstreams that get hardly any calls."""
        counts = self.count()
        self.assertGreater(min(counts[number] for number in range(4)), 50)

    def test_local_upstream_is_preferred_while_it_has_capacity(self) -> None:
        self.has_local_capacity = True
        self.assertEqual(set(self.count()), {0})
        self.has_local_capacity = False
        self.assertGreater(len(self.count()), 1)

    def test_upstream_whose_clock_is_ahead_gets_its_calls(self) -> None:
        """A backend server is used although the clock of its instance is ahead.

        It became ready after the clock had jumped, so its ready time is forty
        minutes in the future for all others. Its slow start is not longer than
        that of any other.
        """
        ahead = int((time.time() + 2400) * 1000)
        self.upstreams = (
            *self.upstreams[:3],
            self.upstreams[3]._replace(ready_since_ms=ahead),
        )
        self.assertLess(self.count()[3], 20)
        self.now += backend.WARMUP_S
        self.assertGreater(self.count()[3], 50)

    def test_local_zone_is_preferred_until_it_is_full(self) -> None:
        """Guards against calls that wait while other zones have free slots."""
        local, remote = (
            builders.build_upstream(1),
            builders.build_upstream(2, zone="zuid"),
        )
        self.upstreams = (local, remote)
        self.assertEqual(set(self.count()), {0})
        observation = self.picker.get_observation(local.member_id)
        for _ in range(local.slots):
            observation.begin(self.now, _WORK_S)
        self.assertIn(1, self.count())

    def test_unreachable_upstream_gets_no_calls(self) -> None:
        """One refused connection is enough to eject an upstream."""
        self.record(1, _UNREACHABLE)
        self.assertNotIn(1, self.count())

    def test_upstream_that_breaks_connections_gets_no_calls(self) -> None:
        """An upstream is ejected after three consecutive failures.

        It still reports that it is healthy, but the observed failures take
        precedence.
        """
        for _ in range(3):
            self.record(1, outcomes.Unknown("broke"))
        self.assertNotIn(1, self.count())

    def test_upstream_with_overdue_calls_gets_no_calls(self) -> None:
        """An upstream is ejected while three overdue calls still wait for it.

        It is unresponsive. Its calls only end at their deadlines, so until then
        none of them would count as a failure.
        """
        for upstream in self.upstreams:
            observation = self.picker.get_observation(upstream.member_id)
            for _ in range(3):
                observation.begin(self.now, _WORK_S)
        self.assertIn(1, self.count())
        observation = self.picker.get_observation(self.upstreams[1].member_id)
        for _ in range(3):
            observation.record_overdue(self.now)
        self.assertNotIn(1, self.count())
        for _ in range(3):
            observation.record_answer(self.now, _WORK_S, _WORK_S)
            observation.end()
        self.assertIn(1, self.count())

    def fail_every_second(self, number: int) -> None:
        """Records answers and failures of an upstream alternately."""
        for _ in range(10):
            self.answer(number, _WORK_S)
            self.record(number, outcomes.Unknown("broke"))

    def test_upstream_that_fails_some_calls_gets_few(self) -> None:
        """An upstream gets fewer calls although it is not ejected.

        Every second call to it fails, never three consecutive calls, and its
        status is healthy, so it is never ejected. A payout that fails there is
        not retried, and its caller does not learn whether it ran.
        """
        self.fail_every_second(1)
        self.assertLess(self.count()[1], 400 / 4 / 2)

    def test_upstream_that_fails_some_calls_is_still_used(self) -> None:
        """Its free slots are used when the others are full."""
        self.fail_every_second(1)
        for number in (0, 2, 3):
            observation = self.picker.get_observation(
                self.upstreams[number].member_id
            )
            for _ in range(self.upstreams[number].slots):
                observation.begin(self.now, _WORK_S)
        self.assertEqual(set(self.count(40)), {1})

    def test_local_upstream_that_fails_some_calls_is_not_preferred(
        self,
    ) -> None:
        self.has_local_capacity = True
        self.fail_every_second(0)
        self.assertGreater(len(self.count()), 1)

    def test_ejected_upstream_is_probed_by_one_call(self) -> None:
        """After a second, one repeatable call probes it, which readmits it."""
        self.record(1, _UNREACHABLE)
        self.now += 1.1
        self.assertNotIn(1, self.count())
        while self.upstreams.index(self.pick(probe=True)) != 1:
            pass
        self.picker.get_observation(self.upstreams[1].member_id).begin(
            self.now, _WORK_S
        )
        self.assertNotIn(1, self.count(probe=True))
        observation = self.picker.get_observation(self.upstreams[1].member_id)
        observation.record_answer(self.now, _WORK_S, _WORK_S)
        observation.end()
        self.assertIn(1, self.count())

    def test_failed_probe_ejects_for_longer(self) -> None:
        """Guards against a probe every second while an upstream is down."""
        self.record(1, _UNREACHABLE)
        self.now += 1.1
        self.record(1, _UNREACHABLE)
        self.now += 1.1
        self.assertNotIn(1, self.count(probe=True))

    def test_unresponsive_upstream_gets_no_calls(self) -> None:
        """An upstream is unavailable after half a second without a first byte.

        It accepts connections and calls and answers none. If it were detected
        only at the deadlines of these calls, all calls sent to it until then
        would fail.
        """
        for number, upstream in enumerate(self.upstreams):
            observation = self.picker.get_observation(upstream.member_id)
            observation.begin(self.now, _WORK_S)
            if number != 1:
                observation.record_answer(self.now, _WORK_S, _WORK_S)
        self.assertIn(1, self.count())
        self.now += 0.6
        self.assertNotIn(1, self.count())

    def test_slow_call_does_not_make_upstream_unresponsive(self) -> None:
        """Guards against idle upstreams whose calls take seconds to run."""
        for number, upstream in enumerate(self.upstreams):
            observation = self.picker.get_observation(upstream.member_id)
            observation.begin(self.now, 2.0)
            if number != 1:
                observation.record_answer(self.now, 2.0, 2.0)
        self.now += 5
        self.assertIn(1, self.count())

    def test_long_transfer_does_not_make_upstream_unresponsive(self) -> None:
        """Only the time until the first byte of an answer counts."""
        for upstream in self.upstreams:
            observation = self.picker.get_observation(upstream.member_id)
            observation.begin(self.now, _WORK_S)
            observation.record_answer(self.now, _WORK_S, _WORK_S)
        self.now += 600
        self.assertIn(1, self.count())

    def test_upstream_that_refuses_is_not_picked_during_its_backoff(
        self,
    ) -> None:
        self.record(1, _REFUSED)
        self.assertNotIn(1, self.count())
        self.now += 0.6
        self.assertIn(1, self.count())

    def test_slow_upstream_gets_fewer_calls(self) -> None:
        """An upstream without load reports gets fewer calls if it is slow."""
        for number in range(4):
            self.answer(number, 0.5 if number == 1 else 0.01)
        counts = self.count()
        self.assertLess(counts[1], counts[0] / 2)

    def test_new_upstream_gets_a_rising_fraction_of_calls(self) -> None:
        """Guards against overload of a backend server in its slow start."""
        now_ms = int(time.time() * 1000)
        self.upstreams = (
            builders.build_upstream(1, ready_since_ms=now_ms),
            builders.build_upstream(2),
            builders.build_upstream(3),
        )
        for _ in range(60):
            observation = self.picker.get_observation(self.pick().member_id)
            observation.begin(self.now, _WORK_S)
        new_count = self.picker.get_observation(
            self.upstreams[0].member_id
        ).in_flight
        old_count = self.picker.get_observation(
            self.upstreams[1].member_id
        ).in_flight
        self.assertLess(new_count, old_count / 3)

    def test_suspected_upstream_that_answers_is_used(self) -> None:
        """A recent answer overrides the suspicion of other daemons."""
        self.upstreams = (
            builders.build_upstream(1, suspect=True),
            builders.build_upstream(2),
        )
        self.assertEqual(set(self.count()), {1})
        self.answer(0, _WORK_S)
        self.assertIn(0, self.count())

    def test_calls_are_spread_if_all_upstreams_are_ejected(self) -> None:
        """Calls are not refused, as the observations may be wrong."""
        for number in range(4):
            self.record(number, _UNREACHABLE)
        self.assertGreater(len(self.count()), 1)

    def test_tried_upstreams_are_excluded(self) -> None:
        tried = [upstream.member_id for upstream in self.upstreams[:3]]
        for _ in range(20):
            picked = self.picker.pick("kassa", self.upstreams, tried, False)
            self.assertEqual(picked, self.upstreams[3])
        tried.append(self.upstreams[3].member_id)
        self.assertIsNone(
            self.picker.pick("kassa", self.upstreams, tried, False)
        )


class ConnectionTest(unittest.IsolatedAsyncioTestCase):
    """Picking with real connections."""

    async def test_no_call_fails_when_a_daemon_is_killed(self) -> None:
        async with (
            builders.run_nodes(3, store=fakes.FakeStore()) as nodes,
            builders.open_client() as client,
        ):
            nodes[0].proxy.backend.slots = 0
            await nodes[1].proxy.stop()
            for _ in range(20):
                answer = await client.get(nodes[0].url + "/x")
                self.assertEqual(answer.status, 200)
            self.assertEqual(len(nodes[2].served), 20)
