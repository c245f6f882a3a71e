"""Canary analysis of the new version of a service.

Each backend server of the new version tests its own answers; it is suspect if
this test has raised an alarm. Some backend servers are faulty irrespective of
the version, so a rollback requires several suspects, or too many bad answers of
the other backend servers together.
"""

from __future__ import annotations

import enum
import math
from typing import NamedTuple, TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

# Fractions of a roll-out's time at which the trial phase and the shared phase
# end, counted from the first call of the new version. Some versions fail only
# after several seconds, so the trial phase must not be too short. The remaining
# time is needed to move all calls, since calls in flight must finish first.
_TRIAL_END_FRACTION = 0.3
_SHARED_END_FRACTION = 0.42
# Minimum number of calls before a version leaves the trial phase.
_MIN_VERSION_CALLS = 40
# Minimum number of calls before a backend server that is not suspect counts as
# sampled.
_MIN_SERVER_CALLS = 8
# Minimum number of calls of one class of work before its bad answers can keep a
# version in the trial phase.
_MIN_CALLS_TO_HOLD = 10
# Minimum number of calls of one class of work before its bad answers can roll a
# version back.
_MIN_CALLS_TO_ROLL_BACK = 20
# Standard deviations by which the number of bad answers must exceed the allowed
# number for a version to be rolled back.
_ROLL_BACK_DEVIATIONS = 3.0
# Fraction of the sampled backend servers of the new version that must be
# suspect for the version to be rolled back.
_SUSPECT_FRACTION = 0.5
# Minimum number of suspects for a rollback in a large service. If three of ten
# backend servers are faulty irrespective of the version, the first two in the
# trial phase are both faulty in one of eleven roll-outs, which is too often to
# roll back for two suspects; the first three are in one of forty.
_MIN_SUSPECTS = 3
# Number of backend servers of the new version from which a service is large. In
# a smaller service, `_MIN_SUSPECTS - 1` suspects are enough.
_LARGE_SERVICE_SERVERS = 12
# Bounds of the ratio of a healthy version's answers that may be bad. Between
# them, the ratio depends on the failure ratio of the old version; the factor
# and the slack allow for disturbances, which raise the ratio of the new version
# above that of the old one.
_MIN_ALLOWED_BAD_RATIO = 0.12
_FAILURE_RATIO_FACTOR = 1.5
_FAILURE_RATIO_SLACK = 0.05
_MAX_ALLOWED_BAD_RATIO = 0.6


class Phase(enum.IntEnum):
    """Phase of a roll-out, in the order in which the phases may follow.

    Attributes:
        TRIAL: The new version gets a small share of the calls.
        SHARED: The new version gets a larger share of the calls.
        NEW: The new version gets all calls.
        BACK: The service is rolled back: the old version gets all calls. The
            phase is left only if another daemon has already written that the
            roll-out is complete.
    """

    TRIAL = enum.auto()
    SHARED = enum.auto()
    NEW = enum.auto()
    BACK = enum.auto()


class ClassEvidence(NamedTuple):
    """Number of calls of one class of work, at one or several backend servers.

    Attributes:
        name: Name of the class.
        calls: Number of calls that finished, with or without an answer.
        bad: Number of these calls that failed or were slow.
    """

    name: str
    calls: int
    bad: int


class Evidence(NamedTuple):
    """Evidence from one backend server of the new version.

    Attributes:
        classes: Evidence by class of work.
        observed_s: Time since its first call, in seconds.
        suspect: True if its test has detected too many bad answers.
    """

    classes: tuple[ClassEvidence, ...]
    observed_s: float
    suspect: bool

    @property
    def calls(self) -> int:
        """Number of calls of all classes."""
        return sum(class_evidence.calls for class_evidence in self.classes)

    @property
    def bad(self) -> int:
        """Number of bad calls of all classes."""
        return sum(class_evidence.bad for class_evidence in self.classes)


def get_allowed_bad_ratio(failure_ratio: float) -> float:
    """Returns the ratio of a healthy version's answers that may be bad.

    Args:
        failure_ratio: Ratio of the old version's calls that fail.
    """
    allowed_ratio = max(
        _MIN_ALLOWED_BAD_RATIO,
        _FAILURE_RATIO_FACTOR * failure_ratio + _FAILURE_RATIO_SLACK,
    )
    return min(_MAX_ALLOWED_BAD_RATIO, allowed_ratio)


def choose_phase(
    within_s: float,
    failure_ratios: Mapping[str, float],
    evidence: Sequence[Evidence],
) -> Phase:
    """Returns the phase that the evidence allows.

    Args:
        within_s: Time within which the roll-out must finish, in seconds.
        failure_ratios: Ratio of the old version's calls that fail, by class of
            work.
        evidence: Evidence from each backend server of the new version.
    """
    healthy = [server for server in evidence if not server.suspect]
    sums = _sum_by_class(healthy)
    allowed_ratios = {
        class_sum.name: get_allowed_bad_ratio(
            failure_ratios.get(class_sum.name, 0.0)
        )
        for class_sum in sums
    }
    if _has_too_many_suspects(evidence) or any(
        _exceeds_ratio_significantly(class_sum, allowed_ratios[class_sum.name])
        for class_sum in sums
    ):
        return Phase.BACK
    if sum(class_sum.calls for class_sum in sums) < _MIN_VERSION_CALLS or any(
        _exceeds_allowed_ratio(class_sum, allowed_ratios[class_sum.name])
        for class_sum in sums
    ):
        return Phase.TRIAL
    observed_s = max(server.observed_s for server in healthy)
    if observed_s < _TRIAL_END_FRACTION * within_s:
        return Phase.TRIAL
    return (
        Phase.SHARED
        if observed_s < _SHARED_END_FRACTION * within_s
        else Phase.NEW
    )


def _sum_by_class(evidence: Sequence[Evidence]) -> list[ClassEvidence]:
    """Returns the sums over several backend servers, one for each class.

    The classes are evaluated separately, since a version may fail in one class
    only. In a total, the good answers of the other classes would hide this.
    """
    sums: dict[str, ClassEvidence] = {}
    for server in evidence:
        for name, calls, bad in server.classes:
            _, all_calls, all_bad = sums.get(name, (name, 0, 0))
            sums[name] = ClassEvidence(name, all_calls + calls, all_bad + bad)
    return list(sums.values())


def _exceeds_allowed_ratio(
    class_sum: ClassEvidence, allowed_ratio: float
) -> bool:
    """Returns whether more answers are bad than allowed, perhaps by chance."""
    return (
        class_sum.calls >= _MIN_CALLS_TO_HOLD
        and class_sum.bad > class_sum.calls * allowed_ratio
    )


def _exceeds_ratio_significantly(
    class_sum: ClassEvidence, allowed_ratio: float
) -> bool:
    """Returns whether so many answers are bad that it cannot be by chance."""
    if class_sum.calls < _MIN_CALLS_TO_ROLL_BACK:
        return False
    deviation = math.sqrt(class_sum.calls * allowed_ratio * (1 - allowed_ratio))
    return (
        class_sum.bad
        > class_sum.calls * allowed_ratio + _ROLL_BACK_DEVIATIONS * deviation
    )


def _has_too_many_suspects(evidence: Sequence[Evidence]) -> bool:
    """Returns whether enough backend servers are suspect to roll back.

    If the new version has only one backend server, one suspect is enough:
    continuing with a version that fails harms callers, whereas rolling back a
    healthy version only costs time.
    """
    suspects = sum(server.suspect for server in evidence)
    if not suspects:
        return False
    sampled = [
        server
        for server in evidence
        if server.suspect or server.calls >= _MIN_SERVER_CALLS
    ]
    min_suspects = (
        _MIN_SUSPECTS
        if len(evidence) >= _LARGE_SERVICE_SERVERS
        else _MIN_SUSPECTS - 1
    )
    min_suspects = min(min_suspects, len(evidence))
    return suspects >= max(min_suspects, _SUSPECT_FRACTION * len(sampled))
