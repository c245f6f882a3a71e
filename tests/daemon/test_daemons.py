"""Whole daemons: from the start to the first answer, stops, payouts."""

from __future__ import annotations

import asyncio
import unittest

from aiohttp import web

from merlintrestle.documents import compiler
from merlintrestle.operators import fleet as operators
from merlintrestle.requests.transport import headers
from merlintrestle.schema import control_pb2
from standins import faults
from tests.daemon import builders

_BAD_ADDRESSES = (
    "localhost",
    "localhost:80",
    "127.0.0.1:99999",
    "127.0.0.1:0",
    "[::1]:x",
    "a\0b:80",
)
_KEY = {headers.IDEMPOTENCY_KEY: "ticket-7"}


class DaemonsTest(unittest.IsolatedAsyncioTestCase):
    """Daemons in one process over loopback, with the store stand-in."""

    def setUp(self) -> None:
        self.begun = asyncio.Event()
        self.go_on = asyncio.Event()
        self.runs = 0

    async def answer(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answers with its path."""
        await request.read()
        return web.Response(text=request.path)

    async def pay(self, request: web.BaseRequest) -> web.StreamResponse:
        """Books a payout."""
        self.runs += 1
        return await self.answer(request)

    async def send_archive(
        self, request: web.BaseRequest
    ) -> web.StreamResponse:
        """Sends half a download, and the rest when the test lets it."""
        response = web.StreamResponse()
        await response.prepare(request)
        await response.write(b"first ")
        self.begun.set()
        await self.go_on.wait()
        await response.write(b"second")
        await response.write_eof()
        return response

    async def test_start_to_first_answer(self) -> None:
        async with builders.run_fleet(2) as fleet:
            near, far = fleet.daemons
            await fleet.start_backend(far, self.answer)
            await near.wait_for_upstreams(1)
            async with fleet.client.get(near.url + "/x") as answer:
                self.assertEqual(await answer.text(), "/x")
            async with fleet.client.get(near.admin_url + "/metrics") as answer:
                page = await answer.text()
        self.assertIn("merlintrestle_running_version 1.0", page)
        self.assertIn('merlintrestle_members{state="alive"} 2.0', page)
        self.assertRegex(
            page, r'merlintrestle_requests_total\{.*outcome="answered".*\} 1.0'
        )

    async def test_same_payout_through_two_daemons(self) -> None:
        """The second sending gets the answer of the first; it runs once."""
        async with builders.run_fleet(2) as fleet:
            for daemon in fleet.daemons:
                await fleet.start_backend(daemon, self.pay)
            for daemon in fleet.daemons:
                async with fleet.client.post(
                    daemon.url + "/payouts", headers=_KEY
                ) as answer:
                    self.assertEqual(await answer.text(), "/payouts")
        self.assertEqual(self.runs, 1)

    async def test_planned_stop_during_a_download(self) -> None:
        """The clerk gets the whole bundle; later requests go elsewhere.

        The daemon beside the backend server is stopped half-way. It announces
        that it leaves, takes nothing new, and ends after the last byte.
        """
        async with builders.run_fleet(2) as fleet:
            near, far = fleet.daemons
            await fleet.start_backend(far, self.send_archive)
            await near.wait_for_upstreams(1)
            async with fleet.client.get(near.url + "/archive/1") as answer:
                await self.begun.wait()
                stopping = asyncio.create_task(far.stop())
                await near.wait_for_upstreams(0)
                async with fleet.client.get(near.url + "/x") as refused:
                    outcome = refused.headers[headers.OUTCOME]
                    self.assertEqual(outcome, "not-run")
                self.assertFalse(stopping.done())
                self.go_on.set()
                self.assertEqual(await answer.read(), b"first second")
            await stopping

    async def test_backend_server_works_on_while_callers_move(self) -> None:
        """Callers of other daemons are still served by its backend server.

        A daemon is stopped and waits until its own callers have moved. The
        backend server beside it runs on and is reached through it alone:
        withdrawn at once, it would be idle all the while, and a fleet whose
        daemons are replaced in turn would lack several of them.
        """
        async with builders.run_fleet(2) as fleet:
            near, far = fleet.daemons
            await fleet.start_backend(far, self.answer)
            await near.wait_for_upstreams(1)
            far.set_farewell(builders.TEST_TIMEOUT_S)
            stopping = asyncio.create_task(far.on_stop())
            while far.is_ready():
                await asyncio.sleep(0)
            async with fleet.client.get(near.url + "/x") as answer:
                self.assertEqual(await answer.text(), "/x")
            self.assertFalse(stopping.done())
            stopping.cancel()
            far.set_farewell(0.0)

    async def test_log_tells_when_a_daemon_started_and_ended(self) -> None:
        """An engineer tells a planned end from a kill by the log alone."""
        with self.assertLogs("merlintrestle") as logs:
            async with builders.run_fleet(2) as fleet:
                await fleet.daemons.pop().stop()
        told = [record.getMessage() for record in logs.records]
        for event in ("daemon: started", "members: link open", "daemon: ended"):
            self.assertIn(event, told)

    async def test_stop_of_an_idle_daemon_is_announced(self) -> None:
        """Others are told that it leaves, and need not find it dead.

        Nothing is in flight, so the daemon ends at once. Were its links cut
        before they carried the news, others would call a port that is closed
        and hold the daemon for failed.
        """
        async with builders.run_fleet(3) as fleet:
            leaving = fleet.daemons.pop()
            told = [daemon.record_states(leaving) for daemon in fleet.daemons]
            await leaving.stop()
            for states in told:
                while all(state == control_pb2.ALIVE for state in states):
                    await asyncio.sleep(0.01)
                states = [one for one in states if one != control_pb2.ALIVE]
                self.assertEqual(states[0], control_pb2.LEAVING)

    async def test_stop_while_the_store_hangs(self) -> None:
        """The stop ends although no call to the store ever does."""
        async with builders.run_fleet(2) as fleet:
            hanging = faults.StoreFaults(faults.Outage.HANGING)
            await fleet.store.set_faults(hanging)
            await fleet.daemons[1].stop()
            await fleet.daemons[0].stop()
            await fleet.store.set_faults(faults.StoreFaults())

    async def test_version_that_the_store_tells_nobody(self) -> None:
        """The operator is told "accepted"; every daemon runs the version.

        The store took the write and tells no watcher, as when it fails at
        that moment. The operator's program has the version and hands it to
        one daemon, which spreads it; else it would wait for the store.
        """
        async with builders.run_fleet(2) as fleet:
            await fleet.answer_from(fleet.copy_store())
            document = builders.build_document()
            document.services[0].classes[0].latency_ms += 1
            version = await fleet.accept(document)
            snapshot = compiler.compile_snapshot(
                version, {document.organisation: document}
            )
            first = fleet.daemons[0]
            await operators.hand_over(first.control_address, 5.0, snapshot)
            for daemon in fleet.daemons:
                await daemon.wait_for_version(version)

    async def test_restart_while_the_store_answers_from_the_past(self) -> None:
        """No daemon goes back, whatever the store says.

        Version 2 runs everywhere. The store is restored and answers reads
        from before it was accepted, just when one daemon after the other is
        replaced at its address. Each learns from its witnesses what ran.
        """
        for size in (2, 3, 4):
            async with builders.run_fleet(size) as fleet:
                past = fleet.copy_store()
                document = builders.build_document()
                document.services[0].classes[0].latency_ms += 1
                version = await fleet.accept(document)
                for daemon in fleet.daemons:
                    await daemon.wait_for_version(version)
                await fleet.answer_from(past)
                for _ in range(size):
                    # The last one, which has others as seeds.
                    daemon = await fleet.restart_daemon(-1)
                    await daemon.wait_until_open()
                    self.assertEqual(daemon.taken, [version], size)
                    fleet.daemons.insert(0, fleet.daemons.pop())

    async def test_announcement_that_makes_no_sense(self) -> None:
        """The announcement is refused; the daemon goes on serving.

        The address of a backend server is used by a task that looks whether
        it is up, and its service goes into messages to all daemons. One that
        cannot be read there would end the whole daemon.
        """
        good = {"service": "kassa", "slots": 12, "state": "ready"}
        bad = (
            *({"address": address} for address in _BAD_ADDRESSES),
            *(
                {"address": "127.0.0.1:9000", "service": service}
                for service in ("\ud800", "kassa/../balie", "x" * 200)
            ),
        )
        async with builders.run_fleet(1) as fleet:
            daemon = fleet.daemons[0]
            for fields in bad:
                with self.subTest(fields):
                    status = await fleet.announce(daemon, good | fields)
                    self.assertEqual(status, 400)
            await fleet.start_backend(daemon, self.answer)
            async with fleet.client.get(daemon.url + "/x") as answer:
                self.assertEqual(await answer.text(), "/x")
