"""Calls of which there is no news are not given up without proof."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
import unittest

from aiohttp import web

from merlintrestle.requests.reports import stories
from merlintrestle.requests.serving import dispatch
from merlintrestle.requests.transport import bodies
from merlintrestle.requests.transport import headers
from merlintrestle.requests.transport import probes
from tests.requests import builders
from tests.requests import relays

if TYPE_CHECKING:
    from merlintrestle.documents import snapshot

# A try that is not cancelled would end by itself only after the test's guard.
_PATIENT = builders.build_snapshot(
    {"/": builders.build_plan(deadline_s=6 * builders.GUARD_S)}
)


class DoubtTest(unittest.IsolatedAsyncioTestCase):
    """A daemon asks the peer about its call and hears nothing."""

    def setUp(self) -> None:
        self.go_on = asyncio.Event()
        self.began = False
        self.begun = asyncio.Semaphore(0)
        self.cancelled = asyncio.Semaphore(0)
        self.asked = asyncio.Semaphore(0)
        builders.hasten_doubt(self)
        builders.answer_questions(self, probes.View(False), self.asked.release)

    async def wait(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answers when the test lets it."""
        self.begun.release()
        await request.read()
        try:
            await self.go_on.wait()
        except asyncio.CancelledError:
            self.cancelled.release()
            raise
        return web.Response(body=b"whole")

    async def wait_first(self, request: web.BaseRequest) -> web.StreamResponse:
        """Lets the call that comes first wait, and answers the others."""
        first, self.began = not self.began, True
        return await self.wait(request) if first else web.Response(body=b"2nd")

    async def wait_for_questions(self, count: int) -> None:
        """Waits until so many more questions were not answered."""
        for _ in range(count):
            await self.asked.acquire()

    async def test_call_is_run_while_no_question_is_answered(self) -> None:
        """The caller gets the backend server's answer, not a 504 of ours.

        The daemon of the caller is told to stop while a call of it runs at
        another's backend server. On a link that is full no question about the
        call is answered in time, and nothing else comes from there. There is
        no other upstream. That nobody answers proves nothing: the work goes
        on, and the answer comes long before the deadline.

        The evidence: both calls that were lost so in one day were at daemons
        whose links in were full, two of five among 88, while their processors
        were idle, and both were answered 504 some 0.5 s after their backend
        servers had begun them.
        """
        async with relays.connect(self.wait) as (nodes, _, client):
            call = asyncio.create_task(client.get(nodes[0].url + "/x"))
            await self.begun.acquire()
            nodes[0].proxy.disable_caller_keep_alive()
            for _ in range(2):
                asking = asyncio.create_task(self.asked.acquire())
                await asyncio.wait(
                    (call, asking), return_when=asyncio.FIRST_COMPLETED
                )
            self.go_on.set()
            answer = await call
            self.assertEqual(answer.status, 200)
            self.assertEqual(await answer.read(), b"whole")
            self.assertEqual(len(nodes[1].served), 1)

    async def test_long_answer_of_a_call_that_was_in_doubt_is_whole(
        self,
    ) -> None:
        """Guards against long answers cut off as the call ends its doubt."""
        long = b"x" * 4 * bodies.MAX_HELD_BYTES

        async def answer(request: web.BaseRequest) -> web.StreamResponse:
            await self.wait(request)
            return web.Response(body=long)

        async with relays.connect(answer) as (nodes, _, client):
            call = asyncio.create_task(client.get(nodes[0].url + "/x"))
            await self.begun.acquire()
            await self.wait_for_questions(2)
            self.go_on.set()
            self.assertEqual(await (await call).read(), long)

    async def test_story_tells_of_a_silent_peer_once(self) -> None:
        """Whoever reads the story of a slow call sees what was decided.

        Question after question goes without an answer. Told of each time, the
        one doubt would hide the rest.
        """
        async with relays.connect(self.wait) as (nodes, _, client):
            with builders.watch_method(stories.Story, "add") as add:
                call = asyncio.create_task(client.get(nodes[0].url + "/x"))
                await self.wait_for_questions(4)
                self.go_on.set()
                self.assertEqual((await call).status, 200)
        told = [one.args[1] for one in add.call_args_list]
        self.assertEqual(told.count("in doubt"), 1)

    async def test_second_answer_wins_and_the_first_try_is_cancelled(
        self,
    ) -> None:
        """The caller gets the second upstream's answer; the first one stops.

        The first upstream has the call and gives no sign. The call is sent to
        another one as well, which answers. Nobody needs the first one's work
        any more: its connection is closed.
        """
        async with relays.connect(self.wait_first, 3, running=_PATIENT) as (
            nodes,
            _,
            client,
        ):
            answer = await client.get(nodes[0].url + "/x")
            self.assertEqual(await answer.read(), b"2nd")
            await self.cancelled.acquire()
        self.assertEqual(sum(len(node.served) for node in nodes), 2)

    async def test_first_answer_wins_and_the_second_try_is_cancelled(
        self,
    ) -> None:
        """The caller gets the first upstream's answer after all.

        While the second upstream is at work on the call the first one answers,
        which was slow and not dead. The second one stops.
        """

        async def answer(request: web.BaseRequest) -> web.StreamResponse:
            if not self.began:
                self.began = True
                self.begun.release()
                await first.wait()
                return web.Response(body=b"1st")
            return await self.wait(request)

        first = asyncio.Event()
        async with relays.connect(answer, 3, running=_PATIENT) as (
            nodes,
            _,
            client,
        ):
            call = asyncio.create_task(client.get(nodes[0].url + "/x"))
            for _ in range(2):
                await self.begun.acquire()
            first.set()
            self.assertEqual(await (await call).read(), b"1st")
            await self.cancelled.acquire()
        self.assertEqual(sum(len(node.served) for node in nodes), 2)

    async def test_refusal_of_the_second_does_not_end_the_first(self) -> None:
        """The caller gets the first upstream's answer.

        Its try is in doubt, and the other upstream refuses the call as not
        run. That is true of the second try alone; the first one goes on.
        """
        async with relays.connect(self.wait, 3) as (nodes, _, client):
            slow, closed = nodes[0].table.upstreams["kassa"]
            closed = closed._replace(suspect=True)
            nodes[0].table.upstreams["kassa"] = (slow, closed)
            nodes[2].holder.running = None
            call = asyncio.create_task(client.get(nodes[0].url + "/x"))
            await self.begun.acquire()
            while (
                not nodes[0]
                .picker.get_observation(closed.member_id)
                .backoff_until
            ):
                await asyncio.sleep(0)
            self.go_on.set()
            self.assertEqual(await (await call).read(), b"whole")
        self.assertEqual([len(node.served) for node in nodes], [0, 1, 0])

    async def test_second_try_keeps_to_the_most_attempts(self) -> None:
        """The caller gets its answer; one upstream alone runs the call.

        Its class of work allows one attempt. That the first try is in doubt
        does not make it an attempt less.
        """
        plan = builders.build_plan(max_attempts=1)
        async with relays.connect(
            self.wait, 3, running=builders.build_snapshot({"/": plan})
        ) as (nodes, _, client):
            call = asyncio.create_task(client.get(nodes[0].url + "/x"))
            await self.wait_for_questions(3)
            self.go_on.set()
            self.assertEqual(await (await call).read(), b"whole")
        self.assertEqual(sum(len(node.served) for node in nodes), 1)

    async def test_second_try_is_paid_from_the_budget(self) -> None:
        """Callers get their answers; the service sees each call once.

        No upstream answers questions, and the budget for retries is used up.
        """
        async with relays.connect(self.wait, 3) as (nodes, _, client):
            nodes[0].use_up_budget()
            call = asyncio.create_task(client.get(nodes[0].url + "/x"))
            await self.wait_for_questions(3)
            self.go_on.set()
            self.assertEqual(await (await call).read(), b"whole")
        self.assertEqual(sum(len(node.served) for node in nodes), 1)

    async def test_upload_is_not_sent_as_well(self) -> None:
        """The caller gets its answer; its upload went to one upstream alone.

        What is passed on in pieces cannot be sent a second time.
        """
        body = bytes(100_000)
        async with relays.connect(self.wait, 3) as (nodes, _, client):
            call = asyncio.create_task(
                client.put(nodes[0].url + "/x", data=body)
            )
            await self.wait_for_questions(3)
            sent = [
                nodes[0].picker.get_observation(one.member_id).in_flight
                for one in nodes
            ]
            self.assertEqual(sum(sent), 1)
            self.go_on.set()
            self.assertEqual(await (await call).read(), b"whole")
        self.assertEqual(sum(len(node.served) for node in nodes), 1)

    async def test_caller_that_leaves_ends_both_tries(self) -> None:
        """Two upstreams work for a caller that leaves; both stop."""
        async with relays.connect(self.wait, 3, running=_PATIENT) as (
            nodes,
            _,
            client,
        ):
            call = asyncio.create_task(client.get(nodes[0].url + "/x"))
            for _ in range(2):
                await self.begun.acquire()
            call.cancel()
            for _ in range(2):
                await self.cancelled.acquire()

    async def test_end_of_its_time_ends_a_call(self) -> None:
        """The caller hears "unknown" when its time ends, and not later.

        Two upstreams have the call and neither answers.
        """
        async with relays.connect(self.wait, 3) as (nodes, _, client):
            answer = await client.get(
                nodes[0].url + "/x", headers={headers.DEADLINE: "300"}
            )
            self.assertEqual(answer.status, 504)
            self.assertEqual(answer.headers[headers.OUTCOME], "unknown")
            for _ in range(2):
                await self.cancelled.acquire()
        self.assertEqual(sum(len(node.served) for node in nodes), 2)


class ConnectionDoubtTest(unittest.IsolatedAsyncioTestCase):
    """A peer answers questions, and its connection is in doubt."""

    def setUp(self) -> None:
        self.go_on = asyncio.Event()
        self.first: int | None = None
        self.asked = asyncio.Event()
        builders.hasten_doubt(self)

    async def wait(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answers when the test lets it."""
        await self.go_on.wait()
        return web.Response(body=b"whole")

    async def answer_second(
        self, request: web.BaseRequest
    ) -> web.StreamResponse:
        """Answers, but for the backend server that is asked first."""
        assert request.transport is not None
        port = request.transport.get_extra_info("sockname")[1]
        if self.first is None:
            self.first = port
        if port == self.first:
            await asyncio.Event().wait()
        return web.Response(body=b"2nd")

    async def check_slow_upstream(self, view: probes.View) -> None:
        """The caller gets the other upstream's answer."""
        builders.answer_questions(self, view, self.asked.set)
        async with relays.connect(self.answer_second, 3, running=_PATIENT) as (
            nodes,
            _,
            client,
        ):
            answer = await client.get(nodes[0].url + "/x")
            self.assertEqual(await answer.read(), b"2nd")
        self.assertEqual(sum(len(node.served) for node in nodes), 2)

    async def test_call_that_came_late_to_a_slow_upstream(self) -> None:
        """The caller gets the other upstream's answer, not a 504.

        The upstream says that it has not seen the call, which arrives right
        after; the backend server there takes its time. Sent anew to the same
        upstream, the call would have no run left for the other one.
        """
        await self.check_slow_upstream(probes.View(True))

    async def test_missing_answer_of_a_slow_upstream(self) -> None:
        """The caller gets the other upstream's answer, not a 504.

        The answer of the first upstream is lost, and its backend server would
        take its time over a second run.
        """
        await self.check_slow_upstream(probes.View(True, ended=True))

    async def check_single_run(
        self, plan: snapshot.ClassPlan, paid: bool
    ) -> None:
        """The caller gets its answer of the one run."""
        builders.answer_questions(self, probes.View(True), self.asked.set)
        running = builders.build_snapshot({"/": plan})
        async with relays.connect(self.wait, running=running) as (
            nodes,
            _,
            client,
        ):
            if not paid:
                nodes[0].use_up_budget()
            with builders.watch_method(
                dispatch.Dispatcher, "_answer_doubt"
            ) as doubted:
                call = asyncio.create_task(client.get(nodes[0].url + "/x"))
                while not doubted.called:
                    await asyncio.sleep(0)
                self.go_on.set()
                self.assertEqual(await (await call).read(), b"whole")
        self.assertEqual(len(nodes[1].served), 1)

    async def test_late_packets_cost_no_run_without_budget(self) -> None:
        """The caller gets its answer; the service sees the call once.

        Packets are late, and the upstream says that it has not seen the call.
        Sent anew at once, it would run twice, and with the budget used up all
        calls over such a link would.
        """
        await self.check_single_run(builders.build_plan(), paid=False)

    async def test_late_packets_cost_no_attempt(self) -> None:
        """The caller gets its answer; of one attempt allowed, one is made."""
        plan = builders.build_plan(max_attempts=1)
        await self.check_single_run(plan, paid=True)

    async def test_silent_upstream_that_is_the_only_one_is_free(self) -> None:
        """The retry budget is whole for those that can use it.

        A call is in doubt as its peer is silent, and there is no other
        upstream: nothing is sent, and nothing is paid.
        """
        builders.answer_questions(self, probes.View(False), self.asked.set)
        async with relays.connect(self.wait) as (nodes, _, client):
            budget = nodes[0].budget
            before = budget.balance
            call = asyncio.create_task(client.get(nodes[0].url + "/x"))
            for _ in range(3):
                self.asked.clear()
                await self.asked.wait()
            self.assertGreaterEqual(budget.balance, before)
            self.go_on.set()
            self.assertEqual(await (await call).read(), b"whole")
