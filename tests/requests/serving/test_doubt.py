"""Tests that calls without a sign of life are not abandoned without proof."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
import unittest

from aiohttp import web

from merlintrestle.requests.reports import decision_logs
from merlintrestle.requests.serving import dispatch
from merlintrestle.requests.transport import bodies
from merlintrestle.requests.transport import headers
from merlintrestle.requests.transport import probes
from tests.requests import builders
from tests.requests import relays

if TYPE_CHECKING:
    from merlintrestle.documents import snapshot

# An attempt that is not cancelled ends by itself only after the timeout of the
# test.
_LONG_DEADLINE = builders.build_snapshot(
    {"/": builders.build_plan(deadline_s=6 * builders.TEST_TIMEOUT_S)}
)


class DoubtTest(unittest.IsolatedAsyncioTestCase):
    """A daemon probes the peer about its call and gets no answer."""

    def setUp(self) -> None:
        self.proceed = asyncio.Event()
        self.first_received = False
        self.started = asyncio.Semaphore(0)
        self.cancelled = asyncio.Semaphore(0)
        self.probed = asyncio.Semaphore(0)
        builders.shorten_probe_delays(self)
        builders.fake_probes(
            self, probes.ProbeResult(False), self.probed.release
        )

    async def wait(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answers once the test allows it."""
        self.started.release()
        await request.read()
        try:
            await self.proceed.wait()
        except asyncio.CancelledError:
            self.cancelled.release()
            raise
        return web.Response(body=b"whole")

    async def wait_first(self, request: web.BaseRequest) -> web.StreamResponse:
        """Lets the first call wait, and answers the others."""
        first, self.first_received = not self.first_received, True
        return await self.wait(request) if first else web.Response(body=b"2nd")

    async def wait_for_probes(self, count: int) -> None:
        """Waits until as many further probes went without an answer."""
        for _ in range(count):
            await self.probed.acquire()

    async def test_call_is_run_while_no_probe_is_answered(self) -> None:
        """The caller gets the backend server's answer, not a 504 of a daemon.

        The daemon of the caller is stopping while a call of it runs at the
        backend server of another daemon. The link is full, so no probe about
        the call is answered in time, and nothing else arrives from there. There
        is no other upstream. The silence proves nothing: the call still runs,
        and its answer comes long before the deadline.

        Two calls were lost this way in one day. Both were at daemons whose
        incoming links were full (five of 88 were) while their processors were
        idle, and both were answered with 504 some 0.5 s after their backend
        servers had started them.
        """
        async with relays.run_relayed_nodes(self.wait) as (nodes, _, client):
            call = asyncio.create_task(client.get(nodes[0].url + "/x"))
            await self.started.acquire()
            nodes[0].proxy.disable_caller_keep_alive()
            for _ in range(2):
                probing = asyncio.create_task(self.probed.acquire())
                await asyncio.wait(
                    (call, probing), return_when=asyncio.FIRST_COMPLETED
                )
            self.proceed.set()
            answer = await call
            self.assertEqual(answer.status, 200)
            self.assertEqual(await answer.read(), b"whole")
            self.assertEqual(len(nodes[1].served), 1)

    async def test_long_answer_of_a_call_that_was_in_doubt_is_whole(
        self,
    ) -> None:
        """Guards against long answers that are cut at the end of a doubt."""
        long = b"x" * 4 * bodies.MAX_BUFFERED_BYTES

        async def answer(request: web.BaseRequest) -> web.StreamResponse:
            await self.wait(request)
            return web.Response(body=long)

        async with relays.run_relayed_nodes(answer) as (nodes, _, client):
            call = asyncio.create_task(client.get(nodes[0].url + "/x"))
            await self.started.acquire()
            await self.wait_for_probes(2)
            self.proceed.set()
            self.assertEqual(await (await call).read(), long)

    async def test_story_shows_a_silent_peer_once(self) -> None:
        """Guards against stories of slow calls that are hard to read.

        No probe is answered. If each one were logged as a doubt of its own,
        the other decisions would be hidden among them.
        """
        async with relays.run_relayed_nodes(self.wait) as (nodes, _, client):
            with builders.spy_on_method(
                decision_logs.DecisionLog, "add"
            ) as add:
                call = asyncio.create_task(client.get(nodes[0].url + "/x"))
                await self.wait_for_probes(4)
                self.proceed.set()
                self.assertEqual((await call).status, 200)
        events = [node.args[1] for node in add.call_args_list]
        self.assertEqual(events.count("in doubt"), 1)

    async def test_second_answer_wins_and_the_first_attempt_is_cancelled(
        self,
    ) -> None:
        """The caller gets the second upstream's answer; the first one stops.

        The first upstream has the call and is silent. A hedge goes to another
        upstream, which answers. The work of the first one is not needed any
        more: its connection is closed.
        """
        async with relays.run_relayed_nodes(
            self.wait_first, 3, running=_LONG_DEADLINE
        ) as (
            nodes,
            _,
            client,
        ):
            answer = await client.get(nodes[0].url + "/x")
            self.assertEqual(await answer.read(), b"2nd")
            await self.cancelled.acquire()
        self.assertEqual(sum(len(node.served) for node in nodes), 2)

    async def test_first_answer_wins_and_the_second_attempt_is_cancelled(
        self,
    ) -> None:
        """The caller gets the first upstream's answer; the second one stops.

        The first upstream was slow and not dead: it answers while the second
        one still runs the call.
        """

        async def answer(request: web.BaseRequest) -> web.StreamResponse:
            if not self.first_received:
                self.first_received = True
                self.started.release()
                await first.wait()
                return web.Response(body=b"1st")
            return await self.wait(request)

        first = asyncio.Event()
        async with relays.run_relayed_nodes(
            answer, 3, running=_LONG_DEADLINE
        ) as (
            nodes,
            _,
            client,
        ):
            call = asyncio.create_task(client.get(nodes[0].url + "/x"))
            for _ in range(2):
                await self.started.acquire()
            first.set()
            self.assertEqual(await (await call).read(), b"1st")
            await self.cancelled.acquire()
        self.assertEqual(sum(len(node.served) for node in nodes), 2)

    async def test_refusal_of_the_second_does_not_end_the_first(self) -> None:
        """The caller gets the first upstream's answer.

        Its attempt is in doubt, and the other upstream refuses the call as not
        run. That holds for the second attempt only; the first one still runs.
        """
        async with relays.run_relayed_nodes(self.wait, 3) as (nodes, _, client):
            slow, closed = nodes[0].table.upstreams["kassa"]
            closed = closed._replace(suspect=True)
            nodes[0].table.upstreams["kassa"] = (slow, closed)
            nodes[2].holder.running = None
            call = asyncio.create_task(client.get(nodes[0].url + "/x"))
            await self.started.acquire()
            while (
                not nodes[0]
                .picker.get_observation(closed.member_id)
                .backoff_until
            ):
                await asyncio.sleep(0)
            self.proceed.set()
            self.assertEqual(await (await call).read(), b"whole")
        self.assertEqual([len(node.served) for node in nodes], [0, 1, 0])

    async def test_second_attempt_keeps_to_max_attempts(self) -> None:
        """The caller gets its answer; only one upstream runs the call.

        Its class of work allows one attempt. The first attempt counts although
        it is in doubt.
        """
        plan = builders.build_plan(max_attempts=1)
        async with relays.run_relayed_nodes(
            self.wait, 3, running=builders.build_snapshot({"/": plan})
        ) as (nodes, _, client):
            call = asyncio.create_task(client.get(nodes[0].url + "/x"))
            await self.wait_for_probes(3)
            self.proceed.set()
            self.assertEqual(await (await call).read(), b"whole")
        self.assertEqual(sum(len(node.served) for node in nodes), 1)

    async def test_second_attempt_is_paid_from_the_budget(self) -> None:
        """The caller gets its answer; the service sees the call once.

        No upstream answers probes, and the retry budget is used up.
        """
        async with relays.run_relayed_nodes(self.wait, 3) as (nodes, _, client):
            nodes[0].exhaust_budget()
            call = asyncio.create_task(client.get(nodes[0].url + "/x"))
            await self.wait_for_probes(3)
            self.proceed.set()
            self.assertEqual(await (await call).read(), b"whole")
        self.assertEqual(sum(len(node.served) for node in nodes), 1)

    async def test_upload_is_not_hedged(self) -> None:
        """The caller gets its answer; its upload goes to one upstream only.

        A body that is streamed cannot be sent a second time.
        """
        body = bytes(100_000)
        async with relays.run_relayed_nodes(self.wait, 3) as (nodes, _, client):
            call = asyncio.create_task(
                client.put(nodes[0].url + "/x", data=body)
            )
            await self.wait_for_probes(3)
            attempt_counts = [
                nodes[0].picker.get_observation(peer.member_id).in_flight
                for peer in nodes
            ]
            self.assertEqual(sum(attempt_counts), 1)
            self.proceed.set()
            self.assertEqual(await (await call).read(), b"whole")
        self.assertEqual(sum(len(node.served) for node in nodes), 1)

    async def test_caller_that_leaves_ends_both_attempts(self) -> None:
        """Two upstreams run a call whose caller leaves; both stop."""
        async with relays.run_relayed_nodes(
            self.wait, 3, running=_LONG_DEADLINE
        ) as (
            nodes,
            _,
            client,
        ):
            call = asyncio.create_task(client.get(nodes[0].url + "/x"))
            for _ in range(2):
                await self.started.acquire()
            call.cancel()
            for _ in range(2):
                await self.cancelled.acquire()

    async def test_deadline_ends_a_call(self) -> None:
        """The caller gets "unknown" at its deadline, and not later.

        Two upstreams have the call and neither answers.
        """
        async with relays.run_relayed_nodes(self.wait, 3) as (nodes, _, client):
            answer = await client.get(
                nodes[0].url + "/x", headers={headers.DEADLINE: "300"}
            )
            self.assertEqual(answer.status, 504)
            self.assertEqual(answer.headers[headers.OUTCOME], "unknown")
            for _ in range(2):
                await self.cancelled.acquire()
        self.assertEqual(sum(len(node.served) for node in nodes), 2)


class ConnectionDoubtTest(unittest.IsolatedAsyncioTestCase):
    """A peer answers probes, and its connection is in doubt."""

    def setUp(self) -> None:
        self.proceed = asyncio.Event()
        self.first: int | None = None
        self.probed = asyncio.Event()
        builders.shorten_probe_delays(self)

    async def wait(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answers once the test allows it."""
        await self.proceed.wait()
        return web.Response(body=b"whole")

    async def answer_second(
        self, request: web.BaseRequest
    ) -> web.StreamResponse:
        """Answers, except at the backend server that is called first."""
        assert request.transport is not None
        port = request.transport.get_extra_info("sockname")[1]
        if self.first is None:
            self.first = port
        if port == self.first:
            await asyncio.Event().wait()
        return web.Response(body=b"2nd")

    async def check_slow_upstream(self, view: probes.ProbeResult) -> None:
        """The caller gets the other upstream's answer."""
        builders.fake_probes(self, view, self.probed.set)
        async with relays.run_relayed_nodes(
            self.answer_second, 3, running=_LONG_DEADLINE
        ) as (
            nodes,
            _,
            client,
        ):
            answer = await client.get(nodes[0].url + "/x")
            self.assertEqual(await answer.read(), b"2nd")
        self.assertEqual(sum(len(node.served) for node in nodes), 2)

    async def test_call_that_arrives_late_at_a_slow_upstream(self) -> None:
        """The caller gets the other upstream's answer, not a 504.

        The upstream answers that it has not seen the call, which arrives right
        after; its backend server is slow. If the call were sent to the same
        upstream again, it could not be sent to the other one any more.
        """
        await self.check_slow_upstream(probes.ProbeResult(True))

    async def test_missing_answer_of_a_slow_upstream(self) -> None:
        """The caller gets the other upstream's answer, not a 504.

        The answer of the first upstream is lost, and its backend server would
        be slow in a second run as well.
        """
        await self.check_slow_upstream(probes.ProbeResult(True, ended=True))

    async def check_single_run(
        self, plan: snapshot.ClassPlan, has_budget: bool
    ) -> None:
        """Checks that the call runs once and its caller gets the answer."""
        builders.fake_probes(self, probes.ProbeResult(True), self.probed.set)
        running = builders.build_snapshot({"/": plan})
        async with relays.run_relayed_nodes(self.wait, running=running) as (
            nodes,
            _,
            client,
        ):
            if not has_budget:
                nodes[0].exhaust_budget()
            with builders.spy_on_method(
                dispatch.Dispatcher, "_handle_doubt"
            ) as handle_doubt:
                call = asyncio.create_task(client.get(nodes[0].url + "/x"))
                while not handle_doubt.called:
                    await asyncio.sleep(0)
                self.proceed.set()
                self.assertEqual(await (await call).read(), b"whole")
        self.assertEqual(len(nodes[1].served), 1)

    async def test_late_packets_cost_no_run_without_budget(self) -> None:
        """The caller gets its answer; the service sees the call once.

        Packets are late, and the upstream answers that it has not seen the
        call. If it were sent again at once, it would run twice; without regard
        to the used-up budget, all calls over such a link would.
        """
        await self.check_single_run(builders.build_plan(), has_budget=False)

    async def test_late_packets_cost_no_attempt(self) -> None:
        """The caller gets its answer; only the one allowed attempt is made."""
        plan = builders.build_plan(max_attempts=1)
        await self.check_single_run(plan, has_budget=True)

    async def test_doubt_without_another_upstream_costs_no_budget(self) -> None:
        """The retry budget is kept for calls that can use it.

        A call is in doubt as its peer is silent, and there is no other
        upstream: nothing is sent, and nothing is paid.
        """
        builders.fake_probes(self, probes.ProbeResult(False), self.probed.set)
        async with relays.run_relayed_nodes(self.wait) as (nodes, _, client):
            budget = nodes[0].budget
            balance_before = budget.balance
            call = asyncio.create_task(client.get(nodes[0].url + "/x"))
            for _ in range(3):
                self.probed.clear()
                await self.probed.wait()
            self.assertGreaterEqual(budget.balance, balance_before)
            self.proceed.set()
            self.assertEqual(await (await call).read(), b"whole")
