"""Property test of concurrent operators while the store loses answers."""

from __future__ import annotations

import asyncio
from typing import NamedTuple, TYPE_CHECKING
import unittest

import hypothesis
from hypothesis import strategies as st

from merlintrestle.documents import compiler
from merlintrestle.operators import audit_trail
from merlintrestle.operators import changes
from merlintrestle.operators import outcomes
from merlintrestle.store import records
from tests.documents import builders as document_builders
from tests.operators import builders
from tests.store import fakes

if TYPE_CHECKING:
    from merlintrestle.schema import document_pb2

_SERVICES_BY_ORGANISATION = dict(
    zip(
        document_builders.ORGANISATIONS,
        document_builders.SERVICES,
        strict=False,
    )
)
# Faults of a compare-and-swap of the head. Repeated ones are drawn more often.
# The answer is lost after the write took effect, or the write takes effect
# late: one attempt ("late"), or all attempts of the same write ("silent").
_HEAD_FAULTS = ("none", "none", "answer lost", "late", "silent")
# Faults and recoveries of the store before any call.
_CALL_FAULTS = ("none",) * 12 + ("down", "up", "up", "late ones arrive")


class Schedule(NamedTuple):
    """Faults and task switches at the calls of the store, in their order.

    Attributes:
        yields: Number of times that other tasks run before each call.
        call_faults: Fault or recovery of the store before each call.
        head_faults: Fault of each compare-and-swap of the head.
    """

    yields: list[int]
    call_faults: list[str]
    head_faults: list[str]


def _draw_valid_proposals(
    organisation: str,
) -> st.SearchStrategy[changes.Proposal]:
    """Draws proposals that are never refused, so all compete for the head."""
    rates = st.sampled_from([None, 1.0, 2.0, 3.0])
    return rates.map(lambda rate: _build_proposal(organisation, rate))


def _build_proposal(organisation: str, rate: float | None) -> changes.Proposal:
    target = document_builders.build_class(rate=rate or 0.0)
    service = document_builders.build_service(
        _SERVICES_BY_ORGANISATION[organisation], target
    )
    document = document_builders.build_document(organisation, service)
    return changes.Proposal(
        f"operator of {organisation}",
        organisation,
        document if rate else None,
    )


def _draw_any_proposals(
    organisation: str,
) -> st.SearchStrategy[changes.Proposal]:
    """Draws proposals that may be refused."""
    return document_builders.draw_documents(organisation).map(
        lambda document: changes.Proposal("any", organisation, document)
    )


def _draw_proposals() -> st.SearchStrategy[list[changes.Proposal]]:
    organisations = st.sampled_from(document_builders.ORGANISATIONS)
    valid_proposals = organisations.flatmap(_draw_valid_proposals)
    return st.lists(
        valid_proposals
        | valid_proposals
        | organisations.flatmap(_draw_any_proposals),
        min_size=1,
        max_size=4,
    )


def _draw_schedules() -> st.SearchStrategy[Schedule]:
    return st.builds(
        Schedule,
        st.lists(st.integers(0, 4), max_size=60),
        st.lists(st.sampled_from(_CALL_FAULTS), max_size=60),
        st.lists(st.sampled_from(_HEAD_FAULTS), max_size=12),
    )


class _Race:
    """Operators that use the same store concurrently.

    Attributes:
        store: The fake store, with the faults of the schedule.
        outcomes: Outcomes of all proposals that got one.
    """

    def __init__(self, schedule: Schedule):
        self.store = fakes.FakeStore()
        self.outcomes: list[outcomes.Outcome] = []
        self._yields = iter(schedule.yields)
        self._call_faults = iter(schedule.call_faults)
        self._head_faults = iter(schedule.head_faults)
        self._make_id = builders.build_change_id_source()

    async def accept_mesh_document(self) -> None:
        """Has the budget accepted, then starts the faults."""
        proposer = changes.Proposer(self.store, self._make_id, retry_delay_s=0)
        mesh = document_builders.build_mesh_document()
        self.outcomes.append(
            await proposer.propose(changes.Proposal("mesh", "mesh", mesh))
        )
        self.store.before_call = self._before_call

    async def run(
        self, proposals_by_operator: list[list[changes.Proposal]]
    ) -> None:
        """Has all operators propose, then ends the faults."""
        await asyncio.gather(
            *(
                self._propose_all(proposals)
                for proposals in proposals_by_operator
            )
        )
        self.store.before_call = None
        self.store.down = False
        self.store.lost_answers.clear()
        self.store.late_writes.clear()
        self.store.release_late_writes()

    async def _propose_all(self, proposals: list[changes.Proposal]) -> None:
        proposer = changes.Proposer(
            self.store, self._make_id, builders.build_clock(), 0
        )
        for proposal in proposals:
            try:
                self.outcomes.append(await proposer.propose(proposal))
            except changes.errors.StoreError:
                continue

    async def _before_call(self, method: str, key: str) -> None:
        fault = next(self._call_faults, "up")
        if fault in ("down", "up"):
            self.store.down = fault == "down"
        elif fault == "late ones arrive":
            self.store.release_late_writes()
        if method == "put" and key == records.HEAD_KEY:
            self._set_head_fault(next(self._head_faults, "none"))
        for _ in range(next(self._yields, 0)):
            await asyncio.sleep(0)

    def _set_head_fault(self, fault: str) -> None:
        if self.store.late_writes[records.HEAD_KEY]:
            # The previous fault still applies to this write.
            return
        lost_answers = int(fault == "answer lost")
        self.store.lost_answers[records.HEAD_KEY] = lost_answers
        # `acceptance` attempts the write of a head at most four times.
        late_writes = {"late": 1, "silent": 4}.get(fault, 0)
        self.store.late_writes[records.HEAD_KEY] = late_writes


class RaceTest(unittest.TestCase):
    @hypothesis.given(
        st.lists(_draw_proposals(), min_size=2, max_size=3), _draw_schedules()
    )
    def test_every_accepted_change_is_on_the_chain_once(
        self,
        proposals_by_operator: list[list[changes.Proposal]],
        schedule: Schedule,
    ) -> None:
        """Guards against wrong outcomes of concurrent changes.

        Operators of several organisations change targets at the same time.
        Meanwhile, answers of the store are lost, writes take effect late, and
        the store goes down. A change whose outcome is "accepted" must be on the
        chain exactly once; a change with another outcome, or whose proposal
        failed without one, must not be on it, unless the outcome is unknown.
        """
        asyncio.run(self._check(proposals_by_operator, schedule))

    async def _check(
        self,
        proposals_by_operator: list[list[changes.Proposal]],
        schedule: Schedule,
    ) -> None:
        race = _Race(schedule)
        await race.accept_mesh_document()
        await race.run(proposals_by_operator)
        head, _ = await records.read_head(race.store)
        newest_first = records.walk_chain(race.store, head, 1000)
        chain = [change async for change in newest_first][::-1]
        self._check_chain(head, chain)
        self._check_outcomes(
            race.outcomes, [change.change_id for change in chain]
        )
        await self._check_head(race.store, head, chain)
        audit = await audit_trail.read_audit(race.store, 1000)
        accepted_ids = {
            attempt.change_id
            for attempt in audit.attempts
            if attempt.outcome == audit_trail.ACCEPTED
        }
        self.assertEqual(accepted_ids, {change.change_id for change in chain})

    def _check_chain(
        self, head: document_pb2.Head, chain: list[document_pb2.Change]
    ) -> None:
        versions = [change.base_version + 1 for change in chain]
        self.assertEqual(versions, list(range(1, head.version + 1)))

    def _check_outcomes(
        self, all_outcomes: list[outcomes.Outcome], chain_ids: list[str]
    ) -> None:
        """Checks that the chain has all accepted and no refused changes."""
        accepted_versions = {
            outcome.change_id: outcome.version
            for outcome in all_outcomes
            if isinstance(outcome, outcomes.Accepted)
        }
        undecided_ids = {
            outcome.change_id
            for outcome in all_outcomes
            if isinstance(outcome, outcomes.Undecided)
        }
        for change_id, version in accepted_versions.items():
            self.assertEqual(chain_ids[version - 1], change_id)
        self.assertLessEqual({*chain_ids}, {*accepted_versions} | undecided_ids)

    async def _check_head(
        self,
        store: fakes.FakeStore,
        head: document_pb2.Head,
        chain: list[document_pb2.Change],
    ) -> None:
        """Checks that the head matches its chain and that it compiles."""
        expected_digests: dict[str, bytes] = {}
        for change in chain:
            expected_digests.pop(change.organisation, None)
            if change.action == "apply":
                expected_digests[change.organisation] = change.document_digest
        self.assertEqual(dict(head.documents), expected_digests)
        accepted_documents = await records.read_documents(store, head)
        if head.version:
            compiled = compiler.compile_snapshot(
                head.version, accepted_documents
            )
            self.assertEqual(compiled.digest, head.snapshot_digest)
