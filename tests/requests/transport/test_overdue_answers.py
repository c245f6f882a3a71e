"""Tests of the end of streamed answers that are silent at their deadline."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Any, TYPE_CHECKING
import unittest
from unittest import mock

import aiohttp
from aiohttp import web

from merlintrestle.requests.transport import headers
from merlintrestle.requests.transport import overdue_answers
from merlintrestle.requests.transport import probes
from tests.requests import builders
from tests.requests import relays

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from merlintrestle.documents import snapshot

_HALF = b"h" * 100_000
# Long enough for the headers of an answer to arrive on a busy machine.
_DEADLINE_S = 3.0
# Checks after which an overdue answer is ended, and some more.
_CHECKS = 20


def _build_plans() -> dict[str, snapshot.ClassPlan]:
    return {
        "/payouts": builders.build_plan(
            "payout", repeatable=False, deadline_s=_DEADLINE_S
        ),
        "/slow": builders.build_plan(deadline_s=10 * builders.TEST_TIMEOUT_S),
        "/": builders.build_plan(deadline_s=_DEADLINE_S),
    }


class OverdueWatchTest(unittest.IsolatedAsyncioTestCase):
    """An answer whose deadline has passed, unless a test says otherwise."""

    async def asyncSetUp(self) -> None:
        self.answer = mock.Mock()
        self.answer.is_paused.return_value = False
        self.content = self.answer.content
        self.content.total_bytes = 0
        self.content.is_eof.return_value = False
        self.ended: list[overdue_answers.Silence] = []

    async def check(
        self,
        on_check: Callable[[], None] = lambda: None,
        late_s: float = 1.0,
        may_continue: bool = False,
    ) -> bool:
        """Returns whether the answer is ended within some checks.

        Args:
            on_check: Called between two checks.
            late_s: Time since the deadline, in seconds.
            may_continue: What the peer states about the answer.
        """
        count = 0

        async def wait(delay_s: float) -> None:
            nonlocal count
            count += 1
            on_check()
            if count == _CHECKS:
                self.content.is_eof.return_value = True

        watch = overdue_answers.OverdueWatch(
            self.answer,
            asyncio.get_running_loop().time() - late_s,
            mock.AsyncMock(return_value=may_continue),
            self.ended.append,
        )
        with mock.patch.object(overdue_answers.asyncio, "sleep", wait):
            await watch._check()
        return bool(self.ended)

    def receive(self) -> None:
        """Receives a byte of the answer."""
        self.content.total_bytes += 1

    async def test_silent_answer_is_ended(self) -> None:
        """Guards against answers that never end."""
        self.assertTrue(await self.check())

    async def test_answer_goes_on_before_its_deadline(self) -> None:
        """Guards against the end of answers that only pause."""
        self.assertFalse(await self.check(late_s=-60.0))

    async def test_slow_answer_goes_on(self) -> None:
        """Guards against the end of answers that arrive slowly."""
        checks = iter(range(_CHECKS))

        def receive_sometimes() -> None:
            if next(checks) % 5 == 0:
                self.receive()

        self.assertFalse(await self.check(receive_sometimes))

    async def test_answer_of_a_slow_caller_goes_on(self) -> None:
        """Guards against the end of answers that their callers read slowly."""
        self.answer.is_paused.return_value = True
        self.assertFalse(await self.check())

    async def test_answer_that_waits_at_the_peer_goes_on(self) -> None:
        """Guards against the end of answers that wait for their turn."""
        self.assertFalse(await self.check(may_continue=True))

    async def test_answer_that_goes_silent_later_is_ended(self) -> None:
        """Guards against answers that never end, after a byte in time."""
        checks = iter(range(_CHECKS))

        def receive_first() -> None:
            if next(checks) < 5:
                self.receive()

        self.assertTrue(await self.check(receive_first))
        self.assertEqual(self.ended[0].received, 5)


class SilentConnectionTest(unittest.IsolatedAsyncioTestCase):
    """Half of an answer is sent before its connection goes silent."""

    async def send_half(self, request: web.BaseRequest) -> web.StreamResponse:
        """Sends half of an answer; the rest of "/x" follows at once."""
        answer = web.StreamResponse()
        answer.content_length = 2 * len(_HALF)
        await answer.prepare(request)
        await answer.write(_HALF)
        if not request.path.endswith("/x"):
            await asyncio.Event().wait()
        await answer.write(_HALF)
        return answer

    async def send_unframed_half(
        self, request: web.BaseRequest
    ) -> web.StreamResponse:
        """Sends half of an answer that is neither chunked nor has a length."""
        assert request.transport is not None
        request.transport.write(b"HTTP/1.1 200 OK\r\n\r\n" + _HALF)
        await asyncio.Event().wait()
        return web.Response()

    @contextlib.asynccontextmanager
    async def run_node(
        self,
    ) -> AsyncIterator[tuple[builders.Node, relays.Relay]]:
        """Runs a daemon that reaches its backend server through a relay."""
        async with builders.run_nodes(
            1,
            handler=self.send_half,
            running=builders.build_snapshot(_build_plans()),
        ) as (node,):
            relay = relays.Relay(node.backend.port)
            await relay.start()
            node.proxy.backend.announce("kassa", f"127.0.0.1:{relay.port}", 12)
            try:
                yield node, relay
            finally:
                await relay.close()

    async def check_reset(
        self,
        node: builders.Node,
        relay: relays.Relay,
        path: str,
        method: str = "GET",
        **options: Any,
    ) -> None:
        """Checks that a silent answer is reset and its slot released."""
        async with builders.open_client() as client:
            answer = await client.request(method, node.url + path, **options)
            self.assertEqual(answer.status, 200)
            relay.silence()
            with self.assertRaises(aiohttp.ClientError):
                await answer.read()
        self.assertEqual(node.proxy._admission.in_flight, 0)

    async def test_download_of_the_backend_server(self) -> None:
        """Guards against downloads that never end and keep their slot."""
        async with self.run_node() as (node, relay):
            await self.check_reset(node, relay, "/archive")

    async def test_download_over_a_kept_connection(self) -> None:
        """Guards against downloads that never end on a reused connection."""
        async with self.run_node() as (node, relay):
            async with builders.open_client() as client:
                await builders.fetch(client, node.url + "/x")
            await self.check_reset(node, relay, "/archive")

    async def test_answer_to_a_claimed_payout(self) -> None:
        """Guards against receipts that end long after their caller's time."""
        async with self.run_node() as (node, relay):
            await self.check_reset(
                node,
                relay,
                "/payouts",
                "POST",
                headers={headers.IDEMPOTENCY_KEY: "k"},
            )

    async def test_answer_without_a_length(self) -> None:
        """Guards against unframed answers that never end or look whole."""
        async with self.run_node() as (node, relay):
            node.proxy._forwarder._runner._accepts_unframed = True
            node.use_handler(self.send_unframed_half)
            reader, _ = await self.send_requests(node, "/archive")
            await reader.readuntil(_HALF[:1])
            relay.silence()
            async with asyncio.timeout(builders.TEST_TIMEOUT_S):
                with self.assertRaises(ConnectionResetError):
                    await reader.read()

    async def test_pipelined_download_releases_its_slot(self) -> None:
        """Guards against a slot that is kept while an answer awaits its turn.

        The answer in front of it arrives only after the silent one is ended.
        """

        async def answer(request: web.BaseRequest) -> web.StreamResponse:
            if request.path == "/archive":
                return await self.send_half(request)
            await asyncio.Event().wait()
            return web.Response()

        async with self.run_node() as (node, relay):
            node.use_handler(answer)
            admission = node.proxy._admission
            _, writer = await self.send_requests(node, "/slow", "/archive")
            while relay.forwarded_bytes < len(_HALF):
                await asyncio.sleep(0.01)
            self.assertEqual(admission.in_flight, 2)
            relay.silence()
            async with asyncio.timeout(builders.TEST_TIMEOUT_S):
                while admission.in_flight == 2:
                    await asyncio.sleep(0.01)
            writer.close()

    async def send_requests(
        self, node: builders.Node, *paths: str
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Sends requests one behind the other on a new connection."""
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", node.proxy.caller_port
        )
        for path in paths:
            writer.write(
                f"GET /kassa{path} HTTP/1.1\r\nHost: a\r\n\r\n".encode()
            )
        return reader, writer

    async def test_download_from_another_daemon(self) -> None:
        """Guards against downloads that outlast their deadline by seconds."""
        async with relays.run_relayed_nodes(
            self.send_half,
            running=builders.build_snapshot(_build_plans()),
        ) as (nodes, relay, _):
            await self.check_reset(nodes[0], relay, "/archive")


class WaitingAtPeerTest(unittest.IsolatedAsyncioTestCase):
    """What a peer's answer to a probe says about a silent answer."""

    async def is_waiting(self, result: probes.ProbeResult) -> bool:
        """Returns whether the answer may still continue."""
        builders.fake_probes(self, result, lambda: None)
        answer = mock.Mock()
        answer.content.total_bytes = 5
        return await overdue_answers.is_waiting_at_peer(
            mock.Mock(), "127.0.0.1:1", "call", answer
        )

    async def test_peer_with_nothing_to_send(self) -> None:
        """Guards against the end of answers whose backend server is slow."""
        self.assertTrue(
            await self.is_waiting(probes.ProbeResult(True, True, 5))
        )

    async def test_peer_that_wrote_more(self) -> None:
        """Guards against answers that are lost on their way and never end."""
        self.assertFalse(
            await self.is_waiting(probes.ProbeResult(True, True, 6))
        )

    async def test_peer_that_has_ended_or_is_silent(self) -> None:
        """Guards against answers that nobody sends any more."""
        for result in (
            probes.ProbeResult(True, False, 5, True),
            probes.ProbeResult(True),
            probes.ProbeResult(False),
        ):
            self.assertFalse(await self.is_waiting(result))
