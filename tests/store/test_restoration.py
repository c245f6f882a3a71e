"""Tests of heads that a store lost when it came back from a copy."""

from __future__ import annotations

import unittest

from merlintrestle.operators import changes
from merlintrestle.operators import outcomes
from merlintrestle.store import records
from merlintrestle.versions import source as sources
from tests.documents import builders as document_builders
from tests.standins import builders


class RestorationTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.standin = await builders.start_store(self)
        self.contents = self.standin.servicer.key_value_store
        self.operator = await builders.start_client(self, self.standin)
        self.source = sources.NativeSource(
            await builders.start_client(self, self.standin)
        )

    async def apply(self, class_name: str) -> int:
        """Applies a document with one class; returns the new version."""
        service = document_builders.build_service(
            "balie", document_builders.build_class(class_name)
        )
        document = document_builders.build_document("zaanoever", service)
        outcome = await changes.Proposer(
            self.operator, retry_delay_s=0
        ).propose(changes.Proposal("anna", "zaanoever", document))
        assert isinstance(outcome, outcomes.Accepted)
        return outcome.version

    async def start_versions(self) -> None:
        """Applies the document of the mesh."""
        mesh = changes.Proposal(
            "anna", "mesh", document_builders.build_mesh_document()
        )
        await changes.Proposer(self.operator, retry_delay_s=0).propose(mesh)

    async def run_newest(self) -> int:
        """Reads and compiles the head as a watcher does."""
        head = await self.source.read_head()
        return (await self.source.compile_head(head)).version

    async def test_lost_versions_are_written_again(self) -> None:
        """Guards against accepted versions that are lost with the store."""
        await self.start_versions()
        await self.apply("first")
        copy = self.contents.take_copy()
        await self.apply("second")
        self.assertEqual(await self.apply("third"), 4)
        self.assertEqual(await self.run_newest(), 4)
        self.contents.come_back(copy)
        self.assertEqual((await self.source.read_head()).version, 4)
        stored, _ = await records.read_head(self.operator)
        self.assertEqual(stored.version, 4)
        chain = [
            change.change_id
            async for change in records.walk_chain(self.operator, stored, 9)
        ]
        self.assertEqual(len(chain), 4)
        self.assertEqual(await self.apply("fourth"), 5)
        self.assertEqual(await self.run_newest(), 5)

    async def test_change_accepted_since_is_not_replaced(self) -> None:
        """Guards against the loss of a change that was accepted since."""
        await self.start_versions()
        copy = self.contents.take_copy()
        await self.apply("lost")
        self.assertEqual(await self.run_newest(), 2)
        await self.apply("lost too")
        self.assertEqual(await self.run_newest(), 3)
        self.contents.come_back(copy)
        await self.operator.get(records.HEAD_KEY)
        self.assertEqual(await self.apply("kept"), 2)
        with self.assertLogs("merlintrestle.store", "ERROR"):
            head = await self.source.read_head()
        self.assertEqual(head.version, 2)
        stored, _ = await records.read_head(self.operator)
        self.assertEqual(stored, head)
