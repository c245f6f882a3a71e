"""Tests of fetching from several peers."""

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
    """One daemon fetches; peers answer, fail or hang."""

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
        held = archive_lib.Archive()
        for number in range(1, version + 1):
            held.add(builders.build_snapshot(number))
        self.network.handlers[name] = {"Fetch": answer or held.answer_fetch}
        self.fetcher.note_offer(name, version)

    async def wait_for_version(self, version: int) -> None:
        await builders.wait_until(lambda: self.archive.version == version)

    async def test_slow_peer_holds_up_no_fetch(self) -> None:
        """The peer with the highest offer never answers.

        Another peer offers a version too and is asked after the hedge time;
        waiting for the first one's deadline would cost seconds.
        """

        async def hang(request: control_pb2.FetchRequest) -> None:
            await asyncio.Event().wait()

        self.add_peer("hangs", 3, hang)
        self.add_peer("quick", 2)
        await self.wait_for_version(2)

    async def test_peer_whose_parts_keep_coming_is_asked_alone(self) -> None:
        """A version takes its bytes' time over a thin link.

        Its parts keep coming for longer than the hedge time. The same version
        from a second peer would double what the link has to carry, just where
        it is full.
        """
        hedge_s = member_builders.FAST_TIMING.hedge_delay_s

        async def bring_parts(request: control_pb2.FetchRequest) -> Any:
            for _ in range(8):
                self.fetcher._note_part()
                await asyncio.sleep(hedge_s / 4)
            held = archive_lib.Archive()
            held.add(builders.build_snapshot(2))
            return held.answer_fetch(request)

        self.add_peer("slow", 2, bring_parts)
        await builders.wait_until(lambda: bool(self.network.calls))
        self.add_peer("quick", 2)
        await self.wait_for_version(2)
        called = [target for _, target, _ in self.network.calls]
        self.assertEqual(called, ["slow"])

    async def test_failing_peer_is_followed_by_the_next(self) -> None:
        self.add_peer("fails", 3)
        self.network.silent.add("fails")
        self.add_peer("quick", 2)
        await self.wait_for_version(2)

    async def test_delta_is_asked_for_before_the_whole(self) -> None:
        asked: list[bool] = []

        def answer(request: control_pb2.FetchRequest) -> Any:
            asked.append(request.whole)
            held = archive_lib.Archive()
            held.add(builders.build_snapshot(1))
            held.add(builders.build_snapshot(2))
            reply = held.answer_fetch(request)
            if reply.HasField("delta"):
                reply.delta.changed[0].value += b"x"
            return reply

        self.add_peer("corrupts", 2, answer)
        await self.wait_for_version(2)
        self.assertEqual(asked, [False, True])

    async def test_offers_that_are_no_news_cost_nothing(self) -> None:
        self.add_peer("old", 1)
        self.add_peer("new", 2)
        await self.wait_for_version(2)
        called = [target for _, target, _ in self.network.calls]
        self.assertEqual(called, ["new"])


if __name__ == "__main__":
    unittest.main()
