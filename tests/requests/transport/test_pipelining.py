"""Tests of several requests in flight on one connection of a caller."""

from __future__ import annotations

import asyncio
import random
import unittest
from unittest import mock

from aiohttp import web
import hypothesis
from hypothesis import strategies

from merlintrestle.requests.transport import headers
from merlintrestle.requests.transport import pipelining
from tests.requests import builders
from tests.requests import pipelines

_GARBAGE = b"\x16\x03\x01\x02\x00\x01\r\n\r\n"
_KEY = f"{headers.IDEMPOTENCY_KEY}: k\r\n"
# Status of the answer to each kind of request in the test of random orders.
_STATUSES = {"get": 200, "fail": 500, "stream": 200, "pay": 200, "refused": 400}


class PipeliningTest(unittest.IsolatedAsyncioTestCase):
    """A daemon whose backend server answers when the test allows it."""

    def setUp(self) -> None:
        self.gates: dict[str, asyncio.Event] = {}
        self.running: set[str] = set()
        # Requests that ran at the same time as an unrepeatable one.
        self.beside_payouts: set[str] = set()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answers with the path, for a gated path once its gate is open."""
        path = request.path
        if path.startswith("/payouts") and self.running:
            self.beside_payouts.add(path)
        self.running.add(path)
        try:
            if "cut" in path or "stream" in path:
                return await self.stream(request)
            await self.wait_for_gate(path)
            if path.startswith("/status/"):
                return web.Response(status=int(path.rpartition("/")[2]))
            return web.Response(
                text=path, status=500 if "fail" in path else 200
            )
        finally:
            self.running.discard(path)

    async def stream(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answers in chunks, the last one once the gate is open."""
        response = web.StreamResponse()
        response.enable_chunked_encoding()
        await response.prepare(request)
        await response.write(request.path[:2].encode())
        await self.wait_for_gate(request.path)
        if "cut" in request.path:
            assert request.transport is not None
            request.transport.abort()
        else:
            await response.write(request.path[2:].encode())
            await response.write_eof()
        return response

    async def wait_for_gate(self, path: str) -> None:
        """Waits until the gate of a path, if it has one, is open."""
        if path in self.gates:
            await self.gates[path].wait()

    def add_gates(self, *paths: str) -> None:
        """Closes the gates of these paths."""
        self.gates.update((path, asyncio.Event()) for path in paths)

    def open_gate(self, choices: random.Random) -> None:
        """Opens the gate of one of the running requests."""
        if self.running:
            self.gates[choices.choice(sorted(self.running))].set()

    def open_all_gates(self) -> None:
        """Opens all gates."""
        for gate in self.gates.values():
            gate.set()

    async def wait_for_running(self, *paths: str) -> None:
        """Waits until exactly these requests run at the backend server."""
        async with asyncio.timeout(builders.TEST_TIMEOUT_S):
            while self.running != set(paths):
                await asyncio.sleep(0.001)

    async def test_repeatable_requests_run_concurrently(self) -> None:
        """Guards against eight slow calls that take eight times as long."""
        paths = [f"/{number}" for number in range(8)]
        self.add_gates(*paths)
        async with (
            builders.run_nodes(1, handler=self.handle) as (node,),
            pipelines.connect(node) as connection,
        ):
            for path in paths:
                connection.writer.write(pipelines.build_request(path))
            await self.wait_for_running(*paths)
            for path in reversed(paths):
                self.gates[path].set()
            for path in paths:
                answer = await connection.read_answer()
                self.assertEqual(answer, (200, path.encode()))

    async def test_answers_without_a_body_wait_for_their_turn(self) -> None:
        """Guards against answers that are taken for those to other requests."""
        requests = {
            "HEAD": pipelines.build_request("/head", "HEAD"),
            "204": pipelines.build_request("/status/204", "DELETE"),
            "304": pipelines.build_request("/status/304"),
        }
        for name, request in requests.items():
            with self.subTest(name):
                self.add_gates("/1")
                async with (
                    builders.run_nodes(1, handler=self.handle) as (node,),
                    pipelines.connect(node) as connection,
                ):
                    connection.writer.write(
                        pipelines.build_request("/1")
                        + request
                        + pipelines.build_request("/3")
                    )
                    async with asyncio.timeout(builders.TEST_TIMEOUT_S):
                        while len(node.served) < 3 or self.running != {"/1"}:
                            await asyncio.sleep(0.001)
                    # What was ready has been written unless it waits.
                    await asyncio.sleep(0.02)
                    self.gates["/1"].set()
                    self.assertEqual(
                        await connection.read_answer(), (200, b"/1")
                    )
                    head = await connection.reader.readuntil(b"\r\n\r\n")
                    status = "200" if name == "HEAD" else name
                    self.assertEqual(head.split()[1].decode(), status)
                    self.assertEqual(
                        await connection.read_answer(), (200, b"/3")
                    )

    async def test_bytes_behind_a_request_that_are_no_request(self) -> None:
        """Guards against valid requests that fail for what follows them."""
        async with (
            builders.run_nodes(1, handler=self.handle) as (node,),
            pipelines.connect(node) as connection,
        ):
            connection.writer.write(pipelines.build_request("/1") + _GARBAGE)
            answers = await connection.read_answers()
        self.assertEqual(answers[0], (200, b"/1"))
        self.assertEqual([status for status, _ in answers], [200, 400])
        self.assertEqual(node.served, [("GET", "/1")])

    async def test_request_behind_one_that_closes(self) -> None:
        """Guards against a last request that fails for what follows it."""
        async with (
            builders.run_nodes(1, handler=self.handle) as (node,),
            pipelines.connect(node) as connection,
        ):
            connection.writer.write(
                pipelines.build_request("/1", headers="Connection: close\r\n")
                + pipelines.build_request("/2")
            )
            answers = await connection.read_answers()
        self.assertEqual(answers, [(200, b"/1")])
        self.assertEqual(node.served, [("GET", "/1")])

    async def test_request_behind_one_that_asks_for_an_upgrade(self) -> None:
        """Guards against a request that is dropped as HTTP/2 was offered."""
        offer = (
            "Connection: Upgrade, HTTP2-Settings\r\n"
            "Upgrade: h2c\r\nHTTP2-Settings: AAMAAABk\r\n"
        )
        async with (
            builders.run_nodes(1) as (node,),
            pipelines.connect(node) as connection,
        ):
            for headers in (offer, "", offer, offer, "", ""):
                request = pipelines.build_request("/x", headers=headers)
                connection.writer.write(request)
                answer = await connection.read_answer()
                assert answer is not None
                self.assertEqual(answer[0], 200)
        self.assertEqual(len(node.served), 6)

    async def test_payout_waits_for_its_turn(self) -> None:
        """Guards against payouts that run although their caller has left."""
        self.add_gates("/1", "/payouts")
        async with builders.run_nodes(1, handler=self.handle) as (node,):
            async with pipelines.connect(node) as connection:
                connection.writer.write(
                    pipelines.build_request("/1")
                    + pipelines.build_request("/payouts", "POST", _KEY, "pay")
                    + pipelines.build_request("/3")
                )
                await self.wait_for_running("/1")
                self.gates["/1"].set()
                await self.wait_for_running("/payouts")
                self.assertEqual(await connection.read_answer(), (200, b"/1"))
                self.gates["/payouts"].set()
                await connection.read_answer()
                self.assertEqual(await connection.read_answer(), (200, b"/3"))
            self.add_gates("/1")
            async with pipelines.connect(node) as connection:
                connection.writer.write(
                    pipelines.build_request("/1")
                    + pipelines.build_request("/payouts", "POST", _KEY, "more")
                )
                await self.wait_for_running("/1")
            await self.wait_for_running()
            self.gates["/1"].set()
            await asyncio.sleep(0.02)
        paths = [path for _, path in node.served]
        self.assertEqual(paths, ["/1", "/payouts", "/3", "/1"])

    async def test_more_requests_than_may_run(self) -> None:
        """Guards against callers that leave while nothing of them is read."""
        paths = [f"/{number}" for number in range(30)]
        self.add_gates(*paths)
        async with builders.run_nodes(1, handler=self.handle) as (node,):
            async with pipelines.connect(node) as connection:
                for path in paths:
                    connection.writer.write(pipelines.build_request(path))
                await self.wait_for_running(*paths[:8])
                self.gates["/0"].set()
                await self.wait_for_running(*paths[1:9])
            await self.wait_for_running()
            self.assertEqual(len(node.served), 9)
            counts = node.proxy._caller_server.pipeline_counts
            self.assertEqual((counts.max_depth, counts.ahead), (8, 0))
            self.assertEqual(node.proxy.in_flight, 0)

    async def test_limit_of_all_connections(self) -> None:
        """Guards against requests that are never run beyond the limit."""
        with mock.patch.object(pipelining, "MAX_AHEAD", 1):
            paths = [f"/{number}" for number in range(6)]
            async with (
                builders.run_nodes(1, handler=self.handle) as (node,),
                pipelines.connect(node) as connection,
            ):
                for path in paths:
                    connection.writer.write(pipelines.build_request(path))
                for path in paths:
                    answer = await connection.read_answer()
                    self.assertEqual(answer, (200, path.encode()))

    async def test_slow_first_request(self) -> None:
        """Guards against requests that fail as the one in front is slow."""
        self.add_gates("/1", "/payouts")
        short = builders.build_snapshot(builders.build_short_plans())
        async with (
            builders.run_nodes(1, handler=self.handle, running=short) as (
                node,
            ),
            pipelines.connect(node) as connection,
        ):
            connection.writer.write(
                pipelines.build_request("/1")
                + pipelines.build_request("/2")
                + pipelines.build_request("/payouts", "POST", _KEY)
            )
            answers = [await connection.read_answer() for _ in range(3)]
        statuses = [answer[0] for answer in answers if answer]
        self.assertEqual(statuses[:2], [504, 200])
        # The time of the payout counts from its arrival.
        self.assertGreaterEqual(statuses[2], 503)
        self.assertEqual(len(node.served), 2)

    async def test_streamed_answers_wait(self) -> None:
        """Guards against waiting answers that are mixed up, lost or hold slots.

        A cut answer of which nothing was written is reported as such. A short
        one is buffered and frees its slot before its turn.
        """
        self.add_gates("/1", "/cut")
        async with (
            builders.run_nodes(1, handler=self.handle) as (node,),
            pipelines.connect(node) as connection,
        ):
            for path in ("/1", "/stream", "/cut", "/4"):
                connection.writer.write(pipelines.build_request(path))
            await self.wait_for_running("/1", "/cut")
            while node.proxy._admission.in_flight > 2:
                await asyncio.sleep(0.001)
            self.gates["/cut"].set()
            await self.wait_for_running("/1")
            self.gates["/1"].set()
            answers = [await connection.read_answer() for _ in range(4)]
        self.assertEqual(
            [answer and answer[0] for answer in answers], [200, 200, 502, 200]
        )
        self.assertEqual(answers[1], (200, b"/stream"))

    async def test_request_that_ends_in_the_packet_of_the_next(self) -> None:
        """Guards against requests that stay in the buffer of the parser."""
        next_request = pipelines.build_request("/2")
        for request, status in (
            (pipelines.build_request("/1"), 200),
            (pipelines.build_request("/1", "POST", body="body"), 200),
            # It has no key, so its body is not read.
            (pipelines.build_request("/payouts", "POST", body="body"), 400),
        ):
            async with (
                builders.run_nodes(1, handler=self.handle) as (node,),
                pipelines.connect(node) as connection,
            ):
                connection.writer.write(request[:-3])
                await asyncio.sleep(0.02)
                connection.writer.write(request[-3:] + next_request)
                answer = await connection.read_answer()
                self.assertEqual(answer and answer[0], status)
                self.assertEqual(await connection.read_answer(), (200, b"/2"))

    async def test_continue_is_sent_on_its_turn(self) -> None:
        """Guards against "100 Continue" in place of the answer in front."""
        self.add_gates("/1")
        request = pipelines.build_request(
            "/2", "POST", "Expect: 100-continue\r\n", "body"
        )
        async with (
            builders.run_nodes(1, handler=self.handle) as (node,),
            pipelines.connect(node) as connection,
        ):
            connection.writer.write(
                pipelines.build_request("/1") + request[:-4]
            )
            await self.wait_for_running("/1")
            await asyncio.sleep(0.02)
            self.gates["/1"].set()
            self.assertEqual(await connection.read_answer(), (200, b"/1"))
            self.assertEqual(await connection.read_answer(), (100, b""))
            connection.writer.write(request[-4:])
            self.assertEqual(await connection.read_answer(), (200, b"/2"))

    async def test_drain(self) -> None:
        """Guards against answers that a drain drops, and against new work."""
        self.add_gates("/1", "/2")
        async with (
            builders.run_nodes(1, handler=self.handle) as (node,),
            pipelines.connect(node) as connection,
        ):
            for path in ("/1", "/2"):
                connection.writer.write(pipelines.build_request(path))
            await self.wait_for_running("/1", "/2")
            draining = asyncio.create_task(node.proxy.drain(10))
            await asyncio.sleep(0)
            connection.writer.write(pipelines.build_request("/3"))
            self.open_all_gates()
            answers = await connection.read_answers()
            self.assertEqual(answers[:2], [(200, b"/1"), (200, b"/2")])
            self.assertEqual([status for status, _ in answers[2:]], [503])
            await self.wait_for_running()
            self.assertTrue(await draining)
        self.assertEqual(len(node.served), 2)

    async def test_payout_behind_an_idle_time(self) -> None:
        """Guards against the state of earlier requests that lets others run."""
        self.add_gates("/payouts")
        async with (
            builders.run_nodes(1, handler=self.handle) as (node,),
            pipelines.connect(node) as connection,
        ):
            connection.writer.write(pipelines.build_request("/1"))
            self.assertEqual(await connection.read_answer(), (200, b"/1"))
            connection.writer.write(
                pipelines.build_request("/payouts", "POST", _KEY, "pay")
                + pipelines.build_request("/3")
            )
            await self.wait_for_running("/payouts")
            await asyncio.sleep(0.02)
            self.assertEqual(len(node.served), 2)

    async def test_last_answer_before_its_turn(self) -> None:
        """Guards against answers that are lost, and requests that still run."""
        self.add_gates("/1", "/2")
        async with builders.run_nodes(1, handler=self.handle) as (node,):
            async with pipelines.connect(node) as connection:
                for path in ("/1", "/2"):
                    connection.writer.write(pipelines.build_request(path))
                await self.wait_for_running("/1", "/2")
                node.proxy.disable_caller_keep_alive()
                self.gates["/2"].set()
                await self.wait_for_running("/1")
                connection.writer.write(pipelines.build_request("/3"))
                await asyncio.sleep(0.02)
                self.gates["/1"].set()
                self.assertEqual(
                    await connection.read_answers(),
                    [(200, b"/1"), (200, b"/2")],
                )
            async with pipelines.connect(node) as connection:
                for path in ("/4", "/5"):
                    connection.writer.write(pipelines.build_request(path))
                self.assertEqual(
                    await connection.read_answers(), [(200, b"/4")]
                )
        self.assertEqual([path for _, path in node.served], ["/1", "/2", "/4"])


class OrderTest(unittest.TestCase):
    """Random requests, orders of answers, disconnects and drains."""

    @hypothesis.settings(max_examples=40, deadline=None)
    @hypothesis.given(
        strategies.lists(strategies.sampled_from(list(_STATUSES)), max_size=14),
        strategies.integers(0, 2**32),
        strategies.sampled_from(["", "", "disconnect", "drain", "close"]),
    )
    def test_answers_are_in_order(
        self, kinds: list[str], seed: int, event: str
    ) -> None:
        """Guards against answers that are lost, doubled or swapped."""
        asyncio.run(self.play(kinds, random.Random(seed), event))

    async def play(
        self, kinds: list[str], choices: random.Random, event: str
    ) -> None:
        """Sends the requests, and checks the answers and what has run."""
        event_step = choices.randrange(len(kinds) + 1)
        fixture = PipeliningTest()
        fixture.setUp()
        paths = []
        sent = b""
        for number, kind in enumerate(kinds):
            closes = event == "close" and number == event_step
            path, request = _build_request(kind, number, closes)
            paths.append(path)
            sent += request
        fixture.add_gates(*paths)
        async with builders.run_nodes(1, handler=fixture.handle) as (node,):
            async with pipelines.connect(node) as connection:
                reading = asyncio.create_task(connection.read_answers())
                for step in range(len(kinds)):
                    packet = choices.randrange(len(sent) + 1)
                    connection.writer.write(sent[:packet])
                    sent = sent[packet:]
                    await asyncio.sleep(0.002)
                    if step == event_step and event == "disconnect":
                        connection.writer.close()
                        break
                    if step == event_step and event == "drain":
                        node.proxy.disable_caller_keep_alive()
                    fixture.open_gate(choices)
                else:
                    fixture.open_all_gates()
                    connection.writer.write(sent)
                    while not reading.done() and len(connection.answers) < len(
                        kinds
                    ):
                        await asyncio.sleep(0.001)
                    connection.writer.close()
                answers = await reading
            await self.check_that_nothing_more_runs(node, fixture)
        self.assertEqual(fixture.beside_payouts, set())
        self.check_order(kinds, paths, answers)
        if not event:
            self.assertEqual(len(answers), len(kinds))
        if event == "close":
            allowed = paths[: event_step + 1]
            self.assertEqual(len(answers), len(allowed))
            self.assertLessEqual({path for _, path in node.served}, {*allowed})

    async def check_that_nothing_more_runs(
        self, node: builders.Node, fixture: PipeliningTest
    ) -> None:
        """Checks that requests without an answer do not run later."""
        # A payout that has begun continues without its caller.
        while node.proxy.in_flight or any(
            not path.startswith("/payouts") for path in fixture.running
        ):
            await asyncio.sleep(0.001)
        served = list(node.served)
        fixture.open_all_gates()
        await asyncio.sleep(0.005)
        self.assertEqual(node.served, served)
        counts = node.proxy._caller_server.pipeline_counts
        self.assertEqual(counts.ahead, 0)

    def check_order(
        self,
        kinds: list[str],
        paths: list[str],
        answers: list[tuple[int, bytes]],
    ) -> None:
        """Checks that each answer is the one of its request."""
        for kind, path, (status, body) in zip(
            kinds, paths, answers, strict=False
        ):
            self.assertEqual(status, _STATUSES[kind])
            self.assertTrue(kind == "refused" or body == path.encode())


def _build_request(kind: str, number: int, closes: bool) -> tuple[str, bytes]:
    """Builds a request of a kind; returns its path as well."""
    lines = "Connection: close\r\n" if closes else ""
    if kind not in ("pay", "refused"):
        path = f"/{number}{kind}"
        return path, pipelines.build_request(path, headers=lines)
    path = f"/payouts/{number}"
    if kind == "pay":
        lines += f"{headers.IDEMPOTENCY_KEY}: {number}\r\n"
    return path, pipelines.build_request(path, "POST", lines, "pay")


if __name__ == "__main__":
    unittest.main()
