"""Statistics: what became of the calls of each class, lately."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from merlintrestle.schema import control_pb2

if TYPE_CHECKING:
    from collections.abc import Callable

    from merlintrestle.documents import snapshot

WINDOW_S = 60.0
_PARTS = 12
_PART_S = WINDOW_S / _PARTS


class Counts:
    """Calls of one class of work in one part of the window."""

    __slots__ = (
        "answered",
        "calls",
        "failed",
        "refused",
        "unknown",
        "within_latency",
    )

    def __init__(self) -> None:
        self.calls = 0
        self.answered = 0
        self.within_latency = 0
        self.refused = 0
        self.failed = 0
        self.unknown = 0


_Key = tuple[str, str, str]


class Statistics:
    """Counts calls by class of work over a sliding window."""

    def __init__(self, get_time: Callable[[], float]):
        """Sets the clock, in seconds."""
        self._get_time = get_time
        self._parts: collections.deque[tuple[int, dict[_Key, Counts]]] = (
            collections.deque(maxlen=_PARTS)
        )

    def get_counts(self, plan: snapshot.ClassPlan) -> Counts:
        """Returns the counts to raise for a call that ends now."""
        number = int(self._get_time() / _PART_S)
        if not self._parts or self._parts[-1][0] != number:
            self._parts.append((number, {}))
        part = self._parts[-1][1]
        key = (plan.organisation, plan.service, plan.name)
        counts = part.get(key)
        if counts is None:
            counts = part[key] = Counts()
        return counts

    def get_statuses(self) -> list[control_pb2.ClassStatus]:
        """Returns the calls of each class over the window."""
        first = int(self._get_time() / _PART_S) - _PARTS
        statuses: dict[_Key, control_pb2.ClassStatus] = {}
        for number, part in self._parts:
            if number <= first:
                continue
            for key, counts in part.items():
                status = statuses.get(key)
                if status is None:
                    status = statuses[key] = control_pb2.ClassStatus(
                        organisation=key[0],
                        service=key[1],
                        name=key[2],
                        window_s=WINDOW_S,
                    )
                _add(status, counts)
        return list(statuses.values())


def _add(status: control_pb2.ClassStatus, counts: Counts) -> None:
    status.calls += counts.calls
    status.answered += counts.answered
    status.within_latency += counts.within_latency
    status.refused += counts.refused
    status.failed += counts.failed
    status.unknown += counts.unknown
