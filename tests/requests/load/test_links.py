"""Which long answers get the link, and when; the clock is the test's."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
import unittest

from merlintrestle.requests.calls import outcomes
from merlintrestle.requests.load import links
from merlintrestle.requests.load import rates
from tests.requests import builders
from tests.requests import fakes

if TYPE_CHECKING:
    from merlintrestle.documents import snapshot

_RATE = 400_000
_SIZE = 100_000
_DOWNLOAD = builders.build_plan("download", latency_s=1.0, work_s=0.0)
_ARCHIVE = builders.build_plan("archive", latency_s=1.0, large=True)
_CHECK = builders.build_plan("check", latency_s=0.3, work_s=0.0)


class DrainRateTest(unittest.TestCase):
    def test_nothing_waited(self) -> None:
        self.assertEqual(rates.DrainRate().get(), 0.0)

    def test_first_figure_comes_soon(self) -> None:
        rate = rates.DrainRate()
        rate.note(1000.1, 0.1, 40_000)
        self.assertEqual(rate.get(), 400_000)

    def test_slow_receivers_do_not_lower_it_at_once(self) -> None:
        """What a slow receiver takes says little of the own link."""
        rate = rates.DrainRate()
        rate.note(1000.0, 1.0, 400_000)
        rate.note(1003.0, 3.0, 90_000)
        self.assertEqual(rate.get(), 400_000)

    def test_link_that_became_thinner(self) -> None:
        rate = rates.DrainRate()
        rate.note(1000.0, 1.0, 400_000)
        for second in range(1, 12):
            rate.note(1000.0 + second, 1.0, 100_000)
        self.assertEqual(rate.get(), 100_000)


class LinkTest(unittest.IsolatedAsyncioTestCase):
    """A link that carries 400 kB/s, and answers of 100 kB."""

    async def asyncSetUp(self) -> None:
        self.clock = fakes.Clock()
        self.link = links.Link(self.clock.get_time)

    def ask(
        self, plan: snapshot.ClassPlan, due_s: float, limit_s: float = 3.0
    ) -> links.Transfer | outcomes.NotRun:
        """Asks for a call whose target is over in `due_s`."""
        now = self.clock.now
        call = builders.build_call(
            plan=plan, due=now + due_s, deadline=now + limit_s
        )
        return self.link.admit(call)

    def begin(self, size: int = _SIZE, due_s: float = 1.0) -> links.Transfer:
        """Has a download admitted whose size is known."""
        transfer = self.ask(_DOWNLOAD, due_s)
        assert isinstance(transfer, links.Transfer)
        transfer.set_size(size)
        return transfer

    def learn(self) -> None:
        """Has the link find out its rate and the size of downloads."""
        transfer = self.begin(10 * _SIZE)
        transfer.hand_over(10 * _SIZE)
        self.link.note_look()
        self.clock.now += 1.0
        transfer.note_unsent(10 * _SIZE - _RATE)
        self.link.note_look()
        self.assertEqual(self.link.rate, _RATE)
        transfer.end()
        self.begin(_SIZE).end()
        for _ in range(100):
            self.begin(_SIZE).end()

    def test_nothing_is_refused_before_the_link_was_full(self) -> None:
        for _ in range(50):
            self.begin()

    def test_only_what_ends_in_time_is_admitted(self) -> None:
        """Three downloads fill the second that each of them has."""
        self.learn()
        for _ in range(3):
            self.begin()
        refusal = self.ask(_DOWNLOAD, 1.0)
        assert isinstance(refusal, outcomes.NotRun)
        self.assertTrue(refusal.elsewhere)
        self.assertTrue(refusal.overloaded)
        # The link is idle again after that.
        self.assertEqual(refusal.retry_after_s, 0.75)

    def test_checks_are_admitted_behind_downloads(self) -> None:
        self.learn()
        for _ in range(3):
            self.begin()
        check = self.ask(_CHECK, 0.3)
        assert isinstance(check, links.Transfer)
        check.set_size(1000)
        self.assertEqual(self.link.promised, 3 * _SIZE)

    def test_late_calls_get_what_those_in_time_leave(self) -> None:
        """One that comes back late is served if the link has little to do.

        Not once a call in time was refused, until its target is over.
        """
        self.learn()
        self.begin()
        late = self.ask(_DOWNLOAD, -0.5, 1.0)
        assert isinstance(late, links.Transfer)
        late.end()
        self.begin()
        self.begin()
        self.assertIsInstance(self.ask(_DOWNLOAD, 1.0), outcomes.NotRun)
        self.assertIsInstance(self.ask(_DOWNLOAD, -0.5), outcomes.NotRun)

    def test_call_with_a_key_asks_its_claim(self) -> None:
        """The link alone does not call a payout "not run".

        It may have run, its answer lost on the full link; sent again, it finds
        the claim of the first try and gets the kept answer.
        """
        self.learn()
        payout = builders.build_plan("payout", repeatable=False, latency_s=1.0)
        for _ in range(10):
            transfer = self.ask(payout, 1.0)
            assert isinstance(transfer, links.Transfer)
            transfer.set_size(_SIZE)

    def test_idle_link_takes_any_call(self) -> None:
        """However large the answers of a class are, one at a time is tried."""
        self.learn()
        self.begin(100 * _SIZE).end()
        first = self.ask(_DOWNLOAD, 0.01)
        assert isinstance(first, links.Transfer)
        first.end()
        self.assertEqual(self.link.promised, 0)

    def test_long_transfers_have_no_target_to_miss(self) -> None:
        self.learn()
        first = self.ask(_ARCHIVE, 1.0, 60.0)
        assert isinstance(first, links.Transfer)
        first.set_size(8 * _SIZE)
        self.assertIsInstance(self.ask(_ARCHIVE, 1.0, 60.0), links.Transfer)
        self.assertIsInstance(self.ask(_ARCHIVE, 1.0, 3.0), outcomes.NotRun)

    def test_bytes_are_given_back_as_they_leave(self) -> None:
        """What a connection has taken is promised until it has left."""
        transfer = self.begin()
        transfer.hand_over(_SIZE)
        self.assertEqual((self.link.promised, self.link.unsent), (_SIZE, _SIZE))
        transfer.note_unsent(30_000)
        self.assertEqual((self.link.promised, self.link.unsent), (30_000,) * 2)
        transfer.end()
        self.assertEqual((self.link.promised, self.link.unsent), (0, 0))

    async def test_pieces_go_by_whose_target_is_over_first(self) -> None:
        """What came back goes first, and all wait while the link is full."""
        self.learn()
        running = self.begin()
        await running.take_room()
        running.hand_over(_SIZE)
        turns: list[str] = []

        async def send(name: str, transfer: links.Transfer) -> None:
            await transfer.take_room()
            turns.append(name)

        second = asyncio.create_task(send("second", self.begin(due_s=0.9)))
        first = asyncio.create_task(send("first", self.begin(due_s=0.8)))
        await asyncio.sleep(0)
        self.link.note_look()
        await asyncio.sleep(0)
        self.assertEqual(turns, [])
        running.note_unsent(0)
        self.link.note_look()
        await asyncio.gather(first, second)
        self.assertEqual(turns, ["first", "second"])

    async def test_late_ones_go_last(self) -> None:
        """One that misses its target in any case makes no other late."""
        self.learn()
        running = self.begin()
        await running.take_room()
        running.hand_over(_SIZE)
        turns: list[str] = []

        async def send(name: str, transfer: links.Transfer) -> None:
            await transfer.take_room()
            turns.append(name)

        late = asyncio.create_task(send("late", self.begin(due_s=0.1)))
        in_time = asyncio.create_task(send("in time", self.begin()))
        await asyncio.sleep(0)
        running.note_unsent(0)
        self.link.note_look()
        await asyncio.gather(late, in_time)
        self.assertEqual(turns, ["in time", "late"])

    async def test_transfer_that_is_given_up_while_it_waits(self) -> None:
        self.learn()
        running = self.begin()
        running.hand_over(_SIZE)
        waiting = self.begin()
        task = asyncio.create_task(waiting.take_room())
        await asyncio.sleep(0)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        waiting.end()
        running.end()
        self.link.note_look()
        await self.begin().take_room()
        self.assertEqual(self.link.promised, _SIZE)

    def test_first_receiver_is_slow(self) -> None:
        """One caller behind a slow link of its own does not stop the others.

        All that was ever seen of the link is what that caller takes, a few
        kilobytes a second. The next download shows more at once.
        """
        slow = self.begin()
        slow.hand_over(_SIZE)
        self.link.note_look()
        self.clock.now += 2.0
        slow.note_unsent(_SIZE - 10_000)
        self.link.note_look()
        self.assertEqual(self.link.rate, 5000)
        quick = self.begin()
        quick.hand_over(_SIZE)
        self.clock.now += 1.0
        quick.note_unsent(0)
        self.link.note_look()
        self.assertGreaterEqual(self.link.rate, _SIZE)
        self.begin()

    async def test_receiver_that_takes_nothing(self) -> None:
        """Other downloads go on, though its bytes stay where they are.

        Its caller has gone without a word. What the connection has taken of
        its download does not leave, as if the link were full; only after
        `bodies.STALL_S` it is given up.
        """
        self.learn()
        stuck = self.begin(5 * _SIZE, due_s=3.0)
        stuck.hand_over(_SIZE)
        self.link.note_look()
        task = asyncio.create_task(self.begin(due_s=2.0).take_room())
        await asyncio.sleep(0)
        for _ in range(30):
            self.assertFalse(task.done())
            self.clock.now += 0.02
            stuck.note_unsent(_SIZE)
            self.link.note_look()
            if not self.link.unsent:
                break
        await task
        self.assertEqual(self.link.promised, _SIZE)
        # It takes something after all, and leaves.
        stuck.note_unsent(_SIZE // 2)
        self.assertEqual(self.link.unsent, _SIZE // 2)
        self.assertEqual(self.link.promised, _SIZE + 9 * _SIZE // 2)
        stuck.end()
        self.assertEqual((self.link.promised, self.link.unsent), (_SIZE, 0))

    async def test_link_that_carries_more_than_was_thought(self) -> None:
        """All has left at each look and transfers wait: it is quicker."""
        self.learn()
        transfer = self.begin(50 * _SIZE)
        for _ in range(60):
            transfer.hand_over(_RATE // 10)
            task = asyncio.create_task(transfer.take_room())
            await asyncio.sleep(0)
            self.clock.now += 0.02
            transfer.note_unsent(0)
            self.link.note_look()
            await task
        self.assertGreater(self.link.rate, 4 * _RATE)
