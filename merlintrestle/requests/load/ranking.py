"""Comparison of upstreams by what this daemon observed of them."""

from __future__ import annotations

import time
from typing import Any, NamedTuple, TYPE_CHECKING

from merlintrestle.requests import backend
from merlintrestle.requests.load import loads
from merlintrestle.requests.load import observations

if TYPE_CHECKING:
    from merlintrestle.members import table as tables

# Share of its slots that an upstream that just became ready is given at least.
_MIN_COLD_SHARE = 0.1


class PickDetails(NamedTuple):
    """The figures by which an upstream was picked.

    Attributes:
        upstream: The upstream that was picked.
        upstream_count: Number of upstreams it was picked from.
        in_flight: Calls that this daemon sent to it and whose answers have not
            ended.
        consecutive_failures: Failures since its last answer.
        success_rate: Fraction of the recent calls that succeeded.
        load: The last load report of its daemon; None: there is none.
        load_received_at: When the load report was received, in seconds.
        last_answer_at: When it last answered, in seconds; 0: never.
        picked_at: When it was picked, in seconds.
    """

    upstream: tables.Upstream
    upstream_count: int
    in_flight: int
    consecutive_failures: int
    success_rate: float
    load: loads.Load | None
    load_received_at: float
    last_answer_at: float
    picked_at: float

    def describe(self) -> dict[str, Any]:
        """Returns the fields of the log line."""
        return {
            "upstream": self.upstream.member_id,
            "zone": self.upstream.zone,
            "version": self.upstream.version,
            "among": self.upstream_count,
            "in_flight": self.in_flight,
            "suspect": self.upstream.suspect,
            "failures": self.consecutive_failures,
            "soundness": round(self.success_rate, 2),
            "load": self.load and loads.encode_load(self.load),
            "load_age_ms": round(
                (self.picked_at - self.load_received_at) * 1000
            )
            if self.load
            else None,
            "answer_age_ms": round(
                (self.picked_at - self.last_answer_at) * 1000
            )
            if self.last_answer_at
            else None,
        }


class Ranking:
    """Observations of upstreams, and which upstream suits a call better.

    All times are in seconds.
    """

    def __init__(self) -> None:
        """Initializes a ranking without observations."""
        self._observations: dict[str, observations.Observation] = {}
        # When this daemon first knew each upstream as ready, in seconds.
        self._ready_at: dict[str, float] = {}

    def get_observation(self, member_id: str) -> observations.Observation:
        """Returns what was observed of an upstream."""
        observation = self._observations.get(member_id)
        if observation is None:
            observation = observations.Observation()
            self._observations[member_id] = observation
        return observation

    def add(self, upstream: tables.Upstream, now: float) -> None:
        """Records when an upstream became known, unless it is known already."""
        self._ready_at.setdefault(upstream.member_id, now)

    def reset(self, member_id: str, now: float) -> None:
        """Records that a backend server was restarted."""
        self.get_observation(member_id).reset()
        self._ready_at[member_id] = now

    def remove(self, member_id: str) -> None:
        """Removes an upstream that left.

        Its observation is kept while calls to it are in flight, as their
        outcomes are still to be recorded.
        """
        self._ready_at.pop(member_id, None)
        observation = self._observations.get(member_id)
        if observation is None or observation.in_flight:
            return
        del self._observations[member_id]

    def get_details(
        self, upstream: tables.Upstream, count: int, now: float
    ) -> PickDetails:
        """Returns the figures by which an upstream was picked.

        Args:
            upstream: The upstream that was picked.
            count: Number of upstreams.
            now: Time of the pick, in seconds.
        """
        observation = self.get_observation(upstream.member_id)
        return PickDetails(
            upstream,
            count,
            observation.in_flight,
            observation.consecutive_failures,
            observation.success_rate,
            observation.load,
            observation.load_received_at,
            observation.last_answer_at,
            now,
        )

    def is_available(self, upstream: tables.Upstream, now: float) -> bool:
        """Returns whether an upstream looks healthy enough for new calls."""
        observation = self._observations.get(upstream.member_id)
        if observation is None:
            return not upstream.suspect
        if not observation.is_available(now):
            return False
        # A recent answer overrides a suspicion that other daemons report.
        answered_recently = (
            now - observation.last_answer_at < observations.STALL_S
        )
        return answered_recently or not upstream.suspect

    def may_probe(self, upstream: tables.Upstream, now: float) -> bool:
        """Returns whether a call may probe an ejected upstream."""
        observation = self._observations.get(upstream.member_id)
        return observation is not None and observation.may_probe(now)

    def is_full(self, upstream: tables.Upstream, now: float) -> bool:
        """Returns whether it is known to have at least as many calls as slots.

        Calls of other daemons are only known from its load reports.
        """
        calls = self.get_observation(upstream.member_id).estimate_calls(now)
        return calls >= upstream.slots

    def is_better(
        self, candidate: tables.Upstream, best: tables.Upstream, now: float
    ) -> bool:
        """Returns whether a call is better sent to `candidate` than to `best`.

        Where both have reported their load, the expected waiting times are
        compared; otherwise their utilization, multiplied by the latency ratio
        where both are known.
        """
        candidate_seen = self.get_observation(candidate.member_id)
        best_seen = self.get_observation(best.member_id)
        candidate_cost = self.compute_utilization(
            candidate, candidate_seen, now
        )
        best_cost = self.compute_utilization(best, best_seen, now)
        if candidate_seen.load and best_seen.load:
            # Seconds until the call has a slot, plus seconds until its answer
            # can use the link.
            candidate_cost *= candidate_seen.load.hold_s
            candidate_cost += candidate_seen.estimate_backlog_s(now)
            best_cost *= best_seen.load.hold_s
            best_cost += best_seen.estimate_backlog_s(now)
        elif candidate_seen.latency_ratio and best_seen.latency_ratio:
            candidate_cost *= candidate_seen.latency_ratio
            best_cost *= best_seen.latency_ratio
        return candidate_cost < best_cost

    def compute_utilization(
        self,
        upstream: tables.Upstream,
        observation: observations.Observation,
        now: float,
    ) -> float:
        """Returns the utilization that an upstream has with one more call.

        The capacity is scaled by the success rate, as an upstream that fails
        some of its calls may report that it is healthy, and looks idle because
        failures are quick. The rate is squared so that an upstream that fails
        every third call is picked only if its load is less than half of the
        load of the others.
        """
        calls, success_rate = observation.estimate(now)
        capacity = (
            upstream.slots
            * self._get_cold_share(upstream, now)
            * success_rate**2
        )
        return (calls + 1) / capacity

    def _get_cold_share(self, upstream: tables.Upstream, now: float) -> float:
        """Returns the share of its slots that an upstream is given for its age.

        The age is the time since it became ready by the clock of its daemon. If
        that clock is ahead, the age is the time since it became known here: a
        negative age would leave it nearly no calls until the clocks agree.
        """
        age_s = time.time() - upstream.ready_since_ms / 1000
        if age_s < 0:
            age_s = now - self._ready_at.get(upstream.member_id, now)
        if age_s >= backend.COLD_S:
            return 1.0
        return max(_MIN_COLD_SHARE, age_s / backend.COLD_S)
