"""The way of a call beside its backend server: admitted, then forwarded."""

from __future__ import annotations

import dataclasses
import time
from typing import TYPE_CHECKING

from merlintrestle.requests.calls import outcomes
from merlintrestle.requests.load import repeats
from merlintrestle.requests.unrepeatable import at_most_once

if TYPE_CHECKING:
    from merlintrestle.requests import backend as backends
    from merlintrestle.requests import interfaces
    from merlintrestle.requests.calls import call as calls
    from merlintrestle.requests.crashing import crashes as crashes_
    from merlintrestle.requests.load import admission as admissions
    from merlintrestle.requests.transport import forwarding
    from merlintrestle.requests.unrepeatable import claims as claims_


_ANOTHER_VERSION = outcomes.NotRun(
    "another version of the service gets its calls",
    retry_after_s=0.1,
    elsewhere=True,
)


class LocalRunner:
    """Runs calls on the own backend server.

    Attributes:
        at_most_once: The way of calls that may not be repeated.
        repeats: What of the calls that run here is a repeat.
    """

    def __init__(
        self,
        backend: backends.LocalBackend,
        admission: admissions.Admission,
        forwarder: forwarding.Forwarder,
        claims: claims_.Claims,
        crashes: crashes_.CrashTracker,
        dialect: object,
        observer: interfaces.Observer,
    ):
        """Sets the parts; the dialect is that of the backend server."""
        self._observer = observer
        self._dialect = dialect
        self._backend = backend
        self._admission = admission
        self._forwarder = forwarder
        self._crashes = crashes
        self.repeats = repeats.Repeats()
        self.at_most_once = at_most_once.AtMostOnceRunner(
            claims, admission, self._forward
        )

    async def run(self, call: calls.Call) -> outcomes.Outcome:
        """Admits a call and forwards it, or refuses it as not run."""
        if not self._observer.may_run():
            return _ANOTHER_VERSION
        turn = await self._crashes.acquire_suspect_slot(call)
        if isinstance(turn, outcomes.NotRun):
            return turn
        if turn is None:
            return await self._run(call)
        try:
            outcome = await self._run(call)
        except BaseException:
            turn()
            raise
        if isinstance(outcome, outcomes.Answered):
            outcome.add_release_callback(turn)
        else:
            turn()
        return outcome

    async def _run(self, call: calls.Call) -> outcomes.Outcome:
        if call.key and not call.plan.repeatable:
            return await self.at_most_once.run(call)
        refusal = await self._admission.acquire(call)
        if refusal is not None:
            return refusal
        try:
            outcome = await self._forward(call)
        except BaseException:
            self._admission.release(call)
            raise
        if isinstance(outcome, outcomes.NotRun) and outcome.reached:
            turnover_s = self._admission.estimate_retry_delay(call)
            outcome = dataclasses.replace(outcome, retry_after_s=turnover_s)
        if isinstance(outcome, outcomes.Answered):
            outcome.add_release_callback(lambda: self._admission.release(call))
        else:
            self._admission.release(call)
        return outcome

    async def _forward(self, call: calls.Call) -> outcomes.Outcome:
        # Not the time of the event loop: that is as old as the loop's turn, so
        # a daemon that thaws in the middle of one would not see the pause.
        if time.monotonic() >= call.refuse_by:
            return outcomes.TOO_LATE
        refusal = self._crashes.check(call)
        if refusal is not None:
            return refusal
        self._crashes.begin(call)
        repeat = self.repeats.begin(call)
        began = time.monotonic()
        try:
            outcome = await self._forwarder.send_to_backend(
                self._backend, call, self._dialect
            )
        except BaseException:
            self._crashes.end(call, False)
            self.repeats.end(repeat)
            raise
        self._note_given(outcome)
        self._note(call, outcome)
        if not isinstance(outcome, outcomes.NotRun):
            self._observer.record_answer(
                call.plan.name, _is_failure(outcome), time.monotonic() - began
            )
        if isinstance(outcome, outcomes.Answered):
            outcome.add_release_callback(lambda: self.repeats.end(repeat))
        else:
            self.repeats.end(repeat)
        return outcome

    def _note_given(self, outcome: outcomes.Outcome) -> None:
        """Notes whether the backend server took a call that reached it."""
        if not isinstance(outcome, outcomes.NotRun):
            self._admission.record_acceptance(taken=True)
        elif outcome.reached:
            self._admission.record_acceptance(taken=False)

    def _note(self, call: calls.Call, outcome: outcomes.Outcome) -> None:
        crashes = self._crashes
        if isinstance(outcome, outcomes.Answered):
            outcome.add_release_callback(lambda: self._end(call, outcome))
            return
        if _shows_crash(outcome):
            crashes.record_disconnect()
        crashes.end(call, False)

    def _end(self, call: calls.Call, answered: outcomes.Answered) -> None:
        if answered.truncated:
            self._crashes.record_disconnect()
        self._crashes.end(call, not answered.truncated)


def _is_failure(outcome: outcomes.Outcome) -> bool:
    """Returns whether the backend server failed a call that it took."""
    if isinstance(outcome, outcomes.Answered):
        return outcome.response.status >= outcomes.MIN_SERVER_ERROR_STATUS
    return True


def _shows_crash(outcome: outcomes.Outcome) -> bool:
    if isinstance(outcome, outcomes.NotRun):
        return outcome.unreachable
    if isinstance(outcome, (outcomes.Ran, outcomes.Unknown)):
        return outcome.broken
    return False
