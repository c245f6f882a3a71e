"""Selection of the upstreams to which a call may be sent during a roll-out."""

from __future__ import annotations

from typing import NamedTuple, TYPE_CHECKING

from merlintrestle.rollouts import analysis

if TYPE_CHECKING:
    from merlintrestle.members import table as tables
    from merlintrestle.rollouts import progress as progresses
    from merlintrestle.rollouts import tracker as trackers

# Default share of a service's calls that a new version gets in the trial phase.
TRIAL_SHARE = 0.05
# Share of a service's calls that a new version gets in the shared phase. Limits
# the harm of a fault that appears only under more load: for the second or so
# that the phase takes, this share of the calls is affected instead of all.
_SHARED_PHASE_SHARE = 0.3
# Maximum credit of a daemon for calls to the new version, in calls. With more,
# daemons that were idle could all send their calls to the new version at the
# same time.
_MAX_CREDIT_CALLS = 1.0


class Subset(NamedTuple):
    """Upstreams to which a call may be sent.

    Attributes:
        name: Key of the subset, under which the picker keeps its own data. It
            differs for each subset of a service; without a roll-out, it is the
            name of the service.
        upstreams: The upstreams. The tuple is the same object until the subset
            changes.
    """

    name: str
    upstreams: tuple[tables.Upstream, ...]


class _Partition(NamedTuple):
    """The upstreams of a service, grouped by their version.

    It is recomputed when one of the first four attributes changes.

    Attributes:
        progress: The roll-out.
        old_versions: The old versions that the roll-out replaces.
        upstreams: All upstreams, as given by the member table.
        suspects: Member ids of the backend servers of the new version that gave
            too many bad answers. `Upstream.suspect` means something else: that
            the daemon may have failed.
        old: Upstreams of an old version.
        unknown: Upstreams whose version is not known yet, because their daemon
            has just started. They may be of an old or the new version.
        new: Upstreams of the new version that are not suspect.
        trial: Upstreams of the new version that get calls in the trial phase.
        shared: Upstreams of the new version that get calls in the shared phase.
        remaining: Upstreams that remain after the roll-out: those whose version
            is not one of `old_versions`, such as the new version, later
            versions and unknown ones.
    """

    progress: progresses.Progress
    old_versions: frozenset[str]
    upstreams: tuple[tables.Upstream, ...]
    suspects: frozenset[str]
    old: tuple[tables.Upstream, ...]
    unknown: tuple[tables.Upstream, ...]
    new: tuple[tables.Upstream, ...]
    trial: tuple[tables.Upstream, ...]
    shared: tuple[tables.Upstream, ...]
    remaining: tuple[tables.Upstream, ...]


class SubsetSelector:
    """Selects the upstreams of each attempt by the phase of the roll-out.

    Each daemon sends the same share of its calls to the new version. The new
    version thus gets this share of all calls, without coordination between the
    daemons.
    """

    def __init__(self, tracker: trackers.RolloutTracker, share: float = 0.0):
        """Initializes the selector.

        Args:
            tracker: Tracks the roll-outs of all services.
            share: Share of a service's calls that a new version gets in the
                trial phase, or 0 for the default.
        """
        self._tracker = tracker
        self._share = share or TRIAL_SHARE
        self._credits: dict[str, float] = {}
        self._partitions: dict[str, _Partition] = {}

    def choose(
        self, service: str, upstreams: tuple[tables.Upstream, ...]
    ) -> Subset:
        """Returns the subset that the next attempt of a call may use.

        Args:
            service: Service of the call.
            upstreams: All upstreams of the service.
        """
        progress = self._tracker.get(service)
        if progress is None:
            return Subset(service, upstreams)
        partition = self._get_partition(service, upstreams, progress)
        phase = progress.phase
        if phase is analysis.Phase.NEW:
            return self._choose_in_new_phase(service, partition, progress)
        if phase is analysis.Phase.SHARED:
            share, candidates = _SHARED_PHASE_SHARE, partition.shared
        elif phase is analysis.Phase.TRIAL:
            share, candidates = self._share, partition.trial
        else:
            share, candidates = 0.0, ()
        if self._take_credit(service, share, candidates):
            return Subset(f"{service} {phase.name.lower()}", candidates)
        if not partition.old and self._tracker.may_run_unknown_version(
            progress
        ):
            return Subset(f"{service} unknown", partition.unknown)
        return Subset(f"{service} before", partition.old)

    def _choose_in_new_phase(
        self, service: str, partition: _Partition, progress: progresses.Progress
    ) -> Subset:
        if progress.ended:
            return Subset(
                f"{service} after",
                partition.remaining or partition.upstreams,
            )
        if partition.new:
            return Subset(f"{service} new", partition.new)
        return Subset(f"{service} before", partition.old)

    def _take_credit(
        self,
        service: str,
        share: float,
        candidates: tuple[tables.Upstream, ...],
    ) -> bool:
        """Returns whether an attempt goes to the new version.

        Each attempt adds `share` to the credit of the service, and each attempt
        that goes to the new version takes 1 from it.

        Args:
            service: Service of the call.
            share: Share of the calls that the new version gets.
            candidates: Upstreams of the new version that may get the call.
        """
        credit = self._credits.get(service, 0.0) + share
        if credit < 1.0 or not candidates:
            self._credits[service] = min(credit, _MAX_CREDIT_CALLS)
            return False
        self._credits[service] = credit - 1.0
        return True

    def _get_partition(
        self,
        service: str,
        upstreams: tuple[tables.Upstream, ...],
        progress: progresses.Progress,
    ) -> _Partition:
        """Returns the partition, which is recomputed only after a change."""
        suspects = frozenset(
            member_id
            for member_id in progress.all_new_ids
            if progress.is_suspect(member_id)
        )
        partition = self._partitions.get(service)
        if (
            partition is None
            or partition.progress is not progress
            or partition.old_versions != progress.old_versions
            or partition.upstreams is not upstreams
            or partition.suspects != suspects
        ):
            partition = _group_by_version(
                upstreams, suspects, progress, self._share
            )
            self._partitions[service] = partition
        return partition


def _group_by_version(
    upstreams: tuple[tables.Upstream, ...],
    suspects: frozenset[str],
    progress: progresses.Progress,
    share: float,
) -> _Partition:
    """Groups upstreams by version.

    In the trial and the shared phase, the number of upstreams of the new
    version that get calls is proportional to the share of the new version, so
    that each of them gets as much load as one of the old version. A version
    that fails only under load thus fails before it gets all calls.
    """
    old_versions = progress.old_versions
    old = tuple(
        upstream for upstream in upstreams if progress.is_old(upstream.version)
    )
    unknown = tuple(upstream for upstream in upstreams if not upstream.version)
    new = tuple(
        upstream
        for upstream in upstreams
        if progress.is_new(upstream.version)
        and upstream.member_id not in suspects
    )
    trial = new[: max(1, int(len(old) * share))]
    shared = new[: max(1, int(len(old) * _SHARED_PHASE_SHARE))]
    remaining = tuple(
        upstream
        for upstream in upstreams
        if upstream.version not in old_versions
    )
    return _Partition(
        progress,
        old_versions,
        upstreams,
        suspects,
        old,
        unknown,
        new,
        trial,
        shared,
        remaining,
    )
