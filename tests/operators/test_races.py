"""Property: operators race while the store loses answers."""

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
from tests.documents import builders as documents
from tests.operators import builders
from tests.store import fakes

if TYPE_CHECKING:
    from merlintrestle.schema import document_pb2

_SERVICE_OF = dict(
    zip(documents.ORGANISATIONS, documents.SERVICES, strict=False)
)
_HEAD_FAULTS = ("none", "none", "answer lost", "late", "silent")
_CALL_FAULTS = ("none",) * 12 + ("down", "up", "up", "late ones arrive")


class Schedule(NamedTuple):
    """What happens to the calls of the store, in their order.

    Attributes:
        yields: How often others get their turn before a call.
        call_faults: What happens to the store before a call.
        head_faults: What happens to a compare-and-swap of head.
    """

    yields: list[int]
    call_faults: list[str]
    head_faults: list[str]


def _draw_fitting(organisation: str) -> st.SearchStrategy[changes.Proposal]:
    """Draws proposals that are never refused, so that all race for head."""
    rates = st.sampled_from([None, 1.0, 2.0, 3.0])
    return rates.map(lambda rate: _build_proposal(organisation, rate))


def _build_proposal(organisation: str, rate: float | None) -> changes.Proposal:
    target = documents.build_class(rate=rate or 0.0)
    service = documents.build_service(_SERVICE_OF[organisation], target)
    document = documents.build_document(organisation, service)
    return changes.Proposal(
        f"operator of {organisation}",
        organisation,
        document if rate else None,
    )


def _draw_any(organisation: str) -> st.SearchStrategy[changes.Proposal]:
    """Draws proposals that may be refused."""
    return documents.draw_documents(organisation).map(
        lambda document: changes.Proposal("any", organisation, document)
    )


def _draw_proposals() -> st.SearchStrategy[list[changes.Proposal]]:
    names = st.sampled_from(documents.ORGANISATIONS)
    fitting = names.flatmap(_draw_fitting)
    return st.lists(
        fitting | fitting | names.flatmap(_draw_any), min_size=1, max_size=4
    )


def _draw_schedules() -> st.SearchStrategy[Schedule]:
    return st.builds(
        Schedule,
        st.lists(st.integers(0, 4), max_size=60),
        st.lists(st.sampled_from(_CALL_FAULTS), max_size=60),
        st.lists(st.sampled_from(_HEAD_FAULTS), max_size=12),
    )


class _Race:
    """Several operators over one store, in a drawn order of calls."""

    def __init__(self, schedule: Schedule):
        self.store = fakes.FakeStore()
        self.outcomes: list[outcomes.Outcome] = []
        self._yields = iter(schedule.yields)
        self._call_faults = iter(schedule.call_faults)
        self._head_faults = iter(schedule.head_faults)
        self._make_id = builders.build_make_id()

    async def start_mesh(self) -> None:
        proposer = changes.Proposer(self.store, self._make_id, retry_delay_s=0)
        mesh = documents.build_mesh_document()
        self.outcomes.append(
            await proposer.propose(changes.Proposal("mesh", "mesh", mesh))
        )
        self.store.before_call = self._before_call

    async def run(self, operators: list[list[changes.Proposal]]) -> None:
        await asyncio.gather(*(self._operate(one) for one in operators))
        self.store.before_call = None
        self.store.down = False
        self.store.lost_answers.clear()
        self.store.late_writes.clear()
        self.store.release_late_writes()

    async def _operate(self, proposals: list[changes.Proposal]) -> None:
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
            return
        lost = int(fault == "answer lost")
        self.store.lost_answers[records.HEAD_KEY] = lost
        late = {"late": 1, "silent": 4}.get(fault, 0)
        self.store.late_writes[records.HEAD_KEY] = late


class RaceTest(unittest.TestCase):
    @hypothesis.given(
        st.lists(_draw_proposals(), min_size=2, max_size=3), _draw_schedules()
    )
    def test_every_accepted_change_is_on_the_chain_once(
        self, operators: list[list[changes.Proposal]], schedule: Schedule
    ) -> None:
        """Operators of some organisations change targets at the same time.

        Answers of the store are lost, writes take effect late, and it goes
        down in between. An operator who was told "accepted" must find the
        change on the chain once; one who was told otherwise must not.
        """
        asyncio.run(self._check(operators, schedule))

    async def _check(
        self, operators: list[list[changes.Proposal]], schedule: Schedule
    ) -> None:
        race = _Race(schedule)
        await race.start_mesh()
        await race.run(operators)
        head, _ = await records.read_head(race.store)
        walk = records.walk_chain(race.store, head, 1000)
        chain = [change async for change in walk][::-1]
        self._check_chain(head, chain)
        self._check_told(race.outcomes, [one.change_id for one in chain])
        await self._check_head(race.store, head, chain)
        audit = await audit_trail.read_audit(race.store, 1000)
        audited = {
            one.change_id
            for one in audit.attempts
            if one.outcome == audit_trail.ACCEPTED
        }
        self.assertEqual(audited, {one.change_id for one in chain})

    def _check_chain(
        self, head: document_pb2.Head, chain: list[document_pb2.Change]
    ) -> None:
        versions = [change.base_version + 1 for change in chain]
        self.assertEqual(versions, list(range(1, head.version + 1)))

    def _check_told(
        self, told: list[outcomes.Outcome], chain: list[str]
    ) -> None:
        accepted = {
            one.change_id: one.version
            for one in told
            if isinstance(one, outcomes.Accepted)
        }
        undecided = {
            one.change_id for one in told if isinstance(one, outcomes.Undecided)
        }
        for change_id, version in accepted.items():
            self.assertEqual(chain[version - 1], change_id)
        self.assertLessEqual({*chain}, {*accepted} | undecided)

    async def _check_head(
        self,
        store: fakes.FakeStore,
        head: document_pb2.Head,
        chain: list[document_pb2.Change],
    ) -> None:
        """The head is what its chain makes, and it is closed."""
        expected: dict[str, bytes] = {}
        for change in chain:
            expected.pop(change.organisation, None)
            if change.action == "apply":
                expected[change.organisation] = change.document_digest
        self.assertEqual(dict(head.documents), expected)
        found = await records.read_documents(store, head)
        if head.version:
            compiled = compiler.compile_snapshot(head.version, found)
            self.assertEqual(compiled.digest, head.snapshot_digest)
