"""Tests for the backend server stand-in."""

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

    async def test_answer_contains_request_id_and_checksum(self) -> None:
        """An answer and the records of its run identify the request.

        Otherwise a caller could not detect the answer to another request, or a
        body that was changed on its way.
        """
        backend = await builders.start_backend(self)
        headers = {
            worker.REQUEST_ID_HEADER: "r1",
            worker.IDEMPOTENCY_KEY_HEADER: "k1",
        }
        url = f"http://{backend.address}/payouts/1"
        async with self.session.post(url, data=b"x", headers=headers) as answer:
            json_body = await answer.json()
        self.assertEqual(json_body["request_id"], "r1")
        body_sha256 = hashlib.sha256(b"x").hexdigest()
        self.assertEqual(json_body["body_sha256"], body_sha256)
        runs = await self._read_runs(backend)
        events = [(run["event"], run["key"]) for run in runs]
        self.assertEqual(events, [("started", "k1"), ("done", "k1")])

    async def test_download_has_the_checksum_of_its_request(self) -> None:
        """A download has the body of its request, in full.

        If requests had the same body, a caller could not detect the answer to
        another request.
        """
        backend = await builders.start_backend(self)
        headers = {worker.REQUEST_ID_HEADER: "r1"}
        url = f"http://{backend.address}/footage/1?bytes=50001"
        async with self.session.get(url, headers=headers) as answer:
            body = await answer.read()
        checksum = content.compute_checksum("r1", 50001)
        self.assertEqual(hashlib.sha256(body).hexdigest(), checksum)
        self.assertNotEqual(checksum, content.compute_checksum("r2", 50001))

    async def test_answers_state_the_notices(self) -> None:
        """Guards against notices that tests ask for and no answer states."""
        backend = await builders.start_backend(self)
        faults = {"rate_limit": 2.5, "leaving": True}
        control_url = f"http://127.0.0.1:{backend.control_port}/faults"
        async with self.session.post(control_url, json=faults) as answer:
            self.assertEqual(answer.status, 200)
        async with self.session.get(f"http://{backend.address}/x") as answer:
            stated = answer.headers
        self.assertEqual(stated[worker.RATE_LIMIT_HEADER], "2.5")
        self.assertEqual(stated[worker.LEAVING_HEADER], "1")

    async def test_call_beyond_the_slots_is_shed_and_not_run(self) -> None:
        """A call gets status 503 and does not run while all slots are taken."""
        backend = await builders.start_backend(self, slots=1)
        call = asyncio.create_task(self._get(backend, "/a?work_ms=60000"))
        self.addCleanup(call.cancel)
        await self._wait_for_events(backend, ["started"])
        self.assertEqual(await self._get(backend, "/b?work_ms=0"), 503)
        await self._wait_for_events(backend, ["started", "shed"])

    async def test_work_is_cancelled_when_the_caller_disconnects(self) -> None:
        """Work for a caller that has disconnected ends and is recorded so."""
        backend = await builders.start_backend(self)
        call = asyncio.create_task(self._get(backend, "/a?work_ms=60000"))
        await self._wait_for_events(backend, ["started"])
        call.cancel()
        await self._wait_for_events(backend, ["started", "cancelled"])

    async def test_deadline_ends_work_that_would_take_longer(self) -> None:
        """A request with 1 ms remaining for 60 s of work gets status 504."""
        backend = await builders.start_backend(self)
        headers = {worker.DEADLINE_HEADER: "1"}
        path = "/a?work_ms=60000"
        self.assertEqual(await self._get(backend, path, headers), 504)

    async def test_drain_waits_for_the_call_in_flight(self) -> None:
        """A drain does not end while a call that arrived before it runs.

        Otherwise the backend server would stop and cut off the call.
        """
        backend = await builders.start_backend(self)
        call = asyncio.create_task(self._get(backend, "/a?work_ms=60000"))
        await self._wait_for_events(backend, ["started"])
        drain = asyncio.create_task(backend.drain())
        # Lets the drain run until it waits for the call.
        await asyncio.sleep(0)
        self.assertEqual(backend.state, "draining")
        self.assertFalse(drain.done())
        call.cancel()
        await asyncio.wait_for(drain, _TEST_TIMEOUT_S)

    async def test_only_connections_open_at_the_fault_hang(self) -> None:
        """A pooled connection never answers again; a new one answers at once.

        The caller's first call opens a connection. The fault then silences all
        open connections, so the next call on that connection gets no answer.
        """
        backend = await builders.start_backend(self)
        self.assertEqual(await self._get(backend, "/a?work_ms=0"), 200)
        faults_url = f"http://127.0.0.1:{backend.control_port}/faults"
        async with aiohttp.ClientSession() as new_session:
            async with new_session.post(
                faults_url, json={"silent": True}
            ) as answer:
                self.assertEqual(answer.status, 200)
            hanging_call = asyncio.create_task(
                self._get(backend, "/a?work_ms=0")
            )
            url = f"http://{backend.address}/b?work_ms=0"
            async with new_session.get(url) as answer:
                self.assertEqual(answer.status, 200)
        # Without the fault, the answer takes far less time than this timeout.
        done, _ = await asyncio.wait({hanging_call}, timeout=0.3)
        self.assertFalse(done)
        hanging_call.cancel()

    async def test_nested_call_forwards_deadline_depth_and_attempt(
        self,
    ) -> None:
        """A nested call has the deadline, depth and attempt of its request.

        A daemon in between removes these headers, so the backend server copies
        them; without them the nested call would be taken for a new request.
        """
        daemon_url, requests = await builders.start_recording_server(self)
        backend = await builders.start_backend(self, daemon_url=daemon_url)
        headers = {
            worker.REQUEST_ID_HEADER: "r1",
            worker.DEADLINE_HEADER: "900",
            "Merlintrestle-Depth": "2",
            "Merlintrestle-Attempt": "1",
        }
        path = "/a?work_ms=0&then=kassa/seals,balie/tickets"
        self.assertEqual(await self._get(backend, path, headers), 200)
        [nested_request] = requests
        self.assertEqual(nested_request.path, "/kassa/seals/nested")
        self.assertEqual(nested_request.query["then"], "balie/tickets")
        for name, value in headers.items():
            self.assertEqual(nested_request.headers[name], value)

    async def test_caller_detects_truncated_download(self) -> None:
        """A caller does not take the beginning of a download for the whole.

        The `cut` fault aborts the connection in the middle of the download.
        """
        backend = await builders.start_backend(self)
        url = f"http://{backend.address}/footage/1?bytes=500000&rate=100000"
        async with self.session.get(url) as answer:
            await answer.content.read(1)
            faults_url = f"http://127.0.0.1:{backend.control_port}/faults"
            async with aiohttp.ClientSession() as control_session:
                await control_session.post(faults_url, json={"cut": True})
            with self.assertRaises(aiohttp.ClientError):
                await answer.read()

    async def _get(self, backend, path, headers=None) -> int:
        url = f"http://{backend.address}{path}"
        async with self.session.get(url, headers=headers) as answer:
            await answer.read()
            return answer.status

    async def _read_runs(self, backend) -> list:
        url = f"http://127.0.0.1:{backend.control_port}/runs"
        async with self.session.get(url) as answer:
            return await answer.json()

    async def _wait_for_events(self, backend, expected) -> None:
        async with asyncio.timeout(_TEST_TIMEOUT_S):
            while True:
                runs = await self._read_runs(backend)
                if [run["event"] for run in runs] == expected:
                    return


if __name__ == "__main__":
    unittest.main()
