"""Which upstream a call is sent to, by what was seen of them."""

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
    """Calls are picked for and their outcomes noted, on a clock of its own."""

    def setUp(self) -> None:
        self.now = 100.0
        self.own_has_room = False
        self.upstreams = tuple(
            builders.build_upstream(number) for number in range(4)
        )
        self.picker = picking.Picker(
            "noord",
            lambda: "10.0.0.0:1",
            lambda: self.own_has_room,
            lambda: self.now,
            random.Random(7),
        )

    def pick(self, probe: bool = False) -> table.Upstream:
        """Picks for a first try."""
        picked = self.picker.pick("kassa", self.upstreams, (), probe)
        assert picked is not None
        return picked

    def count(
        self, calls: int = 400, probe: bool = False
    ) -> collections.Counter[int]:
        """Counts the picks of calls that end at once, by upstream."""
        counts: collections.Counter[int] = collections.Counter()
        for _ in range(calls):
            counts[self.upstreams.index(self.pick(probe))] += 1
        return counts

    def note(self, number: int, outcome: outcomes.Outcome) -> None:
        """Notes an outcome of a call to an upstream."""
        seen = self.picker.get_observation(self.upstreams[number].member_id)
        seen.begin(self.now, _WORK_S)
        observations.record(outcome, seen, self.now, self.now, _WORK_S)
        seen.end()

    def answer(self, number: int, latency_s: float) -> None:
        """Notes an answer."""
        seen = self.picker.get_observation(self.upstreams[number].member_id)
        seen.begin(self.now, _WORK_S)
        seen.record_answer(self.now, latency_s, _WORK_S)
        seen.end()

    def test_work_is_spread(self) -> None:
        counts = self.count()
        self.assertGreater(min(counts[number] for number in range(4)), 50)

    def test_own_comes_first_while_it_has_room(self) -> None:
        self.own_has_room = True
        self.assertEqual(set(self.count()), {0})
        self.own_has_room = False
        self.assertGreater(len(self.count()), 1)

    def test_upstream_whose_clock_is_ahead_gets_its_share(self) -> None:
        """The clock of one instance has jumped; its backend server is used.

        It became ready after the jump, so that to all others it seems to begin
        in forty minutes. It is cold for as long as others are, no longer.
        """
        ahead = int((time.time() + 2400) * 1000)
        self.upstreams = (
            *self.upstreams[:3],
            self.upstreams[3]._replace(ready_since_ms=ahead),
        )
        self.assertLess(self.count()[3], 20)
        self.now += backend.COLD_S
        self.assertGreater(self.count()[3], 50)

    def test_own_zone_comes_first_until_it_is_full(self) -> None:
        near, far = (
            builders.build_upstream(1),
            builders.build_upstream(2, zone="zuid"),
        )
        self.upstreams = (near, far)
        self.assertEqual(set(self.count()), {0})
        seen = self.picker.get_observation(near.member_id)
        for _ in range(near.slots):
            seen.begin(self.now, _WORK_S)
        self.assertIn(1, self.count())

    def test_unreachable_upstream_gets_no_work(self) -> None:
        """New work moves away at the first connection that is refused."""
        self.note(1, _UNREACHABLE)
        self.assertNotIn(1, self.count())

    def test_upstream_that_breaks_gets_no_work(self) -> None:
        """New work moves away after three broken calls in a row.

        The upstream still reports that it is well; what callers meet counts.
        """
        for _ in range(3):
            self.note(1, outcomes.Unknown("broke"))
        self.assertNotIn(1, self.count())

    def test_upstream_whose_calls_are_in_doubt_gets_no_work(self) -> None:
        """New work moves away while three calls there still wait.

        The upstream is frozen. Its calls are not given up before their time
        ends, and until then no failure of theirs would be seen.
        """
        for upstream in self.upstreams:
            seen = self.picker.get_observation(upstream.member_id)
            for _ in range(3):
                seen.begin(self.now, _WORK_S)
        self.assertIn(1, self.count())
        seen = self.picker.get_observation(self.upstreams[1].member_id)
        for _ in range(3):
            seen.record_doubt(self.now)
        self.assertNotIn(1, self.count())
        for _ in range(3):
            seen.record_answer(self.now, _WORK_S, _WORK_S)
            seen.end()
        self.assertIn(1, self.count())

    def fail_every_other(self, number: int) -> None:
        """Has an upstream answer and break calls by turns."""
        for _ in range(10):
            self.answer(number, _WORK_S)
            self.note(number, outcomes.Unknown("broke"))

    def test_upstream_that_fails_some_calls_gets_few(self) -> None:
        """Most calls go where they are answered.

        Every other call to one upstream breaks, never three in a row, and its
        status is good. Ejected it would never be, and a payout that it breaks
        is not sent again: its caller is left in doubt.
        """
        self.fail_every_other(1)
        self.assertLess(self.count()[1], 400 / 4 / 2)

    def test_upstream_that_fails_some_calls_is_still_used(self) -> None:
        """What it can do is not given away when the others are full."""
        self.fail_every_other(1)
        for number in (0, 2, 3):
            seen = self.picker.get_observation(self.upstreams[number].member_id)
            for _ in range(self.upstreams[number].slots):
                seen.begin(self.now, _WORK_S)
        self.assertEqual(set(self.count(40)), {1})

    def test_own_upstream_that_fails_some_calls_is_not_first(self) -> None:
        self.own_has_room = True
        self.fail_every_other(0)
        self.assertGreater(len(self.count()), 1)

    def test_ejected_upstream_is_tried_by_one_call(self) -> None:
        """After a second, one repeatable call tries it; then it is back."""
        self.note(1, _UNREACHABLE)
        self.now += 1.1
        self.assertNotIn(1, self.count())
        while self.upstreams.index(self.pick(probe=True)) != 1:
            pass
        self.picker.get_observation(self.upstreams[1].member_id).begin(
            self.now, _WORK_S
        )
        self.assertNotIn(1, self.count(probe=True))
        seen = self.picker.get_observation(self.upstreams[1].member_id)
        seen.record_answer(self.now, _WORK_S, _WORK_S)
        seen.end()
        self.assertIn(1, self.count())

    def test_failed_trial_ejects_for_longer(self) -> None:
        self.note(1, _UNREACHABLE)
        self.now += 1.1
        self.note(1, _UNREACHABLE)
        self.now += 1.1
        self.assertNotIn(1, self.count(probe=True))

    def test_frozen_upstream_gets_no_work(self) -> None:
        """New work moves away after half a second without a first byte.

        The upstream takes connections and calls and answers none. Waiting for
        their deadlines would lose every call sent to it till then.
        """
        for number, upstream in enumerate(self.upstreams):
            seen = self.picker.get_observation(upstream.member_id)
            seen.begin(self.now, _WORK_S)
            if number != 1:
                seen.record_answer(self.now, _WORK_S, _WORK_S)
        self.assertIn(1, self.count())
        self.now += 0.6
        self.assertNotIn(1, self.count())

    def test_slow_call_does_not_look_frozen(self) -> None:
        for number, upstream in enumerate(self.upstreams):
            seen = self.picker.get_observation(upstream.member_id)
            seen.begin(self.now, 2.0)
            if number != 1:
                seen.record_answer(self.now, 2.0, 2.0)
        self.now += 5
        self.assertIn(1, self.count())

    def test_long_transfer_does_not_look_frozen(self) -> None:
        for upstream in self.upstreams:
            seen = self.picker.get_observation(upstream.member_id)
            seen.begin(self.now, _WORK_S)
            seen.record_answer(self.now, _WORK_S, _WORK_S)
        self.now += 600
        self.assertIn(1, self.count())

    def test_refusing_upstream_rests(self) -> None:
        self.note(1, _REFUSED)
        self.assertNotIn(1, self.count())
        self.now += 0.6
        self.assertIn(1, self.count())

    def test_slow_upstream_gets_less(self) -> None:
        """An upstream that reports no load but answers slowly gets less."""
        for number in range(4):
            self.answer(number, 0.5 if number == 1 else 0.01)
        counts = self.count()
        self.assertLess(counts[1], counts[0] / 2)

    def test_cold_upstream_gets_a_rising_share(self) -> None:
        """A backend server that just became ready is not flooded."""
        now_ms = int(time.time() * 1000)
        self.upstreams = (
            builders.build_upstream(1, ready_since_ms=now_ms),
            builders.build_upstream(2),
            builders.build_upstream(3),
        )
        for _ in range(60):
            seen = self.picker.get_observation(self.pick().member_id)
            seen.begin(self.now, _WORK_S)
        cold = self.picker.get_observation(
            self.upstreams[0].member_id
        ).in_flight
        warm = self.picker.get_observation(
            self.upstreams[1].member_id
        ).in_flight
        self.assertLess(cold, warm / 3)

    def test_suspected_upstream_that_answers_is_used(self) -> None:
        self.upstreams = (
            builders.build_upstream(1, suspect=True),
            builders.build_upstream(2),
        )
        self.assertEqual(set(self.count()), {1})
        self.answer(0, _WORK_S)
        self.assertIn(0, self.count())

    def test_everything_looks_ill(self) -> None:
        for number in range(4):
            self.note(number, _UNREACHABLE)
        self.assertGreater(len(self.count()), 1)

    def test_tried_upstreams_are_left_out(self) -> None:
        tried = [one.member_id for one in self.upstreams[:3]]
        for _ in range(20):
            picked = self.picker.pick("kassa", self.upstreams, tried, False)
            self.assertEqual(picked, self.upstreams[3])
        tried.append(self.upstreams[3].member_id)
        self.assertIsNone(
            self.picker.pick("kassa", self.upstreams, tried, False)
        )


class MovingAwayTest(unittest.IsolatedAsyncioTestCase):
    """Over real connections."""

    async def test_killed_daemon_costs_no_call(self) -> None:
        async with (
            builders.run_nodes(3, store=fakes.Store()) as nodes,
            builders.open_client() as client,
        ):
            nodes[0].proxy.backend.slots = 0
            await nodes[1].proxy.stop()
            for _ in range(20):
                answer = await client.get(nodes[0].url + "/x")
                self.assertEqual(answer.status, 200)
            self.assertEqual(len(nodes[2].served), 20)
