"""Changes to the configuration: check, propose, rebase, settle."""

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

MAX_ATTEMPTS = 16
MAX_BASE_VERSIONS = 1000
_MAX_SUMMARY_LINES = 20
# A document up to this size travels in the head as well.
_MAX_HEAD_DOCUMENT_BYTES = 64 * 1024
_MAX_LINE = 200


class Proposal(NamedTuple):
    """What an operator wants.

    Attributes:
        operator: Name written into the audit trail.
        organisation: Organisation whose document changes.
        document: Its new document; None: withdraw it.
        base_version: Version the operator started from; None: the newest.
    """

    operator: str
    organisation: str
    document: document_pb2.Document | None
    base_version: int | None = None


def make_change_id(version: int) -> str:
    """Returns a new id; ids sort by the version that they would make."""
    return f"{version:012d}-{secrets.token_hex(8)}"


def read_clock_ms() -> int:
    """Returns milliseconds since 1970."""
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
        """Sets the store and the sources of ids and times.

        Args:
            store: The store.
            make_id: Makes a change id for the version it would make.
            read_clock_ms: Returns milliseconds since 1970.
            retry_delay_s: Seconds between two tries of a write without answer.
            push_version: Called with each accepted version's snapshot.
        """
        self._store = store
        self._make_id = make_id
        self._read_clock_ms = read_clock_ms
        self._retry_delay_s = retry_delay_s
        self._push_version = push_version

    async def propose(self, proposal: Proposal) -> outcomes.Outcome:
        """Tries to have a change accepted and says what became of it.

        A change that lost to one of another organisation is checked against
        it and proposed again; one that lost to the same organisation is not,
        since its operator has not seen what it would overwrite.

        Raises:
            errors.StoreError: The store does not answer; head was not changed
                by this proposal.
        """
        head, revision = await records.read_head(self._store)
        stopped = await self._compare_base(head, proposal)
        if stopped is not None:
            return stopped
        for _ in range(MAX_ATTEMPTS):
            outcome = await self._attempt(head, revision, proposal)
            if not isinstance(outcome, acceptance.Conflict):
                return outcome
            lost = await self._compare(head, outcome.head, proposal)
            if lost is not None:
                return lost
            head, revision = outcome.head, outcome.revision
        by = await records.read_change(self._store, head.change_id)
        return outcomes.LostRace(head.version, by, ())

    async def _attempt(
        self, head: document_pb2.Head, revision: int, proposal: Proposal
    ) -> outcomes.Outcome | acceptance.Conflict:
        documents = await records.read_documents(self._store, head)
        before = documents.pop(proposal.organisation, None)
        if before == proposal.document:
            return outcomes.Unchanged(head.version, head.snapshot_digest.hex())
        if proposal.document is not None:
            documents[proposal.organisation] = proposal.document
        change = self._describe(head, before, proposal)
        findings = _check(head.version + 1, documents)
        if findings:
            await self._record_refusal(change, findings)
            return outcomes.Refused(tuple(findings))
        return await self._accept(head, revision, proposal, documents, change)

    async def _accept(
        self,
        head: document_pb2.Head,
        revision: int,
        proposal: Proposal,
        documents: Mapping[str, document_pb2.Document],
        change: document_pb2.Change,
    ) -> outcomes.Outcome | acceptance.Conflict:
        if proposal.document is not None:
            await records.write_document(self._store, proposal.document)
        await records.write_change(self._store, change)
        compiled = compiler.compile_snapshot(head.version + 1, documents)
        proposed = acceptance.make_head(
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
            # The store may fail right after it accepted: watchers then have
            # all that they need with the head.
            proposed.changed.CopyFrom(document)
        outcome = await acceptance.swap_head(
            self._store, proposed, revision, self._retry_delay_s
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
                proposed.version, change.change_id, outcome.reason
            )
        return outcome

    def _describe(
        self,
        head: document_pb2.Head,
        before: document_pb2.Document | None,
        proposal: Proposal,
    ) -> document_pb2.Change:
        after = proposal.document
        digest = compiler.compute_document_digest(after) if after else b""
        return document_pb2.Change(
            change_id=self._make_id(head.version + 1),
            operator=proposal.operator,
            organisation=proposal.organisation,
            action="apply" if after else "withdraw",
            base_version=head.version,
            document_digest=digest,
            at_ms=self._read_clock_ms(),
            previous_change_id=head.change_id,
            summary=_shorten(differences.list_differences(before, after)),
        )

    async def _record_refusal(
        self, change: document_pb2.Change, findings: list[errors.Finding]
    ) -> None:
        change.refusals.extend(_shorten([str(one) for one in findings]))
        try:
            await records.write_change(self._store, change)
        except errors.StoreError:
            # The refusal stands without its record: nothing was changed.
            return

    async def _compare(
        self,
        base: document_pb2.Head,
        now: document_pb2.Head,
        proposal: Proposal,
    ) -> outcomes.LostRace | None:
        """Returns the lost race if the organisation's document changed."""
        name = proposal.organisation
        # Its change may have been undone since; who did it must still see it.
        by = await self._find_change(now, base.version, name)
        if by is None:
            return None
        before = await self._read_document(base, name)
        after = await self._read_document(now, name)
        if after == proposal.document:
            return None
        lines = differences.list_differences(before, after)
        return outcomes.LostRace(now.version, by, tuple(lines))

    async def _compare_base(
        self, now: document_pb2.Head, proposal: Proposal
    ) -> outcomes.LostRace | outcomes.Refused | None:
        if proposal.base_version is None:
            return None
        least = max(0, now.version - MAX_BASE_VERSIONS)
        if not least <= proposal.base_version <= now.version:
            text = f"is not within {least} to {now.version}."
            return outcomes.Refused((errors.Finding("--base", text),))
        by = await self._find_change(
            now, proposal.base_version, proposal.organisation
        )
        return (
            outcomes.LostRace(now.version, by, tuple(by.summary))
            if by
            else None
        )

    async def _read_document(
        self, head: document_pb2.Head, organisation: str
    ) -> document_pb2.Document | None:
        digest = head.documents.get(organisation)
        if not digest:
            return None
        return await records.read_document(self._store, digest)

    async def _find_change(
        self, head: document_pb2.Head, after_version: int, organisation: str
    ) -> document_pb2.Change | None:
        """Returns an organisation's newest change after a version."""
        walk = records.walk_chain(
            self._store, head, head.version - after_version
        )
        async for change in walk:
            if change.organisation == organisation:
                return change
        return None


def _check(
    version: int, documents: Mapping[str, document_pb2.Document]
) -> list[errors.Finding]:
    findings = checks.check_documents(documents)
    if findings:
        return findings
    try:
        compiler.compile_snapshot(version, documents)
    except errors.SnapshotError as error:
        return [errors.Finding("snapshot", f"{error}.")]
    return []


def _shorten(lines: list[str]) -> list[str]:
    """Bounds lines for a record of the store."""
    kept = [line[:_MAX_LINE] for line in lines[:_MAX_SUMMARY_LINES]]
    if len(lines) > len(kept):
        kept.append(f"... and {len(lines) - len(kept)} more")
    return kept
