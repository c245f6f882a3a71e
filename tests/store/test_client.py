"""Tests for the client with records, acceptance and the stand-in store."""

from __future__ import annotations

import unittest

from merlintrestle.operators import changes
from merlintrestle.operators import outcomes
from merlintrestle.schema import document_pb2
from merlintrestle.store import acceptance
from merlintrestle.store import eras
from merlintrestle.store import records
from standins import faults
from tests.documents import builders as document_builders
from tests.standins import builders as standin_builders


class ClientIntegrationTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.standin = await standin_builders.start_store(self)
        self.store = await standin_builders.start_client(self, self.standin)

    async def test_answer_lost_after_the_write_of_head(self) -> None:
        """The store writes the head and its answer is lost.

        The client does not know the outcome; a retry of the same write shows
        it.
        """
        await self.standin.set_faults(faults.StoreFaults(lose_answers=1))
        head = acceptance.build_head(document_pb2.Head(), "a", {}, b"")
        outcome = await acceptance.swap_head(self.store, head, 0, 0)
        self.assertEqual(outcome, acceptance.Accepted(1))
        stored_head, revision = await records.read_head(self.store)
        self.assertEqual(stored_head, head)
        self.assertEqual(revision, eras.qualify(1, 1))

    async def test_calls_of_one_change(self) -> None:
        """The platform counts calls; a change makes a fixed number of them."""
        proposer = changes.Proposer(self.store, retry_delay_s=0)
        mesh = changes.Proposal(
            "anna", "mesh", document_builders.build_mesh_document()
        )
        outcome = await proposer.propose(mesh)
        self.assertIsInstance(outcome, outcomes.Accepted)
        calls_before = self._get_calls()
        service = document_builders.build_service(
            "balie", document_builders.build_class()
        )
        document = document_builders.build_document("zaanoever", service)
        outcome = await proposer.propose(
            changes.Proposal("anna", "zaanoever", document)
        )
        self.assertIsInstance(outcome, outcomes.Accepted)
        calls_after = self._get_calls()
        # Reads: the head and each accepted document. Writes: the document, the
        # change and the head.
        self.assertEqual(calls_after["put"] - calls_before["put"], 3)
        self.assertEqual(calls_after["get"] - calls_before["get"], 2)

    def _get_calls(self) -> dict[str, int]:
        return dict(self.standin.servicer.call_counts)
