"""Tests of requests that crash every backend server that runs them."""

from __future__ import annotations

import asyncio
import unittest

from aiohttp import web

from merlintrestle.requests import backend
from merlintrestle.requests.calls import outcomes
from merlintrestle.requests.crashing import crashes
from merlintrestle.requests.crashing import strikes
from merlintrestle.requests.transport import headers
from merlintrestle.schema import control_pb2
from tests.requests import builders


class ContainmentTest(unittest.IsolatedAsyncioTestCase):
    """Four backend servers and a request that crashes each one it runs on."""

    def setUp(self) -> None:
        self.nodes: list[builders.Node] = []
        self.crashed: list[int] = []
        self.begun = asyncio.Event()
        self.waited = 0

    async def serve(self, request: web.BaseRequest) -> web.StreamResponse:
        """Crashes on "/poison"; never answers the first request for "/slow"."""
        if request.path == "/poison":
            for number, node in enumerate(self.nodes):
                if request.protocol in node.backend.connections:
                    self.crashed.append(number)
                    node.crash()
        if request.path == "/slow" and not self.waited:
            self.waited += 1
            self.begun.set()
            await asyncio.Event().wait()
        return web.Response(body=b"well")

    async def test_at_most_two_backend_servers_crash(self) -> None:
        """The caller gets "not run" with Retry-After; two servers crash.

        The request crashes its backend server, is retried and crashes a second
        one. From then on every daemon blocks it, although its caller retries
        it at all of them.
        """
        async with (
            builders.run_nodes(4, handler=self.serve) as self.nodes,
            builders.open_client() as client,
        ):
            await client.get(self.nodes[0].url + "/poison")
            for node in self.nodes * 2:
                answer = await client.get(node.url + "/poison")
            self.assertEqual(len(self.crashed), 2)
            self.assertEqual(answer.headers[headers.OUTCOME], "not-run")
            self.assertEqual(answer.headers["Retry-After"], "10")
            for node in self.nodes:
                answer = await client.get(node.url + "/other")
                self.assertEqual(await answer.read(), b"well")

    async def test_concurrent_request_is_not_blamed(self) -> None:
        """A request in flight at another one's crash is answered every time.

        A harmless request is in flight where the other one crashes the backend
        server, and both are retried. If both ran on one backend server again,
        the harmless one would have strikes of two crashes as well.
        """
        async with (
            builders.run_nodes(4, handler=self.serve) as self.nodes,
            builders.open_client() as client,
        ):
            slow = asyncio.ensure_future(
                client.get(self.nodes[0].url + "/slow")
            )
            await self.begun.wait()
            for _ in range(3):
                await client.get(self.nodes[0].url + "/poison")
            answer = await slow
            self.assertEqual(await answer.read(), b"well")
            self.assertEqual(len(self.crashed), 2)
            for node in self.nodes:
                answer = await client.get(node.url + "/slow")
                self.assertEqual(await answer.read(), b"well")

    async def test_broken_connection_is_no_crash(self) -> None:
        """A closed connection of a live backend server adds no strike."""

        async def hang_up(request: web.BaseRequest) -> web.StreamResponse:
            assert request.transport is not None
            request.transport.abort()
            return web.Response()

        async with (
            builders.run_nodes(1, handler=hang_up) as (node,),
            builders.open_client() as client,
        ):
            for _ in range(3):
                answer = await client.get(node.url + "/x")
                self.assertEqual(answer.headers[headers.OUTCOME], "unknown")
            self.assertFalse(node.proxy.crashes.strikes)

    async def test_crashed_backend_server_is_used_again(self) -> None:
        async with (
            builders.run_nodes(1, handler=self.serve) as self.nodes,
            builders.open_client() as client,
        ):
            (node,) = self.nodes
            await client.get(node.url + "/poison")
            answer = await client.get(node.url + "/x")
            self.assertEqual(answer.headers[headers.OUTCOME], "not-run")
            self.assertEqual(
                node.proxy.backend.build_record().state, control_pb2.DOWN
            )
            await node.backend.start("127.0.0.1", node.backend.port)
            self.assertTrue(await node.proxy.backend.check())
            answer = await client.get(node.url + "/x")
            self.assertEqual(answer.status, 200)


class BlameTest(unittest.IsolatedAsyncioTestCase):
    """Which requests get a strike at a crash."""

    def setUp(self) -> None:
        self.crashes = crashes.CrashTracker(backend.LocalBackend())
        self.culprit = builders.build_call(body=b"poison")
        self.innocent = builders.build_call(body=b"slow")

    def crash(self) -> None:
        """Crashes the backend server while both requests are in flight."""
        self.crashes.begin(self.culprit)
        self.crashes.begin(self.innocent)
        self.crashes.record_crash()
        self.crashes.end(self.culprit, False)
        self.crashes.end(self.innocent, False)

    def count(self) -> tuple[int, int]:
        """Returns the strikes against the culprit and the innocent request."""
        recorded = self.crashes.strikes
        return (
            recorded.count(self.culprit.get_request_digest()),
            recorded.count(self.innocent.get_request_digest()),
        )

    async def test_all_get_a_strike_at_first(self) -> None:
        self.crash()
        self.assertEqual(self.count(), (1, 1))

    async def test_only_the_suspect_gets_a_strike(self) -> None:
        self.crash()
        self.crashes.end(self.innocent, True)
        self.crash()
        self.assertEqual(self.count(), (2, 0))
        self.assertIsInstance(self.crashes.check(self.culprit), outcomes.NotRun)
        self.assertIsNone(self.crashes.check(self.innocent))

    async def test_one_suspect_at_a_time(self) -> None:
        self.crash()
        release = await self.crashes.acquire_suspect_slot(self.culprit)
        waiting = asyncio.create_task(
            self.crashes.acquire_suspect_slot(self.innocent)
        )
        await asyncio.sleep(0)
        self.assertFalse(waiting.done())
        assert callable(release)
        release()
        self.assertTrue(callable(await waiting))

    async def test_late_disconnect_is_the_same_crash(self) -> None:
        """Each request gets one strike, though its connection breaks later.

        A connection that breaks after the crash was detected must not count as
        a second crash, which would block the requests in flight at once.
        """
        local_backend = self.crashes._backend
        local_backend.announce("kassa", "127.0.0.1:1", 12)
        self.crashes.begin(self.culprit)
        self.crashes.begin(self.innocent)
        for call in (self.culprit, self.innocent):
            self.crashes.record_disconnect()
            assert self.crashes._check_task is not None
            await self.crashes._check_task
            self.crashes.end(call, False)
        self.assertEqual(self.count(), (1, 1))

    async def test_retried_request_is_a_suspect_before_strikes_arrive(
        self,
    ) -> None:
        self.culprit.suspect = True
        self.crash()
        self.assertEqual(self.count(), (1, 0))


class StrikesTest(unittest.TestCase):
    """How long strikes count, and what they block."""

    def setUp(self) -> None:
        self.now = 1000.0
        self.strikes = strikes.Strikes(lambda: self.now)

    def strike(self, crash_id: str, confirmed: bool = True) -> None:
        """Adds a strike at the current time."""
        strike = self.strikes.build(b"digest", crash_id, confirmed)
        self.strikes.add(strike)

    def test_short_block_then_long_block_then_expiry(self) -> None:
        self.strike("1", confirmed=False)
        self.assertEqual(self.strikes.get_blocked_s(b"digest"), 0.0)
        self.strike("2")
        self.assertEqual(self.strikes.get_blocked_s(b"digest"), 10.0)
        self.now += 11
        self.assertEqual(self.strikes.get_blocked_s(b"digest"), 0.0)
        self.strike("3")
        self.assertEqual(self.strikes.get_blocked_s(b"digest"), 600.0)
        self.now += 601
        self.assertEqual(self.strikes.count(b"digest"), 0)
        self.assertFalse(self.strikes)

    def test_series_of_crashes_blocks_nothing(self) -> None:
        """A frequent request is not blocked by the crashes of many servers.

        Among others, it is in flight on each backend server that crashes.
        """
        for number in range(5):
            self.strike(str(number), confirmed=False)
        self.assertEqual(self.strikes.get_blocked_s(b"digest"), 0.0)

    def test_one_crash_counts_once(self) -> None:
        self.strike("1")
        self.strike("1")
        self.assertEqual(self.strikes.count(b"digest"), 1)

    def test_cleared_strike_does_not_come_back(self) -> None:
        self.strike("1")
        self.strikes.clear(b"digest")
        self.strike("1")
        self.assertEqual(self.strikes.count(b"digest"), 0)

    def test_wrong_clock_does_not_block_forever(self) -> None:
        for crash_id in ("1", "2", "3"):
            strike = control_pb2.Strike(
                request_digest=b"digest",
                crash_id=crash_id,
                until_ms=10**15,
                confirmed=True,
            )
            self.strikes.add(strike)
        self.assertLessEqual(self.strikes.get_blocked_s(b"digest"), 600.0)
