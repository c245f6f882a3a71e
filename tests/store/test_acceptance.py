"""Tests for acceptance of versions whose answers are lost or late."""

from __future__ import annotations

import unittest

from merlintrestle import errors
from merlintrestle.schema import document_pb2
from merlintrestle.store import acceptance
from merlintrestle.store import records
from tests.store import fakes


def _propose(base_head: document_pb2.Head, change_id: str) -> document_pb2.Head:
    return acceptance.build_head(base_head, change_id, {}, b"digest")


class SwapHeadTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.store = fakes.FakeStore()
        self.empty = document_pb2.Head()

    async def _swap(
        self, head: document_pb2.Head, revision: int
    ) -> acceptance.Outcome:
        return await acceptance.swap_head(self.store, head, revision, 0)

    async def _accept(self, *change_ids: str) -> document_pb2.Head:
        """Accepts changes one after another and returns the current head."""
        head, revision = await records.read_head(self.store)
        for change_id in change_ids:
            change = document_pb2.Change(
                change_id=change_id, previous_change_id=head.change_id
            )
            await records.write_change(self.store, change)
            head = _propose(head, change_id)
            outcome = await self._swap(head, revision)
            self.assertIsInstance(outcome, acceptance.Accepted)
            head, revision = await records.read_head(self.store)
        return head

    async def test_answer_lost_after_the_write(self) -> None:
        """The store accepts a change and its answer is lost.

        If this were reported as a failure, the operator would retry the change.
        The retry would conflict with the first attempt, as if that were the
        faster change of another operator.
        """
        self.store.lost_answers[records.HEAD_KEY] = 1
        outcome = await self._swap(_propose(self.empty, "a"), 0)
        self.assertEqual(outcome, acceptance.Accepted(1))
        self.assertEqual((await records.read_head(self.store))[0].version, 1)

    async def test_answer_lost_and_another_change_follows(self) -> None:
        """The answer is lost, then another operator's change is accepted.

        The head no longer contains the first change, but the chain does.
        Without the chain the first change would be reported as rejected.
        """
        first = _propose(self.empty, "a")
        self.store.lost_answers[records.HEAD_KEY] = 1
        head_writes = 0

        async def accept_second_change(method: str, key: str) -> None:
            nonlocal head_writes
            head_writes += method == "put" and key == records.HEAD_KEY
            if head_writes == 2:
                self.store.before_call = None
                await self._accept("b")

        self.store.before_call = accept_second_change
        self.assertEqual(await self._swap(first, 0), acceptance.Accepted(1))
        head, _ = await records.read_head(self.store)
        self.assertEqual((head.version, head.change_id), (2, "b"))

    async def test_write_takes_effect_late(self) -> None:
        """A write gets no answer and takes effect after the next one.

        The next one is the same write with the same expected revision, so only
        one of the two takes effect. If the next one proposed a new head, both
        could be accepted and the change would be on the chain twice.
        """
        self.store.late_writes[records.HEAD_KEY] = 1
        outcome = await self._swap(_propose(self.empty, "a"), 0)
        self.assertEqual(outcome, acceptance.Accepted(1))
        self.store.release_late_writes()
        head, _ = await records.read_head(self.store)
        self.assertEqual((head.version, list(head.earlier_change_ids)), (1, []))

    async def test_no_answer_at_all_is_undecided(self) -> None:
        """The store receives the write and then no longer answers.

        The change takes effect although its operator gets no answer; to report
        "refused" or "accepted" would be a guess.
        """
        self.store.late_writes[records.HEAD_KEY] = 100
        outcome = await self._swap(_propose(self.empty, "a"), 0)
        self.assertIsInstance(outcome, acceptance.Undecided)
        self.store.release_late_writes()
        head, _ = await records.read_head(self.store)
        self.assertEqual(head.change_id, "a")

    async def test_conflict_returns_the_current_head(self) -> None:
        current_head = await self._accept("a")
        outcome = await self._swap(_propose(self.empty, "b"), 0)
        self.assertIsInstance(outcome, acceptance.Conflict)
        assert isinstance(outcome, acceptance.Conflict)
        self.assertEqual(outcome.head, current_head)

    async def test_chain_goes_further_back_than_head(self) -> None:
        """An operator is paused while many more versions are accepted.

        The head contains only the last ids. The older ones are found through
        the change records, so the operator's own change is still found.
        """
        ids = [f"{i:03d}" for i in range(records.MAX_EARLIER_IDS + 9)]
        head = await self._accept(*ids)
        self.assertEqual(len(head.earlier_change_ids), records.MAX_EARLIER_IDS)
        for version, change_id in enumerate(ids, start=1):
            found_id = await records.find_accepted_id(self.store, head, version)
            self.assertEqual(found_id, change_id)


class RecordsTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.store = fakes.FakeStore()

    async def test_corrupted_document(self) -> None:
        """The bytes of a document do not match its digest.

        A daemon that ran them would apply targets that nobody accepted.
        """
        document = document_pb2.Document(organisation="zaanoever")
        digest = await records.write_document(self.store, document)
        stored_document = await records.read_document(self.store, digest)
        self.assertEqual(stored_document, document)
        key = records.DOCUMENT_PREFIX + digest.hex()
        revision = self.store.entries[key].revision
        await self.store.put(key, b"\x0a\x01x", revision)
        with self.assertRaises(errors.CorruptRecordError):
            await records.read_document(self.store, digest)

    async def test_missing_document(self) -> None:
        with self.assertRaises(errors.CorruptRecordError):
            await records.read_document(self.store, b"x")

    async def test_writing_a_document_again_is_harmless(self) -> None:
        document = document_pb2.Document(organisation="zaanoever")
        digest = await records.write_document(self.store, document)
        key = records.DOCUMENT_PREFIX + digest.hex()
        self.store.lost_answers[key] = 2
        second_digest = await records.write_document(self.store, document)
        self.assertEqual(second_digest, digest)

    async def test_changes_are_listed_over_pages(self) -> None:
        for i in range(450):
            change = document_pb2.Change(change_id=f"{i:012d}-x")
            await records.write_change(self.store, change)
        listed = records.list_changes(self.store, f"{10:012d}")
        change_ids = [change.change_id async for change in listed]
        self.assertEqual(change_ids, [f"{i:012d}-x" for i in range(10, 450)])
