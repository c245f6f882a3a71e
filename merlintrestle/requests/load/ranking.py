"""Comparison of upstreams by what this daemon observed of them."""

from __future__ import annotations

import time
from typing import Any, NamedTuple, TYPE_CHECKING

from merlintrestle.requests import backend
from merlintrestle.requests.load import loads
from merlintrestle.requests.load import observations
from merlintrestle.requests.load import upstream_notices

if TYPE_CHECKING:
    from merlintrestle.members import table as tables

# An upstream that became ready recently is in slow start: only a fraction of
# its slots counts as capacity. The fraction rises with its age, from this
# minimum.
_MIN_SLOW_START_FRACTION = 0.1


class PickDetails(NamedTuple):
    """The figures by which an upstream was picked.

    Attributes:
        upstream: The upstream that was picked.
        upstream_count: Number of upstreams that it was picked from.
        in_flight: Number of calls that this daemon sent to it and whose
            answers have not ended.
        consecutive_failures: Number of failures since its last answer.
        success_rate: Fraction of the recent calls that succeeded.
        load: The last load report of its daemon; None: there is none.
        load_received_at: When the load report was received, in seconds.
        last_answer_at: When it last answered or refused a call, in seconds; 0:
            never.
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


class UpstreamObservations:
    """Observations of all upstreams, and comparisons of upstreams by them.

    All times are in seconds.

    Attributes:
        notices: Notices of the backend servers of the upstreams.
    """

    def __init__(self) -> None:
        """Initializes an empty collection."""
        self.notices = upstream_notices.UpstreamNotices()
        self._observations: dict[str, observations.Observation] = {}
        # Since when this daemon has known each upstream as ready, in seconds.
        self._known_since: dict[str, float] = {}

    def get_observation(self, member_id: str) -> observations.Observation:
        """Returns the observation of an upstream."""
        observation = self._observations.get(member_id)
        if observation is None:
            observation = observations.Observation()
            self._observations[member_id] = observation
        return observation

    def add(self, upstream: tables.Upstream, now: float) -> None:
        """Records that an upstream is known from now on, if it is new."""
        self._known_since.setdefault(upstream.member_id, now)

    def reset(self, member_id: str, now: float) -> None:
        """Resets the observation after a restart of the backend server."""
        self.get_observation(member_id).reset()
        self._known_since[member_id] = now

    def remove(self, member_id: str) -> None:
        """Removes an upstream that left.

        Its observation is kept while calls to it are in flight, as their
        outcomes have not been recorded yet.
        """
        self._known_since.pop(member_id, None)
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
        """Returns whether an upstream may be picked for new calls."""
        observation = self._observations.get(upstream.member_id)
        if observation is None:
            return not upstream.suspect
        if not observation.is_available(now):
            return False
        # A recent answer overrides a suspicion that other daemons report. It is
        # recent as long as the upstream cannot count as unresponsive.
        answered_recently = (
            now - observation.last_answer_at < observations.MAX_SILENCE_S
        )
        return answered_recently or not upstream.suspect

    def may_probe(self, upstream: tables.Upstream, now: float) -> bool:
        """Returns whether a call may probe an ejected upstream."""
        observation = self._observations.get(upstream.member_id)
        return observation is not None and observation.may_probe(now)

    def is_full(self, upstream: tables.Upstream, now: float) -> bool:
        """Returns whether an upstream has at least as many calls as slots.

        Calls of other daemons are known only from its load reports.
        """
        calls = self.get_observation(upstream.member_id).estimate_calls(now)
        return calls >= upstream.slots

    def is_better(
        self, candidate: tables.Upstream, best: tables.Upstream, now: float
    ) -> bool:
        """Returns whether to prefer `candidate` to `best` for a call.

        If both have reported their load, their expected waiting times are
        compared. Otherwise their utilizations are compared, multiplied by their
        latency ratios if both are known.
        """
        candidate_observation = self.get_observation(candidate.member_id)
        best_observation = self.get_observation(best.member_id)
        candidate_cost = self.compute_utilization(
            candidate, candidate_observation, now
        )
        best_cost = self.compute_utilization(best, best_observation, now)
        if candidate_observation.load and best_observation.load:
            # Expected wait for a slot plus the backlog of the link, in seconds.
            candidate_cost *= candidate_observation.load.hold_s
            candidate_cost += candidate_observation.estimate_backlog_s(now)
            best_cost *= best_observation.load.hold_s
            best_cost += best_observation.estimate_backlog_s(now)
        elif (
            candidate_observation.latency_ratio
            and best_observation.latency_ratio
        ):
            candidate_cost *= candidate_observation.latency_ratio
            best_cost *= best_observation.latency_ratio
        return candidate_cost < best_cost

    def compute_utilization(
        self,
        upstream: tables.Upstream,
        observation: observations.Observation,
        now: float,
    ) -> float:
        """Returns the utilization of an upstream with one more call.

        The capacity is multiplied by the square of the success rate. An
        upstream that fails some of its calls may report that it is healthy, and
        seems idle because failures are quick. With the square, one that fails
        every third call is picked only if its load is less than half of the
        load of the others.
        """
        calls, success_rate = observation.estimate(now)
        capacity = (
            upstream.slots
            * self._get_slow_start_fraction(upstream, now)
            * success_rate**2
        )
        return (calls + 1) / capacity

    def _get_slow_start_fraction(
        self, upstream: tables.Upstream, now: float
    ) -> float:
        """Returns the fraction of its slots that counts as capacity.

        It rises with the age of the upstream, which is the time since it became
        ready by the clock of its daemon. If that clock is ahead, the age is the
        time since this daemon has known the upstream: with a negative age it
        would get hardly any calls until the clocks agree.
        """
        age_s = time.time() - upstream.ready_since_ms / 1000
        if age_s < 0:
            age_s = now - self._known_since.get(upstream.member_id, now)
        if age_s >= backend.WARMUP_S:
            return 1.0
        return max(_MIN_SLOW_START_FRACTION, age_s / backend.WARMUP_S)
