"""Lanes: which upstreams of a service a call may be sent to in a roll-out."""

from __future__ import annotations

from typing import NamedTuple, TYPE_CHECKING

from merlintrestle.rollouts import analysis

if TYPE_CHECKING:
    from merlintrestle.members import table as tables
    from merlintrestle.rollouts import progress as progresses
    from merlintrestle.rollouts import tracker as books

# Part of a service's calls that a new version gets where nothing is set.
TRIAL_SHARE = 0.05
# Part that it gets between its trial and all calls. What shows itself only now
# costs a second of this part instead of one of the whole.
_SHARED_SHARE = 0.3
# Calls for the new version that a quiet daemon may save up: with more, those
# that all daemons saved up would come to it at once.
_MOST_CREDIT = 1.0


class Subset(NamedTuple):
    """Upstreams that a call may be sent to.

    Attributes:
        name: Tells lanes of one service apart.
        upstreams: The upstreams; the same tuple until something changes.
    """

    name: str
    upstreams: tuple[tables.Upstream, ...]


class _Split(NamedTuple):
    """The upstreams of a service by their version.

    Attributes:
        progress: The roll-out that they are divided for.
        old_versions: What it knew of the versions before.
        upstreams: All of them, as the table of members gave them.
        suspects: Daemons beside backend servers that showed bad answers.
        before: Those of the version before. One that has not said its version
            yet, as its daemon has just started, may be of either.
        unknown: Those that have not said their version.
        new: Those of the new one that are not suspect.
        trial: Those of the new one that are on trial.
        shared: Those of the new one that get calls after the trial.
        after: Those of no version that is to end with the roll-out.
    """

    progress: progresses.Progress
    old_versions: frozenset[str]
    upstreams: tuple[tables.Upstream, ...]
    suspects: frozenset[str]
    before: tuple[tables.Upstream, ...]
    unknown: tuple[tables.Upstream, ...]
    new: tuple[tables.Upstream, ...]
    trial: tuple[tables.Upstream, ...]
    shared: tuple[tables.Upstream, ...]
    after: tuple[tables.Upstream, ...]


class SubsetSelector:
    """Chooses the upstreams of each send by the phase of the roll-out.

    Each daemon gives a new version a part of its own sends, so the parts of
    all add up to that part of the whole, and no daemon asks another.
    """

    def __init__(self, book: books.RolloutTracker, share: float = 0.0):
        """Sets what is known of roll-outs.

        Args:
            book: The roll-outs.
            share: Part of a service's calls that a new version gets while it
                is judged; 0: the usual.
        """
        self._book = book
        self._share = share or TRIAL_SHARE
        self._credits: dict[str, float] = {}
        self._splits: dict[str, _Split] = {}

    def choose(
        self, service: str, upstreams: tuple[tables.Upstream, ...]
    ) -> Subset:
        """Returns where the next send of a call may go.

        Args:
            service: Service of the call.
            upstreams: All its upstreams.
        """
        progress = self._book.get(service)
        if progress is None:
            return Subset(service, upstreams)
        split = self._get_split(service, upstreams, progress)
        phase = progress.phase
        if phase is analysis.Phase.NEW:
            return self._choose_new(service, split, progress)
        if phase is analysis.Phase.SHARED:
            share, some = _SHARED_SHARE, split.shared
        elif phase is analysis.Phase.TRIAL:
            share, some = self._share, split.trial
        else:
            share, some = 0.0, ()
        if self._spend(service, share, some):
            return Subset(f"{service} {phase.name.lower()}", some)
        if not split.before and self._book.serves_unknown(progress):
            return Subset(f"{service} unknown", split.unknown)
        return Subset(f"{service} before", split.before)

    def _choose_new(
        self, service: str, split: _Split, progress: progresses.Progress
    ) -> Subset:
        if progress.ended:
            return Subset(f"{service} after", split.after or split.upstreams)
        if split.new:
            return Subset(f"{service} new", split.new)
        return Subset(f"{service} before", split.before)

    def _spend(
        self, service: str, share: float, some: tuple[tables.Upstream, ...]
    ) -> bool:
        """Returns whether a send goes to some of the new version."""
        credit = self._credits.get(service, 0.0) + share
        if credit < 1.0 or not some:
            self._credits[service] = min(credit, _MOST_CREDIT)
            return False
        self._credits[service] = credit - 1.0
        return True

    def _get_split(
        self,
        service: str,
        upstreams: tuple[tables.Upstream, ...],
        progress: progresses.Progress,
    ) -> _Split:
        suspects = frozenset(
            name for name in progress.new if progress.is_suspect(name)
        )
        split = self._splits.get(service)
        if (
            split is None
            or split.progress is not progress
            or split.old_versions != progress.old_versions
            or split.upstreams is not upstreams
            or split.suspects != suspects
        ):
            split = _divide(upstreams, suspects, progress, self._share)
            self._splits[service] = split
        return split


def _divide(
    upstreams: tuple[tables.Upstream, ...],
    suspects: frozenset[str],
    progress: progresses.Progress,
    share: float,
) -> _Split:
    """Divides upstreams by version.

    Only as many of the new ones get calls as their part of the calls keeps
    busy: a version that fails under load shows it there, before it gets all.
    """
    old_versions = progress.old_versions
    before = tuple(one for one in upstreams if progress.is_old(one.version))
    unknown = tuple(one for one in upstreams if not one.version)
    new = tuple(
        one
        for one in upstreams
        if progress.is_new(one.version) and one.member_id not in suspects
    )
    trial = new[: max(1, int(len(before) * share))]
    shared = new[: max(1, int(len(before) * _SHARED_SHARE))]
    after = tuple(one for one in upstreams if one.version not in old_versions)
    return _Split(
        progress,
        old_versions,
        upstreams,
        suspects,
        before,
        unknown,
        new,
        trial,
        shared,
        after,
    )
