"""Tests for fetching from several peers."""

from __future__ import annotations

import asyncio
from typing import Any, TYPE_CHECKING
import unittest

from merlintrestle.versions import archive as archive_lib
from merlintrestle.versions import fetcher
from tests.members import builders as member_builders
from tests.versions import builders

if TYPE_CHECKING:
    from merlintrestle.schema import control_pb2


class FetcherTest(unittest.IsolatedAsyncioTestCase):
    """A daemon fetches from peers that answer, fail or hang."""

    async def asyncSetUp(self) -> None:
        self.network = member_builders.FakeNetwork()
        self.archive = archive_lib.Archive()
        self.archive.add(builders.build_snapshot(1))
        self.fetcher = fetcher.Fetcher(
            self.archive,
            member_builders.FakePeerClient(self.network, "own"),
            member_builders.FAST_TIMING._replace(fetch_timeout_s=3600.0),
            self.archive.add,
        )
        task = asyncio.create_task(self.fetcher.run())

        async def stop() -> None:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

        self.addAsyncCleanup(stop)

    def add_peer(self, name: str, version: int, answer: Any = None) -> None:
        """Adds a peer that holds a version and offers it."""
        archive = archive_lib.Archive()
        for number in range(1, version + 1):
            archive.add(builders.build_snapshot(number))
        self.network.handlers[name] = {"Fetch": answer or archive.answer_fetch}
        self.fetcher.add_offer(name, version)

    async def wait_for_version(self, version: int) -> None:
        await builders.wait_until(lambda: self.archive.version == version)

    async def test_slow_peer_delays_no_fetch(self) -> None:
        """The peer with the highest offer never answers.

        Another peer also offers a version and is called after the hedge delay;
        waiting for the timeout of the first call would take seconds.
        """

        async def hang(request: control_pb2.FetchRequest) -> None:
            await asyncio.Event().wait()

        self.add_peer("hangs", 3, hang)
        self.add_peer("quick", 2)
        await self.wait_for_version(2)

    async def test_peer_whose_parts_keep_arriving_is_not_hedged(self) -> None:
        """The transfer of a version over a slow link takes long.

        Its parts keep arriving for longer than the hedge delay. Fetching the
        same version from a second peer would double the load on a link that
        is already full.
        """
        hedge_s = member_builders.FAST_TIMING.hedge_delay_s

        async def send_parts(request: control_pb2.FetchRequest) -> Any:
            for _ in range(8):
                self.fetcher._record_part()
                await asyncio.sleep(hedge_s / 4)
            archive = archive_lib.Archive()
            archive.add(builders.build_snapshot(2))
            return archive.answer_fetch(request)

        self.add_peer("slow", 2, send_parts)
        await builders.wait_until(lambda: bool(self.network.calls))
        self.add_peer("quick", 2)
        await self.wait_for_version(2)
        called_peers = [peer for _, peer, _ in self.network.calls]
        self.assertEqual(called_peers, ["slow"])

    async def test_failing_peer_is_followed_by_the_next(self) -> None:
        self.add_peer("fails", 3)
        self.network.silent.add("fails")
        self.add_peer("quick", 2)
        await self.wait_for_version(2)

    async def test_delta_is_requested_before_the_whole_snapshot(self) -> None:
        requested_whole: list[bool] = []

        def answer(request: control_pb2.FetchRequest) -> Any:
            requested_whole.append(request.whole)
            archive = archive_lib.Archive()
            archive.add(builders.build_snapshot(1))
            archive.add(builders.build_snapshot(2))
            reply = archive.answer_fetch(request)
            if reply.HasField("delta"):
                reply.delta.changed[0].value += b"x"
            return reply

        self.add_peer("corrupts", 2, answer)
        await self.wait_for_version(2)
        self.assertEqual(requested_whole, [False, True])

    async def test_offers_that_are_not_newer_are_not_fetched(self) -> None:
        self.add_peer("old", 1)
        self.add_peer("new", 2)
        await self.wait_for_version(2)
        called_peers = [peer for _, peer, _ in self.network.calls]
        self.assertEqual(called_peers, ["new"])


if __name__ == "__main__":
    unittest.main()
