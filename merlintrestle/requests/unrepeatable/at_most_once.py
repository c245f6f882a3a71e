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
# How much longer than its caller the daemon waits for a claimed call, so that
# the answer is available when the caller retries.
GRACE_S = 30.0


class AtMostOnceRunner:
    """Runs calls under claims.

    Attributes:
        tasks: Claimed calls that are running, and claims that are being
            released; they outlive their callers.
    """

    def __init__(
        self,
        claims: claims_.Claims,
        admission: admissions.Admission,
        forward: Callable[[calls.Call], Awaitable[outcomes.Outcome]],
    ):
        """Sets the dependencies; `forward` sends a call to the backend."""
        self.tasks: set[asyncio.Task[Any]] = set()
        self._claims = claims
        self._admission = admission
        self._forward = forward

    def close(self) -> None:
        """Cancels running calls; their outcomes stay unknown."""
        for task in self.tasks:
            task.cancel()

    async def run(self, call: calls.Call) -> outcomes.Outcome:
        """Runs a call, or returns the outcome of an earlier attempt at it."""
        claims = self._claims
        claim_key = claims.build_key(call)
        record = claims.ledger.find_answered(claim_key)
        if (
            record is not None
            and record.request_digest == call.get_request_digest()
        ):
            return record.answer or _build_ran()
        revision = 0
        for _ in range(_MAX_CLAIM_ATTEMPTS):
            refusal = await self._admission.acquire(call)
            if refusal is not None:
                return refusal
            try:
                claim = await claims.acquire(call, claim_key, revision)
            except BaseException:
                self._admission.release(call)
                raise
            if isinstance(claim, claims_.HeldClaim):
                return await self._run_claimed(call, claim)
            self._admission.release(call)
            if isinstance(claim, (outcomes.NotRun, outcomes.Unknown)):
                return claim
            resolved: object = claim
            if isinstance(claim, claims_.ForeignClaim):
                resolved = await claims.resolve(claim, claim_key, call)
            if not isinstance(resolved, claims_.ReleasedClaim):
                return resolved  # type: ignore[return-value]
            revision = resolved.revision
        return outcomes.Unknown(
            "other sendings of this request are in the way", 503, 1.0
        )

    async def _run_claimed(
        self, call: calls.Call, held: claims_.HeldClaim
    ) -> outcomes.Outcome:
        """Runs a call in a separate task, which its caller cannot cancel.

        A caller that disconnects and retries must get the answer. If the call
        were cancelled halfway, the payout would stay "unknown" forever.
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
                    call, deadline=call.deadline + GRACE_S
                )
                outcome = await self._forward(extended_call)
            if isinstance(outcome, outcomes.Answered):
                outcome.add_release_callback(release)
                answer = ledgers.copy_answer(outcome)
                ledger.end(held.record, request_pb2.ANSWERED, answer)
                return outcome
            release()
            if isinstance(outcome, outcomes.NotRun):
                ledger.end(held.record, request_pb2.RELEASED)
                # A task, so that the caller does not wait for the store again.
                self._track(asyncio.create_task(self._claims.release(held)))
            elif isinstance(outcome, outcomes.Ran):
                ledger.end(held.record, request_pb2.ANSWERED)
            return outcome
        except BaseException:
            release()
            raise
        finally:
            # In every other case, the call may have run.
            ledger.end(held.record, request_pb2.LOST)

    def _track(self, task: asyncio.Task[Any]) -> None:
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _build_release(self, call: calls.Call) -> Callable[[], None]:
        released = False

        def release() -> None:
            nonlocal released
            if not released:
                released = True
                self._admission.release(call)

        return release


def _build_ran() -> outcomes.Ran:
    return outcomes.Ran("it ran before; its answer was not kept", 409)
