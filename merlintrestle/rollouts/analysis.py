"""Judgement: how far a roll-out may go by what was seen of the new version."""

from __future__ import annotations

import enum
import math
from typing import NamedTuple, TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

# Parts of the time of a roll-out, counted from the first call that the new
# version got. Some versions fail only after seconds, so a trial must last; what
# is left afterwards is for the move, which calls in flight hold up.
_TRIAL_PART = 0.3
_SHARED_PART = 0.42
# Calls that a version must have answered before it is held for good.
_LEAST_CALLS = 40
# Calls after which a backend server counts as one that was seen.
_SEEN_CALLS = 8
# Calls of a class of work after which it may hold up a version, or end it.
_LEAST_CLASS_CALLS = 10
_TELLING_CALLS = 20
# Standard deviations beyond what is allowed that prove a version bad.
_DEVIATIONS = 3.0
# Part of the new backend servers that must be suspect for their version to be,
# and how many at least. Some are sick by themselves: where three of ten are,
# the first two on trial are both so in one of eleven roll-outs, the first three
# in one of forty.
_SUSPECT_PART = 0.5
_LEAST_SUSPECTS = 3
# Backend servers of which so many are asked for; of fewer, one less.
_MANY = 12
# What may be bad of the answers of a sound version: a part beside those that
# fail of the version before, which disturbances make more than they are.
_ALLOWED_BAD = 0.12
_FAILED_FACTOR = 1.5
_FAILED_SLACK = 0.05
_MOST_ALLOWED = 0.6


class Phase(enum.IntEnum):
    """Which version of a service gets its calls."""

    # The new one gets a small part.
    TRIAL = enum.auto()
    # The new one gets a greater part.
    SHARED = enum.auto()
    # The new one gets all.
    NEW = enum.auto()
    # The one before gets all, for good.
    BACK = enum.auto()


class ClassEvidence(NamedTuple):
    """What was seen of one class of work at one backend server.

    Attributes:
        name: The class.
        calls: Calls that were answered, or given and not answered.
        bad: Those of them that failed or were slow.
    """

    name: str
    calls: int
    bad: int


class Evidence(NamedTuple):
    """What was seen of one backend server of the new version.

    Attributes:
        classes: The classes of work that it was given.
        watched_s: Time for which it has had calls, in seconds.
        suspect: Its answers were bad for the version before.
    """

    classes: tuple[ClassEvidence, ...]
    watched_s: float
    suspect: bool

    @property
    def calls(self) -> int:
        """Calls of all classes."""
        return sum(one.calls for one in self.classes)

    @property
    def bad(self) -> int:
        """Those of them that were bad."""
        return sum(one.bad for one in self.classes)


def get_allowed_bad(failed: float) -> float:
    """Returns the part of a sound version's answers that may be bad.

    Args:
        failed: Part that fails of the answers of the version before.
    """
    allowed = max(_ALLOWED_BAD, _FAILED_FACTOR * failed + _FAILED_SLACK)
    return min(_MOST_ALLOWED, allowed)


def judge(
    within_s: float,
    failed: Mapping[str, float],
    evidence: Sequence[Evidence],
) -> Phase:
    """Returns the phase that the evidence allows.

    Args:
        within_s: Time that the roll-out has, in seconds.
        failed: Part that fails of the answers of the version before, by class
            of work.
        evidence: What was seen of each backend server of the new version.
    """
    sound = [one for one in evidence if not one.suspect]
    classes = _add_up(sound)
    allowed = {
        one.name: get_allowed_bad(failed.get(one.name, 0.0)) for one in classes
    }
    if _are_suspect(evidence) or any(
        _is_proved_bad(one, allowed[one.name]) for one in classes
    ):
        return Phase.BACK
    if sum(one.calls for one in classes) < _LEAST_CALLS or any(
        _is_doubtful(one, allowed[one.name]) for one in classes
    ):
        return Phase.TRIAL
    watched_s = max(one.watched_s for one in sound)
    if watched_s < _TRIAL_PART * within_s:
        return Phase.TRIAL
    return Phase.SHARED if watched_s < _SHARED_PART * within_s else Phase.NEW


def _add_up(evidence: Sequence[Evidence]) -> list[ClassEvidence]:
    """Returns the sums over several backend servers, by class of work.

    A version may fail one class alone, which the others would hide.
    """
    sums: dict[str, ClassEvidence] = {}
    for one in evidence:
        for name, calls, bad in one.classes:
            _, all_calls, all_bad = sums.get(name, (name, 0, 0))
            sums[name] = ClassEvidence(name, all_calls + calls, all_bad + bad)
    return list(sums.values())


def _is_doubtful(one: ClassEvidence, allowed: float) -> bool:
    """Returns whether more is bad than may be, though it may be chance."""
    return one.calls >= _LEAST_CLASS_CALLS and one.bad > one.calls * allowed


def _is_proved_bad(one: ClassEvidence, allowed: float) -> bool:
    """Returns whether more is bad than chance makes of what may be."""
    if one.calls < _TELLING_CALLS:
        return False
    deviation = math.sqrt(one.calls * allowed * (1 - allowed))
    return one.bad > one.calls * allowed + _DEVIATIONS * deviation


def _are_suspect(evidence: Sequence[Evidence]) -> bool:
    """Returns whether so many backend servers are suspect that all are.

    Where there is but one, what it shows counts alone: to go on with a version
    that fails harms callers, to go back from a sound one costs time.
    """
    suspects = sum(one.suspect for one in evidence)
    if not suspects:
        return False
    seen = [one for one in evidence if one.suspect or one.calls >= _SEEN_CALLS]
    least = _LEAST_SUSPECTS if len(evidence) >= _MANY else _LEAST_SUSPECTS - 1
    least = min(least, len(evidence))
    return suspects >= max(least, _SUSPECT_PART * len(seen))
