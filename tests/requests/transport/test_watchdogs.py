"""Questions to a peer about a call that gives no sign."""

from __future__ import annotations

import asyncio
from typing import Any
import unittest
from unittest import mock

from merlintrestle.requests.calls import doubts
from merlintrestle.requests.transport import connections
from merlintrestle.requests.transport import probes
from merlintrestle.requests.transport import watchdogs
from tests.requests import builders

_ADDRESS = "127.0.0.1:1"


class AskPeerTest(unittest.IsolatedAsyncioTestCase):
    """A peer answers questions as the test says."""

    def setUp(self) -> None:
        builders.hasten_doubt(self, wait_s=0.01)
        self.reported: asyncio.Queue[doubts.Doubt] = asyncio.Queue()

    async def ask(self, *views: probes.ProbeResult, hears: int = 0) -> bool:
        """Asks until all views are given; returns whether more is asked.

        Args:
            *views: What the peer says to the questions.
            hears: Count of questions during which bytes of the answer come.
        """
        connection = connections.Connection(
            asyncio.get_running_loop(), _ADDRESS
        )
        left = list(views)
        asked = 0
        more = asyncio.Event()

        async def answer(*arguments: Any) -> probes.ProbeResult:
            nonlocal asked
            if not left:
                more.set()
                await asyncio.Event().wait()
            asked += 1
            # Time passes, so that later bytes show as later.
            await asyncio.sleep(0.002)
            if asked <= hears:
                connection.heard_at = connection.get_time()
            return left.pop(0)

        with mock.patch.object(probes, "ask", answer):
            asking = asyncio.create_task(
                watchdogs.ask_peer(
                    mock.Mock(),
                    connection,
                    "call",
                    0.0,
                    lambda address, since: False,
                    self.reported.put_nowait,
                )
            )
            waiting = asyncio.create_task(more.wait())
            async with asyncio.timeout(builders.GUARD_S):
                await asyncio.wait(
                    (asking, waiting), return_when=asyncio.FIRST_COMPLETED
                )
            asking.cancel()
            waiting.cancel()
        return more.is_set()

    def list_reported(self) -> list[doubts.Doubt]:
        """Returns the doubts that were reported."""
        return [
            self.reported.get_nowait() for _ in range(self.reported.qsize())
        ]

    async def test_silent_peer_is_asked_again(self) -> None:
        """One lost question ends nothing, and the next one may be answered."""
        silent = probes.ProbeResult(False)
        self.assertTrue(
            await self.ask(silent, silent, probes.ProbeResult(True, True))
        )
        self.assertEqual(self.list_reported(), [doubts.Doubt.PEER_SILENT] * 2)

    async def test_call_that_did_not_arrive(self) -> None:
        self.assertFalse(await self.ask(probes.ProbeResult(True)))
        self.assertEqual(self.list_reported(), [doubts.Doubt.NOT_ARRIVED])

    async def test_answer_that_went_astray(self) -> None:
        ended = probes.ProbeResult(True, ended=True)
        self.assertFalse(await self.ask(ended))
        self.assertEqual(self.list_reported(), [doubts.Doubt.ANSWER_MISSING])

    async def test_answer_that_is_on_its_way(self) -> None:
        """The caller gets the answer that comes; the call runs once.

        The peer has ended the call and its answer comes piece by piece over a
        full link. Taken for lost, it would be thrown away and the call run
        again, which would fill the link still more.
        """
        ended = probes.ProbeResult(True, ended=True)
        self.assertTrue(await self.ask(ended, ended, ended, hears=3))
        self.assertEqual(self.list_reported(), [])


class RegistryTest(unittest.TestCase):
    """What a daemon says of the calls that it had."""

    def test_ended_call_is_remembered(self) -> None:
        registry = probes.CallRegistry()
        registry.add("one").written = 7
        path = probes.PATH + "one"
        self.assertEqual(registry.answer_probe(path), (200, "7"))
        registry.mark_ended("one")
        self.assertEqual(registry.answer_probe(path), (410, "7"))
        self.assertEqual(registry.answer_probe(probes.PATH + "two"), (404, ""))

    def test_memory_is_bounded(self) -> None:
        registry = probes.CallRegistry()
        with mock.patch.object(probes, "_MAX_ENDED", 2):
            for name in ("one", "two", "three"):
                registry.add(name)
                registry.mark_ended(name)
        known = [
            registry.answer_probe(probes.PATH + name)[0]
            for name in ("one", "two")
        ]
        self.assertEqual(known, [404, 410])
