"""Tests of admission and scheduling of large answers on the outgoing link.

A download is a large answer with a latency target, an archive is a large
transfer without one, and a check is a small answer.
"""

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

# Rate of the link, in bytes per second.
_RATE = 400_000
# Size of a download, in bytes.
_SIZE = 100_000
# Time between two updates of the bytes in transit, in seconds: a binary
# fraction, so that sums are exact.
_SAMPLING_INTERVAL_S = 1 / 64
_DOWNLOAD = builders.build_plan("download", latency_s=1.0, work_s=0.0)
_ARCHIVE = builders.build_plan("archive", latency_s=1.0, large=True)
_CHECK = builders.build_plan("check", latency_s=0.3, work_s=0.0)


class MeasuredRateTest(unittest.TestCase):
    """The rate is measured while bytes wait for the link."""

    def test_rate_is_unknown_before_bytes_waited(self) -> None:
        """Guards against admission control with a wrong rate."""
        self.assertEqual(rates.MeasuredRate().get(), 0.0)

    def test_first_rate_is_available_soon(self) -> None:
        """Guards against a second in which every transfer is admitted."""
        rate = rates.MeasuredRate()
        rate.record(1000.1, 0.1, 40_000)
        self.assertEqual(rate.get(), 400_000)

    def test_slow_receivers_do_not_lower_the_rate_at_once(self) -> None:
        """The rate of a slow receiver may be far below that of the link."""
        rate = rates.MeasuredRate()
        rate.record(1000.0, 1.0, 400_000)
        rate.record(1003.0, 3.0, 90_000)
        self.assertEqual(rate.get(), 400_000)

    def test_link_that_became_slower(self) -> None:
        """The lower rate is used when the samples of the higher one expire."""
        rate = rates.MeasuredRate()
        rate.record(1000.0, 1.0, 400_000)
        for second in range(1, 12):
            rate.record(1000.0 + second, 1.0, 100_000)
        self.assertEqual(rate.get(), 100_000)

    def test_single_receiver(self) -> None:
        """Its rate is only a lower bound, so it may only raise a known rate."""
        rate = rates.MeasuredRate()
        rate.record(1000.0, 1.0, 400_000, shared=False)
        self.assertEqual(rate.get(), 0.0)
        rate.record(1001.0, 1.0, 400_000)
        rate.record(1020.0, 1.0, 5000, shared=False)
        self.assertEqual(rate.get(), 400_000)
        rate.record(1021.0, 1.0, 500_000, shared=False)
        self.assertEqual(rate.get(), 500_000)


class OutgoingLinkTest(unittest.IsolatedAsyncioTestCase):
    """A link with a rate of 400 kB/s and answers of 100 kB."""

    async def asyncSetUp(self) -> None:
        self.clock = fakes.FakeClock()
        self.link = links.OutgoingLink(self.clock.get_time)

    def request_transfer(
        self,
        plan: snapshot.ClassPlan,
        latency_deadline_s: float,
        timeout_s: float = 3.0,
        return_trip_s: float = 0.0,
    ) -> reservations.Transfer | outcomes.NotRun:
        """Requests a transfer for a call; all times are in seconds from now."""
        now = self.clock.now
        call = builders.build_call(
            plan=plan,
            latency_deadline=now + latency_deadline_s,
            deadline=now + timeout_s,
            return_trip_s=return_trip_s,
        )
        return self.link.admit(call)

    def start_download(
        self, size: int = _SIZE, latency_deadline_s: float = 1.0
    ) -> reservations.Transfer:
        """Starts a download whose size is known."""
        transfer = self.request_transfer(_DOWNLOAD, latency_deadline_s)
        assert isinstance(transfer, reservations.Transfer)
        transfer.set_size(size)
        return transfer

    def send(
        self,
        running: list[reservations.Transfer],
        duration_s: float,
        rate: float,
    ) -> None:
        """Sends written bytes of all transfers at a total rate.

        After each sampling interval the transfers and the link are updated.
        """
        self.link.update_rate()
        for _ in range(round(duration_s / _SAMPLING_INTERVAL_S)):
            self.clock.now += _SAMPLING_INTERVAL_S
            for transfer in running:
                sent = round(rate * _SAMPLING_INTERVAL_S / len(running))
                transfer.update_unsent(transfer.unsent - sent)
            self.link.update_rate()

    def measure(self) -> None:
        """Lets the link measure its rate and the size of downloads."""
        running = [self.start_download(10 * _SIZE) for _ in range(2)]
        for transfer in running:
            transfer.record_written(10 * _SIZE)
        self.send(running, 1.0, _RATE)
        self.assertEqual(self.link.rate, _RATE)
        for transfer in running:
            transfer.end()
        self.start_download(_SIZE).end()
        for _ in range(100):
            self.start_download(_SIZE).end()

    def test_no_call_is_refused_before_the_rate_is_known(self) -> None:
        """Guards against refusals on a link that has never been full."""
        for _ in range(50):
            self.start_download()

    def test_only_answers_in_time_are_admitted(self) -> None:
        """Three downloads fill the second until their latency deadline."""
        self.measure()
        for _ in range(3):
            self.start_download()
        refusal = self.request_transfer(_DOWNLOAD, 1.0)
        assert isinstance(refusal, outcomes.NotRun)
        self.assertTrue(refusal.elsewhere)
        self.assertTrue(refusal.overloaded)
        # The link is idle after this time.
        self.assertEqual(refusal.retry_after_s, 0.75)

    def test_return_trip_time_is_no_time_to_send(self) -> None:
        """A large answer that would arrive too late is not started."""
        self.measure()
        late = _DOWNLOAD._replace(latency_s=10.0)
        self.start_download()
        self.start_download()
        refusal = self.request_transfer(late, -1.0, 1.0, return_trip_s=0.9)
        self.assertIsInstance(refusal, outcomes.NotRun)
        self.assertIsInstance(
            self.request_transfer(late, -1.0, 1.0), reservations.Transfer
        )

    def test_checks_are_admitted_behind_downloads(self) -> None:
        """A small answer needs no reservation, so it is always admitted."""
        self.measure()
        for _ in range(3):
            self.start_download()
        check = self.request_transfer(_CHECK, 0.3)
        assert isinstance(check, reservations.Transfer)
        check.set_size(1000)
        self.assertEqual(self.link.reserved_bytes, 3 * _SIZE)

    def test_late_calls_get_unused_capacity(self) -> None:
        """A late retry is served if the link has little to send.

        After a call in time was refused, late calls are refused for the time of
        its latency target.
        """
        self.measure()
        self.start_download()
        late = self.request_transfer(_DOWNLOAD, -0.5, 1.0)
        assert isinstance(late, reservations.Transfer)
        late.end()
        self.start_download()
        self.start_download()
        self.assertIsInstance(
            self.request_transfer(_DOWNLOAD, 1.0), outcomes.NotRun
        )
        self.assertIsInstance(
            self.request_transfer(_DOWNLOAD, -0.5), outcomes.NotRun
        )

    def test_call_with_a_key_is_decided_by_its_claim(self) -> None:
        """The link itself does not report a payout as "not run".

        The payout may have run and its answer may have been lost on the full
        link. A retry finds the claim of the first attempt and gets the stored
        answer.
        """
        self.measure()
        payout = builders.build_plan("payout", repeatable=False, latency_s=1.0)
        for _ in range(10):
            transfer = self.request_transfer(payout, 1.0)
            assert isinstance(transfer, reservations.Transfer)
            transfer.set_size(_SIZE)

    def test_idle_link_admits_any_call(self) -> None:
        """One call at a time is admitted, however large its answer may be."""
        self.measure()
        self.start_download(100 * _SIZE).end()
        first = self.request_transfer(_DOWNLOAD, 0.01)
        assert isinstance(first, reservations.Transfer)
        first.end()
        self.assertEqual(self.link.reserved_bytes, 0)

    def test_large_transfers_have_no_latency_target(self) -> None:
        self.measure()
        first = self.request_transfer(_ARCHIVE, 1.0, 60.0)
        assert isinstance(first, reservations.Transfer)
        first.set_size(8 * _SIZE)
        self.assertIsInstance(
            self.request_transfer(_ARCHIVE, 1.0, 60.0), reservations.Transfer
        )
        # It takes 2 s and is scheduled before the transfers with a timeout of a
        # minute.
        self.assertIsInstance(
            self.request_transfer(_ARCHIVE, 1.0, 3.0), reservations.Transfer
        )
        # It would end after 4 s.
        self.assertIsInstance(
            self.request_transfer(_ARCHIVE, 1.0, 3.0), outcomes.NotRun
        )
        self.assertIsInstance(
            self.request_transfer(_ARCHIVE, 1.0, 5.0), reservations.Transfer
        )

    def test_large_transfer_does_not_block_the_link(self) -> None:
        """Downloads are in time during the transfer of an archive of 20 s.

        The archive has a timeout of a minute and is scheduled after all calls
        in time. If its bytes counted as ahead of them, all downloads would be
        refused until it has been sent.
        """
        self.measure()
        archive = self.request_transfer(_ARCHIVE, 1.0, 60.0)
        assert isinstance(archive, reservations.Transfer)
        archive.set_size(80 * _SIZE)
        archive.record_written(_SIZE // 4)
        for _ in range(3):
            self.start_download()
        self.assertEqual(self.link.get_backlog_s(), 0.0625 + 0.75)
        refusal = self.request_transfer(_DOWNLOAD, 1.0)
        assert isinstance(refusal, outcomes.NotRun)
        # The written bytes of the archive and the downloads.
        self.assertEqual(refusal.retry_after_s, 0.0625 + 0.75)
        self.assertIsInstance(
            self.request_transfer(_ARCHIVE, 1.0, 20.0), outcomes.NotRun
        )

    def test_answer_larger_than_others_of_its_class(self) -> None:
        """Other downloads do not wait for it when it misses its target anyway.

        A download of 8 MB has a reservation of the mean size of its class,
        100 kB. If it were scheduled by its latency deadline, which is the
        first, all others would be refused for 20 s.
        """
        self.measure()
        self.start_download(80 * _SIZE, latency_deadline_s=0.9)
        self.start_download()
        self.assertIsInstance(
            self.request_transfer(_CHECK, 0.3), reservations.Transfer
        )
        self.assertLess(self.link.get_backlog_s(), 1.0)

    def test_errors_do_not_count_in_the_class_statistics(self) -> None:
        """A burst of errors does not raise the number of downloads admitted."""
        self.measure()
        for _ in range(40):
            failed = self.request_transfer(_DOWNLOAD, 1.0)
            assert isinstance(failed, reservations.Transfer)
            failed.set_size(200, typical=False)
            failed.record_size(200)
            failed.end()
        for _ in range(3):
            self.start_download()
        self.assertIsInstance(
            self.request_transfer(_DOWNLOAD, 1.0), outcomes.NotRun
        )

    def test_answers_without_a_stated_size(self) -> None:
        """Their size is recorded for their class when they end.

        Until then the written bytes are reserved if they exceed the
        reservation.
        """
        self.measure()
        report = builders.build_plan("report", latency_s=1.0, work_s=0.0)
        first = self.request_transfer(report, 1.0)
        assert isinstance(first, reservations.Transfer)
        first.record_head()
        first.record_written(_SIZE)
        self.assertEqual(self.link.reserved_bytes, _SIZE)
        first.update_unsent(0)
        first.record_size(_SIZE)
        first.end()
        # The fourth answer ends exactly at its latency deadline.
        for _ in range(4):
            self.assertIsInstance(
                self.request_transfer(report, 1.0), reservations.Transfer
            )
        self.assertEqual(self.link.reserved_bytes, 4 * _SIZE)
        self.assertIsInstance(
            self.request_transfer(report, 1.0), outcomes.NotRun
        )

    def test_bytes_are_released_when_they_are_sent(self) -> None:
        """Bytes written to a connection stay reserved until they are sent."""
        transfer = self.start_download()
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

    async def fill_window(self) -> reservations.Transfer:
        """Returns a transfer that fills the send window of the link."""
        self.measure()
        running = self.start_download()
        await running.wait_for_turn()
        running.record_written(_SIZE)
        return running

    async def test_chunks_are_sent_by_latency_deadline(self) -> None:
        """The earliest deadline is first; all wait while the link is full."""
        running = await self.fill_window()
        turns: list[str] = []
        second = asyncio.create_task(
            _record_turn(
                turns, "second", self.start_download(latency_deadline_s=0.9)
            )
        )
        first = asyncio.create_task(
            _record_turn(
                turns, "first", self.start_download(latency_deadline_s=0.8)
            )
        )
        await asyncio.sleep(0)
        self.link.update_rate()
        await asyncio.sleep(0)
        self.assertEqual(turns, [])
        running.update_unsent(0)
        self.link.update_rate()
        await asyncio.gather(first, second)
        self.assertEqual(turns, ["first", "second"])

    async def test_late_answers_are_sent_last(self) -> None:
        """An answer that misses its target anyway does not make others late."""
        running = await self.fill_window()
        turns: list[str] = []
        late = asyncio.create_task(
            _record_turn(
                turns, "late", self.start_download(latency_deadline_s=0.1)
            )
        )
        in_time = asyncio.create_task(
            _record_turn(turns, "in time", self.start_download())
        )
        await asyncio.sleep(0)
        running.update_unsent(0)
        self.link.update_rate()
        await asyncio.gather(late, in_time)
        self.assertEqual(turns, ["in time", "late"])

    async def test_transfer_that_is_cancelled_while_it_waits(self) -> None:
        """Guards against a turn that is granted to a cancelled transfer."""
        self.measure()
        running = self.start_download()
        running.record_written(_SIZE)
        waiting = self.start_download()
        task = asyncio.create_task(waiting.wait_for_turn())
        await asyncio.sleep(0)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        waiting.end()
        running.end()
        self.link.update_rate()
        await self.start_download().wait_for_turn()
        self.assertEqual(self.link.reserved_bytes, _SIZE)

    def test_first_receiver_is_slow(self) -> None:
        """A caller with a slow link does not block other callers.

        The only measured rate of the local link is the rate to that caller, a
        few kilobytes per second. The next download gives a higher rate at once.
        """
        slow = self.start_download()
        slow.record_written(_SIZE)
        self.send([slow], 12.0, 6400)
        self.assertEqual(self.link.rate, 0.0)
        fast = self.start_download()
        fast.record_written(_SIZE)
        self.send([fast], 0.25, _RATE)
        self.assertGreaterEqual(self.link.rate, _RATE / 2)

    def test_receiver_that_is_slow_for_a_long_time(self) -> None:
        """The measured rate does not fall, however long the transfer takes.

        One caller receives a long download at a few kilobytes per second while
        there is no other download. If the rate to that caller were used when
        the sample of the last fast transfer has expired, downloads would be
        refused with a retry delay of 1000 s.
        """
        self.measure()
        slow = self.request_transfer(_ARCHIVE, 1.0, 3600.0)
        assert isinstance(slow, reservations.Transfer)
        slow.set_size(50 * _SIZE)
        slow.record_written(2 * _SIZE)
        self.send([slow], 12.0, 6400)
        self.assertEqual(self.link.rate, _RATE)
        for _ in range(3):
            self.start_download()

    def test_two_receivers_that_are_slow_for_a_long_time(self) -> None:
        """The measured rate falls, and the next fast transfer corrects it.

        The slow receivers receive 6 kB/s each, for longer than the sample of a
        fast transfer is kept.
        """
        self.measure()
        slow = [self.start_download(50 * _SIZE) for _ in range(2)]
        for transfer in slow:
            transfer.record_written(2 * _SIZE)
        self.send(slow, 12.0, 12_800)
        self.assertLess(self.link.rate, _RATE / 10)
        fast = self.start_download()
        fast.record_written(_SIZE)
        self.send([fast], 0.25, _RATE)
        fast = self.start_download(4 * _SIZE)
        fast.record_written(4 * _SIZE)
        self.send([fast], 1.0, _RATE)
        self.assertGreater(self.link.rate, _RATE / 2)

    async def test_slow_receiver_leaves_the_send_window_to_others(self) -> None:
        """A slow receiver occupies no more than one chunk of the send window.

        The transfer to it has filled the send window, and it receives a few
        kilobytes per second. Another transfer continues, although the slow one
        has the earlier latency deadline. The slow transfer waits until less
        than one chunk is in transit.
        """
        self.measure()
        slow = self.start_download(5 * _SIZE, latency_deadline_s=2.0)
        while slow.unsent < _RATE // 10:
            await slow.wait_for_turn()
            slow.record_written(reservations.CHUNK_BYTES)
        waiting = asyncio.create_task(slow.wait_for_turn())
        fast = asyncio.create_task(
            self.start_download(latency_deadline_s=2.5).wait_for_turn()
        )
        await asyncio.sleep(0)
        self.send([slow], 0.625, 6400)
        await fast
        self.assertFalse(waiting.done())
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)

    def test_event_loop_that_was_blocked(self) -> None:
        """No rate is measured in intervals in which the link was mostly idle.

        Updates are repeatedly a third of a second late and find that all bytes
        in transit have been sent, which takes a tenth of a second.
        """
        self.measure()
        running = [self.start_download(50 * _SIZE) for _ in range(2)]
        for _ in range(40):
            for transfer in running:
                transfer.record_written(_RATE // 20)
            self.link.update_rate()
            self.clock.now += 0.3
            for transfer in running:
                transfer.update_unsent(1)
            self.link.update_rate()
        self.assertEqual(self.link.rate, _RATE)

    async def test_stalled_receiver(self) -> None:
        """Other downloads continue while no bytes are sent to one receiver.

        This caller has disappeared without closing the connection. The bytes
        written to the connection are not sent, as if the link were full, until
        the connection is closed after `bodies.STALL_TIMEOUT_S`.
        """
        self.measure()
        stalled = self.start_download(5 * _SIZE, latency_deadline_s=3.0)
        stalled.record_written(_SIZE)
        self.link.update_rate()
        task = asyncio.create_task(
            self.start_download(latency_deadline_s=2.0).wait_for_turn()
        )
        await asyncio.sleep(0)
        for _ in range(30):
            self.assertFalse(task.done())
            self.clock.now += 0.02
            stalled.update_unsent(_SIZE)
            self.link.update_rate()
            if not self.link.unsent:
                break
        await task
        self.assertEqual(self.link.reserved_bytes, _SIZE)
        # The stalled transfer may not write further chunks.
        more = asyncio.create_task(stalled.wait_for_turn())
        await asyncio.sleep(0)
        self.assertFalse(more.done())
        more.cancel()
        await asyncio.gather(more, return_exceptions=True)
        # The caller receives some bytes after all and disconnects.
        stalled.update_unsent(_SIZE // 2)
        self.assertEqual(self.link.unsent, _SIZE // 2)
        self.assertEqual(self.link.reserved_bytes, _SIZE + 9 * _SIZE // 2)
        stalled.end()
        self.assertEqual(
            (self.link.reserved_bytes, self.link.unsent), (_SIZE, 0)
        )

    async def test_link_that_is_faster_than_measured(self) -> None:
        """The rate rises if all bytes are sent while transfers still wait."""
        self.measure()
        transfer = self.start_download(50 * _SIZE)
        for _ in range(60):
            transfer.record_written(_RATE // 10)
            task = asyncio.create_task(transfer.wait_for_turn())
            await asyncio.sleep(0)
            self.clock.now += 0.02
            transfer.update_unsent(0)
            self.link.update_rate()
            await task
        self.assertGreater(self.link.rate, 4 * _RATE)


async def _record_turn(
    turns: list[str], name: str, transfer: reservations.Transfer
) -> None:
    """Waits for the turn of a transfer and appends its name to `turns`."""
    await transfer.wait_for_turn()
    turns.append(name)
