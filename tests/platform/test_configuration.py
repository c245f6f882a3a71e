"""Tests of the operators' configuration."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
import unittest
from unittest import mock

from merlintrestle import errors
from merlintrestle.platform import configuration
from merlintrestle.platform import store as stores
from merlintrestle.versions import deltas
from merlintrestle.versions import known_revision
from tests.platform import builders
from tests.platform import fleets

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from merlintrestle.schema import document_pb2


class ResourcesTest(unittest.TestCase):
    def test_the_longest_prefix_comes_first(self):
        snapshot = builders.load_configuration(
            builders.build_configuration(
                1,
                builders.build_route("a", prefix="/x/"),
                builders.build_route("b", prefix="/x/y/"),
            )
        )
        prefixes = [route.prefix for route in snapshot.hosts["desk.example"]]
        self.assertEqual(prefixes, ["/x/y/", "/x/"])

    def test_a_kind_says_what_may_be_repeated(self):
        expected = {
            "idempotent": True,
            "download": True,
            "non_idempotent": False,
        }
        for kind, repeatable in expected.items():
            with self.subTest(kind=kind):
                route = builders.build_route("a", kind=kind, priority=0)
                snapshot = builders.load_configuration(
                    builders.build_configuration(1, route)
                )
                plan = snapshot.hosts["desk.example"][0].plan
                self.assertEqual(plan.repeatable, repeatable)
                # Each has a latency target, so none is judged by progress.
                self.assertFalse(plan.large)
                self.assertEqual(plan.importance, 5)
                self.assertEqual(plan.max_attempts, 2)

    def test_a_split_has_its_weights(self):
        parts = [
            {"service": "balie", "weight": 90},
            {"service": "kassa", "weight": 10},
        ]
        route = builders.build_route("a", service=None, split=parts)
        snapshot = builders.load_configuration(
            builders.build_configuration(1, route)
        )
        found = snapshot.hosts["desk.example"][0].parts
        self.assertEqual(
            [tuple(part) for part in found], [("balie", 90), ("kassa", 10)]
        )

    def test_a_route_to_an_unknown_service_refuses_the_whole(self):
        """No caller meets a route that leads nowhere.

        A configuration names a service that it does not have. Taken in part
        it would serve the rest and drop one route; it is refused whole, and
        what ran before goes on.
        """
        value = builders.build_configuration(
            1, builders.build_route("a", service="gone")
        )
        with self.assertRaises(errors.SnapshotError):
            builders.load_configuration(value)

    def test_malformed_values_are_named(self):
        for change in (
            {"timeoutMs": "soon"},
            {"kind": "perhaps"},
            {"host": None},
            {"priority": -1},
        ):
            with self.subTest(change=change):
                route = builders.build_route("a", **change)
                value = builders.build_configuration(1, route)
                with self.assertRaises(errors.SnapshotError) as caught:
                    builders.load_configuration(value)
                self.assertIn(next(iter(change)), str(caught.exception))

    def test_a_delta_carries_one_changed_route(self):
        before = builders.load_configuration(
            builders.build_configuration(
                1, builders.build_route("a"), builders.build_route("b")
            )
        )
        after = builders.load_configuration(
            builders.build_configuration(
                2,
                builders.build_route("a"),
                builders.build_route("b", timeoutMs=500),
            ),
            2,
            before,
        )
        delta = deltas.make_delta(before, after)
        self.assertEqual([one.name for one in delta.changed], ["route/b"])
        applied = deltas.apply_delta(before, delta)
        self.assertEqual(applied.hosts, after.hosts)


class SourceTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.standin, self.store = await builders.start_store(self)
        self.source = configuration.ConfigurationSource(self.store)

    async def test_versions_come_in_uneven_steps(self):
        await self.write(builders.build_configuration(5))
        versions = []
        async for head in self.source.watch_head():
            snapshot = await self.source.compile_head(head)
            versions.append(snapshot.version)
            if len(versions) == 2:
                break
            await self.write(builders.build_configuration(12))
        self.assertEqual(versions, [5, 12])

    async def write(self, value: bytes) -> None:
        """Writes a configuration as the operators do."""
        await self.standin.write(stores.CONFIGURATION_KEY, value)

    async def read(self) -> int:
        async with asyncio.timeout(fleets.TEST_TIMEOUT_S):
            return (await self.source.read_head()).version

    def count_sent(self) -> int:
        """Returns the bytes that the store has sent so far."""
        return sum(self.standin.sent.values())

    async def test_reads_cost_no_value_while_nothing_changed(self):
        """Calls on a thin link do not wait behind reads that bring no news.

        Watchers ask every second whether the configuration changed. Each read
        brought the whole of it, half a second of a link of 0.4 MB/s, and the
        calls on that link missed their deadlines.
        """
        value = builders.build_large_configuration(5)
        await self.write(value)
        await self.read()
        before = self.count_sent()
        for _ in range(10):
            self.assertEqual(await self.read(), 5)
        self.assertLess(self.count_sent() - before, len(value) / 10)

    async def test_the_write_of_another_key_costs_one_value(self):
        """Another writer's keys move the store's revision as well.

        Only the value shows that the configuration is not what moved it. It
        is read once, not with each read from then on.
        """
        value = builders.build_large_configuration(5)
        await self.write(value)
        await self.read()
        await self.standin.write("foreign/key", b"x")
        before = self.count_sent()
        for _ in range(10):
            self.assertEqual(await self.read(), 5)
        self.assertLess(self.count_sent() - before, 2 * len(value))

    async def test_ten_writes_of_other_keys_cost_one_value(self):
        """Another writer does not fill the links of the watchers.

        It writes between any two reads, so each finds the revision moved.
        With a value for each, calls on a thin link waited behind them for
        good, also where a watch was open and would have brought a change.
        """
        value = builders.build_large_configuration(5)
        await self.write(value)
        await self.read()
        for watched in (False, True):
            with self.subTest(watched=watched):
                if watched:
                    await self.open_watch()
                before = self.count_sent()
                await self.write_others(10)
                self.assertLess(self.count_sent() - before, 2 * len(value))

    async def open_watch(self) -> asyncio.Future[document_pb2.Head]:
        """Opens a watch; returns what it brings after what stands there."""
        # Forgotten, it would end as soon as it has brought a version.
        self.heads = self.source.watch_head()
        await anext(self.heads)
        return await self.wait_for_watch(self.heads)

    async def wait_for_watch(
        self, heads: AsyncIterator[document_pb2.Head]
    ) -> asyncio.Future[document_pb2.Head]:
        """Asks for the next version until the store has the watch."""
        waiting = asyncio.ensure_future(anext(heads))
        self.addCleanup(waiting.cancel)
        while "watch" not in self.standin.calls:
            await asyncio.sleep(0)
        return waiting

    async def write_others(self, count: int) -> None:
        """Writes another key and reads the head, again and again."""
        for number in range(count):
            await self.standin.write(f"foreign/{number}", b"x")
            self.assertEqual(await self.read(), 5)

    async def write_unheard(self) -> None:
        """Writes version 6, of which no history tells, as others write too."""
        await self.write(builders.build_configuration(5))
        await self.read()
        await self.write_others(2)
        self.standin.faults.deaf = True
        await self.write(builders.build_configuration(6))

    async def test_a_change_among_writes_of_other_keys_is_read(self):
        """A version is in force although others write beside the operators.

        The reads before found other keys moved alone, so this one asks the
        history first. It names the change.
        """
        await self.write(builders.build_large_configuration(5))
        await self.read()
        await self.write_others(2)
        value = builders.build_large_configuration(6)
        before = self.count_sent()
        await self.write(value)
        await self.standin.write("foreign/key", b"x")
        self.assertEqual(await self.read(), 6)
        self.assertLess(self.count_sent() - before, 2 * len(value))

    async def test_a_change_that_the_history_dropped_is_read(self):
        """A version is in force although nothing ever told of it.

        Others write, so the history is asked. It hears nothing, and then is
        dropped together with the change: the next question is refused.
        """
        await self.write_unheard()
        await self.read()
        await self.standin.compact()
        self.standin.faults.deaf = False
        self.assertEqual(await self.read(), 6)

    async def test_a_history_that_stays_deaf_is_made_up_for(self):
        """A version is in force although the history is never dropped.

        Others write, so the history is asked, and names no change for good.
        What rests on it ends a while after the last read of the value.
        """
        await self.write_unheard()
        with mock.patch.object(known_revision, "_HISTORY_QUERY_PERIOD_S", 0.0):
            self.assertEqual(await self.read(), 6)

    async def test_a_watch_that_hears_nothing_is_made_up_for(self):
        """A version is in force in time though the watch is deaf.

        The store tells watches of no change for a while before it drops its
        history. The read sees that the revision moved, waits for the watch
        for a moment and then reads for itself.
        """
        await self.write(builders.build_configuration(5))
        heads = self.source.watch_head()
        self.assertEqual((await anext(heads)).version, 5)
        waiting = asyncio.ensure_future(anext(heads))
        self.addCleanup(waiting.cancel)
        self.standin.faults.deaf = True
        await self.write(builders.build_configuration(6))
        self.assertEqual(await self.read(), 6)

    async def test_what_a_watch_brings_is_not_read_as_well(self):
        """A change travels once over the link of a watcher, not twice.

        The read learns of the change while the watch is bringing it.
        """
        await self.write(builders.build_large_configuration(5))
        waiting = await self.open_watch()
        value = builders.build_large_configuration(6)
        before = self.count_sent()
        await self.write(value)
        self.assertEqual(await self.read(), 6)
        self.assertEqual((await waiting).version, 6)
        self.assertLess(self.count_sent() - before, 2 * len(value))

    async def test_what_a_watch_is_bringing_is_waited_for(self):
        """A change travels once, however long its bytes take.

        The link is thin, so the answer of the watch has begun to arrive and
        has not ended when the read has waited its moment.
        """
        await self.write(builders.build_large_configuration(5))
        waiting = await self.open_watch()
        self.standin.faults.pause_s = 0.1
        value = builders.build_large_configuration(6)
        before = self.count_sent()
        await self.write(value)
        with mock.patch.object(known_revision, "_MAX_WATCH_WAIT_S", 0.1):
            self.assertEqual(await self.read(), 6)
        self.assertEqual((await waiting).version, 6)
        self.assertLess(self.count_sent() - before, 2 * len(value))

    async def test_a_watch_that_starts_again_reads_no_value(self):
        """A watch that was cut costs no value while nothing changed.

        With one, a link that is too full for a read in time stayed full: each
        read that was given up was followed by the next at once.
        """
        await self.write(builders.build_large_configuration(5))
        await self.read()
        before = self.standin.sent["range"]
        heads = self.source.watch_head()
        self.assertEqual((await anext(heads)).version, 5)
        waiting = await self.wait_for_watch(heads)
        waiting.cancel()
        self.assertLess(self.standin.sent["range"] - before, 1000)

    async def test_a_malformed_record_is_an_error_and_not_a_version(self):
        await self.write(b"{}")
        with self.assertRaises(errors.SnapshotError):
            await self.source.read_head()
