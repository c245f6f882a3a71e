"""Selection of the upstreams that a call may be sent to during a roll-out."""

from __future__ import annotations

from typing import NamedTuple, TYPE_CHECKING

from merlintrestle.rollouts import analysis

if TYPE_CHECKING:
    from merlintrestle.members import table as tables
    from merlintrestle.rollouts import progress as progresses
    from merlintrestle.rollouts import tracker as trackers

# Default share of a service's calls that a new version gets in the trial phase.
TRIAL_SHARE = 0.05
# Share that it gets in the shared phase. A fault that shows only now harms this
# share of the calls for a second, instead of all calls.
_SHARED_SHARE = 0.3
# Calls to the new version that an idle daemon may accumulate. With more, the
# accumulated calls of all daemons could reach the new version at once.
_MAX_CREDIT_CALLS = 1.0


class Subset(NamedTuple):
    """Upstreams that a call may be sent to.

    Attributes:
        name: Distinguishes the subsets of a service.
        upstreams: The upstreams; the same tuple until something changes.
    """

    name: str
    upstreams: tuple[tables.Upstream, ...]


class _Partition(NamedTuple):
    """The upstreams of a service, grouped by their version.

    Attributes:
        progress: The roll-out for which they are grouped.
        old_versions: The old versions that it knew.
        upstreams: All upstreams, as given by the member table.
        suspects: Ids of the daemons of suspect backend servers.
        old: Upstreams of an old version. An upstream whose version is not known
            yet, because its daemon has just started, may be old or new.
        unknown: Upstreams whose version is not known.
        new: Upstreams of the new version that are not suspect.
        trial: Upstreams of the new version that get calls in the trial phase.
        shared: Upstreams of the new version that get calls in the shared phase.
        not_replaced: Upstreams of a version that does not end with the
            roll-out.
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
    not_replaced: tuple[tables.Upstream, ...]


class SubsetSelector:
    """Selects the upstreams of each send by the phase of the roll-out.

    Each daemon sends a share of its own calls to the new version. Together
    these make up that share of all calls, without coordination between daemons.
    """

    def __init__(self, tracker: trackers.RolloutTracker, share: float = 0.0):
        """Sets the roll-outs and the share of the trial phase.

        Args:
            tracker: The roll-outs.
            share: Share of a service's calls that a new version gets in the
                trial phase; 0: the default.
        """
        self._tracker = tracker
        self._share = share or TRIAL_SHARE
        self._credits: dict[str, float] = {}
        self._partitions: dict[str, _Partition] = {}

    def choose(
        self, service: str, upstreams: tuple[tables.Upstream, ...]
    ) -> Subset:
        """Returns the subset that the next send of a call may use.

        Args:
            service: Service of the call.
            upstreams: All its upstreams.
        """
        progress = self._tracker.get(service)
        if progress is None:
            return Subset(service, upstreams)
        partition = self._get_partition(service, upstreams, progress)
        phase = progress.phase
        if phase is analysis.Phase.NEW:
            return self._choose_in_new_phase(service, partition, progress)
        if phase is analysis.Phase.SHARED:
            share, candidates = _SHARED_SHARE, partition.shared
        elif phase is analysis.Phase.TRIAL:
            share, candidates = self._share, partition.trial
        else:
            share, candidates = 0.0, ()
        if self._take_credit(service, share, candidates):
            return Subset(f"{service} {phase.name.lower()}", candidates)
        if not partition.old and self._tracker.accepts_unknown_version(
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
                partition.not_replaced or partition.upstreams,
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
        """Returns whether a send goes to one of the new version's candidates.

        Each send earns `share` of a call to the new version.
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
        """Returns the partition, computed again only after a change."""
        suspects = frozenset(
            name for name in progress.new_ids_seen if progress.is_suspect(name)
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

    Only as many upstreams of the new version get calls as its share of the
    calls keeps fully loaded. A version that fails under load thus fails before
    it gets all calls.
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
    shared = new[: max(1, int(len(old) * _SHARED_SHARE))]
    not_replaced = tuple(
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
        not_replaced,
    )
