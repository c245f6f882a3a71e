"""Tests of admission control: which calls get a slot, wait or are refused."""

from __future__ import annotations

import asyncio
from typing import Any, TYPE_CHECKING
import unittest

import hypothesis
from hypothesis import strategies

from merlintrestle.requests import backend as backends
from merlintrestle.requests.calls import outcomes
from merlintrestle.requests.load import admission as admissions
from merlintrestle.schema import control_pb2
from tests.requests import builders
from tests.requests import fakes

if TYPE_CHECKING:
    import random

    from merlintrestle.documents import snapshot
    from merlintrestle.requests.calls import call as calls

_SLOTS = 4
_LOOKUP = builders.build_plan("lookup", rate=100.0, work_s=0.01, latency_s=5.0)
_CHECK = builders.build_plan(
    "check", rate=100.0, work_s=0.01, latency_s=5.0, importance=5
)
# The same class of another organisation.
_FOREIGN = builders.build_plan(
    "lookup", organisation="kochi", rate=100.0, work_s=0.01, latency_s=5.0
)
_ARCHIVE = builders.build_plan(
    "archive", large=True, rate=1.0, work_s=1.0, latency_s=0.5, importance=1
)


def build_admission(
    *plans: snapshot.ClassPlan, **options: Any
) -> admissions.Admission:
    """Builds admission control for a ready backend server with 4 slots."""
    named = {f"/{number}": plan for number, plan in enumerate(plans)}
    backend = backends.LocalBackend()
    backend.announce("kassa", "127.0.0.1:1", _SLOTS, control_pb2.READY)
    return admissions.Admission(
        backend,
        fakes.FakeActiveVersion(builders.build_snapshot(named)),
        fakes.FakeMemberTable(),
        **options,
    )


class AdmissionTest(unittest.IsolatedAsyncioTestCase):
    """Calls acquire and release slots in an order that the test determines."""

    async def acquire(
        self, admission: admissions.Admission, plan: snapshot.ClassPlan
    ) -> calls.Call:
        """Acquires a slot for a call, and asserts that it is not refused."""
        call = builders.build_call(plan=plan, deadline=self.deadline)
        self.assertIsNone(await admission.acquire(call))
        return call

    def request_slot(
        self, admission: admissions.Admission, plan: snapshot.ClassPlan
    ) -> asyncio.Task[outcomes.NotRun | None]:
        """Starts a task that acquires a slot for a call."""
        call = builders.build_call(plan=plan, deadline=self.deadline)
        return asyncio.create_task(admission.acquire(call))

    async def asyncSetUp(self) -> None:
        self.deadline = asyncio.get_running_loop().time() + 60

    async def test_class_of_a_host_route_waits(self) -> None:
        """A call waits for the next slot instead of being refused.

        Its class of work belongs to a route by host and is in no target
        document. All slots are held by calls that end within a few hundredths
        of a second. A refusal would make the parent call fail.
        """
        admission = build_admission()
        check = builders.build_plan(
            "check", rate=0.0, work_s=0.0, latency_s=0.4, importance=5
        )
        held = [await self.acquire(admission, check) for _ in range(_SLOTS)]
        waiting = [self.request_slot(admission, check) for _ in range(2)]
        await asyncio.sleep(0)
        self.assertFalse(any(task.done() for task in waiting))
        for call in held[:2]:
            admission.release(call)
        self.assertEqual([await task for task in waiting], [None, None])

    async def test_long_holds_do_not_refuse_a_class_forever(self) -> None:
        """Guards against calls that are refused forever after a freeze."""
        clock = fakes.FakeClock()
        admission = build_admission(get_time=clock.get_time)
        payout = builders.build_plan("payout", work_s=0.0, latency_s=0.5)
        for _ in range(_SLOTS):
            call = await self.acquire(admission, payout)
            clock.now += 30.0
            admission.release(call)
        self.deadline = asyncio.get_running_loop().time() + 2.0
        self.assertIsNotNone(await self.request_slot(admission, payout))
        clock.now += 10.0
        self.assertIsNone(await self.request_slot(admission, payout))

    async def test_short_time_left_is_refused_after_any_pause(self) -> None:
        """Guards against calls that are accepted and cannot end in time."""
        clock = fakes.FakeClock()
        admission = build_admission(get_time=clock.get_time)
        payout = builders.build_plan("payout", work_s=0.5, latency_s=0.5)
        self.deadline = asyncio.get_running_loop().time() + 0.2
        for _ in range(2):
            self.assertIsNotNone(await self.request_slot(admission, payout))
            clock.now += 100.0

    async def test_return_trip_time_is_no_time_to_run(self) -> None:
        """A call whose answer would arrive too late gets no slot."""
        admission = build_admission()
        call = builders.build_call(
            plan=_LOOKUP, deadline=self.deadline, return_trip_s=60.0
        )
        refusal = await admission.acquire(call)
        assert refusal is not None
        self.assertEqual(admission.in_flight, 0)

    async def test_return_trip_time_is_no_time_to_wait(self) -> None:
        """A call does not wait until it is too late for a refusal to arrive."""
        admission = build_admission()
        check = builders.build_plan(
            "check", rate=0.0, work_s=0.0, latency_s=0.4, importance=5
        )
        held = [await self.acquire(admission, check) for _ in range(_SLOTS)]
        waiting = self.request_slot(admission, check)
        await asyncio.sleep(0)
        self.assertFalse(waiting.done())
        waiting.cancel()
        # Enough time to run, but not for the expected wait.
        hold_s = admission._slots.get_queue(held[0]).hold_s
        call = builders.build_call(
            plan=check,
            deadline=self.deadline,
            return_trip_s=60.0 - 0.9 * hold_s,
        )
        waiting_call = asyncio.create_task(admission.acquire(call))
        await asyncio.sleep(0)
        self.assertTrue(waiting_call.done())
        self.assertIsNotNone(await waiting_call)

    async def test_shorter_calls_of_equal_importance_go_first(self) -> None:
        """A check does not wait behind payouts that arrived before it.

        A check takes a tenth of the time of a payout, and lookups that hold
        slots of other backend servers wait for checks.
        """
        admission = build_admission()
        payout = builders.build_plan(
            "payout", rate=0.0, work_s=0.0, latency_s=4.0, importance=4
        )
        check = payout._replace(name="check", latency_s=0.4)
        held = [
            await self.acquire(admission, payout) for _ in range(_SLOTS - 1)
        ]
        held.append(await self.acquire(admission, check))
        payouts = [self.request_slot(admission, payout) for _ in range(3)]
        await asyncio.sleep(0)
        checks = [self.request_slot(admission, check) for _ in range(2)]
        await asyncio.sleep(0)
        admission.release(held[0])
        admission.release(held[1])
        self.assertEqual([await task for task in checks], [None, None])
        self.assertFalse(any(task.done() for task in payouts))
        for task in payouts:
            task.cancel()

    async def test_no_slot_is_kept_free_for_a_class_without_rate(self) -> None:
        """A lookup gets the last free slot of a backend server.

        A route by host has sent it one payout, which is more important, and may
        send others. If the last slot were kept free for the next payout, it
        would stay idle while lookups are refused: a twelfth of the capacity of
        a backend server with a dozen slots.
        """
        admission = build_admission()
        lookup = builders.build_plan(
            "lookup", rate=0.0, work_s=0.0, latency_s=0.4, importance=3
        )
        payout = lookup._replace(name="payout", importance=4)
        admission.release(await self.acquire(admission, payout))
        for _ in range(_SLOTS):
            await self.acquire(admission, lookup)

    async def test_downloads_leave_a_slot_for_checks(self) -> None:
        """A check is admitted at once, however many downloads are requested.

        Downloads hold their slots for minutes. If they borrowed all slots, each
        check would wait for the end of a download.
        """
        archive = _ARCHIVE._replace(importance=_CHECK.importance)
        admission = build_admission(_CHECK, archive)
        downloads = [
            self.request_slot(admission, archive) for _ in range(_SLOTS)
        ]
        await asyncio.wait(downloads, return_when=asyncio.FIRST_COMPLETED)
        held = [task for task in downloads if task.done()]
        self.assertLess(admission.in_flight, _SLOTS)
        self.assertGreaterEqual(len(held), 1)
        await self.acquire(admission, _CHECK)
        for task in downloads:
            task.cancel()

    async def test_other_organisation_gets_its_share(self) -> None:
        """The next free slot is granted to the organisation below its share.

        One organisation exceeds its rate, has borrowed all slots and has more
        calls waiting. The first call of the other organisation does not wait
        for these.
        """
        admission = build_admission(_LOOKUP, _FOREIGN)
        held = [await self.acquire(admission, _LOOKUP) for _ in range(_SLOTS)]
        waiting = [self.request_slot(admission, _LOOKUP) for _ in range(4)]
        await asyncio.sleep(0)
        foreign = self.request_slot(admission, _FOREIGN)
        await asyncio.sleep(0)
        admission.release(held.pop())
        self.assertIsNone(await foreign)
        self.assertFalse(any(task.done() for task in waiting))
        for task in waiting:
            task.cancel()

    async def test_unused_slots_are_borrowed(self) -> None:
        """Guards against idle slots that are guaranteed to another class."""
        admission = build_admission(_LOOKUP, _FOREIGN)
        for _ in range(_SLOTS):
            await self.acquire(admission, _LOOKUP)

    async def test_one_slot_is_kept_free_for_more_important_calls(self) -> None:
        """Guards against checks that wait for borrowed slots."""
        admission = build_admission(_LOOKUP, _CHECK)
        lookups = [self.request_slot(admission, _LOOKUP) for _ in range(_SLOTS)]
        await asyncio.sleep(0)
        self.assertEqual(admission.in_flight, _SLOTS - 1)
        await self.acquire(admission, _CHECK)
        for task in lookups:
            task.cancel()

    async def test_too_long_wait_is_refused_at_once(self) -> None:
        """The caller is refused at once, with a retry delay."""
        slow = _LOOKUP._replace(work_s=30.0, latency_s=30.5)
        admission = build_admission(slow)
        for _ in range(_SLOTS):
            await self.acquire(admission, slow)
        waiting_call = self.request_slot(admission, slow)
        await asyncio.sleep(0)
        self.assertTrue(waiting_call.done())
        refusal = waiting_call.result()
        assert refusal is not None
        self.assertTrue(refusal.overloaded)
        self.assertGreater(refusal.retry_after_s or 0, 0)

    async def test_burst_waits_for_unused_slots(self) -> None:
        """Calls of a burst wait, as they can be answered in time.

        The class is guaranteed one slot and uses all four, which no other class
        needs. If only the guaranteed slot counted, half of the burst would be
        refused.
        """
        rare = _LOOKUP._replace(rate=0.001, work_s=1.0, latency_s=3.0)
        admission = build_admission(rare, _FOREIGN)
        for _ in range(_SLOTS):
            await self.acquire(admission, rare)
        waiting = [self.request_slot(admission, rare) for _ in range(_SLOTS)]
        await asyncio.sleep(0)
        self.assertFalse(any(task.done() for task in waiting))
        for task in waiting:
            task.cancel()

    async def test_least_important_is_shed_first(self) -> None:
        """Guards against full queues that only contain less important calls."""
        admission = build_admission(_LOOKUP, _CHECK)
        for _ in range(_SLOTS):
            await self.acquire(admission, _CHECK)
        waiting = [
            self.request_slot(admission, _LOOKUP) for _ in range(_SLOTS * 4)
        ]
        await asyncio.sleep(0)
        check = self.request_slot(admission, _CHECK)
        await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
        shed = [task.result() for task in waiting if task.done()]
        self.assertEqual(len(shed), 1)
        self.assertIsInstance(shed[0], outcomes.NotRun)
        self.assertFalse(check.done())
        check.cancel()
        for task in waiting:
            task.cancel()

    async def test_backend_server_drains_while_a_call_waits(self) -> None:
        """Guards against a call that begins to run during the drain."""
        admission = build_admission(_LOOKUP)
        held = [await self.acquire(admission, _LOOKUP) for _ in range(_SLOTS)]
        waiting = self.request_slot(admission, _LOOKUP)
        await asyncio.sleep(0)
        admission._backend.announce(
            "kassa", "127.0.0.1:1", _SLOTS, control_pb2.DRAINING
        )
        admission.release(held.pop())
        self.assertIsInstance(await waiting, outcomes.NotRun)
        self.assertEqual(admission.in_flight, len(held))


class SlotsPropertyTest(unittest.TestCase):
    """In no order of calls is a slot lost or granted twice."""

    @hypothesis.given(strategies.randoms(use_true_random=False))
    def test_slots_are_conserved(self, rng: random.Random) -> None:
        asyncio.run(self._simulate(rng))

    async def _simulate(self, rng: random.Random) -> None:
        plans = (_LOOKUP, _CHECK, _FOREIGN, _ARCHIVE)
        admission = build_admission(*plans)
        deadline = asyncio.get_running_loop().time() + 60
        running: list[
            tuple[calls.Call, asyncio.Task[outcomes.NotRun | None]]
        ] = []
        for _ in range(60):
            if running and rng.random() < 0.5:
                call, task = running.pop(rng.randrange(len(running)))
                if task.done() and not task.result():
                    admission.release(call)
                else:
                    task.cancel()
            else:
                call = builders.build_call(
                    plan=rng.choice(plans), deadline=deadline
                )
                task = asyncio.create_task(admission.acquire(call))
                running.append((call, task))
            if rng.random() < 0.7:
                await asyncio.sleep(0)
            self.assertLessEqual(admission.in_flight, _SLOTS)
        for _, task in running:
            task.cancel()
        await asyncio.gather(
            *(task for _, task in running), return_exceptions=True
        )
        for call, task in running:
            if not task.cancelled() and task.result() is None:
                admission.release(call)
        await asyncio.sleep(0)
        self.assertEqual(admission.in_flight, 0)
        self.assertEqual(admission._slots.waiting, 0)
