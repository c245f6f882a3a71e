"""Picking: which upstream gets a call."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from merlintrestle.requests.load import ranking

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Sequence

    from merlintrestle.members import table as tables
    from merlintrestle.requests.load import observations

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
        self._scales = ranking.Ranking()
        self._pools: dict[str, Pool] = {}

    def get_observation(self, member_id: str) -> observations.Observation:
        """Returns what was seen of an upstream."""
        return self._scales.observe(member_id)

    def get_details(
        self, upstream: tables.Upstream, count: int
    ) -> ranking.PickDetails:
        """Returns what decided that an upstream was picked.

        Args:
            upstream: The one that was picked.
            count: How many there are.
        """
        return self._scales.view(upstream, count, self._get_time())

    def is_zone_peer(self, upstream: tables.Upstream) -> bool:
        """Returns whether an upstream is another one in the own zone."""
        return (
            upstream.zone == self._zone and upstream.member_id != self._own_id()
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
            and self._scales.may_take(own, now)
            and self._scales.observe(own.member_id).success_rate >= _SOUND
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
            self._scales.add(upstream, now)
        if before is not None:
            left = {one.member_id: one.ready_since_ms for one in upstreams}
            for known in before.upstreams:
                if known.member_id not in left:
                    self._scales.forget(known.member_id)
                elif known.ready_since_ms != left[known.member_id]:
                    self._scales.renew(known.member_id, now)
        return pool

    def _find_probe(
        self, pool: Pool, tried: Collection[str], now: float
    ) -> tables.Upstream | None:
        index = int(self._chance.random() * len(pool.upstreams))
        for upstream in pool.upstreams[index : index + 1]:
            if (
                self._scales.may_probe(upstream, now)
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
        scales = self._scales
        best: tables.Upstream | None = None
        for _ in range(_DRAWS):
            for index in self._draw_pair(count):
                upstream = among[index]
                if upstream.member_id in avoided or upstream is best:
                    continue
                if not scales.may_take(upstream, now):
                    avoided.add(upstream.member_id)
                    continue
                if best is None or scales.is_better(upstream, best, now):
                    best = upstream
            if best is not None:
                return None if scales.is_full(best, now) else best
        return None

    def _draw_pair(self, count: int) -> tuple[int, int]:
        """Returns two numbers below a count, other ones if there are two."""
        chance = self._chance.random
        first = int(chance() * count)
        if count == 1:
            return first, first
        second = int(chance() * (count - 1))
        return first, second + (second >= first)

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
            seen = self._scales.observe(upstream.member_id)
            may_take = (
                upstream.member_id not in avoided
                and self._scales.may_take(upstream, now)
            )
            weight = self._scales.weigh(upstream, seen, now)
            rank = (
                may_take,
                not seen.ejected_until,
                -weight * (1 + self._chance.random() / 8),
            )
            if best is None or rank > best_rank:
                best, best_rank = upstream, rank
        return best
