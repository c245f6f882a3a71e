"""Tests for watchers, their load on the store, seeds and sources."""

from __future__ import annotations

import asyncio
from typing import Any
import unittest
from unittest import mock

from merlintrestle import errors
from merlintrestle.documents import compiler
from merlintrestle.documents import snapshot as snapshot_lib
from merlintrestle.members import seeds
from merlintrestle.schema import control_pb2
from merlintrestle.schema import document_pb2
from merlintrestle.versions import confirmed_keys
from merlintrestle.versions import freshness as freshness_lib
from merlintrestle.versions import source
from merlintrestle.versions import watcher as watcher_lib
from tests.members import builders as member_builders
from tests.store import fakes
from tests.versions import builders
from tests.versions import simulations


class WatcherTest(unittest.IsolatedAsyncioTestCase):
    """A watcher with a fake source."""

    async def asyncSetUp(self) -> None:
        self.fleet = simulations.SimulatedFleet(2)
        self.configuration = self.fleet.configuration
        self.daemon = self.fleet.daemons[1]
        self.watcher = self.daemon.watcher

    async def run_watcher(self) -> None:
        task = asyncio.create_task(self.watcher.run())

        async def stop() -> None:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

        self.addAsyncCleanup(stop)

    async def test_mass_restart_takes_one_read(self) -> None:
        """All daemons of a zone restart and request the head from a watcher.

        One read after their start is enough for all of them. A read for each
        would be thousands at once, while the store is under the highest load.
        """
        # A pause of a busy machine must not end the read.
        self.watcher._timing = self.watcher._timing._replace(call_timeout_s=20)
        await self.configuration.accept(1, ["balie"])
        self.fleet.now += 10
        replies = [control_pb2.FloorReply() for _ in range(200)]
        await asyncio.gather(
            *(self.watcher.add_head(reply, 5000) for reply in replies)
        )
        self.assertTrue(all(reply.head_read for reply in replies))
        self.assertEqual({reply.head_version for reply in replies}, {1})
        self.assertEqual(self.configuration.reads, 1)

    async def test_newly_selected_daemon_is_no_watcher(self) -> None:
        """A daemon starts, knows only itself and so is selected for its zone.

        In a mass restart this is briefly true for every daemon. A daemon must
        have been selected for a while before it puts any load on the store.
        """
        table = self.daemon.table
        membership = self.daemon.membership
        membership.timing = member_builders.FAST_TIMING
        watcher = watcher_lib.Watcher(
            membership,
            self.configuration,
            self.daemon.add_snapshot,
            self.fleet.get_time,
        )
        self.assertIn(
            table.local_id, watcher.selection.get_local_zone_watchers()
        )
        self.assertFalse(watcher.selection.is_watcher())
        self.fleet.now += member_builders.FAST_TIMING.watcher_settling_time_s
        self.assertTrue(watcher.selection.is_watcher())

    async def test_daemons_started_at_once_connect_before_they_watch(
        self,
    ) -> None:
        """A whole fleet does not read the store as if all were watchers.

        All daemons start at once and find the seed records empty, so each is
        selected for its zone. It writes itself as a seed, and through the
        records written meanwhile it finds the daemons that precede it.
        """
        fleet = simulations.SimulatedFleet(1)
        daemon, store = fleet.daemons[1], fleet.configuration
        self.watcher = daemon.watcher
        contacted = asyncio.Event()

        async def contact_unknown(addresses: list[str]) -> None:
            for number in (11, 12):
                daemon.table.merge(
                    member_builders.build_member(number, link_mbps=50.0)
                )
            contacted.set()

        with mock.patch.object(
            daemon.membership, "contact_unknown", contact_unknown
        ):
            await self.run_watcher()
            await asyncio.wait_for(contacted.wait(), builders.TEST_TIMEOUT_S)
            for _ in range(50):
                await asyncio.sleep(0)
        self.assertEqual(store.seed_writes, 1)
        self.assertEqual(store.reads, 0)
        self.assertEqual(store.open_watches, 0)

    async def test_seeds_that_cannot_be_written_delay_no_watch(
        self,
    ) -> None:
        """Versions arrive although the store refuses writes.

        The only daemon of its zone cannot write its seed before it watches.
        """
        fleet = simulations.SimulatedFleet(1)
        daemon, store = fleet.daemons[1], fleet.configuration
        self.watcher = daemon.watcher
        await store.accept(1, ["balie"])
        refused = errors.StoreUnavailableError("store: refused")
        with mock.patch.object(store, "write_seeds", side_effect=refused):
            await self.run_watcher()
            await builders.wait_until(lambda: daemon.archive.version == 1)

    async def test_slow_store_delays_no_floor(self) -> None:
        """A watcher receives a floor request while the store does not answer.

        It answers without the head before the caller's timeout, as the caller
        also needs the versions that the watcher has recorded.
        """
        self.configuration.reads_hang = True
        reply = control_pb2.FloorReply()
        async with asyncio.timeout(builders.TEST_TIMEOUT_S):
            await self.watcher.add_head(reply, 0)
        self.assertFalse(reply.head_read)

    async def test_version_that_does_not_compile_is_refused_whole(self) -> None:
        """A head is accepted whose documents this daemon cannot compile.

        The fleet keeps the previous version, and the watch continues: the
        next valid version must still arrive.
        """
        await self.configuration.accept(1, ["balie"])
        await self.run_watcher()
        await builders.wait_until(lambda: self.daemon.archive.version == 1)
        self.configuration.broken_versions.add(2)
        with self.assertLogs("merlintrestle.versions", "ERROR"):
            await self.configuration.accept(2, ["balie"])
            await builders.wait_until(
                lambda: 2 in self.configuration.compiled_versions
            )
        self.assertEqual(self.daemon.archive.version, 1)
        await self.configuration.accept(3, ["balie"])
        await builders.wait_until(lambda: self.daemon.archive.version == 3)
        self.assertEqual(self.configuration.open_watches, 1)

    def build_proving_watcher(self) -> watcher_lib.Watcher:
        """Builds a watcher whose reads prove freshness, with a limit."""
        self.freshness = freshness_lib.Freshness(
            5.0, self.daemon.active_version
        )
        return watcher_lib.Watcher(
            self.daemon.membership,
            self.configuration,
            self.daemon.add_snapshot,
            self.fleet.get_time,
            freshness=self.freshness,
        )

    async def test_keys_of_a_refused_version_count(self) -> None:
        """Guards against a key that goes on working, and valid ones that stop.

        The version that took the key away is refused for another reason. Its
        number is the next one, or not.
        """
        for version in (2, 47):
            with self.subTest(version=version):
                await self.refuse_version(version)
                proof = self.freshness.get_newest_proof()
                assert proof is not None
                self.assertEqual(proof.version, version)
                self.assertTrue(self.freshness.is_fresh())
                found = [
                    self.freshness.find_workspace(self.active_snapshot, key)
                    for key in (b"kept", b"removed")
                ]
                self.assertEqual(
                    found, [self.workspace, confirmed_keys.NoWorkspace.UNKNOWN]
                )

    async def refuse_version(self, version: int) -> None:
        """Lets a watcher with version 1 read a version without one key."""
        self.workspace = snapshot_lib.Workspace("acme", (b"kept", b"removed"))
        self.active_snapshot = snapshot_lib.Snapshot(
            1, {}, {}, workspaces={"acme": self.workspace}
        )
        watcher = self.build_proving_watcher()
        self.daemon.active_version.activate(self.active_snapshot)
        await self.configuration.accept(1, ["balie"])
        await watcher.read_and_compile_head()
        self.configuration.broken_versions.add(version)
        self.configuration.keys[version] = confirmed_keys.KeyList(
            version, {b"kept": "acme"}
        )
        await self.configuration.accept(version, ["balie"])
        with self.assertLogs("merlintrestle.versions", "ERROR"):
            self.usable_version = await watcher.read_and_compile_head()

    async def test_refused_version_is_no_floor(self) -> None:
        """Guards against starting daemons that serve nothing.

        They would wait for a version that no daemon can use, although others
        serve the one before.
        """
        await self.refuse_version(2)
        self.assertEqual(self.usable_version, 1)

    async def test_version_that_only_this_daemon_refuses_counts(self) -> None:
        """A daemon of an earlier release cannot compile a version.

        Others run it, so this daemon must refuse the keys that it removed.
        """
        watcher = self.build_proving_watcher()
        self.configuration.broken_versions.add(2)
        await self.configuration.accept(2, ["balie"])
        with self.assertLogs("merlintrestle.versions", "ERROR"):
            await watcher.read_and_compile_head()
        proof = self.freshness.get_newest_proof()
        assert proof is not None
        self.assertEqual(proof.version, 2)

    async def test_one_read_proves_freshness_for_all_who_ask(self) -> None:
        """Hundreds of daemons ask a watcher at once.

        A read for each would exceed the rate limit of the store.
        """
        watcher = self.build_proving_watcher()
        await self.configuration.accept(1, ["balie"])
        await asyncio.gather(*(watcher.prove_freshness(0.0) for _ in range(50)))
        await watcher.prove_freshness(0.0)
        self.assertEqual(self.configuration.reads, 1)

    async def test_silent_watch_is_detected(self) -> None:
        """The connection of the watch goes silent and a version is accepted.

        No event and no error ever arrives. The read of the head finds the
        version nevertheless.
        """
        await self.configuration.accept(1, ["balie"])
        await self.run_watcher()
        await builders.wait_until(lambda: self.daemon.archive.version == 1)
        self.configuration.watches_silent = True
        await self.configuration.accept(2, ["balie"])
        self.fleet.now += 100
        await builders.wait_until(lambda: self.daemon.archive.version == 2)

    async def test_reads_do_not_grow_with_the_zones(self) -> None:
        """Seventeen zones call the store no more often than two.

        The store counts each call, and its rate limit grows more slowly than
        the fleet. A watcher that is isolated reads at the full rate.
        """
        base_s = self.watcher.get_refresh_interval_s()
        for number in range(16):
            self.daemon.table.merge(
                member_builders.build_member(number + 10, zone=f"z{number}")
            )
        # The zones of this daemon and of the 16 other members. Each has two
        # watchers, and all of them read as often as three at the full rate.
        zones = 17
        self.assertAlmostEqual(
            self.watcher.get_refresh_interval_s() / base_s, zones * 2 / 3
        )
        with mock.patch.object(
            self.watcher._membership, "is_isolated", return_value=True
        ):
            self.assertEqual(self.watcher.get_refresh_interval_s(), base_s)

    async def test_watch_resumes_after_an_outage(self) -> None:
        await self.configuration.accept(1, ["balie"])
        await self.run_watcher()
        await builders.wait_until(lambda: self.configuration.open_watches == 1)
        await self.configuration.fail()
        await builders.wait_until(lambda: not self.watcher.store_reachable)
        self.configuration.down = False
        with self.assertLogs("merlintrestle.versions") as logs:
            await self.configuration.accept(2, ["balie"])
            await builders.wait_until(lambda: self.daemon.archive.version == 2)
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

    async def test_store_without_a_version_is_read_with_delays(self) -> None:
        """Useless reads during startup do not delay callers.

        All daemons start before the first version exists, and the store
        answers at once. A store that is read again at once would answer
        hundreds of calls per second over links that the first callers need.
        """
        await self.start_without_contact(
            first_read_retry_delay_s=3600.0, max_watch_retry_delay_s=3600.0
        )
        await builders.wait_until(lambda: self.configuration.reads > 0)
        for _ in range(50):
            await asyncio.sleep(0)
        self.assertEqual(self.configuration.reads, 1)

    async def test_starting_fleet_reads_once_per_daemon(self) -> None:
        """Hundreds of daemons do not repeatedly read a head that is missing.

        The first version is written seconds after they started. A store
        without a version must be read with the long delay even if the delay
        after a failed read is short; with reads after 0.1 s, 0.2 s and so on
        until the first contact, each daemon would make four useless calls.
        """
        await self.start_without_contact(
            first_read_retry_delay_s=0.0, max_watch_retry_delay_s=3600.0
        )
        await builders.wait_until(lambda: self.configuration.reads > 0)
        for _ in range(50):
            await asyncio.sleep(0)
        self.assertEqual(self.configuration.reads, 1)

    async def test_first_version_is_read_after_a_delay(self) -> None:
        """The first version is received soon after it exists."""
        await self.start_without_contact()
        await builders.wait_until(lambda: self.configuration.reads > 0)
        await self.configuration.accept(1, ["balie"])
        await builders.wait_until(lambda: self.daemon.archive.version == 1)

    async def start_without_contact(self, **timing: float) -> None:
        """Starts a watcher that reads the store before contact with a peer."""
        membership = self.daemon.membership
        membership.timing = membership.timing._replace(**timing)
        self.watcher = watcher_lib.Watcher(
            membership,
            self.configuration,
            self.daemon.add_snapshot,
            self.fleet.get_time,
            read_before_contact=True,
        )
        await self.run_watcher()

    async def test_peers_are_searched_soon_after_startup(self) -> None:
        """A daemon that found only a few others finds the rest soon.

        Daemons that found only each other during startup find the others
        through the seed records. If these were read again only after twenty
        seconds, calls would fail until then; if they were read all the time,
        this would cost a call per second.
        """
        membership = self.daemon.membership
        membership.timing = membership.timing._replace(
            seeds_write_interval_s=1.0, seeds_check_interval_s=20.0
        )
        self.watcher = watcher_lib.Watcher(
            membership,
            self.configuration,
            self.daemon.add_snapshot,
            self.fleet.get_time,
        )
        await self.run_watcher()
        await builders.wait_until(lambda: bool(self.configuration.seeds))
        for _ in range(20):
            self.fleet.now += 2.5
            reads = self.configuration.reads
            await builders.wait_until(
                lambda reads=reads: self.configuration.reads > reads  # type: ignore[misc]
            )
        self.assertGreaterEqual(membership.seed_searches, 3)
        self.assertLessEqual(membership.seed_searches, 5)


class SeedsTest(unittest.IsolatedAsyncioTestCase):
    """Records through which daemons find each other."""

    async def test_records_of_all_zones_are_read(self) -> None:
        store: Any = fakes.FakeStore()
        first, second, third = (f"127.0.0.1:{number}" for number in (1, 2, 3))
        self.assertEqual(await seeds.write_seeds(store, "a", [first]), [])
        self.assertEqual(await seeds.write_seeds(store, "b", [second]), [first])
        previous_seeds = await seeds.write_seeds(store, "a", [third])
        self.assertEqual(previous_seeds, [first, second])
        self.assertEqual(await seeds.read_seeds(store), [third, second])
        writes = store.calls["put"]
        await seeds.write_seeds(store, "a", [third])
        self.assertEqual(store.calls["put"], writes)


class NativeSourceTest(unittest.IsolatedAsyncioTestCase):
    """Versions that are compiled from the records in the store."""

    async def asyncSetUp(self) -> None:
        self.store = fakes.FakeStore()
        self.source = source.NativeSource(self.store)  # type: ignore[arg-type]

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
        second = await self.source.compile_head(head)
        self.assertEqual(self.store.calls["get"], calls)
        self.assertEqual(first.digest, second.digest)

    async def test_changed_document_needs_no_read(self) -> None:
        """The store fails right after it accepted a change.

        The watch still delivered the head. If it contains the document, the
        version is distributed; otherwise all daemons wait for the store.
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

    async def test_snapshot_other_than_accepted_is_refused(self) -> None:
        """The daemon compiles a snapshot other than the accepted one.

        An operator's command of another release accepted it. If the snapshot
        ran anyway, the fleet would run what nobody has checked.
        """
        await self.put_head(1, digest=b"another")
        head = await self.source.read_head()
        with self.assertRaises(errors.SnapshotError):
            await self.source.compile_head(head)

    async def test_keys_of_a_version_that_does_not_compile(self) -> None:
        """Guards against removed keys that a daemon of another release serves.

        A key of two workspaces is held by neither, as nobody knows which.
        """
        workspaces = [
            document_pb2.WorkspaceTarget(name=name, key_digests=digests)
            for name, digests in (("acme", [b"a", b"b"]), ("borax", [b"b"]))
        ]
        mesh = document_pb2.Document(organisation="mesh", workspaces=workspaces)
        digest = await builders.put_document(self.store, mesh)
        head = document_pb2.Head(version=3, documents={"mesh": digest})
        self.assertEqual(
            await self.source.read_keys(head),
            confirmed_keys.KeyList(3, {b"a": "acme"}, complete=False),
        )


if __name__ == "__main__":
    unittest.main()
