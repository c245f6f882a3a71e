"""Which long answers get the link, and when; the clock is the test's."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
import unittest

from merlintrestle.requests.calls import outcomes
from merlintrestle.requests.load import links
from merlintrestle.requests.load import rates
from merlintrestle.requests.load import reservations
from tests.requests import builders
from tests.requests import fakes

if TYPE_CHECKING:
    from merlintrestle.documents import snapshot

_RATE = 400_000
_SIZE = 100_000
# Time between two looks, in seconds: a figure that sums up without a rest.
_LOOK_S = 1 / 64
_DOWNLOAD = builders.build_plan("download", latency_s=1.0, work_s=0.0)
_ARCHIVE = builders.build_plan("archive", latency_s=1.0, large=True)
_CHECK = builders.build_plan("check", latency_s=0.3, work_s=0.0)


class DrainRateTest(unittest.TestCase):
    def test_nothing_waited(self) -> None:
        self.assertEqual(rates.DrainRate().get(), 0.0)

    def test_first_figure_comes_soon(self) -> None:
        rate = rates.DrainRate()
        rate.record(1000.1, 0.1, 40_000)
        self.assertEqual(rate.get(), 400_000)

    def test_slow_receivers_do_not_lower_it_at_once(self) -> None:
        """What a slow receiver takes says little of the own link."""
        rate = rates.DrainRate()
        rate.record(1000.0, 1.0, 400_000)
        rate.record(1003.0, 3.0, 90_000)
        self.assertEqual(rate.get(), 400_000)

    def test_link_that_became_thinner(self) -> None:
        rate = rates.DrainRate()
        rate.record(1000.0, 1.0, 400_000)
        for second in range(1, 12):
            rate.record(1000.0 + second, 1.0, 100_000)
        self.assertEqual(rate.get(), 100_000)

    def test_one_receiver_alone(self) -> None:
        """It shows what the link carries at least."""
        rate = rates.DrainRate()
        rate.record(1000.0, 1.0, 400_000, shared=False)
        self.assertEqual(rate.get(), 0.0)
        rate.record(1001.0, 1.0, 400_000)
        rate.record(1020.0, 1.0, 5000, shared=False)
        self.assertEqual(rate.get(), 400_000)
        rate.record(1021.0, 1.0, 500_000, shared=False)
        self.assertEqual(rate.get(), 500_000)


class LinkTest(unittest.IsolatedAsyncioTestCase):
    """A link that carries 400 kB/s, and answers of 100 kB."""

    async def asyncSetUp(self) -> None:
        self.clock = fakes.Clock()
        self.link = links.OutgoingLink(self.clock.get_time)

    def ask(
        self,
        plan: snapshot.ClassPlan,
        due_s: float,
        limit_s: float = 3.0,
        way_back_s: float = 0.0,
    ) -> reservations.Transfer | outcomes.NotRun:
        """Asks for a call whose target is over in `due_s`."""
        now = self.clock.now
        call = builders.build_call(
            plan=plan,
            due=now + due_s,
            deadline=now + limit_s,
            way_back_s=way_back_s,
        )
        return self.link.admit(call)

    def begin(
        self, size: int = _SIZE, due_s: float = 1.0
    ) -> reservations.Transfer:
        """Has a download admitted whose size is known."""
        transfer = self.ask(_DOWNLOAD, due_s)
        assert isinstance(transfer, reservations.Transfer)
        transfer.set_size(size)
        return transfer

    def drain(
        self, running: list[reservations.Transfer], length_s: float, rate: float
    ) -> None:
        """Has what was handed over leave in equal parts, with looks at it."""
        self.link.update_rate()
        for _ in range(round(length_s / _LOOK_S)):
            self.clock.now += _LOOK_S
            for transfer in running:
                part = round(rate * _LOOK_S / len(running))
                transfer.update_unsent(transfer.unsent - part)
            self.link.update_rate()

    def learn(self) -> None:
        """Has the link find out its rate and the size of downloads."""
        running = [self.begin(10 * _SIZE) for _ in range(2)]
        for transfer in running:
            transfer.record_written(10 * _SIZE)
        self.drain(running, 1.0, _RATE)
        self.assertEqual(self.link.rate, _RATE)
        for transfer in running:
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

    def test_time_of_the_way_back_is_no_time_to_send_in(self) -> None:
        """Guards against long answers begun that come too late."""
        self.learn()
        late = _DOWNLOAD._replace(latency_s=10.0)
        self.begin()
        self.begin()
        refusal = self.ask(late, -1.0, 1.0, way_back_s=0.9)
        self.assertIsInstance(refusal, outcomes.NotRun)
        self.assertIsInstance(self.ask(late, -1.0, 1.0), reservations.Transfer)

    def test_checks_are_admitted_behind_downloads(self) -> None:
        self.learn()
        for _ in range(3):
            self.begin()
        check = self.ask(_CHECK, 0.3)
        assert isinstance(check, reservations.Transfer)
        check.set_size(1000)
        self.assertEqual(self.link.reserved_bytes, 3 * _SIZE)

    def test_late_calls_get_what_those_in_time_leave(self) -> None:
        """One that comes back late is served if the link has little to do.

        Not once a call in time was refused, until its target is over.
        """
        self.learn()
        self.begin()
        late = self.ask(_DOWNLOAD, -0.5, 1.0)
        assert isinstance(late, reservations.Transfer)
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
            assert isinstance(transfer, reservations.Transfer)
            transfer.set_size(_SIZE)

    def test_idle_link_takes_any_call(self) -> None:
        """However large the answers of a class are, one at a time is tried."""
        self.learn()
        self.begin(100 * _SIZE).end()
        first = self.ask(_DOWNLOAD, 0.01)
        assert isinstance(first, reservations.Transfer)
        first.end()
        self.assertEqual(self.link.reserved_bytes, 0)

    def test_long_transfers_have_no_target_to_miss(self) -> None:
        self.learn()
        first = self.ask(_ARCHIVE, 1.0, 60.0)
        assert isinstance(first, reservations.Transfer)
        first.set_size(8 * _SIZE)
        self.assertIsInstance(
            self.ask(_ARCHIVE, 1.0, 60.0), reservations.Transfer
        )
        # It takes 2 s, and goes before those that have a minute.
        self.assertIsInstance(
            self.ask(_ARCHIVE, 1.0, 3.0), reservations.Transfer
        )
        # It would end after 4 s.
        self.assertIsInstance(self.ask(_ARCHIVE, 1.0, 3.0), outcomes.NotRun)
        self.assertIsInstance(
            self.ask(_ARCHIVE, 1.0, 5.0), reservations.Transfer
        )

    def test_large_transfer_does_not_shut_the_link(self) -> None:
        """Downloads come in time beside an archive that takes 20 s.

        The archive has a minute, and goes after all calls in time. Counted as
        work that goes before them, it had every download refused until it was
        through.
        """
        self.learn()
        archive = self.ask(_ARCHIVE, 1.0, 60.0)
        assert isinstance(archive, reservations.Transfer)
        archive.set_size(80 * _SIZE)
        archive.record_written(_SIZE // 4)
        for _ in range(3):
            self.begin()
        self.assertEqual(self.link.get_backlog_s(), 0.0625 + 0.75)
        refusal = self.ask(_DOWNLOAD, 1.0)
        assert isinstance(refusal, outcomes.NotRun)
        # What it had handed over, and the downloads.
        self.assertEqual(refusal.retry_after_s, 0.0625 + 0.75)
        self.assertIsInstance(self.ask(_ARCHIVE, 1.0, 20.0), outcomes.NotRun)

    def test_answer_larger_than_others_of_its_class(self) -> None:
        """Once it is known to miss its target, others don't wait for it.

        A download of 8 MB was promised the mean of its class, 100 kB. Going
        first by its target, it would have all others refused for 20 s.
        """
        self.learn()
        self.begin(80 * _SIZE, due_s=0.9)
        self.begin()
        self.assertIsInstance(self.ask(_CHECK, 0.3), reservations.Transfer)
        self.assertLess(self.link.get_backlog_s(), 1.0)

    def test_errors_do_not_tell_what_a_class_is_like(self) -> None:
        """After a burst of errors no more downloads are begun than before."""
        self.learn()
        for _ in range(40):
            failed = self.ask(_DOWNLOAD, 1.0)
            assert isinstance(failed, reservations.Transfer)
            failed.set_size(200, typical=False)
            failed.record_size(200)
            failed.end()
        for _ in range(3):
            self.begin()
        self.assertIsInstance(self.ask(_DOWNLOAD, 1.0), outcomes.NotRun)

    def test_answers_without_a_stated_length(self) -> None:
        """Their class is known by what they had at their end.

        Until then what is handed over counts, if it is more than was promised.
        """
        self.learn()
        report = builders.build_plan("report", latency_s=1.0, work_s=0.0)
        first = self.ask(report, 1.0)
        assert isinstance(first, reservations.Transfer)
        first.record_head()
        first.record_written(_SIZE)
        self.assertEqual(self.link.reserved_bytes, _SIZE)
        first.update_unsent(0)
        first.record_size(_SIZE)
        first.end()
        # The fourth ends just when its second is over.
        for _ in range(4):
            self.assertIsInstance(self.ask(report, 1.0), reservations.Transfer)
        self.assertEqual(self.link.reserved_bytes, 4 * _SIZE)
        self.assertIsInstance(self.ask(report, 1.0), outcomes.NotRun)

    def test_bytes_are_given_back_as_they_leave(self) -> None:
        """What a connection has taken is promised until it has left."""
        transfer = self.begin()
        transfer.record_written(_SIZE)
        self.assertEqual(
            (self.link.reserved_bytes, self.link.unsent), (_SIZE, _SIZE)
        )
        transfer.update_unsent(30_000)
        self.assertEqual(
            (self.link.reserved_bytes, self.link.unsent), (30_000,) * 2
        )
        transfer.end()
        self.assertEqual((self.link.reserved_bytes, self.link.unsent), (0, 0))

    async def fill(self) -> reservations.Transfer:
        """Returns a transfer that has taken all the room of the link."""
        self.learn()
        running = self.begin()
        await running.wait_for_turn()
        running.record_written(_SIZE)
        return running

    async def test_pieces_go_by_whose_target_is_over_first(self) -> None:
        """What came back goes first, and all wait while the link is full."""
        running = await self.fill()
        turns: list[str] = []
        second = asyncio.create_task(
            _take_turn(turns, "second", self.begin(due_s=0.9))
        )
        first = asyncio.create_task(
            _take_turn(turns, "first", self.begin(due_s=0.8))
        )
        await asyncio.sleep(0)
        self.link.update_rate()
        await asyncio.sleep(0)
        self.assertEqual(turns, [])
        running.update_unsent(0)
        self.link.update_rate()
        await asyncio.gather(first, second)
        self.assertEqual(turns, ["first", "second"])

    async def test_late_ones_go_last(self) -> None:
        """One that misses its target in any case makes no other late."""
        running = await self.fill()
        turns: list[str] = []
        late = asyncio.create_task(
            _take_turn(turns, "late", self.begin(due_s=0.1))
        )
        in_time = asyncio.create_task(
            _take_turn(turns, "in time", self.begin())
        )
        await asyncio.sleep(0)
        running.update_unsent(0)
        self.link.update_rate()
        await asyncio.gather(late, in_time)
        self.assertEqual(turns, ["in time", "late"])

    async def test_transfer_that_is_given_up_while_it_waits(self) -> None:
        self.learn()
        running = self.begin()
        running.record_written(_SIZE)
        waiting = self.begin()
        task = asyncio.create_task(waiting.wait_for_turn())
        await asyncio.sleep(0)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        waiting.end()
        running.end()
        self.link.update_rate()
        await self.begin().wait_for_turn()
        self.assertEqual(self.link.reserved_bytes, _SIZE)

    def test_first_receiver_is_slow(self) -> None:
        """One caller behind a slow link of its own does not stop the others.

        All that was ever seen of the link is what that caller takes, a few
        kilobytes a second. The next download shows more at once.
        """
        slow = self.begin()
        slow.record_written(_SIZE)
        self.drain([slow], 12.0, 6400)
        self.assertEqual(self.link.rate, 0.0)
        quick = self.begin()
        quick.record_written(_SIZE)
        self.drain([quick], 0.25, _RATE)
        self.assertGreaterEqual(self.link.rate, _RATE / 2)

    def test_receiver_that_is_slow_for_long(self) -> None:
        """The link is known to carry more, however long it lasts.

        One caller takes a long download at a few kilobytes a second while
        nobody else asks for one. After the last quick transfer was forgotten,
        the link was taken to carry no more, and downloads were refused, with
        1000 s to wait.
        """
        self.learn()
        slow = self.ask(_ARCHIVE, 1.0, 3600.0)
        assert isinstance(slow, reservations.Transfer)
        slow.set_size(50 * _SIZE)
        slow.record_written(2 * _SIZE)
        self.drain([slow], 12.0, 6400)
        self.assertEqual(self.link.rate, _RATE)
        for _ in range(3):
            self.begin()

    def test_two_receivers_that_are_slow_for_long(self) -> None:
        """Together they have the link taken for slow; the next one shows more.

        They take 6 kB/s each, for longer than a quick transfer is remembered.
        """
        self.learn()
        slow = [self.begin(50 * _SIZE) for _ in range(2)]
        for transfer in slow:
            transfer.record_written(2 * _SIZE)
        self.drain(slow, 12.0, 12_800)
        self.assertLess(self.link.rate, _RATE / 10)
        quick = self.begin()
        quick.record_written(_SIZE)
        self.drain([quick], 0.25, _RATE)
        quick = self.begin(4 * _SIZE)
        quick.record_written(4 * _SIZE)
        self.drain([quick], 1.0, _RATE)
        self.assertGreater(self.link.rate, _RATE / 2)

    async def test_slow_receiver_leaves_room_to_others(self) -> None:
        """What waits for it takes no more than a piece from others.

        It was handed all that may be on its way, and takes a few kilobytes a
        second. Another goes on, though the slow one's target ends first; the
        slow one itself waits until all but a piece is gone.
        """
        self.learn()
        slow = self.begin(5 * _SIZE, due_s=2.0)
        while slow.unsent < _RATE // 10:
            await slow.wait_for_turn()
            slow.record_written(reservations.CHUNK_BYTES)
        waiting = asyncio.create_task(slow.wait_for_turn())
        quick = asyncio.create_task(self.begin(due_s=2.5).wait_for_turn())
        await asyncio.sleep(0)
        self.drain([slow], 0.625, 6400)
        await quick
        self.assertFalse(waiting.done())
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)

    def test_loop_that_stood_still(self) -> None:
        """What left meanwhile says nothing: the link was idle for most of it.

        Looks come a third of a second late, again and again, and find that
        all on its way has left, which takes a tenth of a second.
        """
        self.learn()
        running = [self.begin(50 * _SIZE) for _ in range(2)]
        for _ in range(40):
            for transfer in running:
                transfer.record_written(_RATE // 20)
            self.link.update_rate()
            self.clock.now += 0.3
            for transfer in running:
                transfer.update_unsent(1)
            self.link.update_rate()
        self.assertEqual(self.link.rate, _RATE)

    async def test_receiver_that_takes_nothing(self) -> None:
        """Other downloads go on, though its bytes stay where they are.

        Its caller has gone without a word. What the connection has taken of
        its download does not leave, as if the link were full; only after
        `bodies.STALL_S` it is given up.
        """
        self.learn()
        stuck = self.begin(5 * _SIZE, due_s=3.0)
        stuck.record_written(_SIZE)
        self.link.update_rate()
        task = asyncio.create_task(self.begin(due_s=2.0).wait_for_turn())
        await asyncio.sleep(0)
        for _ in range(30):
            self.assertFalse(task.done())
            self.clock.now += 0.02
            stuck.update_unsent(_SIZE)
            self.link.update_rate()
            if not self.link.unsent:
                break
        await task
        self.assertEqual(self.link.reserved_bytes, _SIZE)
        # Nothing more is handed to it at once.
        more = asyncio.create_task(stuck.wait_for_turn())
        await asyncio.sleep(0)
        self.assertFalse(more.done())
        more.cancel()
        await asyncio.gather(more, return_exceptions=True)
        # It takes something after all, and leaves.
        stuck.update_unsent(_SIZE // 2)
        self.assertEqual(self.link.unsent, _SIZE // 2)
        self.assertEqual(self.link.reserved_bytes, _SIZE + 9 * _SIZE // 2)
        stuck.end()
        self.assertEqual(
            (self.link.reserved_bytes, self.link.unsent), (_SIZE, 0)
        )

    async def test_link_that_carries_more_than_was_thought(self) -> None:
        """All has left at each look and transfers wait: it is quicker."""
        self.learn()
        transfer = self.begin(50 * _SIZE)
        for _ in range(60):
            transfer.record_written(_RATE // 10)
            task = asyncio.create_task(transfer.wait_for_turn())
            await asyncio.sleep(0)
            self.clock.now += 0.02
            transfer.update_unsent(0)
            self.link.update_rate()
            await task
        self.assertGreater(self.link.rate, 4 * _RATE)


async def _take_turn(
    turns: list[str], name: str, transfer: reservations.Transfer
) -> None:
    """Notes when it is a transfer's turn."""
    await transfer.wait_for_turn()
    turns.append(name)
