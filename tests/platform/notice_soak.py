"""Soak test in which backend servers state notices in their answers."""

from __future__ import annotations

import asyncio
import time
from typing import NamedTuple

from tests.platform import maintenance_soak

# Time after a notice until an answer has told all daemons that send requests.
_TOLD_S = 1.0
# Time after which a backend server that leaves must get no requests.
_DRAIN_S = 2.0
# Longest time that a restart of a daemon takes.
_RESTART_S = 8.0
# Share by which a backend server may get more than its limit allows, and the
# number of requests that it may get in addition.
_LIMIT_FACTOR = 1.5
_LIMIT_SLACK = 5


class _LimitedSpan(NamedTuple):
    """A span of time in which a backend server states one rate limit.

    Attributes:
        daemon: Index of its daemon.
        rate: The limit, in requests per second.
        began_s: When it was stated first, in seconds of the monotonic clock.
        ended_s: When it was no longer stated.
    """

    daemon: int
    rate: float
    began_s: float
    ended_s: float


class NoticeSoak(maintenance_soak.Soak):
    """Soak test in which backend servers also state notices in their answers.

    They limit their rate, or leave while their heartbeats report that they are
    ready; then a new process takes their place.
    """

    def __init__(self, seed: int):
        """Sets the seed of the random generator."""
        super().__init__(seed)
        self._spans: list[_LimitedSpan] = []
        self._noticed: set[int] = set()
        self._actions |= {
            "limit": self._limit_rate,
            "limit again": self._limit_rate,
            "leave": self._leave_by_answers,
        }

    async def run(self) -> maintenance_soak.SoakResult:
        """Runs the whole soak test."""
        result = await super().run()
        for span in self._spans:
            self._check_span(span)
        return result

    async def _limit_rate(self) -> None:
        """Makes a backend server limit its rate, once or twice in a row."""
        index = self._random.randrange(len(maintenance_soak.SERVICES))
        backend = self._fleet.daemons[index].backend
        if index in self._noticed:
            return
        self._noticed.add(index)
        for _ in range(self._random.randint(1, 2)):
            rate = round(self._random.uniform(1.0, 15.0), 1)
            backend.rate_limit = str(rate)
            began_s = time.monotonic()
            await asyncio.sleep(self._random.uniform(1.5, 4.0))
            self._spans.append(
                _LimitedSpan(index, rate, began_s, time.monotonic())
            )
        backend.rate_limit = ""
        self._noticed.discard(index)

    async def _leave_by_answers(self) -> None:
        """Makes a backend server leave, and replaces its process."""
        index = self._random.randrange(len(maintenance_soak.SERVICES))
        backend = self._fleet.daemons[index].backend
        if index in self._noticed:
            return
        self._noticed.add(index)
        backend.leaving = True
        arrived = len(backend.arrivals)
        # An answer must state it before any daemon can know of it.
        give_up_s = time.monotonic() + _DRAIN_S
        while len(backend.arrivals) == arrived:
            if time.monotonic() > give_up_s:
                break
            await asyncio.sleep(0.05)
        arrived_s = time.monotonic()
        told_s = arrived_s + maintenance_soak.MAX_WORK_MS / 1000
        await asyncio.sleep(
            told_s - arrived_s + _DRAIN_S + self._random.uniform(0.3, 1.5)
        )
        restarted = self._find_restarted(arrived_s)
        for at_s, attempt_id in backend.arrivals[arrived:]:
            if at_s > told_s + _DRAIN_S and (
                self._origins.get(attempt_id) not in restarted
            ):
                self.result.violations.append(
                    f"{attempt_id}: reached a server that had left"
                )
        backend.replace_process()
        self._noticed.discard(index)

    def _check_span(self, span: _LimitedSpan) -> None:
        """Adds a violation if a backend server got more than its limit.

        Requests that began at a daemon that was restarted meanwhile do not
        count, as that daemon could not know of the limit.
        """
        from_s = span.began_s + _TOLD_S
        duration_s = span.ended_s - from_s
        restarted = self._find_restarted(span.began_s)
        arrived = sum(
            from_s <= at_s < span.ended_s
            and self._origins.get(attempt_id) not in restarted
            for at_s, attempt_id in self._fleet.daemons[
                span.daemon
            ].backend.arrivals
        )
        allowed = _LIMIT_FACTOR * span.rate * duration_s + _LIMIT_SLACK
        if arrived > allowed:
            self.result.violations.append(
                f"a server limited to {span.rate} a second got {arrived}"
                f" requests in {duration_s:.1f} s"
            )

    def _find_restarted(self, since_s: float) -> set[int]:
        """Returns the daemons that were restarted since shortly before."""
        return {
            index
            for index, at_s in self._restarts
            if at_s >= since_s - _RESTART_S
        }
