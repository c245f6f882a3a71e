"""Tests of probes of a peer about a call that is not answered."""

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


class ProbePeerTest(unittest.IsolatedAsyncioTestCase):
    """Probes of a call, with results that the test sets."""

    def setUp(self) -> None:
        builders.shorten_probe_delays(self, wait_s=0.01)
        self.reported: asyncio.Queue[doubts.Doubt] = asyncio.Queue()

    async def probe(
        self, *results: probes.ProbeResult, receiving: int = 0
    ) -> bool:
        """Probes until all results are used.

        Args:
            *results: Results of the probes.
            receiving: Number of probes, from the first one on, during which
                bytes of the answer arrive.

        Returns:
            Whether the call is probed once more after that.
        """
        connection = connections.Connection(
            asyncio.get_running_loop(), _ADDRESS
        )
        remaining = list(results)
        probed = 0
        probed_again = asyncio.Event()

        async def answer(*arguments: Any) -> probes.ProbeResult:
            nonlocal probed
            if not remaining:
                probed_again.set()
                await asyncio.Event().wait()
            probed += 1
            # Time passes, so that bytes are received after the probe was sent.
            await asyncio.sleep(0.002)
            if probed <= receiving:
                connection.last_received_at = connection.get_time()
            return remaining.pop(0)

        with mock.patch.object(probes, "send_probe", answer):
            probing = asyncio.create_task(
                watchdogs.probe_peer(
                    mock.Mock(),
                    connection,
                    "call",
                    0.0,
                    lambda address, since: False,
                    self.reported.put_nowait,
                )
            )
            waiting = asyncio.create_task(probed_again.wait())
            async with asyncio.timeout(builders.TEST_TIMEOUT_S):
                await asyncio.wait(
                    (probing, waiting), return_when=asyncio.FIRST_COMPLETED
                )
            probing.cancel()
            waiting.cancel()
        return probed_again.is_set()

    def list_reported(self) -> list[doubts.Doubt]:
        """Returns the doubts that were reported."""
        return [
            self.reported.get_nowait() for _ in range(self.reported.qsize())
        ]

    async def test_silent_peer_is_probed_again(self) -> None:
        """Probing continues after a lost probe: the next may be answered."""
        silent = probes.ProbeResult(False)
        self.assertTrue(
            await self.probe(silent, silent, probes.ProbeResult(True, True))
        )
        self.assertEqual(self.list_reported(), [doubts.Doubt.PEER_SILENT] * 2)

    async def test_call_that_did_not_arrive(self) -> None:
        """The doubt is reported once; another attempt can then be made."""
        self.assertFalse(await self.probe(probes.ProbeResult(True)))
        self.assertEqual(self.list_reported(), [doubts.Doubt.NOT_ARRIVED])

    async def test_lost_answer(self) -> None:
        """The peer has sent the answer, and nothing of it has arrived."""
        ended = probes.ProbeResult(True, ended=True)
        self.assertFalse(await self.probe(ended))
        self.assertEqual(self.list_reported(), [doubts.Doubt.ANSWER_MISSING])

    async def test_answer_in_transit(self) -> None:
        """An answer that is still arriving is not reported as missing.

        The call has ended at the peer, and its answer arrives slowly over a
        congested link. If it were considered lost, it would be discarded and
        the call would run again, which would load the link even more.
        """
        ended = probes.ProbeResult(True, ended=True)
        self.assertTrue(await self.probe(ended, ended, ended, receiving=3))
        self.assertEqual(self.list_reported(), [])


class CallRegistryTest(unittest.TestCase):
    """Answers to probes about calls of a daemon."""

    def test_ended_call_is_known(self) -> None:
        registry = probes.CallRegistry()
        registry.add("one").written = 7
        path = probes.PATH + "one"
        self.assertEqual(registry.answer_probe(path), (200, "7"))
        registry.mark_ended("one")
        self.assertEqual(registry.answer_probe(path), (410, "7"))
        self.assertEqual(registry.answer_probe(probes.PATH + "two"), (404, ""))

    def test_number_of_ended_calls_is_limited(self) -> None:
        registry = probes.CallRegistry()
        with mock.patch.object(probes, "_MAX_ENDED", 2):
            for call_id in ("one", "two", "three"):
                registry.add(call_id)
                registry.mark_ended(call_id)
        statuses = [
            registry.answer_probe(probes.PATH + call_id)[0]
            for call_id in ("one", "two")
        ]
        self.assertEqual(statuses, [404, 410])
