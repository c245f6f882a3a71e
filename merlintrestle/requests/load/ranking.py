"""Weighing: how upstreams compare, by what this daemon saw of them."""

from __future__ import annotations

import time
from typing import Any, NamedTuple, TYPE_CHECKING

from merlintrestle.requests import backend
from merlintrestle.requests.load import loads
from merlintrestle.requests.load import observations

if TYPE_CHECKING:
    from merlintrestle.members import table as tables

_LEAST_SHARE = 0.1


class PickDetails(NamedTuple):
    """What decided that an upstream was picked; times are in seconds.

    Attributes:
        upstream: The one that was picked.
        among: How many there are.
        in_flight: Calls sent to it from here whose answers have not ended.
        failures: Failures in a row.
        soundness: Part of the calls lately that ended well.
        load: What its daemon reported last; None: nothing yet.
        load_at: When that came.
        answered_at: When it last answered; 0: never.
        now: When it was picked.
    """

    upstream: tables.Upstream
    among: int
    in_flight: int
    failures: int
    soundness: float
    load: loads.Load | None
    load_at: float
    answered_at: float
    now: float

    def describe(self) -> dict[str, Any]:
        """Returns the fields of its log line."""
        return {
            "upstream": self.upstream.member_id,
            "zone": self.upstream.zone,
            "version": self.upstream.version,
            "among": self.among,
            "in_flight": self.in_flight,
            "suspect": self.upstream.suspect,
            "failures": self.failures,
            "soundness": round(self.soundness, 2),
            "load": self.load and loads.encode_load(self.load),
            "load_age_ms": round((self.now - self.load_at) * 1000)
            if self.load
            else None,
            "answer_age_ms": round((self.now - self.answered_at) * 1000)
            if self.answered_at
            else None,
        }


class Ranking:
    """Weighs upstreams against each other; times are in seconds."""

    def __init__(self) -> None:
        """Begins with nothing seen."""
        self._observations: dict[str, observations.Observation] = {}
        # When each upstream was first known as ready.
        self._ready_at: dict[str, float] = {}

    def observe(self, member_id: str) -> observations.Observation:
        """Returns what was seen of an upstream."""
        observation = self._observations.get(member_id)
        if observation is None:
            observation = observations.Observation()
            self._observations[member_id] = observation
        return observation

    def add(self, upstream: tables.Upstream, now: float) -> None:
        """Notes since when an upstream is known, unless it was before."""
        self._ready_at.setdefault(upstream.member_id, now)

    def renew(self, member_id: str, now: float) -> None:
        """Notes that a backend server has started anew."""
        self.observe(member_id).reset()
        self._ready_at[member_id] = now

    def forget(self, member_id: str) -> None:
        """Forgets an upstream that is gone, unless calls to it are under way.

        Their outcomes are still to be noted.
        """
        self._ready_at.pop(member_id, None)
        observation = self._observations.get(member_id)
        if observation is None or observation.in_flight:
            return
        del self._observations[member_id]

    def view(
        self, upstream: tables.Upstream, count: int, now: float
    ) -> PickDetails:
        """Returns what decided that an upstream was picked.

        Args:
            upstream: The one that was picked.
            count: How many there are.
            now: Time of the pick, in seconds.
        """
        seen = self.observe(upstream.member_id)
        return PickDetails(
            upstream,
            count,
            seen.in_flight,
            seen.failures,
            seen.success_rate,
            seen.load,
            seen.load_at,
            seen.answered_at,
            now,
        )

    def may_take(self, upstream: tables.Upstream, now: float) -> bool:
        """Returns whether an upstream looks well enough for new work."""
        observation = self._observations.get(upstream.member_id)
        if observation is None:
            return not upstream.suspect
        if not observation.may_take(now):
            return False
        # An answer seen just now goes before a reported suspicion.
        fresh = now - observation.answered_at < observations.STALL_S
        return fresh or not upstream.suspect

    def may_probe(self, upstream: tables.Upstream, now: float) -> bool:
        """Returns whether a call may try if an ejected upstream is well."""
        observation = self._observations.get(upstream.member_id)
        return observation is not None and observation.may_probe(now)

    def is_full(self, upstream: tables.Upstream, now: float) -> bool:
        """Returns whether it has as many calls as slots, as far as is known."""
        calls = self.observe(upstream.member_id).estimate_calls(now)
        return calls >= upstream.slots

    def is_better(
        self, one: tables.Upstream, other: tables.Upstream, now: float
    ) -> bool:
        """Returns whether one more call is better sent to one than another."""
        seen = self.observe(one.member_id)
        other_seen = self.observe(other.member_id)
        weight = self.weigh(one, seen, now)
        other_weight = self.weigh(other, other_seen, now)
        if seen.load and other_seen.load:
            # Seconds until it would have a slot, and its answer the link.
            weight *= seen.load.hold_s
            weight += seen.estimate_backlog_s(now)
            other_weight *= other_seen.load.hold_s
            other_weight += other_seen.estimate_backlog_s(now)
        elif seen.slowness and other_seen.slowness:
            weight *= seen.slowness
            other_weight *= other_seen.slowness
        return weight < other_weight

    def weigh(
        self,
        upstream: tables.Upstream,
        seen: observations.Observation,
        now: float,
    ) -> float:
        """Returns the load that one more call would make.

        An upstream that fails some of its calls counts as fuller than it is:
        its status may well be good, and with its quick failures it looks idle.
        Squared, one that fails every third call is chosen when its load is
        less than half of that of the others.
        """
        calls, soundness = seen.estimate(now)
        room = upstream.slots * self._get_share(upstream, now) * soundness**2
        return (calls + 1) / room

    def _get_share(self, upstream: tables.Upstream, now: float) -> float:
        """Returns the part of its slots that a cold upstream is given.

        It is as old as its daemon's clock says, or as it has been known here:
        one whose daemon's clock is ahead would else seem not to have begun,
        and get next to nothing until the clocks agree.
        """
        age_s = time.time() - upstream.ready_since_ms / 1000
        if age_s < 0:
            age_s = now - self._ready_at.get(upstream.member_id, now)
        if age_s >= backend.COLD_S:
            return 1.0
        return max(_LEAST_SHARE, age_s / backend.COLD_S)
