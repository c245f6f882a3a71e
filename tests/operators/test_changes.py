"""Tests of proposals, also while another operator proposes a change."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
import unittest

import hypothesis
from hypothesis import strategies as st

from merlintrestle.operators import audit_trail
from merlintrestle.operators import changes
from merlintrestle.operators import outcomes
from merlintrestle.store import records
from tests.documents import builders as document_builders
from tests.operators import builders
from tests.store import fakes

if TYPE_CHECKING:
    from merlintrestle.documents import snapshot as snapshots
    from merlintrestle.schema import document_pb2


def _build_document(
    organisation: str, service: str, rate: float = 100.0
) -> document_pb2.Document:
    target = document_builders.build_class(rate=rate)
    return document_builders.build_document(
        organisation, document_builders.build_service(service, target)
    )


class ProposeTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.store = fakes.FakeStore()
        self.proposer = changes.Proposer(
            self.store,
            builders.build_change_id_source(),
            builders.build_clock(),
            0,
        )
        await self._accept("mesh", document_builders.build_mesh_document())

    async def _propose(
        self,
        organisation: str,
        document: document_pb2.Document | None,
        operator: str = "anna",
        seen_version: int | None = None,
    ) -> outcomes.Outcome:
        return await self.proposer.propose(
            changes.Proposal(operator, organisation, document, seen_version)
        )

    async def _accept(
        self,
        organisation: str,
        document: document_pb2.Document | None,
        operator: str = "anna",
    ) -> None:
        outcome = await self._propose(organisation, document, operator)
        self.assertIsInstance(outcome, outcomes.Accepted, outcome)

    def _accept_before_next_swap(
        self, organisation: str, document: document_pb2.Document | None
    ) -> None:
        """Has another operator's change accepted before the next swap."""

        async def before_call(method: str, key: str) -> None:
            if method == "put" and key == records.HEAD_KEY:
                self.store.before_call = None
                await self._accept(organisation, document, "bram")

        self.store.before_call = before_call

    async def test_only_accepted_versions_are_pushed(self) -> None:
        """Guards against pushing the version of a refused change.

        A daemon runs the version that is pushed to it, so the push must wait
        for the acceptance.
        """
        pushed_versions = []

        async def push_version(snapshot: snapshots.Snapshot) -> None:
            pushed_versions.append((snapshot.version, snapshot.digest))

        self.proposer = changes.Proposer(
            self.store,
            builders.build_change_id_source(),
            retry_delay_s=0,
            push_version=push_version,
        )
        invalid_document = _build_document("zaanoever", "balie", 1)
        invalid_document.services[0].calls.append("nowhere")
        outcome = await self._propose("zaanoever", invalid_document)
        self.assertIsInstance(outcome, outcomes.Refused)
        self.assertEqual(pushed_versions, [])
        await self._accept(
            "zaanoever", _build_document("zaanoever", "balie", 1)
        )
        head, _ = await records.read_head(self.store)
        self.assertEqual(
            pushed_versions, [(head.version, head.snapshot_digest)]
        )

    async def test_lost_race_names_the_other_operator(self) -> None:
        """Guards against silently overwriting an accepted change.

        Two operators of an organisation change its document at the same time.
        The second change must not be accepted, and its operator must see what
        was changed and by whom.
        """
        await self._accept(
            "zaanoever", _build_document("zaanoever", "balie", 1)
        )
        self._accept_before_next_swap(
            "zaanoever", _build_document("zaanoever", "balie", 2)
        )
        outcome = await self._propose(
            "zaanoever", _build_document("zaanoever", "balie", 3)
        )
        assert isinstance(outcome, outcomes.LostRace), outcome
        assert outcome.by is not None
        self.assertEqual(outcome.by.operator, "bram")
        self.assertEqual(
            outcome.differences,
            ("~ services.balie.classes.lookup.rate: 1 -> 2",),
        )
        audit, _ = await audit_trail.read_audit(self.store, 10)
        self.assertEqual(
            [(attempt.operator, attempt.outcome) for attempt in audit[:2]],
            [("anna", audit_trail.LOST_RACE), ("bram", audit_trail.ACCEPTED)],
        )

    async def test_reverted_change_is_a_lost_race(self) -> None:
        """Guards against overwriting a change that was reverted.

        Another operator changes the document and reverts it. The document then
        has its old digest, so a comparison of digests would not detect this,
        and the operator would not learn that the change was reverted.
        """
        old_document = _build_document("zaanoever", "balie", 1)
        await self._accept("zaanoever", old_document)

        async def before_call(method: str, key: str) -> None:
            if method == "put" and key == records.HEAD_KEY:
                self.store.before_call = None
                new_document = _build_document("zaanoever", "balie", 2)
                await self._accept("zaanoever", new_document, "bram")
                await self._accept("zaanoever", old_document, "bram")

        self.store.before_call = before_call
        outcome = await self._propose(
            "zaanoever", _build_document("zaanoever", "balie", 3)
        )
        self.assertIsInstance(outcome, outcomes.LostRace)

    async def test_change_of_another_organisation_is_no_conflict(self) -> None:
        """Guards against a lost race between different organisations.

        Their operators change the documents at the same time. Both changes are
        accepted, one after the other.
        """
        self._accept_before_next_swap(
            "kochi", _build_document("kochi", "dwell-desk")
        )
        outcome = await self._propose(
            "zaanoever", _build_document("zaanoever", "balie")
        )
        assert isinstance(outcome, outcomes.Accepted), outcome
        self.assertEqual(outcome.version, 3)
        head, _ = await records.read_head(self.store)
        self.assertEqual(set(head.documents), {"mesh", "kochi", "zaanoever"})

    async def test_retried_change_is_validated_again(self) -> None:
        """Guards against exceeding the budget by two concurrent changes.

        Each change is within the budget, but both together exceed it. If the
        second one were not validated against the new head, both would be
        accepted, and the mesh would promise more slots than it has.
        """
        self._accept_before_next_swap(
            "kochi", _build_document("kochi", "dwell-desk", 6000)
        )
        outcome = await self._propose(
            "zaanoever", _build_document("zaanoever", "balie", 6000)
        )
        assert isinstance(outcome, outcomes.Refused), outcome
        places = [finding.place for finding in outcome.findings]
        self.assertIn("kochi: services.dwell-desk.classes.lookup", places)

    async def test_withdrawal_of_a_called_service_is_refused(
        self,
    ) -> None:
        """Guards against calls to a service that no longer exists."""
        await self._accept("kochi", _build_document("kochi", "dwell-desk"))
        caller = _build_document("zaanoever", "balie")
        caller.services[0].calls.append("dwell-desk")
        await self._accept("zaanoever", caller)
        outcome = await self._propose("kochi", None)
        assert isinstance(outcome, outcomes.Refused), outcome
        self.assertEqual(
            outcome.findings[0].place, "zaanoever: services.balie.calls"
        )

    async def test_change_after_the_seen_version_is_a_lost_race(self) -> None:
        """Guards against overwriting a version that the operator has not seen.

        The operator starts from version 2, and the document was changed since.
        The compare-and-swap alone would not detect this, as it is based on the
        newest head.
        """
        await self._accept(
            "zaanoever", _build_document("zaanoever", "balie", 1)
        )
        await self._accept("kochi", _build_document("kochi", "dwell-desk"))
        new_document = _build_document("zaanoever", "balie", 3)
        await self._accept(
            "zaanoever", _build_document("zaanoever", "balie", 2), "bram"
        )
        outcome = await self._propose("zaanoever", new_document, seen_version=2)
        assert isinstance(outcome, outcomes.LostRace), outcome
        assert outcome.by is not None
        self.assertEqual(outcome.by.operator, "bram")
        outcome = await self._propose("zaanoever", new_document, seen_version=9)
        self.assertIsInstance(outcome, outcomes.Refused)
        outcome = await self._propose("zaanoever", new_document, seen_version=4)
        self.assertIsInstance(outcome, outcomes.Accepted)

    async def test_unchanged_document_creates_no_version(self) -> None:
        """Guards against versions that change nothing.

        An operator applies the accepted document again, or withdraws a document
        that does not exist.
        """
        document = _build_document("zaanoever", "balie")
        await self._accept("zaanoever", document)
        outcome = await self._propose("zaanoever", document)
        self.assertIsInstance(outcome, outcomes.Unchanged)
        outcome = await self._propose("kochi", None)
        self.assertIsInstance(outcome, outcomes.Unchanged)

    async def test_store_that_stops_answering_at_acceptance(self) -> None:
        """Guards against a wrong outcome of a write that takes effect late.

        The store receives the write of the head, but stops answering. The audit
        trail shows "outcome unknown" for the change, and "accepted" after the
        write took effect.
        """
        # More writes than there are attempts.
        self.store.late_writes[records.HEAD_KEY] = 100
        outcome = await self._propose(
            "zaanoever", _build_document("zaanoever", "balie")
        )
        assert isinstance(outcome, outcomes.Undecided), outcome
        for expected_outcome in (
            audit_trail.UNKNOWN_OUTCOME,
            audit_trail.ACCEPTED,
        ):
            audit = await audit_trail.read_audit(self.store, 10)
            newest_attempt = audit.attempts[0]
            self.assertEqual(newest_attempt.change_id, outcome.change_id)
            self.assertEqual(newest_attempt.outcome, expected_outcome)
            self.store.release_late_writes()

    async def test_incomplete_audit_shows_right_outcomes(self) -> None:
        """Guards against accepted changes that are shown as lost races.

        If an invalid file is applied in a loop, the audit trail has more
        attempts than are read. The newest changes, at which the chain starts,
        are then missing. Here, fewer attempts are read instead.
        """
        for rate in range(1, 6):
            await self._accept(
                "zaanoever", _build_document("zaanoever", "balie", rate)
            )
        audit = await audit_trail.read_audit(self.store, 10, max_attempts=3)
        self.assertFalse(audit.is_whole)
        self.assertEqual(
            [(attempt.version, attempt.outcome) for attempt in audit.attempts],
            [(version, audit_trail.ACCEPTED) for version in (3, 2, 1)],
        )

    async def test_oversized_snapshot_is_refused(self) -> None:
        """Guards against a snapshot that daemons cannot send to each other.

        Each document is smaller than a megabyte, but the snapshot of all of
        them is too large. If it were accepted, it would never be in force. The
        operator whose change exceeds the limit gets a finding.
        """
        outcome: outcomes.Outcome | None = None
        for number, name in enumerate("abcdefgh"):
            matches = [f"GET /{'x' * 190}/{i}" for i in range(900)]
            services = [
                document_builders.build_service(
                    f"s{number}-{i}",
                    document_builders.build_class(match=matches),
                )
                for i in range(5)
            ]
            document = document_builders.build_document(name, *services)
            for service in document.services:
                service.classes[0].rate = 0
            outcome = await self._propose(name, document)
            if not isinstance(outcome, outcomes.Accepted):
                break
        assert isinstance(outcome, outcomes.Refused), outcome
        self.assertEqual(outcome.findings[0].place, "snapshot")

    @hypothesis.given(
        st.lists(
            st.sampled_from(document_builders.ORGANISATIONS).flatmap(
                document_builders.draw_documents
            ),
            max_size=6,
        )
    )
    def test_head_changes_only_if_a_change_is_accepted(
        self, proposed_documents: list[document_pb2.Document]
    ) -> None:
        """Guards against a head that does not match the outcome of a proposal.

        Operators propose valid and invalid documents. The head must change if
        the outcome is "accepted", and must stay as it is after any other.
        """
        asyncio.run(self._check_head(proposed_documents))

    async def _check_head(
        self, proposed_documents: list[document_pb2.Document]
    ) -> None:
        store = fakes.FakeStore()
        proposer = changes.Proposer(store, retry_delay_s=0)
        mesh = document_builders.build_mesh_document()
        await proposer.propose(changes.Proposal("anna", "mesh", mesh))
        for document in proposed_documents:
            head_entry = store.entries[records.HEAD_KEY]
            outcome = await proposer.propose(
                changes.Proposal("anna", document.organisation, document)
            )
            is_unchanged = store.entries[records.HEAD_KEY] == head_entry
            self.assertEqual(
                is_unchanged,
                not isinstance(outcome, outcomes.Accepted),
                outcome,
            )
