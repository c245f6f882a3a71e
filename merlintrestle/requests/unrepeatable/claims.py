"""Claims in the store, which make a call run at most once."""

from __future__ import annotations

import asyncio
import dataclasses
import hashlib
import secrets
import time
from typing import Protocol, TYPE_CHECKING

from google.protobuf import message

from merlintrestle import clocks
from merlintrestle import errors
from merlintrestle.requests.calls import outcomes
from merlintrestle.requests.unrepeatable import leases
from merlintrestle.requests.unrepeatable import ledger as ledgers
from merlintrestle.requests.unrepeatable import sent_calls
from merlintrestle.schema import request_pb2

if TYPE_CHECKING:
    from collections.abc import Callable

    from merlintrestle.requests import interfaces
    from merlintrestle.requests.calls import call as calls
    from merlintrestle.store import client

# Longest wait for the store, in seconds. After it, a call is refused with "not
# run".
STORE_TIMEOUT_S = 1.0
_STORE_RETRY_AFTER_S = 2.0
# Default of the time after the store came back from a copy in which no new
# claims are made, in seconds.
_DEFAULT_SETTLING_S = 3.0
# A claim that was written longer ago is read again from the store before the
# call is forwarded. Usually the claim is younger, which saves that read.
_RECHECK_AGE_S = 5.0
_RETRY_AFTER_S = 1.0
# Time for which a holder may delay its reply until the call has ended, in
# seconds.
_RECALL_WAIT_S = 1.0
_NOT_ENDED = outcomes.Unknown(
    "an earlier sending has not ended", 504, _RETRY_AFTER_S
)
_HOLDER_GONE = outcomes.Unknown(
    "the daemon that may have run it is gone", retry_after_s=_RETRY_AFTER_S
)


@dataclasses.dataclass(slots=True)
class HeldClaim:
    """A claim that this daemon made, so that no other one may run the call.

    Attributes:
        record: Record of the claim in the ledger.
        revision: Revision of the claim in the store.
        written_at: Time at which the write of the claim was requested, in
            seconds since boot.
    """

    record: ledgers.Record
    revision: int
    written_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class ExistingClaim:
    """The claim of an earlier attempt, made by this daemon or another one.

    Attributes:
        claim: The claim.
        revision: Revision of the claim in the store.
    """

    claim: request_pb2.Claim
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReplaceableClaim:
    """A claim that may be replaced by a new one.

    The attempt that made the claim did not run and never will, or the claim
    was deleted.

    Attributes:
        expected_revision: Revision that the store must still have when the new
            claim is written; 0 if there is no claim.
    """

    expected_revision: int


class Recaller(Protocol):
    """Recalls claims, i.e. queries their holders for their state."""

    async def recall(
        self, claim: request_pb2.Claim, claim_key: str, wait_s: float
    ) -> request_pb2.RecallReply | None:
        """Returns the state of a claim; None if its holder is gone.

        If the holder does not reply, this waits until it is cancelled.

        Args:
            claim: The claim.
            claim_key: Key of the claim in the store.
            wait_s: Seconds for which the holder may delay its reply until the
                call has ended.
        """


class Claims:
    """Makes claims, and resolves the claims of earlier attempts.

    A store that comes back from an older copy has lost the claims since that
    copy. The daemons then write theirs again, see `claim_restoration`, and make
    no new ones for a settling time.

    Attributes:
        ledger: Records of the claims that this daemon made.
        era: Era of the store.
    """

    def __init__(
        self,
        get_holder: Callable[[], sent_calls.Holder],
        store: interfaces.Store,
        lease: leases.ClaimLease,
        recaller: Recaller,
        prefix: str,
        get_time: Callable[[], float],
        get_boot_time: Callable[[], float] = clocks.get_boot_time,
        settling_s: float = 0.0,
    ):
        """Sets the dependencies.

        Args:
            get_holder: Returns the local daemon, which becomes the holder of
                new claims.
            store: Store of the claims.
            lease: Lease under which claims are written.
            recaller: Recalls the claims of other daemons.
            prefix: Prefix of the keys of claims.
            get_time: Clock for deadlines, in seconds.
            get_boot_time: Clock for the age of claims, in seconds since boot.
            settling_s: Time after the store came back in which no new claims
                are made, in seconds; 0: the default.
        """
        self.era = store.era
        self._settling_s = settling_s or _DEFAULT_SETTLING_S
        self.ledger = ledgers.Ledger()
        self._get_holder = get_holder
        self._store = store
        self._lease = lease
        self._recaller = recaller
        self._prefix = prefix
        self._get_time = get_time
        self._get_boot_time = get_boot_time

    def build_key(self, call: calls.Call) -> str:
        """Returns the key of a call's claim in the store."""
        key_parts = (call.organisation, call.service, call.key)
        text = "\0".join(key_parts).encode()
        return self._prefix + hashlib.sha256(text).hexdigest()

    async def acquire(
        self, call: calls.Call, claim_key: str, expected_revision: int
    ) -> (
        HeldClaim
        | ExistingClaim
        | ReplaceableClaim
        | outcomes.NotRun
        | outcomes.Unknown
    ):
        """Claims a key that has no claim, or whose claim may be replaced.

        The claim is recorded in the ledger before it is written to the store,
        so that there is a record of each claim that can be recalled.

        Args:
            call: The call that is to run under the claim.
            claim_key: Key of the claim in the store.
            expected_revision: Revision of the claim to replace; 0 if there is
                none.

        Returns:
            `HeldClaim` if the key is claimed, `ExistingClaim` if there is
            another claim, or `ReplaceableClaim` if the claim to replace was
            deleted; an outcome if the call must not run.
        """
        if self._get_time() >= call.refuse_by:
            return outcomes.TOO_LATE
        settling_wait_s = self.get_settling_wait_s()
        if settling_wait_s:
            return _refuse_while_settling(settling_wait_s)
        digest = call.get_claim_digest()
        written_at = self._get_boot_time()
        record = self.ledger.open(
            claim_key, secrets.token_hex(8), digest, written_at
        )
        claim = build_claim(self._get_holder(), record.claim_id, digest)
        try:
            async with asyncio.timeout(self._compute_store_timeout(call)):
                entry = await self._write(claim_key, claim, expected_revision)
        except (errors.StoreError, TimeoutError):
            # The write may still take effect later. This is harmless: no call
            # runs under this claim any more, and recalls are answered with
            # RELEASED.
            self.ledger.end(record, request_pb2.RELEASED)
            return outcomes.NotRun(
                "the store does not answer, so no claim can be made",
                retry_after_s=_STORE_RETRY_AFTER_S,
            )
        except BaseException:
            self.ledger.end(record, request_pb2.RELEASED)
            raise
        if not entry.revision:
            self.ledger.end(record, request_pb2.RELEASED)
            return ReplaceableClaim(0)
        stored = _decode_claim(entry.value)
        if stored is not None and stored.claim_id == record.claim_id:
            held = HeldClaim(record, entry.revision, written_at)
            return await self._confirm(held)
        self.ledger.end(record, request_pb2.RELEASED)
        if stored is None:
            return outcomes.Unknown("the claim of the key cannot be read")
        return ExistingClaim(stored, entry.revision)

    async def _confirm(self, held: HeldClaim) -> HeldClaim | outcomes.NotRun:
        """Returns a claim that was made, unless a new era has just begun.

        An earlier claim of the same key may then be about to be written again.
        """
        settling_wait_s = self.get_settling_wait_s()
        if not settling_wait_s:
            return held
        self.ledger.end(held.record, request_pb2.RELEASED)
        await self.release(held)
        return _refuse_while_settling(settling_wait_s)

    def get_settling_wait_s(self) -> float:
        """Returns the time until new claims may be made, in seconds."""
        return max(0.0, self._settling_s - self.era.get_age())

    async def check(
        self, held: HeldClaim, call: calls.Call
    ) -> outcomes.NotRun | None:
        """Returns a refusal if a claimed call must not be forwarded any more.

        The daemon may have been suspended since it wrote the claim, without
        noticing it. The caller may then have given up, and after a day the
        claim has expired and a request with the same key may have run
        elsewhere. Therefore, no call is forwarded after its deadline or if its
        claim may have expired, and a claim that is not new is read again.
        """
        if self._get_time() >= call.refuse_by:
            return outcomes.TOO_LATE
        if not self.era.has(held.revision):
            return outcomes.NotRun("the store has come back without the claim")
        age_s = self._get_boot_time() - held.written_at
        if age_s > leases.MAX_CLAIM_AGE_S:
            return outcomes.NotRun("the claim may have expired")
        if age_s < _RECHECK_AGE_S:
            return None
        try:
            async with asyncio.timeout(self._compute_store_timeout(call)):
                entry = await self._store.get(held.record.claim_key)
        except (errors.StoreError, TimeoutError):
            return outcomes.NotRun("the store does not answer")
        if entry is None or entry.revision != held.revision:
            return outcomes.NotRun("the claim is not there any more")
        return None

    def _compute_store_timeout(self, call: calls.Call) -> float:
        """Returns the timeout of a store request, in seconds."""
        return min(STORE_TIMEOUT_S, call.refuse_by - self._get_time())

    async def resolve(
        self, existing: ExistingClaim, claim_key: str, call: calls.Call
    ) -> ReplaceableClaim | outcomes.Failure | outcomes.Replayed:
        """Returns the outcome of the attempt that made an existing claim.

        Returns:
            `ReplaceableClaim` if the attempt did not run and never will;
            otherwise the outcome for the caller.
        """
        claim = existing.claim
        if claim.request_digest != call.get_claim_digest():
            return _refuse_reused_key(call)
        wait_s = 0.0
        while True:
            remaining_s = call.deadline - self._get_time()
            if remaining_s <= 0:
                return _NOT_ENDED
            # Each recall waits for a short time only, so that the failure of
            # the holder is noticed soon. The first one does not wait.
            recall_wait_s = min(wait_s, remaining_s)
            try:
                async with asyncio.timeout(remaining_s):
                    reply = await self._recall(claim, claim_key, recall_wait_s)
            except TimeoutError:
                return _NOT_ENDED
            if reply is None:
                return _HOLDER_GONE
            if reply.state != request_pb2.RUNNING:
                return _interpret_reply(reply, existing)
            wait_s = _RECALL_WAIT_S

    async def release(self, held: HeldClaim) -> None:
        """Deletes the claim of a call that did not run.

        If this fails, the claim remains in the store, and this daemon answers
        recalls of it with RELEASED. The outcome of a retry is "unknown" only if
        this daemon is gone by then.
        """
        try:
            async with asyncio.timeout(STORE_TIMEOUT_S):
                await self._store.delete(held.record.claim_key, held.revision)
        except (errors.StoreError, TimeoutError):
            pass

    async def answer_recall(
        self, claim_id: str, wait_s: float
    ) -> request_pb2.RecallReply:
        """Returns the state of a claim that this daemon made.

        Args:
            claim_id: Id of the claim.
            wait_s: Seconds to wait for the call to end.
        """
        record = self.ledger.find(claim_id)
        if record is not None and wait_s > 0:
            try:
                async with asyncio.timeout(wait_s):
                    await record.ended_event.wait()
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
            # The reply was lost, but the write may have succeeded, so the
            # claim is read.
            entry = await self._store.get(claim_key)
            if entry is None:
                self._lease.discard(lease_id)
                raise errors.StoreUnavailableError("no claim found") from error
            return entry

    async def _recall(
        self, claim: request_pb2.Claim, claim_key: str, wait_s: float
    ) -> request_pb2.RecallReply | None:
        if claim.member_id == self._get_holder().member_id:
            return await self.answer_recall(claim.claim_id, wait_s)
        return await self._recaller.recall(claim, claim_key, wait_s)


def _refuse_while_settling(wait_s: float) -> outcomes.NotRun:
    return outcomes.NotRun(
        "the store has come back from a copy, and claims are written again",
        retry_after_s=wait_s,
    )


def build_claim(
    holder: sent_calls.Holder, claim_id: str, request_digest: bytes
) -> request_pb2.Claim:
    """Builds the claim of a holder, as it is written to the store."""
    return request_pb2.Claim(
        member_id=holder.member_id,
        address=holder.address,
        control_port=holder.control_port,
        claim_id=claim_id,
        at_ms=int(time.time() * 1000),
        request_digest=request_digest,
    )


def _refuse_reused_key(call: calls.Call) -> outcomes.NotRun | outcomes.Unknown:
    """Refuses an Idempotency-Key that was used for another request.

    Of a body that is not buffered, the request digest includes only the stated
    length. The same request, sent first with a length and then in chunks,
    therefore has two digests. For such a body, a mismatch does not prove that
    the request has not run, so the outcome is unknown.
    """
    reason = "the Idempotency-Key was used for another request"
    if call.body.buffered is None:
        return outcomes.Unknown(reason, 422)
    return outcomes.NotRun(reason, 422, None)


def _decode_claim(value: bytes) -> request_pb2.Claim | None:
    try:
        return request_pb2.Claim.FromString(value)
    except message.DecodeError:
        return None


def read_answer(reply: request_pb2.RecallReply) -> outcomes.Replayed:
    """Returns the stored answer in the reply to a recall."""
    pairs = tuple((header.name, header.value) for header in reply.headers)
    return outcomes.Replayed(reply.status, pairs, reply.body)


def _interpret_reply(
    reply: request_pb2.RecallReply, existing: ExistingClaim
) -> ReplaceableClaim | outcomes.Failure | outcomes.Replayed:
    if reply.state == request_pb2.RELEASED:
        return ReplaceableClaim(existing.revision)
    if reply.state == request_pb2.ANSWERED:
        if reply.body_kept:
            return read_answer(reply)
        return outcomes.Ran("it ran before; its answer was not kept", 409)
    return outcomes.Unknown("what became of an earlier sending is lost")
