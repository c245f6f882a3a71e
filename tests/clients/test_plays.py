"""Short plays of clients that don't behave."""

from __future__ import annotations

import unittest

from tests.clients import plays
from tests.clients import stage as stages

_SECONDS = 4.0
# More than half of the ordinary calls are served, also on a busy machine. The
# plays by hand show the exact share.
_MIN_SHARE = 0.5


class PlayTest(unittest.IsolatedAsyncioTestCase):
    async def run_plays(self, *kinds: str) -> None:
        """Runs the short plays of some kinds at once, and checks the result."""
        chosen = [play for play in plays.SHORT_PLAYS if play.kind in kinds]
        async with stages.Stage() as stage:
            await stage.start()
            result = await stage.play(*chosen, seconds=_SECONDS)
        self.assertEqual(result.ended, [], result.usages)
        self.assertIsNotNone(result.recovery_s)
        self.assertEqual(result.run_refusals, set())
        for fare in result.fares:
            self.assertGreater(fare.share, _MIN_SHARE, fare.failures)

    async def test_requests_that_stop_half_way(self) -> None:
        """Guards against memory that requests which never end fill."""
        await self.run_plays("stop_in_body", "stop_in_chunks")

    async def test_headers_that_stop_half_way(self) -> None:
        """Guards against memory that parsed headers without an end fill."""
        await self.run_plays("stop_in_head", "expect_continue")

    async def test_many_short_fields(self) -> None:
        """Guards against callers who wait behind costly headers."""
        await self.run_plays("repeat_fields", "repeat_query")

    async def test_tiny_chunks(self) -> None:
        """Guards against an event loop that only parses chunks."""
        await self.run_plays("send_tiny_chunks", "send_pieces")

    async def test_requests_sent_ahead(self) -> None:
        """Guards against queued requests and answers that nobody reads."""
        await self.run_plays("send_ahead", "send_long_ahead")

    async def test_too_many_connections(self) -> None:
        """Guards against a process that has no descriptors left."""
        await self.run_plays("stay_silent", "reconnect")

    async def test_large_bodies(self) -> None:
        """Guards against bodies that fill the memory, however many."""
        await self.run_plays(
            "send_large_body",
            "send_large_chunks",
            "state_huge_body",
            "send_endless_chunks",
        )

    async def test_slow_clients(self) -> None:
        """Guards against crowds that send or read slowly."""
        await self.run_plays(
            "send_slowly", "send_body_slowly", "leave_answer_unread"
        )
