"""Claims: records in the store under which a request runs at most once."""

from __future__ import annotations

import asyncio
import dataclasses
import hashlib
import secrets
import time
from typing import NamedTuple, Protocol, TYPE_CHECKING

from google.protobuf import message

from merlintrestle import errors
from merlintrestle.requests.calls import outcomes
from merlintrestle.requests.unrepeatable import leases
from merlintrestle.requests.unrepeatable import ledger as ledgers
from merlintrestle.schema import request_pb2

if TYPE_CHECKING:
    from collections.abc import Callable

    from merlintrestle.requests import interfaces
    from merlintrestle.requests.calls import call as calls
    from merlintrestle.store import client

# Longest wait for the store before the request is refused as not run.
STORE_S = 1.0
_STORE_RETRY_S = 2.0
# A claim written longer ago than this is read again before it is used.
_FRESH_S = 5.0
_ASK_AGAIN_S = 1.0
_RECALL_TURN_S = 1.0
_UNSETTLED = outcomes.Unknown(
    "an earlier sending has not ended", 504, _ASK_AGAIN_S
)
_GONE = outcomes.Unknown(
    "the daemon that may have run it is gone", retry_after_s=_ASK_AGAIN_S
)


class Owner(NamedTuple):
    """The daemon that makes claims.

    Attributes:
        member_id: Its id.
        address: IP number on which it answers a recall.
        control_port: Port on which it answers a recall.
    """

    member_id: str
    address: str
    control_port: int


@dataclasses.dataclass(slots=True)
class HeldClaim:
    """The claim is this daemon's: it alone may run the request.

    Attributes:
        record: Its record in the ledger.
        revision: Revision of the claim in the store.
        written_at: When the claim was asked for, in seconds since boot.
    """

    record: ledgers.Record
    revision: int
    written_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class ForeignClaim:
    """The claim is another attempt's.

    Attributes:
        claim: The claim.
        revision: Its revision in the store.
    """

    claim: request_pb2.Claim
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReleasedClaim:
    """The other attempt did not run and never will: it may be taken over.

    Attributes:
        revision: Revision that its claim must still have; 0: it is gone.
    """

    revision: int


class Recaller(Protocol):
    """Asks the daemon that holds a claim."""

    async def recall(
        self, claim: request_pb2.Claim, claim_key: str, wait_s: float
    ) -> request_pb2.RecallReply | None:
        """Returns what became of a claim; None if its holder is gone.

        A holder that gives no sign is awaited until the wait is cancelled.
        """


class Claims:
    """Makes claims, and settles those of other attempts.

    Attributes:
        ledger: What is known of own claims.
    """

    def __init__(
        self,
        owner: Callable[[], Owner],
        store: interfaces.Store,
        lease: leases.ClaimLease,
        recaller: Recaller,
        prefix: str,
        get_time: Callable[[], float],
        get_boot_time: Callable[[], float] = leases.get_boot_time,
    ):
        """Sets the parts and the clocks of deadlines and of claims."""
        self.ledger = ledgers.Ledger()
        self._owner = owner
        self._store = store
        self._lease = lease
        self._recaller = recaller
        self._prefix = prefix
        self._get_time = get_time
        self._get_boot_time = get_boot_time

    def build_key(self, call: calls.Call) -> str:
        """Returns the key of a call's claim in the store."""
        parts_ = (call.organisation, call.service, call.key)
        text = "\0".join(parts_).encode()
        return self._prefix + hashlib.sha256(text).hexdigest()

    async def acquire(
        self, call: calls.Call, claim_key: str, expected_revision: int
    ) -> (
        HeldClaim
        | ForeignClaim
        | ReleasedClaim
        | outcomes.NotRun
        | outcomes.Unknown
    ):
        """Claims a key, new or from a claim that was released.

        The ledger knows the claim before the store does, so that a recall
        never finds a claim of this daemon that the daemon knows nothing of.
        """
        if self._get_time() >= call.refuse_by:
            return outcomes.TOO_LATE
        owner = self._owner()
        digest = call.get_identity()
        record = self.ledger.open(claim_key, secrets.token_hex(8), digest)
        claim = request_pb2.Claim(
            member_id=owner.member_id,
            address=owner.address,
            control_port=owner.control_port,
            claim_id=record.claim_id,
            at_ms=int(time.time() * 1000),
            request_digest=digest,
        )
        written_at = self._get_boot_time()
        try:
            async with asyncio.timeout(self._limit_store(call)):
                entry = await self._write(claim_key, claim, expected_revision)
        except (errors.StoreError, TimeoutError):
            # The write may still take effect later. It does no harm: under
            # this claim nothing runs any more, and a recall says so.
            self.ledger.end(record, request_pb2.RELEASED)
            return outcomes.NotRun(
                "the store does not answer, so no claim can be made",
                retry_after_s=_STORE_RETRY_S,
            )
        except BaseException:
            self.ledger.end(record, request_pb2.RELEASED)
            raise
        if not entry.revision:
            self.ledger.end(record, request_pb2.RELEASED)
            return ReleasedClaim(0)
        found = _parse(entry.value)
        if found is not None and found.claim_id == record.claim_id:
            return HeldClaim(record, entry.revision, written_at)
        self.ledger.end(record, request_pb2.RELEASED)
        if found is None:
            return outcomes.Unknown("the claim of the key cannot be read")
        return ForeignClaim(found, entry.revision)

    async def check(
        self, held: HeldClaim, call: calls.Call
    ) -> outcomes.NotRun | None:
        """Returns why a claimed call must not be forwarded any more.

        A daemon that was frozen after its write does not know it. Its caller
        has long been told "unknown", and after a day its claim has expired
        and the same key may have run elsewhere.
        """
        if self._get_time() >= call.refuse_by:
            return outcomes.TOO_LATE
        age_s = self._get_boot_time() - held.written_at
        if age_s > leases.SAFE_S:
            return outcomes.NotRun("the claim may have expired")
        if age_s < _FRESH_S:
            return None
        try:
            async with asyncio.timeout(self._limit_store(call)):
                entry = await self._store.get(held.record.claim_key)
        except (errors.StoreError, TimeoutError):
            return outcomes.NotRun("the store does not answer")
        if entry is None or entry.revision != held.revision:
            return outcomes.NotRun("the claim is not there any more")
        return None

    def _limit_store(self, call: calls.Call) -> float:
        """Returns how long the store may take to answer, in seconds."""
        return min(STORE_S, call.refuse_by - self._get_time())

    async def resolve(
        self, taken: ForeignClaim, claim_key: str, call: calls.Call
    ) -> ReleasedClaim | outcomes.Failure | outcomes.Replayed:
        """Finds out what became of another attempt at the same request."""
        claim = taken.claim
        if claim.request_digest != call.get_identity():
            return _refuse_other(call)
        wait_s = 0.0
        while True:
            left_s = call.deadline - self._get_time()
            if left_s <= 0:
                return _UNSETTLED
            # Asked in short turns: a holder that dies meanwhile shows at once.
            turn_s = min(wait_s, left_s)
            try:
                async with asyncio.timeout(left_s):
                    reply = await self._recall(claim, claim_key, turn_s)
            except TimeoutError:
                return _UNSETTLED
            if reply is None:
                return _GONE
            if reply.state != request_pb2.RUNNING:
                return _read_reply(reply, taken)
            wait_s = _RECALL_TURN_S

    async def release(self, held: HeldClaim) -> None:
        """Deletes the claim of a request that did not run.

        If this fails, the claim stays and its holder says on recall that it
        was released; only if the holder is gone by then is it "unknown".
        """
        try:
            async with asyncio.timeout(STORE_S):
                await self._store.delete(held.record.claim_key, held.revision)
        except (errors.StoreError, TimeoutError):
            pass

    async def answer_recall(
        self, claim_id: str, wait_s: float
    ) -> request_pb2.RecallReply:
        """Returns what became of an own claim, waiting for it to end."""
        record = self.ledger.find(claim_id)
        if record is not None and wait_s > 0:
            try:
                async with asyncio.timeout(wait_s):
                    await record.ended.wait()
            except TimeoutError:
                pass
        return ledgers.build_reply(record)

    async def _write(
        self, claim_key: str, claim: request_pb2.Claim, expected_revision: int
    ) -> client.Entry:
        lease_id = await self._lease.get_id()
        value = claim.SerializeToString()
        try:
            reply = await self._store.put(
                claim_key, value, expected_revision, lease_id
            )
            return reply.entry
        except errors.StoreUnknownOutcomeError as error:
            # The answer was lost, not necessarily the write: read it.
            entry = await self._store.get(claim_key)
            if entry is None:
                self._lease.forget(lease_id)
                raise errors.StoreUnavailableError("no claim yet") from error
            return entry

    async def _recall(
        self, claim: request_pb2.Claim, claim_key: str, wait_s: float
    ) -> request_pb2.RecallReply | None:
        if claim.member_id == self._owner().member_id:
            return await self.answer_recall(claim.claim_id, wait_s)
        return await self._recaller.recall(claim, claim_key, wait_s)


def _refuse_other(call: calls.Call) -> outcomes.NotRun | outcomes.Unknown:
    """Refuses a key that was used for another request.

    A long body counts by its stated length: the same payout, sent once with a
    length and once in chunks, looks like two, and may have run.
    """
    reason = "the Idempotency-Key was used for another request"
    if call.body.held is None:
        return outcomes.Unknown(reason, 422)
    return outcomes.NotRun(reason, 422, None)


def _parse(value: bytes) -> request_pb2.Claim | None:
    try:
        return request_pb2.Claim.FromString(value)
    except message.DecodeError:
        return None


def read_answer(reply: request_pb2.RecallReply) -> outcomes.Replayed:
    """Returns the answer that a recall brought."""
    pairs = tuple((header.name, header.value) for header in reply.headers)
    return outcomes.Replayed(reply.status, pairs, reply.body)


def _read_reply(
    reply: request_pb2.RecallReply, taken: ForeignClaim
) -> ReleasedClaim | outcomes.Failure | outcomes.Replayed:
    if reply.state == request_pb2.RELEASED:
        return ReleasedClaim(taken.revision)
    if reply.state == request_pb2.ANSWERED:
        if reply.body_kept:
            return read_answer(reply)
        return outcomes.Ran("it ran before; its answer was not kept", 409)
    return outcomes.Unknown("what became of an earlier sending is lost")
