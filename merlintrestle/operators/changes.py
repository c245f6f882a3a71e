"""Changes to the configuration: validated, proposed and recorded."""

from __future__ import annotations

import secrets
import time
from typing import NamedTuple, TYPE_CHECKING

from merlintrestle import errors
from merlintrestle.documents import checks
from merlintrestle.documents import compiler
from merlintrestle.documents import differences
from merlintrestle.operators import outcomes
from merlintrestle.schema import document_pb2
from merlintrestle.store import acceptance
from merlintrestle.store import records

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Mapping

    from merlintrestle.documents import snapshot as snapshots

# Attempts of one proposal: if its compare-and-swap fails, it is retried on the
# new head.
MAX_ATTEMPTS = 16
# Versions that may have been accepted after `Proposal.seen_version`. Bounds the
# length of the chain that is read for it.
_MAX_UNSEEN_VERSIONS = 1000
# A document of up to this size is included in the head record.
_MAX_HEAD_DOCUMENT_BYTES = 64 * 1024
# Limits of the summary and of the refusals in an audit record.
_MAX_RECORDED_LINES = 20
_MAX_LINE_CHARS = 200


class Proposal(NamedTuple):
    """A change that an operator requests.

    Attributes:
        operator: Name of the operator for the audit trail.
        organisation: Organisation whose document changes.
        document: The new document; None to withdraw the document.
        seen_version: Version from which the operator started. If the
            organisation's document was changed after it, the proposal is a lost
            race. None if this is not checked.
    """

    operator: str
    organisation: str
    document: document_pb2.Document | None
    seen_version: int | None = None


def make_change_id(version: int) -> str:
    """Returns a new change id; ids sort by the version of their changes."""
    return f"{version:012d}-{secrets.token_hex(8)}"


def read_clock_ms() -> int:
    """Returns the current time, in ms since 1970."""
    return time.time_ns() // 1_000_000


class Proposer:
    """Proposes changes to the store."""

    def __init__(
        self,
        store: records.Store,
        make_id: Callable[[int], str] = make_change_id,
        read_clock_ms: Callable[[], int] = read_clock_ms,
        retry_delay_s: float = acceptance.RETRY_DELAY_S,
        push_version: Callable[[snapshots.Snapshot], Awaitable[None]]
        | None = None,
    ):
        """Initializes the proposer.

        Args:
            store: The store.
            make_id: Returns a change id for the version that the change would
                create.
            read_clock_ms: Returns the current time, in ms since 1970.
            retry_delay_s: Delay between two attempts of a write that got no
                answer, in seconds.
            push_version: Called with the snapshot of each accepted version.
        """
        self._store = store
        self._make_id = make_id
        self._read_clock_ms = read_clock_ms
        self._retry_delay_s = retry_delay_s
        self._push_version = push_version

    async def propose(self, proposal: Proposal) -> outcomes.Outcome:
        """Proposes a change and returns its outcome.

        If a change of another organisation is accepted first, the proposal is
        checked against the new head and retried, up to `MAX_ATTEMPTS` attempts.
        If a change of the same organisation is accepted first, the proposal is
        a lost race, as its operator has not seen what it would overwrite.

        Raises:
            errors.StoreError: The store did not answer, or has a record that
                cannot be read; this proposal has not changed the head.
        """
        head, revision = await records.read_head(self._store)
        rejected = await self._check_seen_version(head, proposal)
        if rejected is not None:
            return rejected
        for _ in range(MAX_ATTEMPTS):
            outcome = await self._propose_once(head, revision, proposal)
            if not isinstance(outcome, acceptance.Conflict):
                return outcome
            lost_race = await self._find_lost_race(head, outcome.head, proposal)
            if lost_race is not None:
                return lost_race
            head, revision = outcome.head, outcome.revision
        newest_change = await records.read_change(self._store, head.change_id)
        return outcomes.LostRace(head.version, newest_change, ())

    async def _propose_once(
        self, head: document_pb2.Head, revision: int, proposal: Proposal
    ) -> outcomes.Outcome | acceptance.Conflict:
        """Validates a proposal against a head and proposes it once."""
        documents = await records.read_documents(self._store, head)
        old_document = documents.pop(proposal.organisation, None)
        if old_document == proposal.document:
            return outcomes.Unchanged(head.version, head.snapshot_digest.hex())
        if proposal.document is not None:
            documents[proposal.organisation] = proposal.document
        change = self._build_change(head, old_document, proposal)
        findings = _list_findings(head.version + 1, documents)
        if findings:
            await self._record_refusal(change, findings)
            return outcomes.Refused(tuple(findings))
        return await self._write_and_swap(
            head, revision, proposal, documents, change
        )

    async def _write_and_swap(
        self,
        head: document_pb2.Head,
        revision: int,
        proposal: Proposal,
        documents: Mapping[str, document_pb2.Document],
        change: document_pb2.Change,
    ) -> outcomes.Outcome | acceptance.Conflict:
        """Writes the records of a valid change and proposes its head.

        Args:
            head: The head that the change is based on.
            revision: Revision of the head.
            proposal: The proposal.
            documents: All documents of the new version, by organisation.
            change: The audit record of the change.
        """
        if proposal.document is not None:
            await records.write_document(self._store, proposal.document)
        await records.write_change(self._store, change)
        compiled = compiler.compile_snapshot(head.version + 1, documents)
        new_head = acceptance.build_head(
            head,
            change.change_id,
            {
                organisation: compiler.compute_document_digest(document)
                for organisation, document in documents.items()
            },
            compiled.digest,
        )
        document = proposal.document
        if document and document.ByteSize() <= _MAX_HEAD_DOCUMENT_BYTES:
            # The store may fail immediately after it accepted the change. With
            # the document in the head, watchers need no further read.
            new_head.changed.CopyFrom(document)
        outcome = await acceptance.swap_head(
            self._store, new_head, revision, self._retry_delay_s
        )
        if isinstance(outcome, acceptance.Accepted):
            if self._push_version is not None:
                await self._push_version(compiled)
            return outcomes.Accepted(
                outcome.version,
                compiled.digest.hex(),
                change.change_id,
                tuple(change.summary),
            )
        if isinstance(outcome, acceptance.Undecided):
            return outcomes.Undecided(
                new_head.version, change.change_id, outcome.reason
            )
        return outcome

    def _build_change(
        self,
        head: document_pb2.Head,
        old_document: document_pb2.Document | None,
        proposal: Proposal,
    ) -> document_pb2.Change:
        """Returns the audit record of a change."""
        new_document = proposal.document
        digest = (
            compiler.compute_document_digest(new_document)
            if new_document
            else b""
        )
        return document_pb2.Change(
            change_id=self._make_id(head.version + 1),
            operator=proposal.operator,
            organisation=proposal.organisation,
            action="apply" if new_document else "withdraw",
            base_version=head.version,
            document_digest=digest,
            at_ms=self._read_clock_ms(),
            previous_change_id=head.change_id,
            summary=_truncate_lines(
                differences.list_differences(old_document, new_document)
            ),
        )

    async def _record_refusal(
        self, change: document_pb2.Change, findings: list[errors.Finding]
    ) -> None:
        """Writes the audit record of a refused change, if the store answers."""
        change.refusals.extend(
            _truncate_lines([str(finding) for finding in findings])
        )
        try:
            await records.write_change(self._store, change)
        except errors.StoreError:
            # Nothing was changed, so the change is refused without a record.
            return

    async def _find_lost_race(
        self,
        base_head: document_pb2.Head,
        current_head: document_pb2.Head,
        proposal: Proposal,
    ) -> outcomes.LostRace | None:
        """Returns the lost race if the organisation's document was changed.

        Returns None if it was changed to the proposed document.

        Args:
            base_head: The head that the failed attempt was based on.
            current_head: The current head.
            proposal: The proposal.
        """
        organisation = proposal.organisation
        # The changes are searched instead of comparing digests: a change that
        # was reverted since must be shown to the operator as well.
        other_change = await self._find_change(
            current_head, base_head.version, organisation
        )
        if other_change is None:
            return None
        old_document = await self._read_document(base_head, organisation)
        new_document = await self._read_document(current_head, organisation)
        if new_document == proposal.document:
            return None
        lines = differences.list_differences(old_document, new_document)
        return outcomes.LostRace(
            current_head.version, other_change, tuple(lines)
        )

    async def _check_seen_version(
        self, head: document_pb2.Head, proposal: Proposal
    ) -> outcomes.LostRace | outcomes.Refused | None:
        """Returns why the proposal is not made, or None if it can be.

        The lost race has the differences of the newest other change only.
        """
        if proposal.seen_version is None:
            return None
        min_version = max(0, head.version - _MAX_UNSEEN_VERSIONS)
        if not min_version <= proposal.seen_version <= head.version:
            text = f"is not within {min_version} to {head.version}."
            return outcomes.Refused((errors.Finding("--base", text),))
        other_change = await self._find_change(
            head, proposal.seen_version, proposal.organisation
        )
        return (
            outcomes.LostRace(
                head.version, other_change, tuple(other_change.summary)
            )
            if other_change
            else None
        )

    async def _read_document(
        self, head: document_pb2.Head, organisation: str
    ) -> document_pb2.Document | None:
        """Returns the document of an organisation; None if it has none."""
        digest = head.documents.get(organisation)
        if not digest:
            return None
        return await records.read_document(self._store, digest)

    async def _find_change(
        self, head: document_pb2.Head, after_version: int, organisation: str
    ) -> document_pb2.Change | None:
        """Returns an organisation's newest change after a version."""
        chain = records.walk_chain(
            self._store, head, head.version - after_version
        )
        async for change in chain:
            if change.organisation == organisation:
                return change
        return None


def _list_findings(
    version: int, documents: Mapping[str, document_pb2.Document]
) -> list[errors.Finding]:
    """Returns the reasons why documents cannot become a version."""
    findings = checks.check_documents(documents)
    if findings:
        return findings
    try:
        compiler.compile_snapshot(version, documents)
    except errors.SnapshotError as error:
        return [errors.Finding("snapshot", f"{error}.")]
    return []


def _truncate_lines(lines: list[str]) -> list[str]:
    """Limits number and length of lines that are stored in a record."""
    kept = [line[:_MAX_LINE_CHARS] for line in lines[:_MAX_RECORDED_LINES]]
    if len(lines) > len(kept):
        kept.append(f"... and {len(lines) - len(kept)} more")
    return kept
