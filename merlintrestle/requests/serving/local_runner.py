"""Execution of calls on the local backend server."""

from __future__ import annotations

import dataclasses
import time
from typing import TYPE_CHECKING

from merlintrestle.requests.calls import outcomes
from merlintrestle.requests.calls import plans
from merlintrestle.requests.load import refusals
from merlintrestle.requests.load import repeats
from merlintrestle.requests.serving import backend_notices
from merlintrestle.requests.transport import forwarding
from merlintrestle.requests.unrepeatable import at_most_once

if TYPE_CHECKING:
    from collections.abc import Callable

    from merlintrestle.requests import backend as backends
    from merlintrestle.requests import interfaces
    from merlintrestle.requests.calls import call as calls
    from merlintrestle.requests.crashing import crashes as crashes_
    from merlintrestle.requests.load import admission as admissions
    from merlintrestle.requests.unrepeatable import claims as claims_


_OTHER_VERSION_ACTIVE = outcomes.NotRun(
    "another version of the service gets its calls",
    retry_after_s=0.1,
    elsewhere=True,
)


class LocalRunner:
    """Admits calls and forwards them to the local backend server.

    Attributes:
        at_most_once: Runs the calls that must not be repeated.
        notices: The notices of the backend server.
        repeats: Counts the calls that run at the backend server, and the
            repeats among them.
        check_drain: Returns the refusal of a call that would be cut by a drain;
            None: it is sent on.
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
        """Initializes the runner.

        Args:
            backend: The local backend server.
            admission: Admits calls to the slots of the backend server.
            forwarder: Sends calls to the backend server.
            claims: Claims on calls that must not be repeated.
            crashes: Tracks which calls were in flight at crashes of the
                backend server.
            dialect: The dialect of the backend server.
            observer: Records the answers of the backend server for roll-outs.
        """
        self.check_drain: Callable[[calls.Call], outcomes.NotRun | None]
        self.check_drain = lambda _: None
        self._observer = observer
        self._dialect = dialect
        self._backend = backend
        self._admission = admission
        self._forwarder = forwarder
        self._crashes = crashes
        self.notices = backend_notices.BackendNotices(
            backend, admission, dialect
        )
        self.repeats = repeats.Repeats()
        self.at_most_once = at_most_once.AtMostOnceRunner(
            claims, admission, self._forward
        )

    async def run(self, call: calls.Call) -> outcomes.Outcome:
        """Admits a call and forwards it to the backend server, or refuses it.

        A call that may crash the backend server also needs the suspect slot,
        so that only one such call runs at a time.
        """
        if not self._observer.may_serve():
            return _OTHER_VERSION_ACTIVE
        release_suspect_slot = await self._crashes.acquire_suspect_slot(call)
        if isinstance(release_suspect_slot, outcomes.NotRun):
            return release_suspect_slot
        if release_suspect_slot is None:
            return await self._run(call)
        try:
            outcome = await self._run(call)
        except BaseException:
            release_suspect_slot()
            raise
        if isinstance(outcome, outcomes.Answered):
            outcome.add_release_callback(release_suspect_slot)
        else:
            release_suspect_slot()
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
            retry_after_s = self._admission.estimate_retry_delay(call)
            outcome = dataclasses.replace(outcome, retry_after_s=retry_after_s)
        if isinstance(outcome, outcomes.Answered):
            outcome.add_release_callback(lambda: self._admission.release(call))
        else:
            self._admission.release(call, outcomes.was_sent(outcome))
        return outcome

    async def _forward(self, call: calls.Call) -> outcomes.Outcome:
        # Not the time of the event loop, as uvloop caches it for each
        # iteration. If the process is suspended during an iteration, the cached
        # time is stale, and a call would be forwarded after its deadline.
        if time.monotonic() >= call.refuse_by:
            return outcomes.TOO_LATE
        # It may have announced this while the call waited for its claim.
        if self._backend.is_leaving:
            return refusals.refuse_not_ready()
        refusal = self.check_drain(call) or self._crashes.check(call)
        if refusal is not None:
            return refusal
        self._crashes.begin(call)
        repeat = self.repeats.begin(call)
        started_at = time.monotonic()
        try:
            outcome = await self._forwarder.send_to_backend(
                self._backend,
                call,
                self._dialect,
                forwarding.BackendObserver(
                    self.notices.build_reader(), self._admission.record_resend
                ),
            )
        except BaseException:
            self._crashes.end(call, False)
            self.repeats.end(repeat)
            raise
        self._record_acceptance(outcome)
        self._track_crashes(call, outcome)
        if not isinstance(outcome, outcomes.NotRun):
            self._observer.record_call(
                # A roll-out compares classes, regardless of the importance
                # that a workspace gives to its calls.
                plans.get_class_name(call.plan),
                _is_failure(outcome),
                time.monotonic() - started_at,
            )
        if isinstance(outcome, outcomes.Answered):
            outcome.add_release_callback(lambda: self.repeats.end(repeat))
        else:
            self.repeats.end(repeat)
        return outcome

    def _record_acceptance(self, outcome: outcomes.Outcome) -> None:
        """Records whether the backend server accepted a call it received."""
        if not isinstance(outcome, outcomes.NotRun):
            self._admission.record_acceptance(accepted=True)
        elif outcome.reached:
            self._admission.record_acceptance(accepted=False)

    def _track_crashes(
        self, call: calls.Call, outcome: outcomes.Outcome
    ) -> None:
        """Notifies the crash tracker of the end of a call or a likely crash."""
        crashes = self._crashes
        if isinstance(outcome, outcomes.Answered):
            outcome.add_release_callback(
                lambda: self._end_tracking(call, outcome)
            )
            return
        if _may_show_crash(outcome):
            crashes.record_disconnect()
        crashes.end(call, False)

    def _end_tracking(
        self, call: calls.Call, answered: outcomes.Answered
    ) -> None:
        if answered.truncated:
            self._crashes.record_disconnect()
        self._crashes.end(call, not answered.truncated)


def _is_failure(outcome: outcomes.Outcome) -> bool:
    """Returns whether a call that the backend server accepted failed."""
    if isinstance(outcome, outcomes.Answered):
        return outcome.response.status >= outcomes.MIN_SERVER_ERROR_STATUS
    return True


def _may_show_crash(outcome: outcomes.Outcome) -> bool:
    """Returns whether the backend server may have crashed during a call."""
    if isinstance(outcome, outcomes.NotRun):
        return outcome.unreachable
    if isinstance(outcome, (outcomes.Ran, outcomes.Unknown)):
        return outcome.broken
    return False
