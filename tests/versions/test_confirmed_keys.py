"""Tests for `merlintrestle.versions.confirmed_keys` and their spread."""

from __future__ import annotations

import unittest
from unittest import mock

from merlintrestle import errors
from merlintrestle.documents import snapshot as snapshots
from merlintrestle.schema import control_pb2
from merlintrestle.versions import active_version
from merlintrestle.versions import confirmed_keys
from tests.versions import freshness_fleets

_UNKNOWN = confirmed_keys.NoWorkspace.UNKNOWN
_UNDECIDED = confirmed_keys.NoWorkspace.UNDECIDED
_KEPT, _REMOVED, _MOVED, _ADDED, _OTHER = (
    bytes([number]) * 32 for number in range(5)
)
_ACME = snapshots.Workspace("acme", (_KEPT, _REMOVED, _MOVED))
_BORAX = snapshots.Workspace("borax", ())


def _build_snapshot(version: int) -> snapshots.Snapshot:
    return snapshots.Snapshot(
        version, {}, {}, workspaces={"acme": _ACME, "borax": _BORAX}
    )


class ConfirmedKeysTest(unittest.TestCase):
    def setUp(self) -> None:
        self.active_version = active_version.ActiveVersion()
        self.active_version.activate(_build_snapshot(7))
        self.keys = confirmed_keys.ConfirmedKeys(self.active_version)
        self.newer = confirmed_keys.KeyList(
            47,
            {_KEPT: "acme", _MOVED: "borax", _ADDED: "new"},
        )

    def find(self, digest: bytes) -> object:
        """Returns the workspace of a key in the active version."""
        snapshot = self.active_version.active_snapshot
        assert snapshot is not None
        return self.keys.find_workspace(snapshot, digest)

    def test_keys_follow_the_confirmed_version(self) -> None:
        """Guards against removed keys that work, and valid ones that don't."""
        self.keys.learn(self.newer)
        self.assertEqual(self.find(_KEPT), _ACME)
        self.assertEqual(self.find(_REMOVED), _UNKNOWN)
        self.assertEqual(self.find(_MOVED), _BORAX)
        self.assertEqual(self.find(_ADDED), _UNDECIDED)
        self.assertEqual(self.find(_OTHER), _UNKNOWN)
        self.assertEqual(self.keys.get_version(), 47)

    def test_keys_that_could_not_be_read_are_not_refused_for_good(self) -> None:
        """Guards against 401 for a key that the confirmed version holds."""
        self.keys.learn(self.newer._replace(complete=False))
        self.assertEqual(self.find(_KEPT), _ACME)
        self.assertEqual(self.find(_REMOVED), _UNDECIDED)

    def test_a_version_without_keys_takes_none_away(self) -> None:
        """Guards against refusals for a version that serves everybody."""
        self.keys.learn(confirmed_keys.KeyList(47, {}, required=False))
        self.assertEqual(self.find(_REMOVED), _ACME)

    def test_a_later_version_ends_the_list(self) -> None:
        """Guards against keys of an old version that replace current ones."""
        self.keys.learn(self.newer)
        self.active_version.activate(_build_snapshot(48))
        self.assertEqual(self.find(_REMOVED), _ACME)
        self.assertIsNone(self.keys.get())

    def test_an_earlier_list_changes_nothing(self) -> None:
        """Guards against a late message that brings a removed key back."""
        self.keys.learn(self.newer)
        self.keys.learn(confirmed_keys.KeyList(46, {_REMOVED: "acme"}))
        self.assertEqual(self.find(_REMOVED), _UNKNOWN)

    def test_messages_keep_the_list(self) -> None:
        """Guards against keys that are lost between two daemons."""
        for keys in (
            self.newer,
            self.newer._replace(complete=False),
            confirmed_keys.KeyList(3, {}, required=False),
        ):
            with self.subTest(keys=keys):
                message = confirmed_keys.encode_keys(keys)
                self.assertEqual(confirmed_keys.decode_keys(message), keys)

    def test_malformed_messages_are_refused(self) -> None:
        """Guards against keys that another daemon never meant."""
        acme = control_pb2.KeyHolder(workspace="acme", key_digests=[_KEPT])
        for message in (
            control_pb2.KeyList(holders=[acme]),
            control_pb2.KeyList(version=3, holders=[acme, acme]),
            control_pb2.KeyList(
                version=3, holders=[control_pb2.KeyHolder(key_digests=[_KEPT])]
            ),
            control_pb2.KeyList(
                version=3,
                holders=[
                    control_pb2.KeyHolder(workspace="a", key_digests=[b"x"])
                ],
            ),
        ):
            with (
                self.subTest(message=message),
                self.assertRaises(errors.SnapshotError),
            ):
                confirmed_keys.decode_keys(message)
            self.keys.learn_message("127.0.0.1:1", message)
        self.assertIsNone(self.keys.get())
        with (
            mock.patch.object(confirmed_keys, "_MAX_KEYS", 0),
            self.assertRaises(errors.SnapshotError),
        ):
            confirmed_keys.decode_keys(
                control_pb2.KeyList(version=3, holders=[acme])
            )


class SpreadTest(unittest.TestCase):
    """Daemons that poll, in virtual time."""

    def play(self, broken_at: str) -> None:
        """Confirms version 47, which some daemons cannot use.

        Args:
            broken_at: "all" or "one" that does not watch the store.
        """

        async def scenario() -> None:
            fleet = freshness_fleets.Fleet()
            await fleet.start()
            watchers = fleet.list_watchers()
            (odd, *_) = (d for d in fleet.daemons if d not in watchers)
            snapshot = freshness_fleets.build_snapshot(1)
            for daemon in fleet.daemons:
                # A daemon that can use the version gets it from a peer.
                await daemon.store.accept(47, ["balie"])
                if broken_at == "all" or daemon is odd:
                    daemon.store.broken_versions.add(47)
                    daemon.store.keys[47] = confirmed_keys.KeyList(47, {})
                else:
                    daemon.active_version.activate(
                        freshness_fleets.build_snapshot(47)
                    )
            await fleet.watch_ages(freshness_fleets.LIMIT_S - 1.0)
            for daemon in fleet.daemons:
                if daemon.active_version.version == 1:
                    self.assertEqual(
                        daemon.freshness.find_workspace(snapshot, b"digest"),
                        _UNKNOWN,
                    )
            reads = len(fleet.read_times)
            highest = await fleet.watch_ages(10.0)
            self.assertLess(highest, freshness_fleets.LIMIT_S - 0.1)
            reads = len(fleet.read_times) - reads
            self.assertLessEqual(reads / 10 / len(watchers), 1.3)
            await fleet.close()

        with self.assertLogs("merlintrestle.versions", "WARNING"):
            freshness_fleets.run(7, scenario)

    def test_all_daemons_apply_the_keys_of_a_refused_version(self) -> None:
        """Guards against daemons that don't read the store themselves."""
        self.play("all")

    def test_one_daemon_that_cannot_use_a_version_applies_its_keys(
        self,
    ) -> None:
        """Guards against the one daemon of an earlier release."""
        self.play("one")


if __name__ == "__main__":
    unittest.main()
