"""Records of the claims that this daemon made."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import itertools
from typing import TYPE_CHECKING

from merlintrestle.requests.calls import outcomes
from merlintrestle.requests.transport import headers
from merlintrestle.schema import request_pb2

if TYPE_CHECKING:
    from collections.abc import Sequence

# Records of ended claims that are kept, of about 450 bytes each without the
# answer. A recall of an evicted record is answered with LOST, i.e. its outcome
# is unknown.
MAX_ENDED_RECORDS = 20_000
# Memory used by a stored header in addition to its text.
_HEADER_OVERHEAD_BYTES = 150
# Total size of the answers that are stored for callers that retry.
MAX_STORED_BYTES = 8 * 1024 * 1024


@dataclasses.dataclass(slots=True)
class Record:
    """The record of one claim that this daemon made.

    Attributes:
        claim_key: Key of the claim in the store.
        claim_id: Id of the claim, which differs for each attempt.
        request_digest: Digest of the request.
        opened_at: When the claim was about to be written, in seconds since
            boot.
        state: State of the claim.
        answer: Stored answer of the backend server; None if there is none, if
            it was too large to store or if it was evicted.
        ended_event: Set once the state is final.
    """

    claim_key: str
    claim_id: str
    request_digest: bytes
    opened_at: float = 0.0
    state: request_pb2.ClaimState = request_pb2.RUNNING
    answer: outcomes.Replayed | None = None
    ended_event: asyncio.Event = dataclasses.field(
        default_factory=asyncio.Event
    )


class Ledger:
    """Records of the claims that this daemon made.

    The records that ended first are evicted first; claims that have not ended
    are never evicted.
    """

    def __init__(
        self,
        max_ended_records: int = MAX_ENDED_RECORDS,
        max_stored_bytes: int = MAX_STORED_BYTES,
    ):
        """Sets the limits.

        Args:
            max_ended_records: Number of records of ended claims to keep.
            max_stored_bytes: Total size of the stored answers, in bytes.
        """
        self._max_ended_records = max_ended_records
        self._max_stored_bytes = max_stored_bytes
        self._stored_bytes = 0
        self._shared_ended_event = asyncio.Event()
        self._shared_ended_event.set()
        self._records: dict[str, Record] = {}
        self._answered_by_claim_key: dict[str, Record] = {}
        self._ended_records: collections.deque[Record] = collections.deque()
        self._records_with_answer: collections.deque[Record] = (
            collections.deque()
        )

    def open(
        self,
        claim_key: str,
        claim_id: str,
        digest: bytes,
        opened_at: float = 0.0,
    ) -> Record:
        """Adds a record for a claim that is about to be written.

        Args:
            claim_key: Key of the claim in the store.
            claim_id: Id of the claim.
            digest: Digest of the request.
            opened_at: The time, in seconds since boot.
        """
        record = Record(claim_key, claim_id, digest, opened_at)
        self._records[claim_id] = record
        return record

    def list_since(self, opened_at: float) -> list[Record]:
        """Returns the records of claims since a time that were not released.

        Args:
            opened_at: The time, in seconds since boot.
        """
        recent = itertools.takewhile(
            lambda record: record.opened_at >= opened_at,
            reversed(self._records.values()),
        )
        return [
            record for record in recent if record.state != request_pb2.RELEASED
        ]

    def find(self, claim_id: str) -> Record | None:
        """Returns the record of a claim; None if unknown or evicted."""
        return self._records.get(claim_id)

    def find_answered(self, claim_key: str) -> Record | None:
        """Returns the record of a claim key in state ANSWERED.

        Its call was run by the local backend server.

        Returns:
            None if there is no such record or if it was evicted.
        """
        return self._answered_by_claim_key.get(claim_key)

    def end(
        self,
        record: Record,
        state: request_pb2.ClaimState,
        answer: outcomes.Replayed | None = None,
    ) -> None:
        """Sets the final state of a claim; further calls have no effect."""
        if record.ended_event.is_set():
            return
        record.state = state
        record.ended_event.set()
        # All ended records share one event, because a separate event would
        # take up most of the memory of a record.
        record.ended_event = self._shared_ended_event
        if state == request_pb2.ANSWERED:
            self._answered_by_claim_key[record.claim_key] = record
        self._ended_records.append(record)
        if answer is not None:
            record.answer = answer
            self._records_with_answer.append(record)
            self._stored_bytes += _estimate_bytes(answer)
        self._evict()

    def _evict(self) -> None:
        while self._stored_bytes > self._max_stored_bytes:
            record = self._records_with_answer.popleft()
            self._drop_answer(record)
        while len(self._ended_records) > self._max_ended_records:
            record = self._ended_records.popleft()
            del self._records[record.claim_id]
            if self._answered_by_claim_key.get(record.claim_key) is record:
                del self._answered_by_claim_key[record.claim_key]
            if record.answer is not None:
                self._records_with_answer.remove(record)
                self._drop_answer(record)

    def _drop_answer(self, record: Record) -> None:
        assert record.answer is not None
        self._stored_bytes -= _estimate_bytes(record.answer)
        record.answer = None


def _estimate_bytes(answer: outcomes.Replayed) -> int:
    """Returns the approximate memory used by a stored answer, in bytes."""
    size_bytes = len(answer.body)
    for name, value in answer.headers:
        size_bytes += len(name) + len(value) + _HEADER_OVERHEAD_BYTES
    return size_bytes


def copy_answer(answered: outcomes.Answered) -> outcomes.Replayed | None:
    """Returns a copy of an answer to store.

    Returns:
        None if the answer is passed on in chunks, because it is too large.
    """
    if answered.body is None:
        return None
    response = answered.response
    kept_headers = headers.copy_end_to_end(response.headers)
    return outcomes.Replayed(
        response.status, tuple(kept_headers.items()), answered.body
    )


def build_reply(record: Record | None) -> request_pb2.RecallReply:
    """Returns the reply to a recall.

    Args:
        record: Record of the claim; None if unknown or evicted.
    """
    if record is None:
        return request_pb2.RecallReply(state=request_pb2.LOST)
    answer = record.answer
    if answer is None:
        return request_pb2.RecallReply(state=record.state)
    return request_pb2.RecallReply(
        state=record.state,
        status=answer.status,
        headers=_build_headers(answer.headers),
        body=answer.body,
        body_kept=True,
    )


def _build_headers(
    pairs: Sequence[tuple[str, str]],
) -> list[request_pb2.Header]:
    return [request_pb2.Header(name=name, value=value) for name, value in pairs]
