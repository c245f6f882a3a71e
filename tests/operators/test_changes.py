"""Tests of proposing changes while another operator does so too."""

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
from tests.documents import builders as documents
from tests.operators import builders
from tests.store import fakes

if TYPE_CHECKING:
    from merlintrestle.documents import snapshot as snapshots
    from merlintrestle.schema import document_pb2


def _build(
    organisation: str, service: str, rate: float = 100.0
) -> document_pb2.Document:
    target = documents.build_class(rate=rate)
    return documents.build_document(
        organisation, documents.build_service(service, target)
    )


class ProposeTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.store = fakes.FakeStore()
        self.proposer = changes.Proposer(
            self.store, builders.build_make_id(), builders.build_clock(), 0
        )
        await self._accept("mesh", documents.build_mesh_document())

    async def _propose(
        self,
        organisation: str,
        document: document_pb2.Document | None,
        operator: str = "anna",
        base: int | None = None,
    ) -> outcomes.Outcome:
        return await self.proposer.propose(
            changes.Proposal(operator, organisation, document, base)
        )

    async def _accept(
        self,
        organisation: str,
        document: document_pb2.Document | None,
        operator: str = "anna",
    ) -> None:
        outcome = await self._propose(organisation, document, operator)
        self.assertIsInstance(outcome, outcomes.Accepted, outcome)

    def _before_next_swap(
        self, organisation: str, document: document_pb2.Document | None
    ) -> None:
        """Lets another operator's change be accepted just before a swap."""

        async def race(method: str, key: str) -> None:
            if method == "put" and key == records.HEAD_KEY:
                self.store.before_call = None
                await self._accept(organisation, document, "bram")

        self.store.before_call = race

    async def test_only_what_was_accepted_is_handed_over(self) -> None:
        """A daemon runs what it is handed, so no refused change may be."""
        handed = []

        async def push_version(snapshot: snapshots.Snapshot) -> None:
            handed.append((snapshot.version, snapshot.digest))

        self.proposer = changes.Proposer(
            self.store,
            builders.build_make_id(),
            retry_delay_s=0,
            push_version=push_version,
        )
        dangling = _build("zaanoever", "balie", 1)
        dangling.services[0].calls.append("nowhere")
        refused = await self._propose("zaanoever", dangling)
        self.assertIsInstance(refused, outcomes.Refused)
        self.assertEqual(handed, [])
        await self._accept("zaanoever", _build("zaanoever", "balie", 1))
        head, _ = await records.read_head(self.store)
        self.assertEqual(handed, [(head.version, head.snapshot_digest)])

    async def test_same_organisation_loser_is_told_by_whom(self) -> None:
        """Two operators of one organisation change its document at once.

        If the second write went through, the first operator's accepted
        targets would be gone without a word. The loser is told what changed
        under him and by whom, and nothing of his is in force.
        """
        await self._accept("zaanoever", _build("zaanoever", "balie", 1))
        self._before_next_swap("zaanoever", _build("zaanoever", "balie", 2))
        outcome = await self._propose(
            "zaanoever", _build("zaanoever", "balie", 3)
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
            [(one.operator, one.outcome) for one in audit[:2]],
            [("anna", audit_trail.LOST_RACE), ("bram", audit_trail.ACCEPTED)],
        )

    async def test_change_that_was_undone_is_still_told(self) -> None:
        """Another operator changes the document and changes it back.

        Its digest is the old one, so a comparison of digests would miss it,
        and the other's reason for going back would be overwritten.
        """
        old = _build("zaanoever", "balie", 1)
        await self._accept("zaanoever", old)

        async def race(method: str, key: str) -> None:
            if method == "put" and key == records.HEAD_KEY:
                self.store.before_call = None
                other = _build("zaanoever", "balie", 2)
                await self._accept("zaanoever", other, "bram")
                await self._accept("zaanoever", old, "bram")

        self.store.before_call = race
        outcome = await self._propose(
            "zaanoever", _build("zaanoever", "balie", 3)
        )
        self.assertIsInstance(outcome, outcomes.LostRace)

    async def test_other_organisation_is_rebased(self) -> None:
        """Operators of two organisations change their documents at once.

        They do not conflict, so both are accepted, one after the other.
        """
        self._before_next_swap("kochi", _build("kochi", "dwell-desk"))
        outcome = await self._propose("zaanoever", _build("zaanoever", "balie"))
        assert isinstance(outcome, outcomes.Accepted), outcome
        self.assertEqual(outcome.version, 3)
        head, _ = await records.read_head(self.store)
        self.assertEqual(set(head.documents), {"mesh", "kochi", "zaanoever"})

    async def test_rebased_change_is_checked_again(self) -> None:
        """Each of two changes fits the budget alone, together they do not.

        Without the second check both would be accepted, and the mesh would
        promise more slots than it has.
        """
        self._before_next_swap("kochi", _build("kochi", "dwell-desk", 6000))
        outcome = await self._propose(
            "zaanoever", _build("zaanoever", "balie", 6000)
        )
        assert isinstance(outcome, outcomes.Refused), outcome
        places = [finding.place for finding in outcome.findings]
        self.assertIn("kochi: services.dwell-desk.classes.lookup", places)

    async def test_withdrawal_that_leaves_a_dangling_call_is_refused(
        self,
    ) -> None:
        """An organisation withdraws a service that another one calls."""
        await self._accept("kochi", _build("kochi", "dwell-desk"))
        caller = _build("zaanoever", "balie")
        caller.services[0].calls.append("dwell-desk")
        await self._accept("zaanoever", caller)
        outcome = await self._propose("kochi", None)
        assert isinstance(outcome, outcomes.Refused), outcome
        self.assertEqual(
            outcome.findings[0].place, "zaanoever: services.balie.calls"
        )

    async def test_change_after_the_base_version_is_a_lost_race(self) -> None:
        """An operator edits what he saw at version 2; 3 came meanwhile.

        The compare-and-swap alone would let him overwrite version 3, which
        he never saw.
        """
        await self._accept("zaanoever", _build("zaanoever", "balie", 1))
        await self._accept("kochi", _build("kochi", "dwell-desk"))
        new = _build("zaanoever", "balie", 3)
        await self._accept("zaanoever", _build("zaanoever", "balie", 2), "bram")
        outcome = await self._propose("zaanoever", new, base=2)
        assert isinstance(outcome, outcomes.LostRace), outcome
        assert outcome.by is not None
        self.assertEqual(outcome.by.operator, "bram")
        outcome = await self._propose("zaanoever", new, base=9)
        self.assertIsInstance(outcome, outcomes.Refused)
        outcome = await self._propose("zaanoever", new, base=4)
        self.assertIsInstance(outcome, outcomes.Accepted)

    async def test_same_document_again_makes_no_version(self) -> None:
        document = _build("zaanoever", "balie")
        await self._accept("zaanoever", document)
        outcome = await self._propose("zaanoever", document)
        self.assertIsInstance(outcome, outcomes.Unchanged)
        outcome = await self._propose("kochi", None)
        self.assertIsInstance(outcome, outcomes.Unchanged)

    async def test_store_that_goes_silent_at_acceptance(self) -> None:
        """The store takes the write of head and answers nothing more.

        The audit first says "outcome unknown"; when the write has taken
        effect it says "accepted", by the same change id.
        """
        self.store.late_writes[records.HEAD_KEY] = 100
        outcome = await self._propose("zaanoever", _build("zaanoever", "balie"))
        assert isinstance(outcome, outcomes.Undecided), outcome
        for expected in (audit_trail.UNKNOWN, audit_trail.ACCEPTED):
            audit = await audit_trail.read_audit(self.store, 10)
            newest = audit.attempts[0]
            self.assertEqual(newest.change_id, outcome.change_id)
            self.assertEqual(newest.outcome, expected)
            self.store.release_late_writes()

    async def test_audit_that_is_cut_off_is_still_right(self) -> None:
        """Somebody applies a bad file in a loop; the trail gets too long.

        The listing then lacks the newest changes, from which the chain
        begins. Accepted changes must not be called lost.
        """
        for rate in range(1, 6):
            await self._accept("zaanoever", _build("zaanoever", "balie", rate))
        audit = await audit_trail.read_audit(self.store, 10, max_attempts=3)
        self.assertFalse(audit.is_whole)
        self.assertEqual(
            [(one.version, one.outcome) for one in audit.attempts],
            [(version, audit_trail.ACCEPTED) for version in (3, 2, 1)],
        )

    async def test_too_large_snapshot_is_refused(self) -> None:
        """Documents of less than a megabyte are too large together.

        A snapshot that daemons cannot send each other would be accepted and
        never be in force; the operator who goes over the bound is told.
        """
        outcome: outcomes.Outcome | None = None
        for number, name in enumerate("abcdefgh"):
            matches = [f"GET /{'x' * 190}/{i}" for i in range(900)]
            services = [
                documents.build_service(
                    f"s{number}-{i}", documents.build_class(match=matches)
                )
                for i in range(5)
            ]
            document = documents.build_document(name, *services)
            for service in document.services:
                service.classes[0].rate = 0
            outcome = await self._propose(name, document)
            if not isinstance(outcome, outcomes.Accepted):
                break
        assert isinstance(outcome, outcomes.Refused), outcome
        self.assertEqual(outcome.findings[0].place, "snapshot")

    @hypothesis.given(
        st.lists(
            st.sampled_from(documents.ORGANISATIONS).flatmap(
                documents.draw_documents
            ),
            max_size=6,
        )
    )
    def test_refused_change_leaves_head_as_it_was(
        self, drawn: list[document_pb2.Document]
    ) -> None:
        asyncio.run(self._check_refusals(drawn))

    async def _check_refusals(self, drawn: list[document_pb2.Document]) -> None:
        store = fakes.FakeStore()
        proposer = changes.Proposer(store, retry_delay_s=0)
        mesh = documents.build_mesh_document()
        await proposer.propose(changes.Proposal("anna", "mesh", mesh))
        for document in drawn:
            before = store.entries[records.HEAD_KEY]
            outcome = await proposer.propose(
                changes.Proposal("anna", document.organisation, document)
            )
            same = store.entries[records.HEAD_KEY] == before
            self.assertEqual(
                same, not isinstance(outcome, outcomes.Accepted), outcome
            )
