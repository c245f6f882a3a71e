"""The book: what this daemon knows of the roll-outs of all services."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from merlintrestle import events as event_logs
from merlintrestle.rollouts import analysis
from merlintrestle.rollouts import progress as progress_lib
from merlintrestle.rollouts import records
from merlintrestle.schema import control_pb2

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from merlintrestle.members import table as tables

events = event_logs.EventLog("rollouts")

# Part of its time after which a roll-out that is not decided goes back: a
# version that got too few calls to be judged is not held for good. What is left
# is for the end to be written, also where the store answers late.
_DECIDED_PART = 0.8
# Time after which a backend server that has not said its version is taken for
# one that never does, in seconds. The others say it a few seconds after their
# daemon has started.
_SILENT_S = 10.0
_MS = 1000


class RolloutTracker:
    """The roll-outs of all services.

    Attributes:
        on_rollout: Called with each order, or its end, that is news.
        on_trial: Called with each record of a backend server that is news.
    """

    def __init__(
        self,
        get_upstreams: Callable[[str], tuple[tables.Upstream, ...]],
        get_time: Callable[[], float] = time.monotonic,
    ):
        """Starts without roll-outs.

        Args:
            get_upstreams: Returns the upstreams of a service.
            get_time: Returns the monotonic time in seconds.
        """
        self.on_rollout: list[Callable[[control_pb2.Rollout], None]] = []
        self.on_trial: list[Callable[[control_pb2.Trial], None]] = []
        self._get_upstreams = get_upstreams
        self._get_time = get_time
        self._services: dict[str, progress_lib.Progress] = {}

    def get(self, service: str) -> progress_lib.Progress | None:
        """Returns the roll-out of a service, also one that ended."""
        return self._services.get(service)

    def list_open(self) -> list[progress_lib.Progress]:
        """Returns the roll-outs that have no end yet."""
        return [one for one in self._services.values() if not one.ended]

    def list_rollouts(self) -> list[control_pb2.Rollout]:
        """Returns all orders known, ended ones included."""
        return [one.rollout for one in self._services.values()]

    def list_trials(self) -> list[control_pb2.Trial]:
        """Returns what was seen beside backend servers in open roll-outs."""
        return [
            trial for one in self.list_open() for trial in one.trials.values()
        ]

    def merge(
        self,
        rollouts: Iterable[control_pb2.Rollout],
        trials: Iterable[control_pb2.Trial],
    ) -> None:
        """Takes in what another daemon, or the store, tells."""
        for rollout in rollouts:
            self.merge_rollout(rollout)
        for trial in trials:
            self.merge_trial(trial)

    def merge_rollout(self, told: control_pb2.Rollout) -> None:
        """Takes in an order or its end, if it is news."""
        if fault := records.find_fault(told):
            events.warn("order refused", service=told.service, error=fault)
            return
        progress = self._services.get(told.service)
        held = progress.rollout if progress is not None else None
        kept = records.choose_rollout(held, told)
        if kept is None:
            return
        if progress is None or kept.number != progress.rollout.number:
            progress = progress_lib.Progress(kept, self._get_time())
            self._services[kept.service] = progress
        progress.rollout = kept
        events.note(
            "rollout heard",
            service=kept.service,
            version=kept.version,
            number=kept.number,
            within_ms=kept.within_ms,
            state=control_pb2.RolloutState.Name(kept.state).lower(),
        )
        self.update(kept.service)
        for notify in self.on_rollout:
            notify(kept)

    def merge_trial(self, told: control_pb2.Trial) -> None:
        """Takes in what was seen beside a backend server, if it is news."""
        progress = self._services.get(told.service)
        if progress is None or told.number != progress.rollout.number:
            return
        merged = records.merge_trial(progress.trials.get(told.member_id), told)
        if merged is None:
            return
        progress.trials[told.member_id] = merged
        self.update(told.service)
        for notify in self.on_trial:
            notify(merged)

    def update(self, service: str) -> None:
        """Judges the roll-out of a service anew, if there is one."""
        progress = self._services.get(service)
        if progress is None:
            return
        progress.sort(self._get_upstreams(service))
        phase = self._choose_phase(progress)
        if phase is not progress.phase:
            self._note_phase(progress, phase)
            progress.phase = phase
            progress.phase_at = self._get_time()

    def get_phase_age(self, progress: progress_lib.Progress) -> float:
        """Returns the seconds since the phase of a roll-out began."""
        return self._get_time() - progress.phase_at

    def is_due(self, progress: progress_lib.Progress) -> bool:
        """Returns whether a roll-out has used up the time to decide."""
        within_s = progress.rollout.within_ms / _MS
        age_s = self._get_time() - progress.heard_at
        return age_s >= _DECIDED_PART * within_s

    def serves_unknown(self, progress: progress_lib.Progress) -> bool:
        """Returns whether a backend server that says no version may run calls.

        It may be of the version that went back, beside a daemon that has just
        started. One that never says its version is not closed for good.
        """
        if not progress.ended:
            return False
        if progress.phase is analysis.Phase.NEW:
            return True
        return self.get_phase_age(progress) >= _SILENT_S

    def _choose_phase(self, progress: progress_lib.Progress) -> analysis.Phase:
        state = progress.rollout.state
        if state == control_pb2.ROLLED_BACK:
            return analysis.Phase.BACK
        if state == control_pb2.COMPLETE:
            return analysis.Phase.NEW
        judged = analysis.judge(
            progress.rollout.within_ms / _MS,
            progress.get_failed(),
            progress.list_evidence(),
        )
        phase = max(judged, progress.phase)
        if phase < analysis.Phase.NEW and self.is_due(progress):
            return analysis.Phase.BACK
        return phase

    def _note_phase(
        self, progress: progress_lib.Progress, phase: analysis.Phase
    ) -> None:
        evidence = progress.list_evidence()
        events.note(
            "rollout phase",
            service=progress.rollout.service,
            version=progress.rollout.version,
            before=progress.phase.name.lower(),
            phase=phase.name.lower(),
            calls=sum(one.calls for one in evidence),
            bad=sum(one.bad for one in evidence),
            suspects=sum(one.suspect for one in evidence),
            backend_servers=len(evidence),
            failed_before={
                name: round(part, 3)
                for name, part in progress.get_failed().items()
            },
            age_ms=round((self._get_time() - progress.heard_at) * _MS),
        )
