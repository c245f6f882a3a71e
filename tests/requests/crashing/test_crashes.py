"""Tests of requests that crash each backend server that runs them."""

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


class CrashingRequestTest(unittest.IsolatedAsyncioTestCase):
    """Tests requests that crash the backend servers of one or more daemons."""

    def setUp(self) -> None:
        self.nodes: list[builders.Node] = []
        self.crashed_node_numbers: list[int] = []
        self.slow_request_started = asyncio.Event()
        self.slow_request_count = 0

    async def serve(self, request: web.BaseRequest) -> web.StreamResponse:
        """Crashes on "/poison"; never answers the first request for "/slow"."""
        if request.path == "/poison":
            for number, node in enumerate(self.nodes):
                if request.protocol in node.backend.connections:
                    self.crashed_node_numbers.append(number)
                    node.crash()
        if request.path == "/slow" and not self.slow_request_count:
            self.slow_request_count += 1
            self.slow_request_started.set()
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
            self.assertEqual(len(self.crashed_node_numbers), 2)
            self.assertEqual(answer.headers[headers.OUTCOME], "not-run")
            self.assertEqual(answer.headers["Retry-After"], "10")
            for node in self.nodes:
                answer = await client.get(node.url + "/other")
                self.assertEqual(await answer.read(), b"well")

    async def test_concurrent_request_is_not_blocked(self) -> None:
        """A harmless request is answered even if it is in flight at a crash.

        Another request crashes the backend server, and both are retried. If
        both ran on the same backend server again, the harmless request would
        also get the strikes of two crashes.
        """
        async with (
            builders.run_nodes(4, handler=self.serve) as self.nodes,
            builders.open_client() as client,
        ):
            slow = asyncio.ensure_future(
                client.get(self.nodes[0].url + "/slow")
            )
            await self.slow_request_started.wait()
            for _ in range(3):
                await client.get(self.nodes[0].url + "/poison")
            answer = await slow
            self.assertEqual(await answer.read(), b"well")
            self.assertEqual(len(self.crashed_node_numbers), 2)
            for node in self.nodes:
                answer = await client.get(node.url + "/slow")
                self.assertEqual(await answer.read(), b"well")

    async def test_broken_connection_is_no_crash(self) -> None:
        """A connection that a running backend server closes adds no strike."""

        async def abort_connection(
            request: web.BaseRequest,
        ) -> web.StreamResponse:
            assert request.transport is not None
            request.transport.abort()
            return web.Response()

        async with (
            builders.run_nodes(1, handler=abort_connection) as (node,),
            builders.open_client() as client,
        ):
            for _ in range(3):
                answer = await client.get(node.url + "/x")
                self.assertEqual(answer.headers[headers.OUTCOME], "unknown")
            self.assertFalse(node.proxy.crashes.strikes)

    async def test_crashed_backend_server_is_used_again(self) -> None:
        """A backend server that was restarted gets calls again."""
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
            self.assertTrue(await node.proxy.backend.check_reachable())
            answer = await client.get(node.url + "/x")
            self.assertEqual(answer.status, 200)


class StrikeAssignmentTest(unittest.IsolatedAsyncioTestCase):
    """Tests which requests get a strike at a crash.

    Two calls are in flight: one crashes the backend server, one is harmless.
    """

    def setUp(self) -> None:
        self.tracker = crashes.CrashTracker(backend.LocalBackend())
        self.crashing_call = builders.build_call(body=b"poison")
        self.harmless_call = builders.build_call(body=b"slow")

    def crash(self) -> None:
        """Simulates a crash while both calls are in flight."""
        self.tracker.begin(self.crashing_call)
        self.tracker.begin(self.harmless_call)
        self.tracker.record_crash()
        self.tracker.end(self.crashing_call, False)
        self.tracker.end(self.harmless_call, False)

    def count(self) -> tuple[int, int]:
        """Returns the numbers of strikes of the crashing and harmless call."""
        recorded = self.tracker.strikes
        return (
            recorded.count(self.crashing_call.get_request_digest()),
            recorded.count(self.harmless_call.get_request_digest()),
        )

    async def test_all_get_a_strike_at_first(self) -> None:
        """At the first crash, any request in flight may be the cause."""
        self.crash()
        self.assertEqual(self.count(), (1, 1))

    async def test_only_the_suspect_gets_a_strike(self) -> None:
        """A request that was answered since its strike is not a suspect."""
        self.crash()
        self.tracker.end(self.harmless_call, True)
        self.crash()
        self.assertEqual(self.count(), (2, 0))
        self.assertIsInstance(
            self.tracker.check(self.crashing_call), outcomes.NotRun
        )
        self.assertIsNone(self.tracker.check(self.harmless_call))

    async def test_one_suspect_at_a_time(self) -> None:
        """Two suspects in flight at a crash would both get a strike."""
        self.crash()
        release = await self.tracker.acquire_suspect_slot(self.crashing_call)
        waiting_task = asyncio.create_task(
            self.tracker.acquire_suspect_slot(self.harmless_call)
        )
        await asyncio.sleep(0)
        self.assertFalse(waiting_task.done())
        assert callable(release)
        release()
        self.assertTrue(callable(await waiting_task))

    async def test_late_disconnect_is_the_same_crash(self) -> None:
        """A connection that breaks late does not cause a second strike.

        A connection that breaks after the crash was detected must not count as
        a second crash, which would block the requests in flight at once.
        """
        local_backend = self.tracker._backend
        # With 12 slots; nothing listens at this address.
        local_backend.announce("kassa", "127.0.0.1:1", 12)
        self.tracker.begin(self.crashing_call)
        self.tracker.begin(self.harmless_call)
        for call in (self.crashing_call, self.harmless_call):
            self.tracker.record_disconnect()
            assert self.tracker._probe_task is not None
            await self.tracker._probe_task
            self.tracker.end(call, False)
        self.assertEqual(self.count(), (1, 1))

    async def test_retried_request_is_a_suspect_before_strikes_arrive(
        self,
    ) -> None:
        """The daemon of the caller marks the retry as a suspect."""
        self.crashing_call.suspect = True
        self.crash()
        self.assertEqual(self.count(), (1, 0))


class StrikesTest(unittest.TestCase):
    """Tests how long strikes count and which requests they block."""

    def setUp(self) -> None:
        self.now = 1000.0
        self.strikes = strikes.Strikes(lambda: self.now)

    def strike(self, crash_id: str, confirmed: bool = True) -> None:
        """Adds a strike at the current time."""
        strike = self.strikes.build(b"digest", crash_id, confirmed)
        self.strikes.add(strike)

    def test_short_block_then_long_block_then_expiry(self) -> None:
        """Two crashes block for 10 s, and three until the strikes expire."""
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
        """A frequent request is not blocked by crashes of many backend servers.

        It is one of the requests in flight on each of these backend servers.
        """
        for number in range(5):
            self.strike(str(number), confirmed=False)
        self.assertEqual(self.strikes.get_blocked_s(b"digest"), 0.0)

    def test_one_crash_counts_once(self) -> None:
        """A strike that several peers send counts once."""
        self.strike("1")
        self.strike("1")
        self.assertEqual(self.strikes.count(b"digest"), 1)

    def test_cleared_strike_does_not_come_back(self) -> None:
        """A cleared strike does not count when a peer sends it again."""
        self.strike("1")
        self.strikes.clear(b"digest")
        self.strike("1")
        self.assertEqual(self.strikes.count(b"digest"), 0)

    def test_wrong_clock_does_not_block_forever(self) -> None:
        """The lifetime of strikes from a peer with a wrong clock is limited."""
        for crash_id in ("1", "2", "3"):
            strike = control_pb2.Strike(
                request_digest=b"digest",
                crash_id=crash_id,
                until_ms=10**15,
                confirmed=True,
            )
            self.strikes.add(strike)
        self.assertLessEqual(self.strikes.get_blocked_s(b"digest"), 600.0)
