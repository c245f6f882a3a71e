"""Tests for deltas and the archive."""

from __future__ import annotations

import unittest

import hypothesis
from hypothesis import strategies

from merlintrestle import errors
from merlintrestle.schema import control_pb2
from merlintrestle.schema import document_pb2
from merlintrestle.versions import active_version as active_version_lib
from merlintrestle.versions import archive as archive_lib
from merlintrestle.versions import deltas
from tests.versions import builders

SERVICES = ("balie", "kassa", "beeldarchief")
service_sets = strategies.lists(
    strategies.sampled_from(SERVICES), unique=True, min_size=1, max_size=3
)


class DeltaTest(unittest.TestCase):
    """A delta results in the accepted snapshot or in an error."""

    @hypothesis.given(service_sets, service_sets)
    def test_delta_results_in_the_target(
        self, before: list[str], after: list[str]
    ) -> None:
        base = builders.build_snapshot(1, before)
        target = builders.build_snapshot(2, after)
        result = deltas.apply_delta(base, deltas.build_delta(base, target))
        self.assertEqual(result.digest, target.digest)
        self.assertEqual(result.resources, target.resources)
        self.assertEqual(set(result.services), set(after))

    @hypothesis.given(
        service_sets,
        service_sets,
        strategies.integers(0, 10_000),
        strategies.integers(1, 255),
    )
    def test_corrupted_delta_results_in_no_other_snapshot(
        self, before: list[str], after: list[str], position: int, mask: int
    ) -> None:
        base = builders.build_snapshot(1, before)
        target = builders.build_snapshot(2, after)
        data = bytearray(deltas.build_delta(base, target).SerializeToString())
        data[position % len(data)] ^= mask
        try:
            corrupted = document_pb2.Delta.FromString(bytes(data))
        except ValueError:
            return
        except Exception as error:
            self.assertEqual(type(error).__name__, "DecodeError")
            return
        try:
            result = deltas.apply_delta(base, corrupted)
        except errors.SnapshotError:
            return
        self.assertEqual(result.digest, target.digest)

    def test_incomplete_delta_is_refused(self) -> None:
        """A delta lacks the class that a route refers to.

        If it were applied, the proxy would route to a class that it does not
        have. The digest check refuses it before anything is built from it.
        """
        base = builders.build_snapshot(1, ["balie"])
        target = builders.build_snapshot(2, ["balie", "kassa"])
        delta = deltas.build_delta(base, target)
        del delta.changed[0]
        with self.assertRaises(errors.SnapshotError):
            deltas.apply_delta(base, delta)

    def test_snapshot_that_does_not_match_its_offer_is_refused(self) -> None:
        snapshot_message = deltas.build_snapshot_message(
            builders.build_snapshot(2, ["kassa"])
        )
        digest = builders.build_snapshot(2, ["balie"]).digest
        with self.assertRaises(errors.SnapshotError):
            deltas.load_snapshot_message(snapshot_message, digest)


class ArchiveTest(unittest.TestCase):
    """The archive answers with a delta if the base is kept."""

    def setUp(self) -> None:
        self.archive = archive_lib.Archive()
        for version in range(1, 4):
            self.archive.add(builders.build_snapshot(version, SERVICES))

    def test_answers_with_a_delta_for_a_held_base(self) -> None:
        held = deltas.build_offer(builders.build_snapshot(1, SERVICES))
        reply = self.archive.answer_fetch(control_pb2.FetchRequest(held=held))
        self.assertTrue(reply.HasField("delta"))
        self.assertLess(
            reply.delta.ByteSize(),
            self.archive.answer_fetch(
                control_pb2.FetchRequest(held=held, whole=True)
            ).ByteSize(),
        )

    def test_answers_with_the_whole_snapshot_for_another_base(self) -> None:
        held = control_pb2.Offer(version=1, digest=b"another")
        reply = self.archive.answer_fetch(control_pb2.FetchRequest(held=held))
        self.assertTrue(reply.HasField("snapshot"))

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(strategies.integers(1, 6), strategies.booleans()),
            max_size=20,
        )
    )
    def test_no_order_of_arrival_downgrades(
        self, arrivals: list[tuple[int, bool]]
    ) -> None:
        """Versions arrive in any order, repeatedly, whole or as deltas."""
        accepted = {
            version: builders.build_snapshot(version) for version in range(1, 7)
        }
        archive, active_version = (
            archive_lib.Archive(),
            active_version_lib.ActiveVersion(),
        )
        for version, whole in arrivals:
            base = accepted[max(1, version - 1)]
            delta = deltas.build_delta(base, accepted[version])
            try:
                snapshot = (
                    accepted[version]
                    if whole
                    else deltas.apply_delta(archive.newest, delta)
                )
            except errors.SnapshotError:
                continue
            archive.add(snapshot)
            active_version.activate(snapshot)
            assert active_version.active_snapshot is not None
            expected = accepted[active_version.version].digest
            self.assertEqual(active_version.active_snapshot.digest, expected)
        versions = [activation.version for activation in active_version.history]
        self.assertEqual(versions, sorted(set(versions)))


if __name__ == "__main__":
    unittest.main()
