"""Who gets the slots of a backend server, and who waits or is refused."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
import unittest

import hypothesis
from hypothesis import strategies

from merlintrestle.requests import backend
from merlintrestle.requests.calls import outcomes
from merlintrestle.requests.load import admission
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
_FOREIGN = builders.build_plan(
    "lookup", organisation="kochi", rate=100.0, work_s=0.01, latency_s=5.0
)
_ARCHIVE = builders.build_plan(
    "archive", large=True, rate=1.0, work_s=1.0, latency_s=0.5, importance=1
)


def build_admission(*plans: snapshot.ClassPlan) -> admission.Admission:
    """Builds the admission of a ready backend server with 4 slots."""
    named = {f"/{number}": plan for number, plan in enumerate(plans)}
    own = backend.LocalBackend()
    own.announce("kassa", "127.0.0.1:1", _SLOTS, control_pb2.READY)
    return admission.Admission(
        own, fakes.Holder(builders.build_snapshot(named)), fakes.Table()
    )


class AdmissionTest(unittest.IsolatedAsyncioTestCase):
    """Calls enter and leave in an order that the test decides."""

    async def enter(
        self, slots: admission.Admission, plan: snapshot.ClassPlan
    ) -> calls.Call:
        """Has a call take a slot, which must be free."""
        call = builders.build_call(plan=plan, deadline=self.deadline)
        self.assertIsNone(await slots.acquire(call))
        return call

    def queue(
        self, slots: admission.Admission, plan: snapshot.ClassPlan
    ) -> asyncio.Task[outcomes.NotRun | None]:
        """Has a call ask for a slot."""
        call = builders.build_call(plan=plan, deadline=self.deadline)
        return asyncio.create_task(slots.acquire(call))

    async def asyncSetUp(self) -> None:
        self.deadline = asyncio.get_running_loop().time() + 60

    async def test_classes_known_from_their_calls_wait(self) -> None:
        """A call waits for the next slot instead of being refused.

        Its class of work stands in no target document; routes by host bring
        it along. All slots are held by calls that end in a few hundredths of
        a second. Refused, it would take the call above it down with it.
        """
        slots = build_admission()
        check = builders.build_plan(
            "check", rate=0.0, work_s=0.0, latency_s=0.4, importance=5
        )
        held = [await self.enter(slots, check) for _ in range(_SLOTS)]
        waiting = [self.queue(slots, check) for _ in range(2)]
        await asyncio.sleep(0)
        self.assertFalse(any(task.done() for task in waiting))
        for call in held[:2]:
            slots.release(call)
        self.assertEqual([await task for task in waiting], [None, None])

    async def test_time_of_the_way_back_is_no_time_to_work_in(self) -> None:
        """Guards against a slot held by a call whose answer comes too late."""
        slots = build_admission()
        call = builders.build_call(
            plan=_LOOKUP, deadline=self.deadline, way_back_s=60.0
        )
        refusal = await slots.acquire(call)
        assert refusal is not None
        self.assertEqual(slots.in_flight, 0)

    async def test_time_of_the_way_back_is_no_time_to_wait_in(self) -> None:
        """Guards against waits whose refusal comes when the time is over."""
        slots = build_admission()
        check = builders.build_plan(
            "check", rate=0.0, work_s=0.0, latency_s=0.4, importance=5
        )
        held = [await self.enter(slots, check) for _ in range(_SLOTS)]
        waiting = self.queue(slots, check)
        await asyncio.sleep(0)
        self.assertFalse(waiting.done())
        waiting.cancel()
        # Enough to work in, too little for the wait that is to be expected.
        hold_s = slots._slots.get_queue(held[0]).hold_s
        call = builders.build_call(
            plan=check,
            deadline=self.deadline,
            way_back_s=60.0 - 0.9 * hold_s,
        )
        asking = asyncio.create_task(slots.acquire(call))
        await asyncio.sleep(0)
        self.assertTrue(asking.done())
        self.assertIsNotNone(await asking)

    async def test_shorter_calls_of_equal_importance_go_first(self) -> None:
        """A check does not wait behind the payouts that came before it.

        Checks take a tenth of their time, and lookups that hold slots of other
        backend servers wait for them.
        """
        slots = build_admission()
        payout = builders.build_plan(
            "payout", rate=0.0, work_s=0.0, latency_s=4.0, importance=4
        )
        check = payout._replace(name="check", latency_s=0.4)
        held = [await self.enter(slots, payout) for _ in range(_SLOTS - 1)]
        held.append(await self.enter(slots, check))
        payouts = [self.queue(slots, payout) for _ in range(3)]
        await asyncio.sleep(0)
        checks = [self.queue(slots, check) for _ in range(2)]
        await asyncio.sleep(0)
        slots.release(held[0])
        slots.release(held[1])
        self.assertEqual([await task for task in checks], [None, None])
        self.assertFalse(any(task.done() for task in payouts))
        for task in payouts:
            task.cancel()

    async def test_no_slot_is_kept_for_calls_that_may_never_come(self) -> None:
        """A lookup gets the last free slot of a backend server.

        A route by host could send more important payouts there as well, and
        one did. Kept free for the next one, the last slot stayed idle while
        lookups were refused, a twelfth of the service for good.
        """
        slots = build_admission()
        lookup = builders.build_plan(
            "lookup", rate=0.0, work_s=0.0, latency_s=0.4, importance=3
        )
        payout = lookup._replace(name="payout", importance=4)
        slots.release(await self.enter(slots, payout))
        for _ in range(_SLOTS):
            await self.enter(slots, lookup)

    async def test_downloads_leave_slots_to_checks(self) -> None:
        """A check is admitted at once, however many downloads are asked for.

        Downloads hold their slots for minutes. Were they to borrow all of
        them, every check would wait for the end of a download.
        """
        archive = _ARCHIVE._replace(importance=_CHECK.importance)
        slots = build_admission(_CHECK, archive)
        downloads = [self.queue(slots, archive) for _ in range(_SLOTS)]
        await asyncio.wait(downloads, return_when=asyncio.FIRST_COMPLETED)
        held = [task for task in downloads if task.done()]
        self.assertLess(slots.in_flight, _SLOTS)
        self.assertGreaterEqual(len(held), 1)
        await self.enter(slots, _CHECK)
        for task in downloads:
            task.cancel()

    async def test_other_organisation_gets_its_share(self) -> None:
        """The next free slot goes to the organisation below its share.

        One organisation overruns its rate and has borrowed every slot, and
        more of its calls wait. The other's first call does not wait for them.
        """
        slots = build_admission(_LOOKUP, _FOREIGN)
        held = [await self.enter(slots, _LOOKUP) for _ in range(_SLOTS)]
        waiting = [self.queue(slots, _LOOKUP) for _ in range(4)]
        await asyncio.sleep(0)
        foreign = self.queue(slots, _FOREIGN)
        await asyncio.sleep(0)
        slots.release(held.pop())
        self.assertIsNone(await foreign)
        self.assertFalse(any(task.done() for task in waiting))
        for task in waiting:
            task.cancel()

    async def test_unused_slots_are_lent(self) -> None:
        slots = build_admission(_LOOKUP, _FOREIGN)
        for _ in range(_SLOTS):
            await self.enter(slots, _LOOKUP)

    async def test_one_slot_is_left_to_more_important_work(self) -> None:
        slots = build_admission(_LOOKUP, _CHECK)
        held = [self.queue(slots, _LOOKUP) for _ in range(_SLOTS)]
        await asyncio.sleep(0)
        self.assertEqual(slots.in_flight, _SLOTS - 1)
        await self.enter(slots, _CHECK)
        for task in held:
            task.cancel()

    async def test_hopeless_wait_is_refused_at_once(self) -> None:
        """The caller is refused as not run at once and told when to return."""
        slow = _LOOKUP._replace(work_s=30.0, latency_s=30.5)
        slots = build_admission(slow)
        for _ in range(_SLOTS):
            await self.enter(slots, slow)
        asking = self.queue(slots, slow)
        await asyncio.sleep(0)
        self.assertTrue(asking.done())
        refusal = asking.result()
        assert refusal is not None
        self.assertTrue(refusal.overloaded)
        self.assertGreater(refusal.retry_after_s or 0, 0)

    async def test_burst_may_count_on_what_others_leave(self) -> None:
        """Calls of a burst wait, as they can be answered in time.

        The class is promised one slot and holds all four, which nobody else
        wants. Judged by its promise alone half of the burst would be refused.
        """
        rare = _LOOKUP._replace(rate=0.001, work_s=1.0, latency_s=3.0)
        slots = build_admission(rare, _FOREIGN)
        for _ in range(_SLOTS):
            await self.enter(slots, rare)
        waiting = [self.queue(slots, rare) for _ in range(_SLOTS)]
        await asyncio.sleep(0)
        self.assertFalse(any(task.done() for task in waiting))
        for task in waiting:
            task.cancel()

    async def test_least_important_is_shed_first(self) -> None:
        slots = build_admission(_LOOKUP, _CHECK)
        for _ in range(_SLOTS):
            await self.enter(slots, _CHECK)
        waiting = [self.queue(slots, _LOOKUP) for _ in range(_SLOTS * 4)]
        await asyncio.sleep(0)
        check = self.queue(slots, _CHECK)
        await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
        shed = [task.result() for task in waiting if task.done()]
        self.assertEqual(len(shed), 1)
        self.assertIsInstance(shed[0], outcomes.NotRun)
        self.assertFalse(check.done())
        check.cancel()
        for task in waiting:
            task.cancel()

    async def test_backend_server_leaves_while_a_call_waits(self) -> None:
        slots = build_admission(_LOOKUP)
        held = [await self.enter(slots, _LOOKUP) for _ in range(_SLOTS)]
        waiting = self.queue(slots, _LOOKUP)
        await asyncio.sleep(0)
        slots._backend.announce(
            "kassa", "127.0.0.1:1", _SLOTS, control_pb2.DRAINING
        )
        slots.release(held.pop())
        self.assertIsInstance(await waiting, outcomes.NotRun)
        self.assertEqual(slots.in_flight, len(held))


class SlotsPropertyTest(unittest.TestCase):
    """No order of calls loses a slot or gives one out twice."""

    @hypothesis.given(strategies.randoms(use_true_random=False))
    def test_slots_are_conserved(self, chance: random.Random) -> None:
        asyncio.run(self._play(chance))

    async def _play(self, chance: random.Random) -> None:
        plans = (_LOOKUP, _CHECK, _FOREIGN, _ARCHIVE)
        slots = build_admission(*plans)
        deadline = asyncio.get_running_loop().time() + 60
        running: list[
            tuple[calls.Call, asyncio.Task[outcomes.NotRun | None]]
        ] = []
        for _ in range(60):
            if running and chance.random() < 0.5:
                call, task = running.pop(chance.randrange(len(running)))
                if task.done() and not task.result():
                    slots.release(call)
                else:
                    task.cancel()
            else:
                call = builders.build_call(
                    plan=chance.choice(plans), deadline=deadline
                )
                task = asyncio.create_task(slots.acquire(call))
                running.append((call, task))
            if chance.random() < 0.7:
                await asyncio.sleep(0)
            self.assertLessEqual(slots.in_flight, _SLOTS)
        for _, task in running:
            task.cancel()
        await asyncio.gather(
            *(task for _, task in running), return_exceptions=True
        )
        for call, task in running:
            if not task.cancelled() and task.result() is None:
                slots.release(call)
        await asyncio.sleep(0)
        self.assertEqual(slots.in_flight, 0)
        self.assertEqual(slots._slots.waiting, 0)
