"""Tests of what reads of the platform's store prove, and of whole daemons."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from merlintrestle import clocks
from merlintrestle import errors
from merlintrestle.members import peers
from merlintrestle.platform import configuration
from merlintrestle.platform import service
from merlintrestle.platform import settings
from merlintrestle.platform import store as stores
from merlintrestle.schema import control_pb2
from merlintrestle.versions import freshness
from merlintrestle.versions import record_source
from tests.platform import builders
from tests.platform import fleets

_BOUNDS = builders.SETTINGS["bounds"]


class SettingsTest(unittest.TestCase):
    def test_the_limit_holds_only_where_it_is_strict(self) -> None:
        """Guards against refusals where nobody asked for the limit."""
        for bounds, expected_s in {
            "revokeStrict=true,revokeMs=4000": 4.0,
            "revokeStrict=false,revokeMs=4000": 0.0,
            "revokeMs=4000": 0.0,
            "": 0.0,
        }.items():
            with self.subTest(bounds=bounds):
                text = builders.build_settings_text(
                    bounds=f"{_BOUNDS},{bounds}"
                )
                daemon_settings = service.build_daemon_settings(
                    settings.parse_settings(text)
                )
                self.assertEqual(daemon_settings.revocation_limit_s, expected_s)

    def test_a_malformed_flag_is_a_finding(self) -> None:
        """Guards against a limit that is off because of a misspelling."""
        text = builders.build_settings_text(bounds=f"{_BOUNDS},revokeStrict=1")
        with self.assertRaises(errors.InvalidInputError):
            settings.parse_settings(text)


class ProofTest(unittest.IsolatedAsyncioTestCase):
    """What each way to read the head proves."""

    async def asyncSetUp(self) -> None:
        self.standin, self.store = await builders.start_store(self)
        self.source = configuration.PlatformSource(self.store)
        await self.configure(5)
        await self.source.read_head()

    async def configure(self, version: int) -> None:
        await self.standin.write(
            stores.CONFIGURATION_KEY, builders.build_configuration(version)
        )

    async def read(self) -> tuple[int, float]:
        """Returns the proven version, and its time since the read began."""
        started_at = clocks.get_boot_time()
        await self.source.read_head()
        proof = self.source.head_proof
        assert proof is not None
        return proof.version, proof.time - started_at

    async def test_an_unchanged_revision(self) -> None:
        version, time_s = await self.read()
        self.assertEqual(version, 5)
        self.assertTrue(0 <= time_s < 0.1)

    async def test_a_slow_answer_counts_from_the_request(self) -> None:
        """Guards against a proof of the time at which the answer arrives."""
        await self.configure(6)
        self.standin.faults.chunk_delay_s = 0.1
        version, time_s = await self.read()
        self.assertEqual(version, 6)
        self.assertLess(time_s, 0.1)

    async def test_the_history_proves_only_an_earlier_time(self) -> None:
        """Guards against a change that the history omits for a second."""
        for number in range(2):
            await self.standin.write(f"foreign/{number}", b"x")
            version, time_s = await self.read()
        self.assertEqual(version, 5)
        self.assertLess(time_s, -record_source._HISTORY_BLIND_S + 0.1)

    async def test_a_wait_for_the_watch_counts_from_the_request(self) -> None:
        """Guards against a proof of the time at which an event arrives."""
        heads = self.source.watch_head()
        await anext(heads)
        proof = self.source.head_proof
        next_head = asyncio.ensure_future(anext(heads))
        self.addCleanup(next_head.cancel)
        while "watch" not in self.standin.call_counts:
            await asyncio.sleep(0)
        await self.configure(6)
        await next_head
        # The event itself proves nothing.
        self.assertEqual(self.source.head_proof, proof)
        self.assertEqual((await self.read())[0], 6)

    async def test_an_older_copy_does_not_look_like_the_head(self) -> None:
        """Guards against an older version that counts as the newest.

        The head stays at version 6, so that it goes on running.
        """
        copy = self.standin.take_copy()
        await self.configure(6)
        self.assertEqual((await self.read())[0], 6)
        await self.standin.come_back(copy)
        for _ in range(3):
            self.assertEqual((await self.read())[0], 5)
        await self.configure(6)
        self.assertEqual((await self.read())[0], 6)

    async def test_a_read_that_fails_proves_nothing(self) -> None:
        proof = self.source.head_proof
        await self.standin.close()
        with self.assertRaises(errors.StoreError):
            await self.source.read_head()
        self.assertEqual(self.source.head_proof, proof)


class DaemonTest(unittest.IsolatedAsyncioTestCase):
    """Whole daemons with a limit of 5 s."""

    async def asyncSetUp(self) -> None:
        # Any version needs proofs, as if it had workspaces.
        self.enterContext(
            mock.patch.object(
                freshness.Freshness,
                "is_required",
                lambda self: self.limit_s > 0 and self.has_version(),
            )
        )
        self.fleet = fleets.Fleet()
        self.addAsyncCleanup(self.fleet.aclose)
        build_settings = builders.build_settings
        with mock.patch.object(
            builders,
            "build_settings",
            lambda **changes: build_settings(revocation_limit_s=5.0, **changes),
        ):
            await self.fleet.start("balie", "balie", "balie", "kassa")

    async def test_daemons_stay_fresh_through_others(self) -> None:
        """Guards against daemons that do not ask, or whose answers are lost."""
        self.assertTrue(
            all(daemon.freshness.is_fresh() for daemon in self.fleet.daemons)
        )
        await asyncio.sleep(3.0)
        for daemon in self.fleet.daemons:
            self.assertLess(daemon.freshness.get_age(), 2.2)

    async def test_status_tells_of_a_stale_daemon(self) -> None:
        """Guards against refusals that operators cannot explain."""
        await self.fleet.store.close()
        daemon = self.fleet.daemons[0]
        async with asyncio.timeout(fleets.TEST_TIMEOUT_S):
            while daemon.freshness.is_fresh():
                await asyncio.sleep(0.1)
        client = peers.PeerClient()
        self.addAsyncCleanup(client.close)
        reply = await client.call(
            daemon._table.local_id, "Status", control_pb2.StatusRequest(), 2.0
        )
        self.assertTrue(reply.stale)
        self.assertGreater(reply.freshness_age_ms, 4800)
