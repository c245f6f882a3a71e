"""Tests of complete daemons: start, stop, calls and new versions."""

from __future__ import annotations

import asyncio
import unittest

from aiohttp import web

from merlintrestle.documents import compiler
from merlintrestle.operators import fleet as operator_fleet
from merlintrestle.requests.transport import headers
from merlintrestle.schema import control_pb2
from standins import faults
from tests.daemon import builders

_INVALID_ADDRESSES = (
    "localhost",
    "localhost:80",
    "127.0.0.1:99999",
    "127.0.0.1:0",
    "[::1]:x",
    "a\0b:80",
)
_KEY_HEADERS = {headers.IDEMPOTENCY_KEY: "ticket-7"}


class DaemonsTest(unittest.IsolatedAsyncioTestCase):
    """Runs daemons in one process over loopback, with a store stand-in."""

    def setUp(self) -> None:
        self.download_started = asyncio.Event()
        self.resume_download = asyncio.Event()
        self.runs = 0

    async def answer(self, request: web.BaseRequest) -> web.StreamResponse:
        """Responds with the path of the request."""
        await request.read()
        return web.Response(text=request.path)

    async def pay(self, request: web.BaseRequest) -> web.StreamResponse:
        """Counts a run of a payout."""
        self.runs += 1
        return await self.answer(request)

    async def send_archive(
        self, request: web.BaseRequest
    ) -> web.StreamResponse:
        """Sends a download and pauses it until the test resumes it."""
        response = web.StreamResponse()
        await response.prepare(request)
        await response.write(b"first ")
        self.download_started.set()
        await self.resume_download.wait()
        await response.write(b"second")
        await response.write_eof()
        return response

    async def test_start_to_first_answer(self) -> None:
        async with builders.run_fleet(2) as fleet:
            caller_daemon, backend_daemon = fleet.daemons
            await fleet.start_backend(backend_daemon, self.answer)
            await caller_daemon.wait_for_upstreams(1)
            async with fleet.client.get(caller_daemon.url + "/x") as response:
                self.assertEqual(await response.text(), "/x")
            async with fleet.client.get(
                caller_daemon.admin_url + "/metrics"
            ) as response:
                page = await response.text()
        self.assertIn("merlintrestle_running_version 1.0", page)
        self.assertIn('merlintrestle_members{state="alive"} 2.0', page)
        self.assertRegex(
            page, r'merlintrestle_requests_total\{.*outcome="answered".*\} 1.0'
        )

    async def test_same_payout_through_two_daemons(self) -> None:
        """A retry at another daemon gets the first answer without a new run."""
        async with builders.run_fleet(2) as fleet:
            for daemon in fleet.daemons:
                await fleet.start_backend(daemon, self.pay)
            for daemon in fleet.daemons:
                async with fleet.client.post(
                    daemon.url + "/payouts", headers=_KEY_HEADERS
                ) as response:
                    self.assertEqual(await response.text(), "/payouts")
        self.assertEqual(self.runs, 1)

    async def test_graceful_stop_during_a_download(self) -> None:
        """A graceful stop lets a download finish but refuses new calls.

        The daemon of the backend server is stopped during the download. It
        announces its leave, accepts no new calls, and ends after the last byte.
        """
        async with builders.run_fleet(2) as fleet:
            caller_daemon, backend_daemon = fleet.daemons
            await fleet.start_backend(backend_daemon, self.send_archive)
            await caller_daemon.wait_for_upstreams(1)
            async with fleet.client.get(
                caller_daemon.url + "/archive/1"
            ) as response:
                await self.download_started.wait()
                stop_task = asyncio.create_task(backend_daemon.stop())
                await caller_daemon.wait_for_upstreams(0)
                async with fleet.client.get(
                    caller_daemon.url + "/x"
                ) as refused:
                    outcome = refused.headers[headers.OUTCOME]
                    self.assertEqual(outcome, "not-run")
                self.assertFalse(stop_task.done())
                self.resume_download.set()
                self.assertEqual(await response.read(), b"first second")
            await stop_task

    async def test_backend_server_gets_calls_while_callers_move(self) -> None:
        """A stopping daemon still sends calls to its backend server.

        The daemon waits until its callers have moved to other daemons. Its
        backend server keeps running and can only be reached through it. If the
        daemon announced its leave at once, the backend server would be idle
        during the wait, and a rolling restart of the daemons would make several
        backend servers idle at the same time.
        """
        async with builders.run_fleet(2) as fleet:
            caller_daemon, backend_daemon = fleet.daemons
            await fleet.start_backend(backend_daemon, self.answer)
            await caller_daemon.wait_for_upstreams(1)
            backend_daemon.set_farewell_time(builders.TEST_TIMEOUT_S)
            stop_task = asyncio.create_task(backend_daemon.on_stop())
            while backend_daemon.is_ready():
                await asyncio.sleep(0)
            async with fleet.client.get(caller_daemon.url + "/x") as response:
                self.assertEqual(await response.text(), "/x")
            self.assertFalse(stop_task.done())
            stop_task.cancel()
            backend_daemon.set_farewell_time(0.0)

    async def test_start_and_end_are_logged(self) -> None:
        """The log alone shows whether a daemon was stopped or killed."""
        with self.assertLogs("merlintrestle") as logs:
            async with builders.run_fleet(2) as fleet:
                await fleet.daemons.pop().stop()
        messages = [record.getMessage() for record in logs.records]
        for event in ("daemon: started", "members: link open", "daemon: ended"):
            self.assertIn(event, messages)

    async def test_stop_of_an_idle_daemon_is_announced(self) -> None:
        """Other daemons receive the leave of a daemon without calls in flight.

        The daemon ends at once. If its links were closed before the leave was
        sent, other daemons would send calls to a closed port and treat the
        daemon as failed.
        """
        async with builders.run_fleet(3) as fleet:
            leaving_daemon = fleet.daemons.pop()
            states_by_daemon = [
                daemon.record_states(leaving_daemon) for daemon in fleet.daemons
            ]
            await leaving_daemon.stop()
            for states in states_by_daemon:
                while all(state == control_pb2.ALIVE for state in states):
                    await asyncio.sleep(0.01)
                states = [
                    state for state in states if state != control_pb2.ALIVE
                ]
                self.assertEqual(states[0], control_pb2.LEAVING)

    async def test_stop_while_the_store_hangs(self) -> None:
        """A stop ends even if calls to the store never return."""
        async with builders.run_fleet(2) as fleet:
            hanging = faults.StoreFaults(faults.Outage.HANGING)
            await fleet.store.set_faults(hanging)
            await fleet.daemons[1].stop()
            await fleet.daemons[0].stop()
            await fleet.store.set_faults(faults.StoreFaults())

    async def test_version_without_store_notification(self) -> None:
        """All daemons activate a version although the store sends no event.

        The store accepts the write but sends no watch event, as when it fails
        at that moment. The operator sees "accepted". The operator's program
        sends the version to one daemon, which distributes it; otherwise it
        would not be activated before the store recovers.
        """
        async with builders.run_fleet(2) as fleet:
            await fleet.serve_stale_data(fleet.copy_store())
            document = builders.build_document()
            document.services[0].classes[0].latency_ms += 1
            version = await fleet.accept_document(document)
            snapshot = compiler.compile_snapshot(
                version, {document.organisation: document}
            )
            receiver = fleet.daemons[0]
            await operator_fleet.push_version(
                receiver.control_address, 5.0, snapshot
            )
            for daemon in fleet.daemons:
                await daemon.wait_for_version(version)

    async def test_restart_while_the_store_answers_with_old_data(self) -> None:
        """No daemon activates an earlier version if the store has stale data.

        All daemons run version 2. The store then answers with data from before
        this version was accepted, and the daemons are restarted one after
        another at their addresses. Each daemon asks its witnesses, the daemons
        that recorded the version before it was activated.
        """
        for size in (2, 3, 4):
            async with builders.run_fleet(size) as fleet:
                stale_entries = fleet.copy_store()
                document = builders.build_document()
                document.services[0].classes[0].latency_ms += 1
                version = await fleet.accept_document(document)
                for daemon in fleet.daemons:
                    await daemon.wait_for_version(version)
                await fleet.serve_stale_data(stale_entries)
                for _ in range(size):
                    # Restarts the last daemon of the list, so that the first
                    # one is its seed, and then moves it to the front.
                    daemon = await fleet.restart_daemon(-1)
                    await daemon.wait_until_open()
                    self.assertEqual(daemon.activated_versions, [version], size)
                    fleet.daemons.insert(0, fleet.daemons.pop())

    async def test_malformed_announcement(self) -> None:
        """A malformed announcement is refused, and the daemon keeps serving.

        A task uses the address to check whether the backend server is up, and
        the service is part of messages to all daemons. A malformed value would
        crash the daemon.
        """
        valid = {"service": "kassa", "slots": 12, "state": "ready"}
        invalid = (
            *({"address": address} for address in _INVALID_ADDRESSES),
            *(
                {"address": "127.0.0.1:9000", "service": service}
                for service in ("\ud800", "kassa/../balie", "x" * 200)
            ),
        )
        async with builders.run_fleet(1) as fleet:
            daemon = fleet.daemons[0]
            for fields in invalid:
                with self.subTest(fields):
                    status = await fleet.announce(daemon, valid | fields)
                    self.assertEqual(status, 400)
            await fleet.start_backend(daemon, self.answer)
            async with fleet.client.get(daemon.url + "/x") as response:
                self.assertEqual(await response.text(), "/x")
