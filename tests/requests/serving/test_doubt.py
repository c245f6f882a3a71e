"""Tests of hedges for calls whose upstream or connection is silent."""

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

# Configuration with deadlines after the timeout of the tests, so that a test
# times out if it waits for the cancellation of an attempt in vain.
_LONG_DEADLINES = builders.build_snapshot(
    {"/": builders.build_plan(deadline_s=6 * builders.TEST_TIMEOUT_S)}
)


class DoubtTest(unittest.IsolatedAsyncioTestCase):
    """Calls at peers that do not answer probes about them."""

    def setUp(self) -> None:
        self.may_answer = asyncio.Event()
        self.first_call_received = False
        self.started = asyncio.Semaphore(0)
        self.cancelled = asyncio.Semaphore(0)
        self.probed = asyncio.Semaphore(0)
        builders.shorten_probe_delays(self)
        builders.fake_probes(
            self, probes.ProbeResult(False), self.probed.release
        )

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answers once the test allows it."""
        self.started.release()
        await request.read()
        try:
            await self.may_answer.wait()
        except asyncio.CancelledError:
            self.cancelled.release()
            raise
        return web.Response(body=b"whole")

    async def handle_first_slowly(
        self, request: web.BaseRequest
    ) -> web.StreamResponse:
        """Handles the first call like `handle`; answers others at once."""
        is_first, self.first_call_received = not self.first_call_received, True
        return (
            await self.handle(request)
            if is_first
            else web.Response(body=b"2nd")
        )

    async def wait_for_probes(self, count: int) -> None:
        """Waits for `count` more probes that are not answered."""
        for _ in range(count):
            await self.probed.acquire()

    async def test_running_call_is_not_abandoned_without_answered_probes(
        self,
    ) -> None:
        """Guards against a 504 for a call that still runs at a silent peer.

        The incoming link of the peer is full, although its processor may be
        idle, so that no probe is answered in time and nothing else arrives from
        the peer. Callers got a 504 some 0.5 s after the backend server had
        started their calls. There is no other upstream, and the daemon of the
        caller is stopping. The answer arrives long before the deadline.
        """
        async with relays.run_relayed_nodes(self.handle) as (nodes, _, client):
            call = asyncio.create_task(client.get(nodes[0].url + "/x"))
            await self.started.acquire()
            nodes[0].proxy.disable_caller_keep_alive()
            for _ in range(2):
                probing = asyncio.create_task(self.probed.acquire())
                await asyncio.wait(
                    (call, probing), return_when=asyncio.FIRST_COMPLETED
                )
            self.may_answer.set()
            answer = await call
            self.assertEqual(answer.status, 200)
            self.assertEqual(await answer.read(), b"whole")
            self.assertEqual(len(nodes[1].served), 1)

    async def test_long_answer_after_a_doubt_is_complete(
        self,
    ) -> None:
        """Guards against a long answer that is truncated after a doubt.

        The supervisor runs in a separate task then, and must not release the
        answer while its body is streamed to the caller.
        """
        long_body = b"x" * 4 * bodies.MAX_BUFFERED_BYTES

        async def answer(request: web.BaseRequest) -> web.StreamResponse:
            await self.handle(request)
            return web.Response(body=long_body)

        async with relays.run_relayed_nodes(answer) as (nodes, _, client):
            call = asyncio.create_task(client.get(nodes[0].url + "/x"))
            await self.started.acquire()
            await self.wait_for_probes(2)
            self.may_answer.set()
            self.assertEqual(await (await call).read(), long_body)

    async def test_log_shows_a_silent_peer_once(self) -> None:
        """Guards against decision logs of slow calls that are hard to read.

        No probe is answered. If a doubt were logged for each of them, they
        would hide the other decisions.
        """
        async with relays.run_relayed_nodes(self.handle) as (nodes, _, client):
            with builders.spy_on_method(
                decision_logs.DecisionLog, "add"
            ) as add:
                call = asyncio.create_task(client.get(nodes[0].url + "/x"))
                await self.wait_for_probes(4)
                self.may_answer.set()
                self.assertEqual((await call).status, 200)
        events = [logged.args[1] for logged in add.call_args_list]
        self.assertEqual(events.count("in doubt"), 1)

    async def test_answer_to_a_hedge_cancels_the_first_attempt(
        self,
    ) -> None:
        """Guards against work on a call that was answered elsewhere.

        The first upstream runs the call and is silent. A hedge is sent to
        another upstream, which answers. The connection to the first upstream is
        closed, as its work is not needed any more.
        """
        async with relays.run_relayed_nodes(
            self.handle_first_slowly, 3, running=_LONG_DEADLINES
        ) as (
            nodes,
            _,
            client,
        ):
            answer = await client.get(nodes[0].url + "/x")
            self.assertEqual(await answer.read(), b"2nd")
            await self.cancelled.acquire()
        self.assertEqual(sum(len(node.served) for node in nodes), 2)

    async def test_answer_to_the_first_attempt_cancels_the_hedge(
        self,
    ) -> None:
        """Guards against the loss of the first answer after a hedge.

        The first upstream was only slow: it answers while the second upstream
        still runs the call. The connection to the second upstream is closed.
        """

        async def answer(request: web.BaseRequest) -> web.StreamResponse:
            if not self.first_call_received:
                self.first_call_received = True
                self.started.release()
                await first_may_answer.wait()
                return web.Response(body=b"1st")
            return await self.handle(request)

        first_may_answer = asyncio.Event()
        async with relays.run_relayed_nodes(
            answer, 3, running=_LONG_DEADLINES
        ) as (
            nodes,
            _,
            client,
        ):
            call = asyncio.create_task(client.get(nodes[0].url + "/x"))
            for _ in range(2):
                await self.started.acquire()
            first_may_answer.set()
            self.assertEqual(await (await call).read(), b"1st")
            await self.cancelled.acquire()
        self.assertEqual(sum(len(node.served) for node in nodes), 2)

    async def test_refusal_of_a_hedge_does_not_end_the_first_attempt(
        self,
    ) -> None:
        """Guards against a running call that is reported as not run.

        The first attempt is in doubt, and the upstream of the hedge refuses the
        call as not run. This is the outcome of the hedge only: the first
        upstream still runs the call.
        """
        async with relays.run_relayed_nodes(self.handle, 3) as (
            nodes,
            _,
            client,
        ):
            slow, refusing = nodes[0].table.upstreams["kassa"]
            refusing = refusing._replace(suspect=True)
            nodes[0].table.upstreams["kassa"] = (slow, refusing)
            nodes[2].active_version.active_snapshot = None
            call = asyncio.create_task(client.get(nodes[0].url + "/x"))
            await self.started.acquire()
            while (
                not nodes[0]
                .picker.get_observation(refusing.member_id)
                .backoff_until
            ):
                await asyncio.sleep(0)
            self.may_answer.set()
            self.assertEqual(await (await call).read(), b"whole")
        self.assertEqual([len(node.served) for node in nodes], [0, 1, 0])

    async def test_no_hedge_beyond_max_attempts(self) -> None:
        """Guards against a second run of a call whose class allows one.

        The first attempt counts although it is in doubt.
        """
        plan = builders.build_plan(max_attempts=1)
        async with relays.run_relayed_nodes(
            self.handle, 3, running=builders.build_snapshot({"/": plan})
        ) as (nodes, _, client):
            call = asyncio.create_task(client.get(nodes[0].url + "/x"))
            await self.wait_for_probes(3)
            self.may_answer.set()
            self.assertEqual(await (await call).read(), b"whole")
        self.assertEqual(sum(len(node.served) for node in nodes), 1)

    async def test_no_hedge_without_budget(self) -> None:
        """Guards against hedges that are not limited by the retry budget.

        No upstream answers probes, and the retry budget is exhausted.
        """
        async with relays.run_relayed_nodes(self.handle, 3) as (
            nodes,
            _,
            client,
        ):
            nodes[0].exhaust_budget()
            call = asyncio.create_task(client.get(nodes[0].url + "/x"))
            await self.wait_for_probes(3)
            self.may_answer.set()
            self.assertEqual(await (await call).read(), b"whole")
        self.assertEqual(sum(len(node.served) for node in nodes), 1)

    async def test_upload_is_not_hedged(self) -> None:
        """Guards against a hedge that lacks the beginning of the body.

        A streamed body cannot be sent a second time.
        """
        body = bytes(100_000)
        async with relays.run_relayed_nodes(self.handle, 3) as (
            nodes,
            _,
            client,
        ):
            call = asyncio.create_task(
                client.put(nodes[0].url + "/x", data=body)
            )
            await self.wait_for_probes(3)
            attempt_counts = [
                nodes[0].picker.get_observation(peer.member_id).in_flight
                for peer in nodes
            ]
            self.assertEqual(sum(attempt_counts), 1)
            self.may_answer.set()
            self.assertEqual(await (await call).read(), b"whole")
        self.assertEqual(sum(len(node.served) for node in nodes), 1)

    async def test_disconnect_cancels_both_attempts(self) -> None:
        """Guards against slots that are occupied by calls without a caller."""
        async with relays.run_relayed_nodes(
            self.handle, 3, running=_LONG_DEADLINES
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

    async def test_deadline_ends_both_attempts(self) -> None:
        """Guards against calls that continue after their deadline.

        Two upstreams run the call, and neither answers. Both are cancelled.
        """
        async with relays.run_relayed_nodes(self.handle, 3) as (
            nodes,
            _,
            client,
        ):
            answer = await client.get(
                nodes[0].url + "/x", headers={headers.DEADLINE: "300"}
            )
            self.assertEqual(answer.status, 504)
            self.assertEqual(answer.headers[headers.OUTCOME], "unknown")
            for _ in range(2):
                await self.cancelled.acquire()
        self.assertEqual(sum(len(node.served) for node in nodes), 2)


class ConnectionDoubtTest(unittest.IsolatedAsyncioTestCase):
    """Calls at peers that answer probes, over connections in doubt."""

    def setUp(self) -> None:
        self.may_answer = asyncio.Event()
        self.first_port: int | None = None
        self.probed = asyncio.Event()
        builders.shorten_probe_delays(self)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answers once the test allows it."""
        await self.may_answer.wait()
        return web.Response(body=b"whole")

    async def hang_at_first_upstream(
        self, request: web.BaseRequest
    ) -> web.StreamResponse:
        """Answers, except at the backend server that is called first."""
        # Each backend server listens on a port of its own.
        assert request.transport is not None
        port = request.transport.get_extra_info("sockname")[1]
        if self.first_port is None:
            self.first_port = port
        if port == self.first_port:
            await asyncio.Event().wait()
        return web.Response(body=b"2nd")

    async def check_hedge_elsewhere(
        self, probe_result: probes.ProbeResult
    ) -> None:
        """Checks that the caller gets the answer of the other upstream."""
        builders.fake_probes(self, probe_result, self.probed.set)
        async with relays.run_relayed_nodes(
            self.hang_at_first_upstream, 3, running=_LONG_DEADLINES
        ) as (
            nodes,
            _,
            client,
        ):
            answer = await client.get(nodes[0].url + "/x")
            self.assertEqual(await answer.read(), b"2nd")
        self.assertEqual(sum(len(node.served) for node in nodes), 2)

    async def test_hedge_if_a_call_arrives_late_at_a_slow_upstream(
        self,
    ) -> None:
        """Guards against a 504 although another upstream could answer.

        The upstream answers that it has not seen the call, which arrives just
        afterwards, and its backend server is slow. If the hedge were sent to
        the same upstream, none could be sent to the other upstream.
        """
        await self.check_hedge_elsewhere(probes.ProbeResult(True))

    async def test_hedge_if_the_answer_of_a_slow_upstream_is_lost(self) -> None:
        """Guards against a 504 although another upstream could answer.

        The answer of the first upstream is lost, and its backend server would
        be slow in a second run as well.
        """
        await self.check_hedge_elsewhere(probes.ProbeResult(True, ended=True))

    async def check_single_run(
        self, plan: snapshot.ClassPlan, has_budget: bool
    ) -> None:
        """Checks that the call runs once and its caller gets the answer."""
        builders.fake_probes(self, probes.ProbeResult(True), self.probed.set)
        active_snapshot = builders.build_snapshot({"/": plan})
        async with relays.run_relayed_nodes(
            self.handle, running=active_snapshot
        ) as (
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
                self.may_answer.set()
                self.assertEqual(await (await call).read(), b"whole")
        self.assertEqual(len(nodes[1].served), 1)

    async def test_no_hedge_for_late_packets_without_budget(self) -> None:
        """Guards against hedges that double the load of a slow link.

        Packets are late, and the upstream answers that it has not seen the
        call. If the exhausted budget were ignored, each call over such a link
        would be sent twice and run twice.
        """
        await self.check_single_run(builders.build_plan(), has_budget=False)

    async def test_no_hedge_for_late_packets_beyond_max_attempts(self) -> None:
        """Guards against a second run of a call whose class allows one."""
        plan = builders.build_plan(max_attempts=1)
        await self.check_single_run(plan, has_budget=True)

    async def test_budget_is_not_charged_without_another_upstream(self) -> None:
        """Guards against a budget that is spent without a hedge.

        A call is in doubt as its peer is silent, but there is no other upstream
        to which a hedge could be sent.
        """
        builders.fake_probes(self, probes.ProbeResult(False), self.probed.set)
        async with relays.run_relayed_nodes(self.handle) as (nodes, _, client):
            budget = nodes[0].budget
            balance_before = budget.balance
            call = asyncio.create_task(client.get(nodes[0].url + "/x"))
            for _ in range(3):
                self.probed.clear()
                await self.probed.wait()
            self.assertGreaterEqual(budget.balance, balance_before)
            self.may_answer.set()
            self.assertEqual(await (await call).read(), b"whole")
