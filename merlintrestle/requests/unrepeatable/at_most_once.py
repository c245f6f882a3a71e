"""At-most-once execution of calls that may not be repeated."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import Any, TYPE_CHECKING

from merlintrestle.requests.calls import outcomes
from merlintrestle.requests.unrepeatable import claims as claims_
from merlintrestle.requests.unrepeatable import ledger as ledgers
from merlintrestle.schema import request_pb2

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from merlintrestle.requests.calls import call as calls
    from merlintrestle.requests.load import admission as admissions

_MAX_CLAIM_ATTEMPTS = 4
# Time after the caller's deadline for which the daemon still waits for the
# answer of a claimed call, so that a retry of the caller gets that answer.
ANSWER_GRACE_S = 30.0


class AtMostOnceRunner:
    """Runs each call under a claim, so that it runs at most once.

    Attributes:
        tasks: Tasks that run claimed calls or release claims. They continue
            when the caller disconnects.
    """

    def __init__(
        self,
        claims: claims_.Claims,
        admission: admissions.Admission,
        forward: Callable[[calls.Call], Awaitable[outcomes.Outcome]],
    ):
        """Sets the dependencies.

        Args:
            claims: Claims of this daemon.
            admission: Admission control of the local backend server.
            forward: Sends a call to the local backend server.
        """
        self.tasks: set[asyncio.Task[Any]] = set()
        self._claims = claims
        self._admission = admission
        self._forward = forward

    def close(self) -> None:
        """Cancels running calls, whose outcomes then stay unknown."""
        for task in self.tasks:
            task.cancel()

    async def run(self, call: calls.Call) -> outcomes.Outcome:
        """Runs a call, or returns the outcome of an earlier attempt.

        If the claim of an earlier attempt is released or deleted, it is
        replaced by a new claim.
        """
        claims = self._claims
        claim_key = claims.build_key(call)
        record = claims.ledger.find_answered(claim_key)
        if (
            record is not None
            and record.request_digest == call.get_claim_digest()
        ):
            return record.answer or _build_ran_without_answer()
        revision = 0
        for _ in range(_MAX_CLAIM_ATTEMPTS):
            refusal = await self._admission.acquire(call)
            if refusal is not None:
                return refusal
            try:
                result = await claims.acquire(call, claim_key, revision)
            except BaseException:
                self._admission.release(call, sent=False)
                raise
            if isinstance(result, claims_.HeldClaim):
                return await self._run_claimed(call, result)
            self._admission.release(call, sent=False)
            if isinstance(result, (outcomes.NotRun, outcomes.Unknown)):
                return result
            resolved: object = result
            if isinstance(result, claims_.ExistingClaim):
                resolved = await claims.resolve(result, claim_key, call)
            if not isinstance(resolved, claims_.ReplaceableClaim):
                return resolved  # type: ignore[return-value]
            revision = resolved.expected_revision
        return outcomes.Unknown(
            "other sendings of this request are in the way", 503, 1.0
        )

    async def _run_claimed(
        self, call: calls.Call, held: claims_.HeldClaim
    ) -> outcomes.Outcome:
        """Runs a call in a separate task, which the caller cannot cancel.

        A caller that disconnects and retries must get the answer. If the call
        were cancelled when the caller disconnects, its outcome would stay
        unknown forever.
        """
        task = asyncio.create_task(self._forward_claimed(call, held))
        self._track(task)
        try:
            async with asyncio.timeout_at(call.deadline):
                return await asyncio.shield(task)
        except TimeoutError:
            task.add_done_callback(outcomes.release_unused)
            return outcomes.Unknown("it is still running", 504, 1.0)
        except asyncio.CancelledError:
            task.add_done_callback(outcomes.release_unused)
            raise

    async def _forward_claimed(
        self, call: calls.Call, held: claims_.HeldClaim
    ) -> outcomes.Outcome:
        ledger = self._claims.ledger
        release = self._build_release(call)
        try:
            outcome: outcomes.Outcome | None
            outcome = await self._claims.check(held, call)
            if outcome is None:
                extended_call = dataclasses.replace(
                    call,
                    deadline=call.deadline + ANSWER_GRACE_S,
                    extension_s=ANSWER_GRACE_S,
                )
                outcome = await self._forward(extended_call)
            if isinstance(outcome, outcomes.Answered):
                outcome.add_release_callback(release)
                answer = ledgers.copy_answer(outcome)
                ledger.end(held.record, request_pb2.ANSWERED, answer)
                return outcome
            release(outcomes.was_sent(outcome))
            if isinstance(outcome, outcomes.NotRun):
                ledger.end(held.record, request_pb2.RELEASED)
                # Deleted in a task, so that the caller does not wait for a
                # second request to the store.
                self._track(asyncio.create_task(self._claims.release(held)))
            elif isinstance(outcome, outcomes.Ran):
                ledger.end(held.record, request_pb2.ANSWERED)
            return outcome
        except BaseException:
            release()
            raise
        finally:
            # Has no effect if the record was ended above. Otherwise the call
            # may have run.
            ledger.end(held.record, request_pb2.LOST)

    def _track(self, task: asyncio.Task[Any]) -> None:
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _build_release(self, call: calls.Call) -> Callable[..., None]:
        """Returns a callback that releases the slot of a call once.

        Its argument tells whether the call was sent to the backend server.
        """
        released = False

        def release(sent: bool = True) -> None:
            nonlocal released
            if not released:
                released = True
                self._admission.release(call, sent)

        return release


def _build_ran_without_answer() -> outcomes.Ran:
    """Returns the outcome of a call that ran and whose answer is not stored."""
    return outcomes.Ran("it ran before; its answer was not kept", 409)
