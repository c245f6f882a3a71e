"""Records of the claims that this daemon made."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
from typing import TYPE_CHECKING

from merlintrestle.requests.calls import outcomes
from merlintrestle.requests.transport import headers
from merlintrestle.schema import request_pb2

if TYPE_CHECKING:
    from collections.abc import Sequence

# About 450 bytes each, without the answer. A recall of an evicted claim gets
# LOST.
MAX_RECORDS = 20_000
# Memory that a header takes besides its text.
_HEADER_OVERHEAD_BYTES = 150
# Answers that are kept for callers that retry.
MAX_KEPT_BYTES = 8 * 1024 * 1024


@dataclasses.dataclass(slots=True)
class Record:
    """The record of one claim of this daemon.

    Attributes:
        claim_key: Key of the claim in the store.
        claim_id: Id of this attempt.
        request_digest: Digest of the request.
        state: State of the claim.
        answer: Answer of the backend server; None if it is too large to keep.
        ended: Set once the state is final.
    """

    claim_key: str
    claim_id: str
    request_digest: bytes
    state: request_pb2.ClaimState = request_pb2.RUNNING
    answer: outcomes.Replayed | None = None
    ended: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)


class Ledger:
    """Records of local claims; the oldest that have ended are evicted first."""

    def __init__(
        self,
        max_records: int = MAX_RECORDS,
        max_kept_bytes: int = MAX_KEPT_BYTES,
    ):
        """Sets the limits."""
        self._max_records = max_records
        self._max_kept_bytes = max_kept_bytes
        self._kept_bytes = 0
        self._ended_event = asyncio.Event()
        self._ended_event.set()
        self._records: dict[str, Record] = {}
        self._by_key: dict[str, Record] = {}
        self._ended: collections.deque[Record] = collections.deque()
        self._with_answer: collections.deque[Record] = collections.deque()

    def open(self, claim_key: str, claim_id: str, digest: bytes) -> Record:
        """Adds a record for a claim that is about to be written."""
        record = Record(claim_key, claim_id, digest)
        self._records[claim_id] = record
        return record

    def find(self, claim_id: str) -> Record | None:
        """Returns the record of an attempt; None if it was evicted."""
        return self._records.get(claim_id)

    def find_answered(self, claim_key: str) -> Record | None:
        """Returns the record of a request that ran here; None if unknown."""
        return self._by_key.get(claim_key)

    def end(
        self,
        record: Record,
        state: request_pb2.ClaimState,
        answer: outcomes.Replayed | None = None,
    ) -> None:
        """Sets the final state of a claim; a second call has no effect."""
        if record.ended.is_set():
            return
        record.state = state
        record.ended.set()
        # All ended records share one event: an event is most of their size.
        record.ended = self._ended_event
        if state == request_pb2.ANSWERED:
            self._by_key[record.claim_key] = record
        self._ended.append(record)
        if answer is not None:
            record.answer = answer
            self._with_answer.append(record)
            self._kept_bytes += _estimate_bytes(answer)
        self._evict()

    def _evict(self) -> None:
        while self._kept_bytes > self._max_kept_bytes:
            record = self._with_answer.popleft()
            self._drop_answer(record)
        while len(self._ended) > self._max_records:
            record = self._ended.popleft()
            del self._records[record.claim_id]
            if self._by_key.get(record.claim_key) is record:
                del self._by_key[record.claim_key]
            if record.answer is not None:
                self._with_answer.remove(record)
                self._drop_answer(record)

    def _drop_answer(self, record: Record) -> None:
        assert record.answer is not None
        self._kept_bytes -= _estimate_bytes(record.answer)
        record.answer = None


def _estimate_bytes(answer: outcomes.Replayed) -> int:
    """Returns the approximate size of a kept answer in bytes."""
    size_bytes = len(answer.body)
    for name, value in answer.headers:
        size_bytes += len(name) + len(value) + _HEADER_OVERHEAD_BYTES
    return size_bytes


def copy_answer(answered: outcomes.Answered) -> outcomes.Replayed | None:
    """Returns a copy of an answer to keep; None if it is too large."""
    if answered.body is None:
        return None
    response = answered.response
    kept_headers = headers.copy_end_to_end(response.headers)
    return outcomes.Replayed(
        response.status, tuple(kept_headers.items()), answered.body
    )


def build_reply(record: Record | None) -> request_pb2.RecallReply:
    """Returns the reply to a recall; the record is None if unknown."""
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
