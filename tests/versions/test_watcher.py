"""Tests of watchers: what they cost the store, and what they refuse."""

from __future__ import annotations

import asyncio
from typing import Any
import unittest
from unittest import mock

from merlintrestle import errors
from merlintrestle.documents import compiler
from merlintrestle.members import seeds
from merlintrestle.schema import control_pb2
from merlintrestle.schema import document_pb2
from merlintrestle.versions import source
from merlintrestle.versions import watcher as watcher_lib
from tests.members import builders as member_builders
from tests.store import fakes
from tests.versions import builders
from tests.versions import simulations


class WatcherTest(unittest.IsolatedAsyncioTestCase):
    """One watcher over a fake store."""

    async def asyncSetUp(self) -> None:
        self.fleet = simulations.SimulatedFleet(2)
        self.configuration = self.fleet.configuration
        self.model = self.fleet.models[1]
        self.watcher = self.model.watcher

    async def run_watcher(self) -> None:
        task = asyncio.create_task(self.watcher.run())

        async def stop() -> None:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

        self.addAsyncCleanup(stop)

    async def test_herd_costs_the_watchers_one_read(self) -> None:
        """All daemons of a zone restart and ask their watcher for the head.

        One read after they began is proof for all of them. A read for each
        would be thousands at once, at the moment the store is weakest.
        """
        await self.configuration.accept(1, ["balie"])
        self.fleet.now += 10
        replies = [control_pb2.FloorReply() for _ in range(200)]
        await asyncio.gather(
            *(self.watcher.add_head(reply, 5000) for reply in replies)
        )
        self.assertTrue(all(reply.head_read for reply in replies))
        self.assertEqual({reply.head_version for reply in replies}, {1})
        self.assertEqual(self.configuration.reads, 1)

    async def test_choice_of_a_moment_is_no_watcher(self) -> None:
        """A daemon starts and knows only itself, so it is first of its zone.

        In a herd every daemon is for a moment. It must have been chosen for
        a while before it puts any load on the store.
        """
        table = self.model.table
        contact = self.model.contact
        contact.timing = member_builders.FAST_TIMING
        watcher = watcher_lib.Watcher(
            contact,
            self.configuration,
            self.model.hold,
            self.fleet.get_time,
        )
        self.assertIn(table.local_id, watcher.selection.get_watchers())
        self.assertFalse(watcher.selection.is_watcher())
        self.fleet.now += member_builders.FAST_TIMING.watcher_settling_time_s
        self.assertTrue(watcher.selection.is_watcher())

    async def test_herd_meets_before_it_watches(self) -> None:
        """The store is not asked by a whole fleet as if all were watchers.

        All daemons start at once and find the records of seeds empty, so each
        is the first of its zone. It names itself, and by the records written
        meanwhile it meets those that are chosen before it.
        """
        fleet = simulations.SimulatedFleet(1)
        model, store = fleet.models[1], fleet.configuration
        self.watcher = model.watcher
        met = asyncio.Event()

        async def meet(addresses: list[str]) -> None:
            for number in (11, 12):
                model.table.merge(
                    member_builders.build_member(number, link_mbps=50.0)
                )
            met.set()

        with mock.patch.object(model.contact, "contact_unknown", meet):
            await self.run_watcher()
            await asyncio.wait_for(met.wait(), builders.TEST_TIMEOUT_S)
            for _ in range(50):
                await asyncio.sleep(0)
        self.assertEqual(store.seed_writes, 1)
        self.assertEqual(store.reads, 0)
        self.assertEqual(store.watches, 0)

    async def test_seeds_that_cannot_be_written_hold_back_no_watch(
        self,
    ) -> None:
        """Versions come although the store takes no writes.

        The only daemon of its zone names itself in vain before it watches.
        """
        fleet = simulations.SimulatedFleet(1)
        model, store = fleet.models[1], fleet.configuration
        self.watcher = model.watcher
        await store.accept(1, ["balie"])
        refused = errors.StoreUnavailableError("store: refused")
        with mock.patch.object(store, "write_seeds", side_effect=refused):
            await self.run_watcher()
            await builders.wait_until(lambda: model.archive.version == 1)

    async def test_slow_store_holds_up_no_floor(self) -> None:
        """A watcher is asked for the head while the store does not answer.

        It answers without the head before the asking daemon's deadline, for
        its marks are wanted just then.
        """
        self.configuration.hang = True
        reply = control_pb2.FloorReply()
        async with asyncio.timeout(builders.TEST_TIMEOUT_S):
            await self.watcher.add_head(reply, 0)
        self.assertFalse(reply.head_read)

    async def test_version_that_does_not_compile_is_refused_whole(self) -> None:
        """A head is accepted whose documents this daemon cannot compile.

        The fleet stays at the version before, and the watch goes on: the
        next good version must still arrive.
        """
        await self.configuration.accept(1, ["balie"])
        await self.run_watcher()
        await builders.wait_until(lambda: self.model.archive.version == 1)
        self.configuration.broken.add(2)
        with self.assertLogs("merlintrestle.versions", "ERROR"):
            await self.configuration.accept(2, ["balie"])
            await builders.wait_until(lambda: 2 in self.configuration.tried)
        self.assertEqual(self.model.archive.version, 1)
        await self.configuration.accept(3, ["balie"])
        await builders.wait_until(lambda: self.model.archive.version == 3)
        self.assertEqual(self.configuration.watches, 1)

    async def test_silent_watch_is_found_out(self) -> None:
        """The connection of the watch goes silent and a version is accepted.

        No event and no error ever comes. The read of the head finds the
        version all the same.
        """
        await self.configuration.accept(1, ["balie"])
        await self.run_watcher()
        await builders.wait_until(lambda: self.model.archive.version == 1)
        self.configuration.mute = True
        await self.configuration.accept(2, ["balie"])
        self.fleet.now += 100
        await builders.wait_until(lambda: self.model.archive.version == 2)

    async def test_reads_do_not_grow_with_the_zones(self) -> None:
        """The store is asked no more often by sixteen zones than by two.

        It counts each call, and its rate grows more slowly than the fleet.
        One watcher reads as often as ever as soon as it hears of no peer.
        """
        base_s = self.watcher.get_refresh_s()
        for number in range(16):
            self.model.table.merge(
                member_builders.build_member(number + 10, zone=f"z{number}")
            )
        zones = 17
        self.assertAlmostEqual(
            self.watcher.get_refresh_s() / base_s, zones * 2 / 3
        )
        with mock.patch.object(
            self.watcher._membership, "is_isolated", return_value=True
        ):
            self.assertEqual(self.watcher.get_refresh_s(), base_s)

    async def test_watch_comes_back_after_an_outage(self) -> None:
        await self.configuration.accept(1, ["balie"])
        await self.run_watcher()
        await builders.wait_until(lambda: self.configuration.watches == 1)
        await self.configuration.fail()
        await builders.wait_until(lambda: not self.watcher.store_reachable)
        self.configuration.down = False
        with self.assertLogs("merlintrestle.versions") as logs:
            await self.configuration.accept(2, ["balie"])
            await builders.wait_until(lambda: self.model.archive.version == 2)
        self.assertIn("store reached", " ".join(logs.output))

    async def test_seeds_are_written_once_while_nothing_changes(self) -> None:
        await self.run_watcher()
        await builders.wait_until(lambda: bool(self.configuration.seeds))
        for _ in range(3):
            self.fleet.now += 100
            reads = self.configuration.reads
            await builders.wait_until(
                lambda reads=reads: self.configuration.reads > reads  # type: ignore[misc]
            )
        self.assertEqual(self.configuration.seed_writes, 1)

    async def test_store_without_a_version_is_asked_with_pauses(self) -> None:
        """Callers of a fleet that starts do not pay for reads that bring none.

        All daemons start before the first version is there, and the store
        answers at once. Asked again at once, it answered hundreds of calls a
        second over links that the first callers needed. The first version is
        still taken soon after it is there.
        """
        await self.start_directly(
            first_read_retry_delay_s=3600.0, max_watch_retry_delay_s=3600.0
        )
        await builders.wait_until(lambda: self.configuration.reads > 0)
        for _ in range(50):
            await asyncio.sleep(0)
        self.assertEqual(self.configuration.reads, 1)

    async def test_fleet_that_starts_asks_once_each(self) -> None:
        """Hundreds of daemons do not read again and again what is not there.

        The first version is written seconds after they started. Read after
        0.1 s, 0.2 s and so on until a peer was met, its absence cost each of
        them four calls of the store.
        """
        await self.start_directly(
            first_read_retry_delay_s=0.0, max_watch_retry_delay_s=3600.0
        )
        await builders.wait_until(lambda: self.configuration.reads > 0)
        for _ in range(50):
            await asyncio.sleep(0)
        self.assertEqual(self.configuration.reads, 1)

    async def test_first_version_is_taken_after_a_pause(self) -> None:
        await self.start_directly()
        await builders.wait_until(lambda: self.configuration.reads > 0)
        await self.configuration.accept(1, ["balie"])
        await builders.wait_until(lambda: self.model.archive.version == 1)

    async def start_directly(self, **timing: float) -> None:
        """Starts a watcher that reads the store before it met a peer."""
        contact = self.model.contact
        contact.timing = contact.timing._replace(**timing)
        self.watcher = watcher_lib.Watcher(
            contact,
            self.configuration,
            self.model.hold,
            self.fleet.get_time,
            directly=True,
        )
        await self.run_watcher()

    async def test_others_are_looked_for_soon_after_the_start(self) -> None:
        """Callers of a part of the fleet do not find services missing for long.

        Daemons that met only each other as all started learn of the others
        from the records of seeds. Looked at again after twenty seconds, these
        came too late; looked at for ever, they would cost a call a second.
        """
        contact = self.model.contact
        contact.timing = contact.timing._replace(
            seeds_write_interval_s=1.0, seeds_check_interval_s=20.0
        )
        self.watcher = watcher_lib.Watcher(
            contact, self.configuration, self.model.hold, self.fleet.get_time
        )
        await self.run_watcher()
        await builders.wait_until(lambda: bool(self.configuration.seeds))
        for _ in range(20):
            self.fleet.now += 2.5
            reads = self.configuration.reads
            await builders.wait_until(
                lambda reads=reads: self.configuration.reads > reads  # type: ignore[misc]
            )
        self.assertGreaterEqual(contact.searches, 3)
        self.assertLessEqual(contact.searches, 5)


class SeedsTest(unittest.IsolatedAsyncioTestCase):
    """Records by which daemons find each other."""

    async def test_records_of_all_zones_are_read_back(self) -> None:
        store: Any = fakes.FakeStore()
        one, two, three = (f"127.0.0.1:{number}" for number in (1, 2, 3))
        self.assertEqual(await seeds.write_seeds(store, "a", [one]), [])
        self.assertEqual(await seeds.write_seeds(store, "b", [two]), [one])
        again = await seeds.write_seeds(store, "a", [three])
        self.assertEqual(again, [one, two])
        self.assertEqual(await seeds.read_seeds(store), [three, two])
        writes = store.calls["put"]
        await seeds.write_seeds(store, "a", [three])
        self.assertEqual(store.calls["put"], writes)


class StoreSourceTest(unittest.IsolatedAsyncioTestCase):
    """Versions from the records in the store."""

    async def asyncSetUp(self) -> None:
        self.store = fakes.FakeStore()
        self.source = source.StoreSource(self.store)  # type: ignore[arg-type]

    async def put_head(self, version: int, digest: bytes = b"") -> None:
        document = builders.build_document(["balie"], 100 + version)
        document_digest = await builders.put_document(self.store, document)
        head = document_pb2.Head(
            version=version,
            documents={"zaanoever": document_digest},
            snapshot_digest=digest,
        )
        await builders.put_head(self.store, head)

    async def test_documents_are_read_once(self) -> None:
        await self.put_head(1)
        head = await self.source.read_head()
        first = await self.source.compile_head(head)
        calls = self.store.calls["get"]
        again = await self.source.compile_head(head)
        self.assertEqual(self.store.calls["get"], calls)
        self.assertEqual(first.digest, again.digest)

    async def test_changed_document_needs_no_read(self) -> None:
        """The store fails right after it accepted a change.

        The watch still delivered the head. With the document in it the
        version spreads; without, everyone waits for the store.
        """
        await self.put_head(1)
        await self.source.compile_head(await self.source.read_head())
        document = builders.build_document(["balie"], 200)
        head = document_pb2.Head(
            version=2,
            documents={"zaanoever": compiler.compute_document_digest(document)},
            changed=document,
        )
        self.store.down = True
        snapshot = await self.source.compile_head(head)
        self.assertEqual(snapshot.version, 2)

    async def test_another_snapshot_than_accepted_is_refused(self) -> None:
        """The daemon compiles documents to something else than was accepted.

        An operator's program of another release accepted it. Run anyway, the
        fleet would run what nobody checked.
        """
        await self.put_head(1, digest=b"another")
        head = await self.source.read_head()
        with self.assertRaises(errors.SnapshotError):
            await self.source.compile_head(head)


if __name__ == "__main__":
    unittest.main()
