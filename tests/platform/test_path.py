"""Tests for requests on the platform, from the caller to its response."""

from __future__ import annotations

import asyncio
import unittest

from aiohttp import web

from merlintrestle.platform import store as stores
from merlintrestle.requests.transport import streams
from tests.platform import builders
from tests.platform import fleets


class PathTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.fleet = fleets.Fleet()
        self.addAsyncCleanup(self.fleet.aclose)

    async def test_a_request_reaches_another_instance(self):
        """Guards against headers that are lost or wrong between daemons."""
        await self.fleet.start("kassa", "balie")
        status, headers, body = await self.fleet.send()
        self.assertEqual((status, body), (200, b"whole"))
        backend = self.fleet.backends[1]
        self.assertEqual(
            headers["X-Response-Signature"], f"sig-{backend.instance_id}"
        )
        received_headers = backend.received_headers[-1]
        self.assertEqual(received_headers["X-Attempt-Id"], "a1")
        self.assertEqual(received_headers["X-Caller-Service"], "kassa")
        self.assertEqual(
            received_headers["X-Target-Instance"], backend.instance_id
        )
        self.assertEqual(received_headers["Host"], "desk.example")
        self.assertLessEqual(int(received_headers["X-Deadline-Ms"]), 1000)

    async def test_new_daemon_learns_which_requests_crash_servers(self):
        """Guards against a restarted daemon that runs such a request again."""
        await self.fleet.start("kassa", "balie")
        known = self.fleet.daemons[0].strikes
        for digest in (b"poison", b"sound"):
            known.add(known.build(digest, "crash", confirmed=True))
        known.clear(b"sound")
        await self.fleet.add_daemon("balie")
        learned = self.fleet.daemons[2].strikes
        async with asyncio.timeout(fleets.TEST_TIMEOUT_S):
            while not learned.count(b"poison"):
                await asyncio.sleep(0.02)
        self.assertEqual(learned.list_active(), known.list_active())

    async def test_requests_without_a_route_get_404(self):
        """Guards against requests that reach a service without a route."""
        await self.fleet.start("balie")
        self.assertEqual((await self.fleet.send(path="/other/"))[0], 404)
        self.assertEqual((await self.fleet.send(host="else.example"))[0], 404)

    async def test_refused_calls_are_retried_at_another_upstream(self):
        """Guards against failed calls while one of the backend servers is full.

        The full backend server answers that it did not run the request, and
        another backend server runs it once.
        """
        route = builders.build_route("tickets", kind="non_idempotent")
        await self.fleet.start(
            "balie",
            "balie",
            configuration=builders.build_configuration(5, route),
        )
        self.fleet.backends[0].rejects_requests = True
        status, _, _ = await self.fleet.send(method="POST", data=b"x")
        self.assertEqual(status, 200)
        self.assertEqual(self.fleet.backends[1].executed_attempts, ["a1"])

    async def test_a_call_with_a_lost_answer_is_not_repeated(self):
        """Guards against a payout that is booked twice after a lost answer.

        The backend server runs it and the connection ends without an answer.
        The daemon must neither retry the call nor report it as not run, which
        would let the caller retry it.
        """
        route = builders.build_route("tickets", kind="non_idempotent")
        await self.fleet.start(
            "balie",
            "balie",
            configuration=builders.build_configuration(5, route),
        )
        for backend in self.fleet.backends:
            backend.handler = _lose_answer
        status, headers, _ = await self.fleet.send(method="POST", data=b"x")
        self.assertIn(status, (502, 504))
        self.assertNotIn("Retry-After", headers)
        ran = [
            attempt_id
            for backend in self.fleet.backends
            for attempt_id in backend.executed_attempts
        ]
        self.assertEqual(ran, ["a1"])

    async def test_unsigned_answers_are_not_passed_on(self):
        """Guards against corrupt answers that reach the caller.

        A faulty backend server sends a success status without its signature.
        An idempotent call is retried at another backend server.
        """
        await self.fleet.start("balie", "balie")

        async def send_unsigned(request: web.Request) -> web.StreamResponse:
            headers = {"X-Attempt-Id": request.headers["X-Attempt-Id"]}
            return web.Response(body=b"junk", headers=headers)

        self.fleet.backends[0].handler = send_unsigned
        status, _, body = await self.fleet.send()
        self.assertEqual((status, body), (200, b"whole"))

    async def test_late_answers_to_other_requests_are_skipped(self):
        """Guards against callers that get the answer to another request.

        The backend server sends a second answer to an earlier request over a
        persistent connection, where the next answer is expected. It contains
        the id of that request, or no id.
        """
        await self.fleet.start("balie")
        backend = self.fleet.backends[0]
        for header_line in (b"X-Attempt-Id: a0\r\n", b""):
            with self.subTest(header_line=header_line):
                await self.fleet.send()
                backend.handler = _build_duplicate_answer_handler(
                    backend, header_line
                )
                status, _, body = await self.fleet.send()
                self.assertEqual((status, body), (200, b"whole"))
                backend.handler = backend.answer

    async def test_a_refusal_status_of_a_run_request_is_not_passed_on(self):
        """Guards against a false "not run" to a caller.

        A backend server answers 503 without the header that states that the
        request was not run. If the status were passed on, it would promise
        that.
        """
        await self.fleet.start("balie")

        async def fail(request: web.Request) -> web.StreamResponse:
            headers = self.fleet.backends[0].build_answer_headers(request)
            return web.Response(status=503, headers=headers)

        self.fleet.backends[0].handler = fail
        self.assertEqual((await self.fleet.send())[0], 502)

    async def test_leaving_backend_servers_get_no_new_calls(self):
        """Guards against calls to a backend server that is about to stop.

        It announces its leave before it has drained, and keeps serving. A
        late heartbeat from before the leave must not reactivate it.
        """
        await self.fleet.start("balie", "balie")
        leaving_backend = self.fleet.backends[0]
        await leaving_backend.send_leave(
            self.fleet.daemons[0].heartbeat_address
        )
        await leaving_backend.send_heartbeat(
            self.fleet.daemons[0].heartbeat_address
        )
        for index in (0, 1, 0, 1):
            self.assertEqual((await self.fleet.send(index))[0], 200)
        self.assertEqual(leaving_backend.executed_attempts, [])

    async def test_a_restarted_daemon_knows_its_backend_server(self):
        """Guards against refused calls between a restart and a heartbeat.

        A daemon starts while its backend server is running and requests its
        status once, because the next heartbeat may take seconds. That next
        heartbeat must still be applied.
        """
        await self.fleet.start("kassa")
        await self.fleet.add_daemon("balie", with_heartbeat=False)
        await self.fleet.wait_until_discovered(("kassa", "balie"))
        self.assertEqual((await self.fleet.send())[0], 200)
        draining_backend = self.fleet.backends[1]
        heartbeat_address = self.fleet.daemons[1].heartbeat_address
        await draining_backend.send_heartbeat(
            heartbeat_address, "draining", sequence=0
        )
        self.assertEqual((await self.fleet.send(1))[0], 503)

    async def test_a_change_takes_effect(self):
        """Guards against calls routed by the previous configuration."""
        await self.fleet.start("balie", "kassa")
        await self.fleet.store.write(
            stores.CONFIGURATION_KEY,
            builders.build_configuration(
                9, builders.build_route("tickets", service="kassa")
            ),
        )
        async with asyncio.timeout(fleets.TEST_TIMEOUT_S):
            while any(daemon.version != 9 for daemon in self.fleet.daemons):
                await asyncio.sleep(0.01)
        self.assertEqual((await self.fleet.send())[0], 200)
        self.assertEqual(len(self.fleet.backends[1].executed_attempts), 1)

    async def test_a_change_that_no_watch_delivers_takes_effect(self):
        """Guards against an accepted version that no watch delivers.

        The store sends no events to its watches for seconds before it drops
        its history, while operators keep writing. Only a read finds the new
        version.
        """
        await self.fleet.start("balie", "kassa")
        self.fleet.store.faults.suppress_events = True
        await self.fleet.store.write(
            stores.CONFIGURATION_KEY, builders.build_configuration(9)
        )
        async with asyncio.timeout(10):
            while any(daemon.version != 9 for daemon in self.fleet.daemons):
                await asyncio.sleep(0.01)

    async def test_unframed_answers_stay_unframed(self):
        """Guards against truncated answers that look complete.

        An answer without a length ends when its connection is closed, by
        either end. If the daemon added a length or chunks, half of an answer
        would appear complete. If the backend server's connection was reset,
        the caller's connection is reset too.
        """
        await self.fleet.start("kassa", "balie")
        for reset in (False, True):
            with self.subTest(reset=reset):
                self.fleet.backends[1].handler = _build_unframed_answer_handler(
                    reset
                )
                head, body, was_reset = await self._send_raw()
                self.assertNotIn(b"content-length", head.lower())
                self.assertNotIn(b"transfer-encoding", head.lower())
                self.assertEqual(was_reset, reset)
                if not reset:
                    self.assertEqual(body, b"unframed")

    async def test_an_unframed_answer_takes_no_answer_behind_it_along(self):
        """Guards against requests sent ahead that run and get no answer.

        The answer in front of them has no length, so it would end with the
        connection. Its request is repeatable, and is sent again.
        """
        await self.fleet.start("kassa", "balie", "balie")
        arrivals: list[str] = []
        for backend in self.fleet.backends[1:]:
            unframed = _build_unframed_answer_handler(False)
            backend.handler = _build_first_answer_handler(
                arrivals, unframed, backend.answer
            )
        host, _, port = self.fleet.daemons[0].url[7:].partition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(writer.close)
        for name in ("front", "behind", "last"):
            writer.write(
                b"GET /tickets/1 HTTP/1.1\r\nHost: desk.example\r\n"
                b"X-Attempt-Id: %s\r\nX-Deadline-Ms: 9000\r\n\r\n"
                % name.encode()
            )
        answered = []
        async with asyncio.timeout(fleets.TEST_TIMEOUT_S):
            for _ in range(3):
                head = await reader.readuntil(b"\r\n\r\n")
                self.assertEqual(await reader.readexactly(5), b"whole")
                self.assertIn(b" 200 ", head)
                _, _, rest = head.partition(b"X-Attempt-Id: ")
                answered.append(rest.partition(b"\r")[0])
        self.assertEqual(answered, [b"front", b"behind", b"last"])
        self.assertEqual(arrivals.count("front"), 2)
        self.assertEqual(arrivals.count("behind"), 1)

    async def _send_raw(self) -> tuple[bytes, bytes, bool]:
        """Sends a request over a connection of its own.

        Returns:
            Head and body of the response, and whether the connection was reset.
        """
        host, _, port = self.fleet.daemons[0].url[7:].partition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(
            b"GET /tickets/1 HTTP/1.1\r\nHost: desk.example\r\n"
            b"X-Attempt-Id: r1\r\nX-Deadline-Ms: 1000\r\n\r\n"
        )
        head = await reader.readuntil(b"\r\n\r\n")
        try:
            return head, await reader.read(), False
        except ConnectionResetError:
            return head, b"", True
        finally:
            writer.close()

    async def test_requests_without_an_upstream_are_refused_at_once(self):
        """Guards against callers that wait although no upstream exists."""
        await self.fleet.start("kassa")
        status, headers, _ = await self.fleet.send()
        self.assertEqual(status, 503)
        self.assertGreater(float(headers["Retry-After"]), 0)

    async def test_a_refusal_by_the_backend_server_has_a_short_retry_delay(
        self,
    ):
        """Guards against callers that retry too late after a refusal.

        A backend server refuses calls although it has free slots, as a faulty
        one does with every second call. With a `Retry-After` of one second,
        its callers would miss their deadlines, although the next call may be
        accepted.
        """
        await self.fleet.start("balie")
        self.fleet.backends[0].rejects_requests = True
        status, headers, _ = await self.fleet.send()
        self.assertEqual(status, 503)
        self.assertLess(float(headers["Retry-After"]), 0.2)

    async def test_the_readiness_endpoint_answers_200(self):
        """Guards against a ready daemon to which no callers are directed."""
        await self.fleet.start("balie")
        async with self.fleet.client.get(
            self.fleet.daemons[0].ready_url
        ) as response:
            self.assertEqual(response.status, 200)


def _build_duplicate_answer_handler(backend, header_line: bytes):
    async def handle(request: web.Request) -> web.StreamResponse:
        assert request.transport is not None
        request.transport.write(
            b"HTTP/1.1 200 OK\r\nX-Response-Signature: old\r\n"
            + header_line
            + b"Content-Length: 3\r\n\r\nold"
        )
        return await backend.answer(request)

    return handle


async def _lose_answer(request: web.Request) -> web.StreamResponse:
    assert request.transport is not None
    request.transport.abort()
    return web.Response()


def _build_first_answer_handler(arrivals, answer_front, answer):
    """Answers the first arrival of "front" otherwise, once all have come."""

    async def handle(request: web.Request) -> web.StreamResponse:
        attempt_id = request.headers["X-Attempt-Id"]
        arrivals.append(attempt_id)
        if attempt_id != "front" or arrivals.count("front") > 1:
            return await answer(request)
        while not {"behind", "last"} <= set(arrivals):
            await asyncio.sleep(0.01)
        return await answer_front(request)

    return handle


def _build_unframed_answer_handler(reset: bool):
    async def handle(request: web.Request) -> web.StreamResponse:
        transport = request.transport
        assert transport is not None
        attempt_id = request.headers["X-Attempt-Id"].encode()
        transport.write(
            b"HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\nX-Attempt-Id: "
            + attempt_id
            + b"\r\nConnection: close\r\n\r\nunframed"
        )
        if reset:
            # A reset could overtake the data that was sent before it.
            await asyncio.sleep(0.05)
            streams.reset_connection(request)
        else:
            transport.close()
        return web.Response()

    return handle
