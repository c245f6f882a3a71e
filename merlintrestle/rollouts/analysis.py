"""Canary analysis: the phase that the evidence on a new version allows."""

from __future__ import annotations

import enum
import math
from typing import NamedTuple, TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

# Fractions of a roll-out's time at which the trial phase and the shared phase
# end, counted from the first call of the new version. Some versions fail only
# after seconds, so the trial phase must last. The time after both phases is for
# moving all calls, which has to wait for calls in flight.
_TRIAL_FRACTION = 0.3
_SHARED_FRACTION = 0.42
# Calls that a version must have answered before it leaves the trial phase.
_MIN_CALLS = 40
# Calls after which a backend server counts as observed.
_MIN_SERVER_CALLS = 8
# Calls of a class of work from which on its bad answers may keep a version in
# the trial phase, or roll it back.
_MIN_DOUBT_CALLS = 10
_MIN_PROOF_CALLS = 20
# Standard deviations above the allowed bad answers that prove a version bad.
_PROOF_DEVIATIONS = 3.0
# Fraction of the observed backend servers of the new version, and their least
# number, that must be suspect for the version to be rolled back. Some backend
# servers are faulty irrespective of the version: if three of ten are, the first
# two in the trial phase are both faulty in one of eleven roll-outs, the first
# three in one of forty.
_SUSPECT_FRACTION = 0.5
_MIN_SUSPECTS = 3
# Backend servers of the new version from which on `_MIN_SUSPECTS` applies; with
# fewer, one suspect less is enough.
_MANY_SERVERS = 12
# Ratio of answers of a healthy version that may be bad: at least the minimum,
# and more if many answers of the old version fail. The factor and the slack
# allow for disturbances, which raise the ratio above that of the old version.
_MIN_ALLOWED_BAD_RATIO = 0.12
_FAILURE_RATIO_FACTOR = 1.5
_FAILURE_RATIO_SLACK = 0.05
_MAX_ALLOWED_BAD_RATIO = 0.6


class Phase(enum.IntEnum):
    """Which version of a service gets its calls."""

    # The new version gets a small share.
    TRIAL = enum.auto()
    # The new version gets a larger share.
    SHARED = enum.auto()
    # The new version gets all calls.
    NEW = enum.auto()
    # The old version gets all calls; this is final.
    BACK = enum.auto()


class ClassEvidence(NamedTuple):
    """Calls of one class of work at one backend server, or at several.

    Attributes:
        name: The class.
        calls: Number of calls that ended, with or without an answer.
        bad: Number of these calls that failed or were slow.
    """

    name: str
    calls: int
    bad: int


class Evidence(NamedTuple):
    """Evidence from one backend server of the new version.

    Attributes:
        classes: The classes of work that it was given.
        watched_s: Time since its first call, in seconds.
        suspect: True if its answers were bad compared to the old version.
    """

    classes: tuple[ClassEvidence, ...]
    watched_s: float
    suspect: bool

    @property
    def calls(self) -> int:
        """Calls of all classes."""
        return sum(work.calls for work in self.classes)

    @property
    def bad(self) -> int:
        """Bad calls of all classes."""
        return sum(work.bad for work in self.classes)


def get_allowed_bad_ratio(failure_ratio: float) -> float:
    """Returns the ratio of a healthy version's answers that may be bad.

    Args:
        failure_ratio: Ratio of the old version's answers that fail.
    """
    allowed = max(
        _MIN_ALLOWED_BAD_RATIO,
        _FAILURE_RATIO_FACTOR * failure_ratio + _FAILURE_RATIO_SLACK,
    )
    return min(_MAX_ALLOWED_BAD_RATIO, allowed)


def choose_phase(
    within_s: float,
    failure_ratios: Mapping[str, float],
    evidence: Sequence[Evidence],
) -> Phase:
    """Returns the phase that the evidence allows.

    Args:
        within_s: Time within which the roll-out has to end, in seconds.
        failure_ratios: Ratio of the old version's answers that fail, by class
            of work.
        evidence: Evidence from each backend server of the new version.
    """
    healthy = [server for server in evidence if not server.suspect]
    classes = _sum_by_class(healthy)
    allowed = {
        work.name: get_allowed_bad_ratio(failure_ratios.get(work.name, 0.0))
        for work in classes
    }
    if _is_version_suspect(evidence) or any(
        _is_proved_bad(work, allowed[work.name]) for work in classes
    ):
        return Phase.BACK
    if sum(work.calls for work in classes) < _MIN_CALLS or any(
        _is_doubtful(work, allowed[work.name]) for work in classes
    ):
        return Phase.TRIAL
    watched_s = max(server.watched_s for server in healthy)
    if watched_s < _TRIAL_FRACTION * within_s:
        return Phase.TRIAL
    return (
        Phase.SHARED if watched_s < _SHARED_FRACTION * within_s else Phase.NEW
    )


def _sum_by_class(evidence: Sequence[Evidence]) -> list[ClassEvidence]:
    """Returns the sums over several backend servers, by class of work.

    The classes are judged separately: a version may fail in one class only,
    which the answers of the other classes would hide.
    """
    sums: dict[str, ClassEvidence] = {}
    for server in evidence:
        for name, calls, bad in server.classes:
            _, all_calls, all_bad = sums.get(name, (name, 0, 0))
            sums[name] = ClassEvidence(name, all_calls + calls, all_bad + bad)
    return list(sums.values())


def _is_doubtful(work: ClassEvidence, allowed: float) -> bool:
    """Returns whether more answers are bad than allowed, perhaps by chance."""
    return work.calls >= _MIN_DOUBT_CALLS and work.bad > work.calls * allowed


def _is_proved_bad(work: ClassEvidence, allowed: float) -> bool:
    """Returns whether chance cannot explain the number of bad answers."""
    if work.calls < _MIN_PROOF_CALLS:
        return False
    deviation = math.sqrt(work.calls * allowed * (1 - allowed))
    return work.bad > work.calls * allowed + _PROOF_DEVIATIONS * deviation


def _is_version_suspect(evidence: Sequence[Evidence]) -> bool:
    """Returns whether enough backend servers are suspect to roll back.

    The only backend server of a new version decides alone: continuing with a
    version that fails harms callers, rolling back a healthy one costs time.
    """
    suspects = sum(server.suspect for server in evidence)
    if not suspects:
        return False
    observed = [
        server
        for server in evidence
        if server.suspect or server.calls >= _MIN_SERVER_CALLS
    ]
    least = (
        _MIN_SUSPECTS if len(evidence) >= _MANY_SERVERS else _MIN_SUSPECTS - 1
    )
    least = min(least, len(evidence))
    return suspects >= max(least, _SUSPECT_FRACTION * len(observed))
