"""Selection of the upstream that a call is sent to."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from merlintrestle.requests.load import ranking

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Sequence

    from merlintrestle.members import table as tables
    from merlintrestle.requests.load import observations
    from merlintrestle.requests.load import upstream_notices

# Minimum success rate with which the local backend server is preferred. A hop
# to another daemon only takes a millisecond or two, but a failure loses the
# call.
_MIN_LOCAL_SUCCESS_RATE = 0.8
# Number of attempts for which the local availability zone is preferred. Later
# attempts use all zones, as one zone may have a far higher load than the
# others.
_MAX_LOCAL_ZONE_ATTEMPTS = 3
# Number of random pairs that are compared before all upstreams are searched.
_MAX_PAIR_DRAWS = 3


class UpstreamPool:
    """The upstreams of a service, prepared once for each set of upstreams.

    Attributes:
        upstreams: All upstreams, as the member table returned them.
        local_zone: The upstreams in the local availability zone.
        local: The local backend server; None if it belongs to another service.
    """

    __slots__ = ("local", "local_zone", "upstreams")

    def __init__(
        self, upstreams: tuple[tables.Upstream, ...], zone: str, local_id: str
    ):
        self.upstreams = upstreams
        self.local_zone = tuple(
            upstream for upstream in upstreams if upstream.zone == zone
        )
        self.local: tables.Upstream | None = None
        for upstream in upstreams:
            if upstream.member_id == local_id:
                self.local = upstream


class Picker:
    """Picks upstreams by the observations of this daemon.

    The local backend server is preferred while it has a free slot, to save a
    hop. Otherwise the power of two choices is used: first among the upstreams
    in the local availability zone, then among all upstreams.
    """

    def __init__(
        self,
        zone: str,
        get_local_id: Callable[[], str],
        has_local_capacity: Callable[[], bool],
        get_time: Callable[[], float],
        rng: random.Random | None = None,
    ):
        """Initializes a picker without observations.

        Args:
            zone: The local availability zone.
            get_local_id: Returns the member id of this daemon.
            has_local_capacity: Returns whether the local backend server has a
                free slot.
            get_time: Returns the time in seconds.
            rng: Random number generator; None: a new generator.
        """
        self._zone = zone
        self._get_local_id = get_local_id
        self._has_local_capacity = has_local_capacity
        self._get_time = get_time
        self._rng = rng or random.Random()
        self._observations = ranking.UpstreamObservations()
        self._pools: dict[str, UpstreamPool] = {}

    def get_observation(self, member_id: str) -> observations.Observation:
        """Returns the observation of an upstream."""
        return self._observations.get_observation(member_id)

    @property
    def notices(self) -> upstream_notices.UpstreamNotices:
        """Notices of the backend servers of the upstreams."""
        return self._observations.notices

    def get_details(
        self, upstream: tables.Upstream, count: int
    ) -> ranking.PickDetails:
        """Returns the figures by which an upstream was picked.

        Args:
            upstream: The upstream that was picked.
            count: Number of upstreams that it was picked from.
        """
        return self._observations.get_details(upstream, count, self._get_time())

    def is_zone_peer(self, upstream: tables.Upstream) -> bool:
        """Returns whether an upstream is remote and in the local zone."""
        return (
            upstream.zone == self._zone
            and upstream.member_id != self._get_local_id()
        )

    def pick(
        self,
        service: str,
        upstreams: tuple[tables.Upstream, ...],
        tried: Collection[str],
        probe: bool,
    ) -> tables.Upstream | None:
        """Picks an upstream that was not tried yet.

        Args:
            service: Service of the call.
            upstreams: Upstreams of the service.
            tried: Member ids of the upstreams that the call was already sent
                to.
            probe: Whether the call may probe an ejected upstream.

        Returns:
            The upstream; None: all upstreams were tried, or there are none.
        """
        pool = self._pools.get(service)
        if pool is None or pool.upstreams is not upstreams:
            pool = self._prepare(service, upstreams)
        now = self._get_time()
        local = pool.local
        if (
            local is not None
            and local.member_id not in tried
            and self._has_local_capacity()
            and self._observations.is_available(local, now)
            and self._observations.get_observation(local.member_id).success_rate
            >= _MIN_LOCAL_SUCCESS_RATE
        ):
            return local
        if probe:
            ejected = self._find_probe(pool, tried, now)
            if ejected is not None:
                return ejected
        local_zone = (
            pool.local_zone if len(tried) < _MAX_LOCAL_ZONE_ATTEMPTS else ()
        )
        # Unavailable upstreams are added, so that they are checked only once.
        excluded = set(tried)
        for candidates in (local_zone, pool.upstreams):
            picked = self._draw(candidates, excluded, now)
            if picked is not None:
                return picked
        return self._search(pool.upstreams, tried, excluded, now)

    def _prepare(
        self, service: str, upstreams: tuple[tables.Upstream, ...]
    ) -> UpstreamPool:
        """Builds the pool of a service and updates the observations."""
        previous = self._pools.get(service)
        pool = UpstreamPool(upstreams, self._zone, self._get_local_id())
        self._pools[service] = pool
        now = self._get_time()
        for upstream in upstreams:
            self._observations.add(upstream, now)
        if previous is not None:
            ready_since_ms = {
                upstream.member_id: upstream.ready_since_ms
                for upstream in upstreams
            }
            for known in previous.upstreams:
                if known.member_id not in ready_since_ms:
                    self._observations.remove(known.member_id)
                elif known.ready_since_ms != ready_since_ms[known.member_id]:
                    self._observations.reset(known.member_id, now)
        return pool

    def _find_probe(
        self, pool: UpstreamPool, tried: Collection[str], now: float
    ) -> tables.Upstream | None:
        """Draws a random upstream and returns it if it may be probed."""
        index = int(self._rng.random() * len(pool.upstreams))
        # The slice is empty if there are no upstreams.
        for upstream in pool.upstreams[index : index + 1]:
            if (
                self._observations.may_probe(upstream, now)
                and upstream.member_id not in tried
            ):
                return upstream
        return None

    def _draw(
        self,
        candidates: Sequence[tables.Upstream],
        excluded: set[str],
        now: float,
    ) -> tables.Upstream | None:
        """Returns the better of two random upstreams unless it is full.

        Unavailable upstreams are added to `excluded`. If both of a pair are
        excluded, another pair is drawn.
        """
        count = len(candidates)
        if not count:
            return None
        upstream_observations = self._observations
        best: tables.Upstream | None = None
        for _ in range(_MAX_PAIR_DRAWS):
            for index in self._draw_pair(count):
                upstream = candidates[index]
                if upstream.member_id in excluded or upstream is best:
                    continue
                if not upstream_observations.is_available(upstream, now):
                    excluded.add(upstream.member_id)
                    continue
                if best is None or upstream_observations.is_better(
                    upstream, best, now
                ):
                    best = upstream
            if best is not None:
                return (
                    None if upstream_observations.is_full(best, now) else best
                )
        return None

    def _draw_pair(self, count: int) -> tuple[int, int]:
        """Returns two random indexes below `count`, distinct if possible."""
        draw = self._rng.random
        first = int(draw() * count)
        if count == 1:
            return first, first
        second = int(draw() * (count - 1))
        return first, second + (second >= first)

    def _search(
        self,
        upstreams: Sequence[tables.Upstream],
        tried: Collection[str],
        excluded: set[str],
        now: float,
    ) -> tables.Upstream | None:
        """Returns the best of all upstreams, including unavailable ones.

        If all upstreams seem unhealthy, the observations of this daemon may be
        wrong, so calls are spread over all upstreams instead of refused.
        """
        best: tables.Upstream | None = None
        best_rank = (False, False, 0.0)
        for upstream in upstreams:
            if upstream.member_id in tried:
                continue
            observation = self._observations.get_observation(upstream.member_id)
            available = (
                upstream.member_id not in excluded
                and self._observations.is_available(upstream, now)
            )
            utilization = self._observations.compute_utilization(
                upstream, observation, now
            )
            # The random factor spreads calls over upstreams with nearly the
            # same utilization.
            rank = (
                available,
                not observation.ejected_until,
                -utilization * (1 + self._rng.random() / 8),
            )
            if best is None or rank > best_rank:
                best, best_rank = upstream, rank
        return best
