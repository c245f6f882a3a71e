"""The ledger: what this daemon knows of the claims it made itself."""

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

# About 450 bytes each without its answer. A claim that was evicted is answered
# as lost.
MAX_RECORDS = 20_000
# What a header takes besides its text.
_HEADER_BYTES = 150
# Answers kept for callers that send a request again.
MAX_KEPT_BYTES = 8 * 1024 * 1024


@dataclasses.dataclass(slots=True)
class Record:
    """One claim of this daemon.

    Attributes:
        claim_key: Key of the claim in the store.
        claim_id: Names this attempt.
        request_digest: Digest of what the request was.
        state: What became of it.
        answer: The backend server's answer, if it was small and is kept.
        ended: Set once the state is final.
    """

    claim_key: str
    claim_id: str
    request_digest: bytes
    state: request_pb2.ClaimState = request_pb2.RUNNING
    answer: outcomes.Replayed | None = None
    ended: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)


class Ledger:
    """Records of own claims, the oldest ended ones evicted first."""

    def __init__(
        self,
        max_records: int = MAX_RECORDS,
        max_kept_bytes: int = MAX_KEPT_BYTES,
    ):
        """Sets the bounds."""
        self._max_records = max_records
        self._max_kept_bytes = max_kept_bytes
        self._kept_bytes = 0
        self._has_ended = asyncio.Event()
        self._has_ended.set()
        self._records: dict[str, Record] = {}
        self._by_key: dict[str, Record] = {}
        self._ended: collections.deque[Record] = collections.deque()
        self._kept: collections.deque[Record] = collections.deque()

    def open(self, claim_key: str, claim_id: str, digest: bytes) -> Record:
        """Adds a claim that is about to be written."""
        record = Record(claim_key, claim_id, digest)
        self._records[claim_id] = record
        return record

    def find(self, claim_id: str) -> Record | None:
        """Returns the record of an attempt; None if it was evicted."""
        return self._records.get(claim_id)

    def find_answered(self, claim_key: str) -> Record | None:
        """Returns the record of a request that ran here; None: not known."""
        return self._by_key.get(claim_key)

    def end(
        self,
        record: Record,
        state: request_pb2.ClaimState,
        answer: outcomes.Replayed | None = None,
    ) -> None:
        """Makes the state of a claim final; a second call has no effect."""
        if record.ended.is_set():
            return
        record.state = state
        record.ended.set()
        # One event for all that have ended: it is most of a record's size.
        record.ended = self._has_ended
        if state == request_pb2.ANSWERED:
            self._by_key[record.claim_key] = record
        self._ended.append(record)
        if answer is not None:
            record.answer = answer
            self._kept.append(record)
            self._kept_bytes += _get_size(answer)
        self._evict()

    def _evict(self) -> None:
        while self._kept_bytes > self._max_kept_bytes:
            record = self._kept.popleft()
            self._drop_answer(record)
        while len(self._ended) > self._max_records:
            record = self._ended.popleft()
            del self._records[record.claim_id]
            if self._by_key.get(record.claim_key) is record:
                del self._by_key[record.claim_key]
            if record.answer is not None:
                self._kept.remove(record)
                self._drop_answer(record)

    def _drop_answer(self, record: Record) -> None:
        assert record.answer is not None
        self._kept_bytes -= _get_size(record.answer)
        record.answer = None


def _get_size(answer: outcomes.Replayed) -> int:
    """Returns about how many bytes a kept answer takes."""
    size = len(answer.body)
    for name, value in answer.headers:
        size += len(name) + len(value) + _HEADER_BYTES
    return size


def keep_answer(answered: outcomes.Answered) -> outcomes.Replayed | None:
    """Returns a copy of an answer to keep; None if it is too large."""
    if answered.body is None:
        return None
    response = answered.response
    kept = headers.copy_end_to_end(response.headers)
    return outcomes.Replayed(
        response.status, tuple(kept.items()), answered.body
    )


def build_reply(record: Record | None) -> request_pb2.RecallReply:
    """Returns what is said about a claim; None: nothing is known of it."""
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
