"""Tests of connections that go silent permanently."""

from __future__ import annotations

import asyncio
import socket
from typing import Any
import unittest
from unittest import mock

from aiohttp import web

from merlintrestle.requests.transport import headers
from merlintrestle.requests.transport import pool as pools
from merlintrestle.requests.transport import probes
from merlintrestle.requests.transport import watchdogs
from tests.requests import builders
from tests.requests import relays

_HALF = b"h" * 100_000


class SilenceTest(unittest.IsolatedAsyncioTestCase):
    """A daemon reaches another one through a relay."""

    def setUp(self) -> None:
        self.started = asyncio.Event()
        self.may_answer = asyncio.Event()
        self.probes_sent = asyncio.Semaphore(0)
        builders.shorten_probe_delays(
            self, "MIN_SLOW_CALL_S", "PROGRESS_CHECK_INTERVAL_S"
        )
        send_probe = probes.send_probe

        async def count_probe(*arguments: Any) -> probes.ProbeResult:
            result = await send_probe(*arguments)
            self.probes_sent.release()
            return result

        self.enterContext(mock.patch.object(probes, "send_probe", count_probe))

    async def answer_when_allowed(
        self, request: web.BaseRequest
    ) -> web.StreamResponse:
        """Answers once the test allows it."""
        self.started.set()
        await self.may_answer.wait()
        return web.Response(body=b"whole")

    async def send_archive(
        self, request: web.BaseRequest
    ) -> web.StreamResponse:
        """Sends half an archive, and the rest once the test allows it."""
        answer = web.StreamResponse()
        answer.content_length = 2 * len(_HALF)
        await answer.prepare(request)
        await answer.write(_HALF)
        self.started.set()
        await self.may_answer.wait()
        await answer.write(_HALF)
        return answer

    async def test_reused_connection_is_silent(self) -> None:
        """The caller gets its answer long before its deadline.

        A pooled connection has gone silent while it was idle. A call sent over
        it would wait until its deadline; a new connection works.
        """
        self.may_answer.set()
        async with relays.run_relayed_nodes(self.answer_when_allowed) as (
            nodes,
            relay,
            client,
        ):
            url = nodes[0].url + "/x"
            self.assertEqual((await client.get(url)).status, 200)
            relay.silence()
            answer = await client.get(url)
            self.assertEqual(await answer.read(), b"whole")
            self.assertEqual(len(nodes[1].served), 2)

    async def test_refusal_over_the_new_connection(self) -> None:
        """The outcome is "unknown", as the first attempt has run.

        The call arrives and runs, but its connection goes silent and the answer
        is lost. Its retry over a new connection is refused as not run, which is
        true only for the second attempt.
        """

        async def run(request: web.BaseRequest) -> web.StreamResponse:
            if len(nodes[1].served) > 1:
                relay.silence()
                nodes[1].active_version.active_snapshot = None
            return web.Response()

        async with relays.run_relayed_nodes(run) as (nodes, relay, client):
            url = nodes[0].url + "/x"
            self.assertEqual((await client.get(url)).status, 200)
            answer = await client.get(url)
            self.assertEqual(len(nodes[1].served), 2)
            self.assertEqual(answer.headers[headers.OUTCOME], "unknown")

    async def test_all_idle_connections_are_closed(self) -> None:
        """If one connection is silent, all idle ones to the address are closed.

        Otherwise each of the next calls would wait until it is probed.
        """
        async with relays.run_relayed_nodes(self.answer_when_allowed) as (
            nodes,
            relay,
            client,
        ):
            url = nodes[0].url + "/x"
            # A slow connection that is considered silent would not be pooled,
            # but the test needs pooled connections that go silent.
            with mock.patch.object(
                watchdogs, "MIN_SLOW_CALL_S", builders.TEST_TIMEOUT_S
            ):
                calls = [asyncio.create_task(client.get(url)) for _ in range(3)]
                await self.started.wait()
                self.may_answer.set()
                await asyncio.gather(*calls)
            relay.silence()
            with builders.spy_on_method(pools.Pool, "close_idle") as close_idle:
                for _ in range(3):
                    self.assertEqual((await client.get(url)).status, 200)
            self.assertEqual(close_idle.call_count, 1)

    async def test_slow_answer_is_waited_for(self) -> None:
        """The caller gets its answer; the backend server receives one call.

        No bytes arrive for a long time because the backend server is slow. The
        connection seems silent, but the peer reports the call as in flight.
        """
        async with relays.run_relayed_nodes(self.answer_when_allowed) as (
            nodes,
            _,
            client,
        ):
            call = asyncio.create_task(client.get(nodes[0].url + "/x"))
            for _ in range(3):
                await self.probes_sent.acquire()
            self.may_answer.set()
            self.assertEqual(await (await call).read(), b"whole")
            self.assertEqual(len(nodes[1].served), 1)

    async def test_probes_reuse_a_connection(self) -> None:
        """Only the first probe of a slow call opens a connection.

        With slow backend servers most connections between daemons were opened
        for probes, which took a tenth of the processor time of a call.
        """
        async with relays.run_relayed_nodes(self.answer_when_allowed) as (
            nodes,
            _,
            client,
        ):
            call = asyncio.create_task(client.get(nodes[0].url + "/x"))
            await self.probes_sent.acquire()
            with builders.spy_on_method(pools.Pool, "open") as open_connection:
                for _ in range(3):
                    await self.probes_sent.acquire()
            self.may_answer.set()
            self.assertEqual((await call).status, 200)
            self.assertEqual(open_connection.call_count, 0)

    async def test_waiting_download_is_not_aborted(self) -> None:
        """The caller gets the whole download after a long pause.

        No bytes arrive because the backend server pauses. All bytes that the
        peer wrote have been received, so the connection is not silent.
        """
        async with relays.run_relayed_nodes(self.send_archive) as (
            nodes,
            _,
            client,
        ):
            answer = await client.get(nodes[0].url + "/archive")
            for _ in range(3):
                await self.probes_sent.acquire()
            self.may_answer.set()
            self.assertEqual(await answer.read(), 2 * _HALF)

    async def test_download_over_a_silent_connection_is_reset(self) -> None:
        """The caller's answer is truncated, and it can start again.

        The rest of its download is lost between the daemons. Otherwise the
        caller would wait forever.
        """
        async with relays.run_relayed_nodes(self.send_archive) as (
            nodes,
            relay,
            client,
        ):
            call = asyncio.create_task(
                builders.fetch(client, nodes[0].url + "/archive")
            )
            await self.probes_sent.acquire()
            relay.silence()
            self.may_answer.set()
            self.assertIsNone(await call)

    async def test_frozen_daemon(self) -> None:
        """The caller gets its answer from another upstream.

        Its host accepts connections, but the daemon never answers on them, not
        even on new ones.
        """
        self.may_answer.set()
        async with relays.run_relayed_nodes(self.answer_when_allowed, 3) as (
            nodes,
            relay,
            client,
        ):
            relay.silence(include_new=True)
            for _ in range(4):
                answer = await client.get(nodes[0].url + "/x")
                self.assertEqual(await answer.read(), b"whole")
            self.assertEqual(len(nodes[2].served), 4)

    async def test_peer_that_answers_others_is_not_silent(self) -> None:
        """The caller gets its answer, though a probe is lost.

        A link is congested, so that a probe of the other daemon times out. The
        same daemon has answered another call since then, so it is not silent,
        and the call that runs there is not lost.
        """

        async def lose_probe(*arguments: Any) -> probes.ProbeResult:
            answer = await client.get(nodes[0].url + "/quick")
            self.assertEqual(answer.status, 200)
            self.may_answer.set()
            return probes.ProbeResult(False)

        async def answer(request: web.BaseRequest) -> web.StreamResponse:
            if request.path == "/quick":
                return web.Response(body=b"quick")
            return await self.answer_when_allowed(request)

        async with relays.run_relayed_nodes(answer) as (nodes, _, client):
            with mock.patch.object(probes, "send_probe", lose_probe):
                response = await client.get(nodes[0].url + "/x")
            self.assertEqual(await response.read(), b"whole")

    async def test_connection_to_the_backend_server_is_silent(self) -> None:
        """The caller gets its answer long before its deadline.

        A pooled connection to the backend server has gone silent. The server
        cannot be probed about the call, which is resent over a new connection.
        """
        plan = builders.build_plan(deadline_s=6 * builders.TEST_TIMEOUT_S)
        snapshot = builders.build_snapshot({"/": plan})
        self.may_answer.set()
        async with (
            builders.run_nodes(
                1, handler=self.answer_when_allowed, running=snapshot
            ) as (node,),
            builders.open_client() as client,
        ):
            relay = relays.Relay(node.backend.port)
            await relay.start()
            node.proxy.backend.announce("kassa", f"127.0.0.1:{relay.port}", 12)
            url = node.url + "/x"
            self.assertEqual((await client.get(url)).status, 200)
            relay.silence()
            for _ in range(3):
                self.assertEqual((await client.get(url)).status, 200)
            await relay.close()

    async def test_slow_backend_server_answers_the_first_send(self) -> None:
        """The caller gets the answer of the first run.

        A backend server is slow to answer on a pooled connection and accepts
        new ones. The call is resent, as the pooled connection may be silent. It
        isn't, and its answer arrives. The second run is cancelled.
        """

        async def answer(request: web.BaseRequest) -> web.StreamResponse:
            number = len(node.served)
            if number == 1:
                return web.Response()
            if number == 2:
                self.started.set()
                await self.may_answer.wait()
                return web.Response(body=b"first")
            self.may_answer.set()
            try:
                await asyncio.Event().wait()
            finally:
                ended.set()
            return web.Response()

        ended = asyncio.Event()
        async with (
            builders.run_nodes(1, handler=answer) as (node,),
            builders.open_client() as client,
        ):
            url = node.url + "/x"
            self.assertEqual((await client.get(url)).status, 200)
            response = await client.get(url)
            self.assertEqual(await response.read(), b"first")
            await ended.wait()
        self.assertEqual(len(node.served), 3)

    async def test_unacknowledged_timeout_is_set_for_backend_server_only(
        self,
    ) -> None:
        """TCP_USER_TIMEOUT is not set for connections between daemons.

        A congested link between daemons delays acknowledgements. If the
        connection were closed for that, the outcome of its call would be
        "unknown". There is no link to the local backend server, so data that
        stays unacknowledged means that the connection is broken.
        """
        self.may_answer.set()
        async with relays.run_relayed_nodes(self.answer_when_allowed) as (
            nodes,
            _,
            client,
        ):
            await client.get(nodes[0].url + "/x")
            timeouts_ms = []
            for node in nodes:
                idle = node.proxy._forwarder._pool._idle
                ((connection,),) = idle.values()
                assert connection.transport is not None
                sock = connection.transport.get_extra_info("socket")
                timeouts_ms.append(
                    sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
                )
        self.assertEqual(timeouts_ms[0], 0)
        self.assertGreater(timeouts_ms[1], 0)

    async def test_retry_is_not_resent(self) -> None:
        """The outcome is "unknown"; the call does not run a third time.

        The call is itself a retry, and its backend server does not answer on
        the pooled connection. A resend would be a retry of a retry.
        """
        self.may_answer.set()
        async with (
            builders.run_nodes(1, handler=self.answer_when_allowed) as (node,),
            builders.open_client() as client,
        ):
            url = node.url + "/x"
            self.assertEqual((await client.get(url)).status, 200)
            self.may_answer.clear()
            answer = await client.get(url, headers={headers.ATTEMPT: "1"})
            self.assertEqual(answer.headers[headers.OUTCOME], "unknown")
        self.assertEqual(len(node.served), 2)

    async def test_call_over_two_daemons_runs_twice_at_most(self) -> None:
        """The outcome is "unknown" after two runs, one on each upstream.

        Neither backend server answers. If their local daemons resent the call
        as well, it would run three times or more.
        """
        self.may_answer.set()
        async with relays.run_relayed_nodes(self.answer_when_allowed, 3) as (
            nodes,
            _,
            client,
        ):
            url = nodes[0].url + "/x"
            # Gives each daemon an idle connection to its backend server.
            for node in nodes[1:]:
                await client.get(node.url + "/x")
            before = sum(len(node.served) for node in nodes)
            self.may_answer.clear()
            answer = await client.get(url, headers={headers.DEADLINE: "3000"})
            self.assertEqual(answer.headers[headers.OUTCOME], "unknown")
            after = sum(len(node.served) for node in nodes)
        self.assertEqual(after - before, 2)

    async def send_wave(
        self, client: Any, node: builders.Node, min_served: int
    ) -> None:
        """Sends 30 calls, answered once a number of calls has been served.

        Args:
            client: The caller.
            node: The daemon and its backend server.
            min_served: Number of calls that the backend server has served since
                its start, including the resent ones.
        """
        self.may_answer.clear()
        wave = [
            asyncio.create_task(client.get(node.url + "/x")) for _ in range(30)
        ]
        while len(node.served) < min_served:
            await asyncio.sleep(0.01)
        self.may_answer.set()
        answers = await asyncio.gather(*wave)
        self.assertEqual({answer.status for answer in answers}, {200})

    async def test_slow_backend_server_is_not_flooded(self) -> None:
        """Only a few calls to a slow backend server are resent.

        The retry budget allows 10 resends, plus one for every ten calls.
        Without a budget, all 30 calls of the second wave would be resent, and
        the load of the slow server would double.
        """
        async with (
            builders.run_nodes(
                1, handler=self.answer_when_allowed, slots=40
            ) as (node,),
            builders.open_client() as client,
        ):
            with mock.patch.object(
                watchdogs, "MIN_SLOW_CALL_S", builders.TEST_TIMEOUT_S
            ):
                # All run at once, so that as many connections are pooled.
                await self.send_wave(client, node, 30)
            # The backend server answers once 10 calls have been resent.
            await self.send_wave(client, node, 30 + 40)
        # Two waves, and the resends that the budget allows.
        self.assertLessEqual(len(node.served), 60 + 10 + 3)

    async def test_probe_of_an_unknown_call(self) -> None:
        """The peer port answers 404; the caller port does not answer probes.

        There, a probe is refused like any other request that matches no route.
        """
        async with relays.run_relayed_nodes(self.answer_when_allowed) as (
            nodes,
            _,
            client,
        ):
            root = f"http://127.0.0.1:{nodes[1].proxy.peer_port}"
            answer = await client.get(root + probes.PATH + "none")
            self.assertEqual(answer.status, 404)
            # The URL of the caller port ends with "/kassa".
            answer = await client.get(nodes[1].url[:-6] + probes.PATH + "x")
            self.assertEqual(answer.headers[headers.OUTCOME], "not-run")
