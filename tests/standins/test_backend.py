"""Tests of the backend server stand-in."""

from __future__ import annotations

import asyncio
import hashlib
import unittest

import aiohttp

from standins import content
from standins import worker
from tests.standins import builders

_TEST_TIMEOUT_S = 20.0


class BackendTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.session = aiohttp.ClientSession()
        self.addAsyncCleanup(self.session.close)

    async def test_answer_names_the_request_and_its_body(self) -> None:
        backend = await builders.start_backend(self)
        headers = {
            worker.REQUEST_ID_HEADER: "r1",
            worker.IDEMPOTENCY_KEY_HEADER: "k1",
        }
        url = f"http://{backend.address}/payouts/1"
        async with self.session.post(url, data=b"x", headers=headers) as got:
            fields = await got.json()
        self.assertEqual(fields["request_id"], "r1")
        body_sha256 = hashlib.sha256(b"x").hexdigest()
        self.assertEqual(fields["body_sha256"], body_sha256)
        runs = await self._read_runs(backend)
        events = [(run["event"], run["key"]) for run in runs]
        self.assertEqual(events, [("started", "k1"), ("done", "k1")])

    async def test_download_has_the_checksum_of_its_request(self) -> None:
        backend = await builders.start_backend(self)
        headers = {worker.REQUEST_ID_HEADER: "r1"}
        url = f"http://{backend.address}/footage/1?bytes=50001"
        async with self.session.get(url, headers=headers) as got:
            body = await got.read()
        own = content.compute_checksum("r1", 50001)
        self.assertEqual(hashlib.sha256(body).hexdigest(), own)
        self.assertNotEqual(own, content.compute_checksum("r2", 50001))

    async def test_call_over_the_slots_is_shed_unrun(self) -> None:
        backend = await builders.start_backend(self, slots=1)
        first = asyncio.create_task(self._get(backend, "/a?work_ms=60000"))
        self.addCleanup(first.cancel)
        await self._wait_events(backend, ["started"])
        self.assertEqual(await self._get(backend, "/b?work_ms=0"), 503)
        await self._wait_events(backend, ["started", "shed"])

    async def test_work_stops_when_its_caller_leaves(self) -> None:
        backend = await builders.start_backend(self)
        call = asyncio.create_task(self._get(backend, "/a?work_ms=60000"))
        await self._wait_events(backend, ["started"])
        call.cancel()
        await self._wait_events(backend, ["started", "cancelled"])

    async def test_deadline_ends_work_that_would_take_longer(self) -> None:
        backend = await builders.start_backend(self)
        headers = {worker.DEADLINE_HEADER: "1"}
        path = "/a?work_ms=60000"
        self.assertEqual(await self._get(backend, path, headers), 504)

    async def test_drain_waits_for_the_call_in_flight(self) -> None:
        backend = await builders.start_backend(self)
        call = asyncio.create_task(self._get(backend, "/a?work_ms=60000"))
        await self._wait_events(backend, ["started"])
        drain = asyncio.create_task(backend.drain())
        await asyncio.sleep(0)
        self.assertEqual(backend.state, "draining")
        self.assertFalse(drain.done())
        call.cancel()
        await asyncio.wait_for(drain, _TEST_TIMEOUT_S)

    async def test_silent_connection_hangs_and_a_new_one_works(self) -> None:
        """A pooled connection never answers again, a fresh one does at once.

        The caller's first call opens a connection; then everything open goes
        silent, so its next call on that connection gets nothing.
        """
        backend = await builders.start_backend(self)
        self.assertEqual(await self._get(backend, "/a?work_ms=0"), 200)
        url = f"http://127.0.0.1:{backend.control_port}/faults"
        async with aiohttp.ClientSession() as other:
            async with other.post(url, json={"silent": True}) as answer:
                self.assertEqual(answer.status, 200)
            hanging = asyncio.create_task(self._get(backend, "/a?work_ms=0"))
            address = f"http://{backend.address}/b?work_ms=0"
            async with other.get(address) as answer:
                self.assertEqual(answer.status, 200)
        # Without the fault it is answered in far less.
        done, _ = await asyncio.wait({hanging}, timeout=0.3)
        self.assertFalse(done)
        hanging.cancel()

    async def test_nested_calls_pass_on_what_bounds_them(self) -> None:
        """A nested call has the deadline, depth and attempt of the first.

        A daemon in between removes such headers, so the backend server copies
        them; without them the nested call would be taken for a fresh one.
        """
        url, seen = await builders.start_recording_server(self)
        backend = await builders.start_backend(self, daemon=url)
        headers = {
            worker.REQUEST_ID_HEADER: "r1",
            worker.DEADLINE_HEADER: "900",
            "Merlintrestle-Depth": "2",
            "Merlintrestle-Attempt": "1",
        }
        path = "/a?work_ms=0&then=kassa/seals,balie/tickets"
        self.assertEqual(await self._get(backend, path, headers), 200)
        [nested] = seen
        self.assertEqual(nested.path, "/kassa/seals/nested")
        self.assertEqual(nested.query["then"], "balie/tickets")
        for name, value in headers.items():
            self.assertEqual(nested.headers[name], value)

    async def test_cut_download_is_seen_to_be_cut(self) -> None:
        backend = await builders.start_backend(self)
        url = f"http://{backend.address}/footage/1?bytes=500000&rate=100000"
        async with self.session.get(url) as got:
            await got.content.read(1)
            control = f"http://127.0.0.1:{backend.control_port}/faults"
            async with aiohttp.ClientSession() as other:
                await other.post(control, json={"cut": True})
            with self.assertRaises(aiohttp.ClientError):
                await got.read()

    async def _get(self, backend, path, headers=None) -> int:
        url = f"http://{backend.address}{path}"
        async with self.session.get(url, headers=headers) as answer:
            await answer.read()
            return answer.status

    async def _read_runs(self, backend) -> list:
        url = f"http://127.0.0.1:{backend.control_port}/runs"
        async with self.session.get(url) as answer:
            return await answer.json()

    async def _wait_events(self, backend, expected) -> None:
        async with asyncio.timeout(_TEST_TIMEOUT_S):
            while True:
                runs = await self._read_runs(backend)
                if [run["event"] for run in runs] == expected:
                    return


if __name__ == "__main__":
    unittest.main()
