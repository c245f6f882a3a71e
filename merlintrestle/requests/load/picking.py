"""Picking: which upstream gets a call."""

from __future__ import annotations

import random
import time
from typing import Any, NamedTuple, TYPE_CHECKING

from merlintrestle.requests import backend
from merlintrestle.requests.load import loads
from merlintrestle.requests.load import observations

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Sequence

    from merlintrestle.members import table as tables

_LEAST_SHARE = 0.1
# The own backend server comes first while so many calls end well there; a hop
# to another daemon costs a millisecond or two, a failure the call.
_SOUND = 0.8
# Tries in the own availability zone before the others are as good: one zone may
# have far more to do than the rest.
_NEAR_TRIES = 3
# Pairs drawn at random before all upstreams are looked through.
_DRAWS = 3


class Pool:
    """The upstreams of a service, prepared once for each set of them.

    Attributes:
        upstreams: The set, as the table of members gave it.
        near: Those in the own availability zone.
        own: The one beside this daemon; None: another service is.
    """

    __slots__ = ("near", "own", "upstreams")

    def __init__(
        self, upstreams: tuple[tables.Upstream, ...], zone: str, own_id: str
    ):
        self.upstreams = upstreams
        self.near = tuple(one for one in upstreams if one.zone == zone)
        self.own: tables.Upstream | None = None
        for upstream in upstreams:
            if upstream.member_id == own_id:
                self.own = upstream


class View(NamedTuple):
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


class Picker:
    """Picks upstreams by what this daemon saw of them itself.

    The own backend server comes first while it has room, as that saves a hop;
    then the better of two drawn in the own zone, then of two drawn in all.
    """

    def __init__(
        self,
        zone: str,
        own_id: Callable[[], str],
        own_has_room: Callable[[], bool],
        get_time: Callable[[], float],
        chance: random.Random | None = None,
    ):
        """Sets the own place, the clock in seconds and the source of chance."""
        self._zone = zone
        self._own_id = own_id
        self._own_has_room = own_has_room
        self._get_time = get_time
        self._chance = chance or random.Random()
        self._observations: dict[str, observations.Observation] = {}
        self._pools: dict[str, Pool] = {}
        # When each upstream was first known as ready, in seconds.
        self._ready_at: dict[str, float] = {}

    def observe(self, member_id: str) -> observations.Observation:
        """Returns what was seen of an upstream."""
        observation = self._observations.get(member_id)
        if observation is None:
            observation = observations.Observation()
            self._observations[member_id] = observation
        return observation

    def is_near(self, upstream: tables.Upstream) -> bool:
        """Returns whether an upstream is another one in the own zone."""
        return (
            upstream.zone == self._zone and upstream.member_id != self._own_id()
        )

    def view(self, upstream: tables.Upstream, count: int) -> View:
        """Returns what decided that an upstream was picked.

        Args:
            upstream: The one that was picked.
            count: How many there are.
        """
        seen = self.observe(upstream.member_id)
        return View(
            upstream,
            count,
            seen.in_flight,
            seen.failures,
            seen.soundness,
            seen.load,
            seen.load_at,
            seen.answered_at,
            self._get_time(),
        )

    def pick(
        self,
        service: str,
        upstreams: tuple[tables.Upstream, ...],
        tried: Collection[str],
        probe: bool,
    ) -> tables.Upstream | None:
        """Returns an upstream that was not tried yet; None: there is none.

        Args:
            service: Service of the call.
            upstreams: Its upstreams.
            tried: Ids of those that the call was sent to already.
            probe: The call may be the one that tries an ejected upstream.
        """
        pool = self._pools.get(service)
        if pool is None or pool.upstreams is not upstreams:
            pool = self._prepare(service, upstreams)
        now = self._get_time()
        own = pool.own
        if (
            own is not None
            and own.member_id not in tried
            and self._own_has_room()
            and self._may_take(own, now)
            and self.observe(own.member_id).soundness >= _SOUND
        ):
            return own
        if probe:
            due = self._find_probe(pool, tried, now)
            if due is not None:
                return due
        near = pool.near if len(tried) < _NEAR_TRIES else ()
        # What was found to take no work is not looked at again for this call.
        avoided = set(tried)
        for among in (near, pool.upstreams):
            picked = self._draw(among, avoided, now)
            if picked is not None:
                return picked
        return self._search(pool.upstreams, tried, avoided, now)

    def _prepare(
        self, service: str, upstreams: tuple[tables.Upstream, ...]
    ) -> Pool:
        before = self._pools.get(service)
        pool = Pool(upstreams, self._zone, self._own_id())
        self._pools[service] = pool
        now = self._get_time()
        for upstream in upstreams:
            self._ready_at.setdefault(upstream.member_id, now)
        if before is not None:
            left = {one.member_id: one.ready_since_ms for one in upstreams}
            for known in before.upstreams:
                if known.member_id not in left:
                    self._forget(known.member_id)
                elif known.ready_since_ms != left[known.member_id]:
                    self.observe(known.member_id).renew()
                    self._ready_at[known.member_id] = now
        return pool

    def _forget(self, member_id: str) -> None:
        self._ready_at.pop(member_id, None)
        observation = self._observations.get(member_id)
        if observation is None or observation.in_flight:
            return
        del self._observations[member_id]

    def _find_probe(
        self, pool: Pool, tried: Collection[str], now: float
    ) -> tables.Upstream | None:
        index = int(self._chance.random() * len(pool.upstreams))
        for upstream in pool.upstreams[index : index + 1]:
            observation = self._observations.get(upstream.member_id)
            if (
                observation is not None
                and observation.may_probe(now)
                and upstream.member_id not in tried
            ):
                return upstream
        return None

    def _draw(
        self,
        among: Sequence[tables.Upstream],
        avoided: set[str],
        now: float,
    ) -> tables.Upstream | None:
        """Returns the better of two drawn that may take work and have room.

        Those that may take none are added to `avoided`.
        """
        count = len(among)
        if not count:
            return None
        best: tables.Upstream | None = None
        chance = self._chance.random
        for _ in range(_DRAWS):
            first = int(chance() * count)
            second = int(chance() * (count - 1)) if count > 1 else first
            second += second >= first and count > 1
            for index in (first, second):
                upstream = among[index]
                if upstream.member_id in avoided or upstream is best:
                    continue
                if not self._may_take(upstream, now):
                    avoided.add(upstream.member_id)
                    continue
                if best is None or self._is_better(upstream, best, now):
                    best = upstream
            if best is not None:
                calls = self.observe(best.member_id).estimate_calls(now)
                return None if calls >= best.slots else best
        return None

    def _search(
        self,
        upstreams: Sequence[tables.Upstream],
        tried: Collection[str],
        avoided: set[str],
        now: float,
    ) -> tables.Upstream | None:
        """Returns the best of all, also of those that are better avoided.

        When everything looks ill, what looks ill may be the view from here:
        work is spread over all rather than refused.
        """
        best: tables.Upstream | None = None
        best_rank = (False, False, 0.0)
        for upstream in upstreams:
            if upstream.member_id in tried:
                continue
            seen = self.observe(upstream.member_id)
            may_take = upstream.member_id not in avoided and self._may_take(
                upstream, now
            )
            weight = self._weigh(upstream, seen, now)
            rank = (
                may_take,
                not seen.ejected_until,
                -weight * (1 + self._chance.random() / 8),
            )
            if best is None or rank > best_rank:
                best, best_rank = upstream, rank
        return best

    def _may_take(self, upstream: tables.Upstream, now: float) -> bool:
        observation = self._observations.get(upstream.member_id)
        if observation is None:
            return not upstream.suspect
        if not observation.may_take(now):
            return False
        # An answer seen just now goes before a reported suspicion.
        fresh = now - observation.answered_at < observations.STALL_S
        return fresh or not upstream.suspect

    def _is_better(
        self, one: tables.Upstream, other: tables.Upstream, now: float
    ) -> bool:
        seen = self.observe(one.member_id)
        other_seen = self.observe(other.member_id)
        weight = self._weigh(one, seen, now)
        other_weight = self._weigh(other, other_seen, now)
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

    def _weigh(
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
