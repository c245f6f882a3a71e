"""Tests of the whole path of a request on the platform."""

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
        await self.fleet.start("kassa", "balie")
        status, headers, body = await self.fleet.send()
        self.assertEqual((status, body), (200, b"whole"))
        backend = self.fleet.backends[1]
        self.assertEqual(
            headers["X-Response-Signature"], f"sig-{backend.instance_id}"
        )
        seen = backend.seen[-1]
        self.assertEqual(seen["X-Attempt-Id"], "a1")
        self.assertEqual(seen["X-Caller-Service"], "kassa")
        self.assertEqual(seen["X-Target-Instance"], backend.instance_id)
        self.assertEqual(seen["Host"], "desk.example")
        self.assertLessEqual(int(seen["X-Deadline-Ms"]), 1000)

    async def test_no_route(self):
        await self.fleet.start("balie")
        self.assertEqual((await self.fleet.send(path="/other/"))[0], 404)
        self.assertEqual((await self.fleet.send(host="else.example"))[0], 404)

    async def test_refused_work_is_sent_elsewhere(self):
        """The caller is served although one backend server is full.

        It refuses the request as not run, and another one runs it once.
        """
        route = builders.build_route("tickets", kind="non_idempotent")
        await self.fleet.start(
            "balie",
            "balie",
            configuration=builders.build_configuration(5, route),
        )
        self.fleet.backends[0].full = True
        status, _, _ = await self.fleet.send(method="POST", data=b"x")
        self.assertEqual(status, 200)
        self.assertEqual(self.fleet.backends[1].ran, ["a1"])

    async def test_at_most_once(self):
        """A payout whose answer is lost runs once; its caller is not lied to.

        The backend server runs it and the connection ends without an answer.
        Sent again or called "not run" it would be booked twice.
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
        ran = [one for backend in self.fleet.backends for one in backend.ran]
        self.assertEqual(ran, ["a1"])

    async def test_an_answer_without_signature_is_not_passed_on(self):
        """The caller never takes spoilt bytes for an answer.

        A faulty backend server sends a success without its signature. A
        lookup goes to another one instead.
        """
        await self.fleet.start("balie", "balie")

        async def spoil(request: web.Request) -> web.StreamResponse:
            headers = {"X-Attempt-Id": request.headers["X-Attempt-Id"]}
            return web.Response(body=b"junk", headers=headers)

        self.fleet.backends[0].handler = spoil
        status, _, body = await self.fleet.send()
        self.assertEqual((status, body), (200, b"whole"))

    async def test_a_late_answer_to_another_request_is_skipped(self):
        """The caller gets the answer to its own request.

        The backend server sends a second answer to an earlier request on a
        kept connection, just where the next answer is expected. It names that
        request, or none at all.
        """
        await self.fleet.start("balie")
        backend = self.fleet.backends[0]
        for name in (b"X-Attempt-Id: a0\r\n", b""):
            with self.subTest(name=name):
                await self.fleet.send()
                backend.handler = _build_doubled(backend, name)
                status, _, body = await self.fleet.send()
                self.assertEqual((status, body), (200, b"whole"))
                backend.handler = backend.answer

    async def test_a_refusal_status_of_a_run_request_is_not_passed_on(self):
        """A caller that reads "not run" must be able to rely on it.

        A backend server answers 503 without saying that it did not run the
        payout. Passed on, the status would promise just that.
        """
        await self.fleet.start("balie")

        async def fail(request: web.Request) -> web.StreamResponse:
            headers = self.fleet.backends[0].sign(request)
            return web.Response(status=503, headers=headers)

        self.fleet.backends[0].handler = fail
        self.assertEqual((await self.fleet.send())[0], 502)

    async def test_a_leaving_backend_server_gets_no_new_work(self):
        """New work goes elsewhere at once, though the leaver still serves.

        It says that it leaves without having drained. A late heartbeat from
        before that must not bring it back.
        """
        await self.fleet.start("balie", "balie")
        leaver = self.fleet.backends[0]
        await leaver.leave(self.fleet.daemons[0].control)
        await leaver.send_heartbeat(self.fleet.daemons[0].control)
        for number in (0, 1, 0, 1):
            self.assertEqual((await self.fleet.send(number))[0], 200)
        self.assertEqual(leaver.ran, [])

    async def test_a_restarted_daemon_knows_its_backend_server(self):
        """Calls are served before the next heartbeat, which may take seconds.

        A daemon starts beside a backend server that runs on and asks it once.
        The heartbeat that comes later is news all the same.
        """
        await self.fleet.start("kassa")
        await self.fleet.add("balie", announced=False)
        await self.fleet.meet(("kassa", "balie"))
        self.assertEqual((await self.fleet.send())[0], 200)
        leaver = self.fleet.backends[1]
        control = self.fleet.daemons[1].control
        await leaver.send_heartbeat(control, "draining", sequence=0)
        self.assertEqual((await self.fleet.send(1))[0], 503)

    async def test_a_change_is_in_force(self):
        await self.fleet.start("balie", "kassa")
        await self.fleet.store.write(
            stores.CONFIGURATION_KEY,
            builders.build_configuration(
                9, builders.build_route("tickets", service="kassa")
            ),
        )
        async with asyncio.timeout(fleets.TEST_TIMEOUT_S):
            while any(one.version != 9 for one in self.fleet.daemons):
                await asyncio.sleep(0.01)
        self.assertEqual((await self.fleet.send())[0], 200)
        self.assertEqual(len(self.fleet.backends[1].ran), 1)

    async def test_a_change_that_no_watch_hears_of(self):
        """An accepted version is in force though no watch delivers it.

        The store tells its watches nothing for seconds before it drops its
        history, while operators go on. Only a read finds the new version.
        """
        await self.fleet.start("balie", "kassa")
        self.fleet.store.faults.deaf = True
        await self.fleet.store.write(
            stores.CONFIGURATION_KEY, builders.build_configuration(9)
        )
        async with asyncio.timeout(10):
            while any(one.version != 9 for one in self.fleet.daemons):
                await asyncio.sleep(0.01)

    async def test_an_unframed_answer_stays_unframed(self):
        """An answer without length never looks more whole than it came.

        Its end is the close of the connection, whoever broke it off. Given a
        length or chunks on its way, half of it would pass for all; and where
        the backend server's connection was reset, the caller's is as well.
        """
        await self.fleet.start("kassa", "balie")
        for reset in (False, True):
            with self.subTest(reset=reset):
                self.fleet.backends[1].handler = _build_unframed(reset)
                head, body, was_reset = await self._send_raw()
                self.assertNotIn(b"content-length", head.lower())
                self.assertNotIn(b"transfer-encoding", head.lower())
                self.assertEqual(was_reset, reset)
                if not reset:
                    self.assertEqual(body, b"unframed")

    async def _send_raw(self) -> tuple[bytes, bytes, bool]:
        """Sends a request; returns head, body and whether a reset came."""
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

    async def test_a_request_that_cannot_be_served_is_refused_at_once(self):
        await self.fleet.start("kassa")
        status, headers, _ = await self.fleet.send()
        self.assertEqual(status, 503)
        self.assertGreater(float(headers["Retry-After"]), 0)

    async def test_when_to_come_back_after_a_refusal_of_the_backend_server(
        self,
    ):
        """The caller comes back while an answer is still in time.

        A backend server turns calls away though it has room, as a faulty one
        does with every second. Told to come back after a second, its callers
        waited until they were late; the next call may well be taken.
        """
        await self.fleet.start("balie")
        self.fleet.backends[0].full = True
        status, headers, _ = await self.fleet.send()
        self.assertEqual(status, 503)
        self.assertLess(float(headers["Retry-After"]), 0.2)

    async def test_ready(self):
        await self.fleet.start("balie")
        async with self.fleet.client.get(
            self.fleet.daemons[0].ready_url
        ) as one:
            self.assertEqual(one.status, 200)


def _build_doubled(backend, name: bytes):
    async def handle(request: web.Request) -> web.StreamResponse:
        assert request.transport is not None
        request.transport.write(
            b"HTTP/1.1 200 OK\r\nX-Response-Signature: old\r\n"
            + name
            + b"Content-Length: 3\r\n\r\nold"
        )
        return await backend.answer(request)

    return handle


async def _lose_answer(request: web.Request) -> web.StreamResponse:
    assert request.transport is not None
    request.transport.abort()
    return web.Response()


def _build_unframed(reset: bool):
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
            # What was sent arrives first; a reset may overtake it.
            await asyncio.sleep(0.05)
            streams.reset_connection(request)
        else:
            transport.close()
        return web.Response()

    return handle
