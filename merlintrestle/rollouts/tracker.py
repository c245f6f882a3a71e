"""Tracking of the roll-outs of all services, as known to this daemon."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from merlintrestle import decoding
from merlintrestle import events as event_logs
from merlintrestle.rollouts import analysis
from merlintrestle.rollouts import progress as progress_lib
from merlintrestle.rollouts import records
from merlintrestle.schema import control_pb2

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from merlintrestle.members import table as tables

events = event_logs.EventLog("rollouts")

# Fraction of a roll-out's time after which it is rolled back if it is still in
# the trial or the shared phase. Otherwise, a version that gets too few calls to
# be evaluated would stay there indefinitely. The remaining time is needed to
# write the final state, since the store may answer late.
_DECISION_FRACTION = 0.8
# Time after a rollback until a backend server that has not announced its
# version is assumed to have none, in seconds. Backend servers that announce a
# version do so within a few seconds after the start of their daemon.
_UNKNOWN_VERSION_TIMEOUT_S = 10.0
_MS_PER_S = 1000


class RolloutTracker:
    """Tracks the roll-outs of all services.

    Attributes:
        on_rollout: Called with each order that is new or has a new state.
        on_report: Called with each merged report of a backend server that
            differs from its previous report.
    """

    def __init__(
        self,
        get_upstreams: Callable[[str], tuple[tables.Upstream, ...]],
        get_time: Callable[[], float] = time.monotonic,
    ):
        """Initializes a tracker without roll-outs.

        Args:
            get_upstreams: Returns the upstreams of a service.
            get_time: Returns the monotonic time in seconds.
        """
        self.on_rollout: list[Callable[[control_pb2.Rollout], None]] = []
        self.on_report: list[Callable[[control_pb2.Trial], None]] = []
        self._get_upstreams = get_upstreams
        self._get_time = get_time
        self._progress_by_service: dict[str, progress_lib.Progress] = {}

    def get(self, service: str) -> progress_lib.Progress | None:
        """Returns the last roll-out of a service, which may have ended."""
        return self._progress_by_service.get(service)

    def list_open(self) -> list[progress_lib.Progress]:
        """Returns the roll-outs that have not ended."""
        return [
            progress
            for progress in self._progress_by_service.values()
            if not progress.ended
        ]

    def list_rollouts(self) -> list[control_pb2.Rollout]:
        """Returns all known orders, including those of ended roll-outs."""
        return [
            progress.rollout for progress in self._progress_by_service.values()
        ]

    def list_reports(self) -> list[control_pb2.Trial]:
        """Returns the reports of all backend servers in open roll-outs."""
        return [
            report
            for progress in self.list_open()
            for report in progress.reports.values()
        ]

    def merge(
        self,
        rollouts: Iterable[control_pb2.Rollout],
        reports: Iterable[control_pb2.Trial],
    ) -> None:
        """Merges orders and reports received from another daemon."""
        for rollout in rollouts:
            self.merge_rollout(rollout)
        for report in reports:
            self.merge_report(report)

    def merge_rollout(self, received: control_pb2.Rollout) -> None:
        """Merges an order, and notifies the listeners if it is new or changed.

        An invalid order is logged and ignored.
        """
        if problem := records.find_error(received):
            decoding.count_refused("order of a peer")
            events.warn(
                "order refused", service=received.service, error=problem
            )
            return
        progress = self._progress_by_service.get(received.service)
        current = progress.rollout if progress is not None else None
        chosen = records.choose_rollout(current, received)
        if chosen is None:
            return
        if progress is not None and records.is_written_again(
            progress.rollout, chosen
        ):
            progress.renumber(chosen.number)
            # A final state, or one that is further, is not lost.
            chosen = _keep_state(progress.rollout, chosen)
        elif progress is None or chosen.number != progress.rollout.number:
            progress = progress_lib.Progress(chosen, self._get_time())
            self._progress_by_service[chosen.service] = progress
        progress.rollout = chosen
        events.note(
            "rollout heard",
            service=chosen.service,
            version=chosen.version,
            number=chosen.number,
            within_ms=chosen.within_ms,
            state=control_pb2.RolloutState.Name(chosen.state).lower(),
        )
        self.update(chosen.service)
        for notify in self.on_rollout:
            notify(chosen)

    def merge_report(self, received: control_pb2.Trial) -> None:
        """Merges a backend server's report, and notifies of a change.

        A report that is not on the last order of the service is ignored.
        """
        progress = self._progress_by_service.get(received.service)
        if progress is None:
            return
        if received.number in progress.earlier_numbers:
            received = records.renumber_report(
                received, progress.rollout.number
            )
        if received.number != progress.rollout.number:
            return
        merged = records.merge_report(
            progress.reports.get(received.member_id), received
        )
        if merged is None:
            return
        progress.reports[received.member_id] = merged
        self.update(received.service)
        for notify in self.on_report:
            notify(merged)

    def update(self, service: str) -> None:
        """Updates the phase of a service's roll-out, if there is one."""
        progress = self._progress_by_service.get(service)
        if progress is None:
            return
        progress.classify(self._get_upstreams(service))
        phase = self._choose_phase(progress)
        if phase is not progress.phase:
            self._log_phase_change(progress, phase)
            progress.phase = phase
            progress.phase_started_at = self._get_time()

    def get_phase_age(self, progress: progress_lib.Progress) -> float:
        """Returns the seconds since the phase of a roll-out began."""
        return self._get_time() - progress.phase_started_at

    def is_decision_overdue(self, progress: progress_lib.Progress) -> bool:
        """Returns whether an undecided roll-out must be rolled back."""
        within_s = progress.rollout.within_ms / _MS_PER_S
        age_s = self._get_time() - progress.received_at
        return age_s >= _DECISION_FRACTION * within_s

    def may_run_unknown_version(self, progress: progress_lib.Progress) -> bool:
        """Returns whether a backend server of unknown version may run calls.

        It may not while the roll-out is open, and may after a completed one.
        After a rollback, its daemon may have just started, and its version may
        be the one that was rolled back. It is therefore excluded, but not
        permanently, as it may never announce a version: after some time, it may
        run calls.
        """
        if not progress.ended:
            return False
        if progress.phase is analysis.Phase.NEW:
            return True
        return self.get_phase_age(progress) >= _UNKNOWN_VERSION_TIMEOUT_S

    def _choose_phase(self, progress: progress_lib.Progress) -> analysis.Phase:
        """Returns the phase that the final state or the evidence requires.

        A final state determines the phase. While the roll-out is open, the
        evidence does, and the phase never returns to an earlier one.
        """
        state = progress.rollout.state
        if state == control_pb2.ROLLED_BACK:
            return analysis.Phase.BACK
        if state == control_pb2.COMPLETE:
            return analysis.Phase.NEW
        phase_by_evidence = analysis.choose_phase(
            progress.rollout.within_ms / _MS_PER_S,
            progress.get_failure_ratios(),
            progress.list_evidence(),
        )
        phase = max(phase_by_evidence, progress.phase)
        if phase < analysis.Phase.NEW and self.is_decision_overdue(progress):
            return analysis.Phase.BACK
        return phase

    def _log_phase_change(
        self, progress: progress_lib.Progress, phase: analysis.Phase
    ) -> None:
        evidence = progress.list_evidence()
        events.note(
            "rollout phase",
            service=progress.rollout.service,
            version=progress.rollout.version,
            before=progress.phase.name.lower(),
            phase=phase.name.lower(),
            calls=sum(server.calls for server in evidence),
            bad=sum(server.bad for server in evidence),
            suspects=sum(server.suspect for server in evidence),
            backend_servers=len(evidence),
            failed_before={
                class_name: round(failure_ratio, 3)
                for class_name, failure_ratio in (
                    progress.get_failure_ratios().items()
                )
            },
            age_ms=round((self._get_time() - progress.received_at) * _MS_PER_S),
        )


def _keep_state(
    known: control_pb2.Rollout, written_again: control_pb2.Rollout
) -> control_pb2.Rollout:
    """Returns an order that was written again, with the state it has reached.

    Args:
        known: The order as known, with its number in an earlier era.
        written_again: The order with its number in a later era.
    """
    kept = control_pb2.Rollout()
    kept.CopyFrom(written_again)
    if known.state in records.FINAL_STATES or known.state > kept.state:
        kept.state = known.state
    return kept
