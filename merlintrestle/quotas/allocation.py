"""The tokens that a coordinator grants during one term."""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

from merlintrestle import clocks
from merlintrestle.quotas import bounds as bounds_lib
from merlintrestle.schema import quota_pb2

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from merlintrestle.documents import snapshot

# Share of the tokens in circulation that is kept for calls that wait, and is
# not granted in advance.
_RESERVED_SHARE = 0.3
# A daemon whose need was not met is counted as competing for this long.
_COMPETITION_S = 2.0
# Bounds of the time after which a daemon may ask again because of a call. The
# least one exceeds the interval of its regular requests, which also ask for the
# workspaces over their quota, so that calls cause none of their own.
_MIN_RETRY_S = 1.0
_MAX_RETRY_S = 5.0
# Least time until a workspace with few tokens for its rate has all of them;
# those of further time would be lost.
_MAX_RETRY_FILL = 0.5
_MS_PER_S = 1000


@dataclasses.dataclass(slots=True)
class _Holding:
    """Tokens that one process was granted and may still spend."""

    count: int
    expires_at: float
    spent: int


class _Bucket:
    """Tokens of one workspace.

    `level + outstanding` never exceeds the cap, also between two updates.
    """

    def __init__(self, now: float, is_full: bool):
        self.rate = 0.0
        self.circulation = 0.0
        self.removed_at: float | None = None
        self.level = math.inf if is_full else 0.0
        self.outstanding = 0
        self.competitors: dict[int, float] = {}
        self.holdings: dict[int, _Holding] = {}
        self._updated_at = now
        self._next_expiry = math.inf

    def advance(self, now: float, settled_at: float) -> None:
        """Refills up to the present, with the cap that held at each time."""
        while self._updated_at < now:
            until = min(now, self._next_expiry)
            if self._updated_at < settled_at:
                until = min(until, settled_at)
            until = max(until, self._updated_at)
            self.level += (until - self._updated_at) * self.rate
            # The cap before `until` applies, as a larger one begins only then.
            self.limit_level(self._updated_at >= settled_at)
            self._updated_at = until
            if self._next_expiry <= until:
                self._remove_expired(until)

    def limit_level(self, is_settled: bool) -> None:
        """Applies the cap."""
        room = self.get_cap(is_settled) - self.outstanding
        self.level = max(0.0, min(self.level, room))

    def get_cap(self, is_settled: bool) -> float:
        """Returns the largest number of tokens in circulation."""
        share = (
            bounds_lib.SETTLED_SHARE
            if is_settled
            else bounds_lib.UNSETTLED_SHARE
        )
        return share * self.circulation

    def record_report(
        self, process: int, report: quota_pb2.TokenRequest
    ) -> None:
        """Takes back the tokens that a process neither spent nor holds."""
        holding = self.holdings.get(process)
        if holding is None:
            return
        spent = max(0, report.spent - holding.spent)
        unspent = max(0, holding.count - spent)
        held = min(report.held, unspent)
        self.level += unspent - held
        self.outstanding += held - holding.count
        holding.count = held
        holding.spent = max(holding.spent, report.spent)

    def grant(
        self,
        process: int,
        report: quota_pb2.TokenRequest,
        now: float,
        is_settled: bool,
    ) -> quota_pb2.TokenGrant:
        """Grants what a process needs, and what it wants if there is plenty."""
        granted = min(report.needed, int(self.level))
        unmet = report.needed - granted
        granted += min(report.wanted, self._count_spare(process, granted, now))
        if granted:
            self.level -= granted
            self._add_tokens(process, granted, report.spent, now)
        if unmet:
            self.competitors[process] = now
        # A daemon whose need was not met a moment ago is told at once when it
        # gets the last tokens, so that its next call sends no request.
        is_over = unmet or (self.level < 1 and self._competes(process, now))
        retry_s = self._compute_retry(now, is_settled) if is_over else 0.0
        return quota_pb2.TokenGrant(
            workspace=report.workspace,
            granted=granted,
            retry_after_ms=math.ceil(retry_s * _MS_PER_S),
        )

    def _add_tokens(
        self, process: int, granted: int, spent: int, now: float
    ) -> None:
        expires_at = now + bounds_lib.COUNTED_LIFETIME_S
        self._next_expiry = min(self._next_expiry, expires_at)
        self.outstanding += granted
        holding = self.holdings.get(process)
        if holding is None:
            self.holdings[process] = _Holding(granted, expires_at, spent)
            return
        holding.count += granted
        # The earlier tokens expire sooner, but it is safe to count them longer.
        holding.expires_at = expires_at

    def _count_spare(self, process: int, granted: int, now: float) -> int:
        """Returns how many tokens may be granted in advance.

        Daemons that compete for tokens share all of them: what one of them does
        not get now it requests with one of its next calls.
        """
        if self._competes(process, now):
            return int((self.level - granted) / len(self.competitors))
        reserve = _RESERVED_SHARE * (self.level + self.outstanding)
        return int(max(0.0, self.level - granted - reserve))

    def _competes(self, process: int, now: float) -> bool:
        at = self.competitors.get(process, -math.inf)
        return now - at <= _COMPETITION_S

    def _compute_retry(self, now: float, is_settled: bool) -> float:
        """Returns when a process should ask again, in seconds.

        The processes that compete for the tokens take turns.
        """
        if len(self.competitors) > 1:
            self.competitors = {
                competitor: at
                for competitor, at in self.competitors.items()
                if now - at <= _COMPETITION_S
            }
        missing = max(1, len(self.competitors)) - self.level
        fill_s = _MAX_RETRY_FILL * self.get_cap(is_settled) / self.rate
        least_s = min(_MIN_RETRY_S, fill_s)
        return min(_MAX_RETRY_S, max(least_s, missing / self.rate))

    def _remove_expired(self, now: float) -> None:
        self._next_expiry = math.inf
        for process, holding in list(self.holdings.items()):
            if holding.expires_at <= now:
                # They may have been spent, so they do not return to the level.
                self.outstanding -= holding.count
                del self.holdings[process]
            else:
                self._next_expiry = min(self._next_expiry, holding.expires_at)


class Allocation:
    """The tokens of all workspaces during one term of a coordinator.

    Attributes:
        epoch: Epoch of the term.
        granted: Number of tokens that were granted.
        settled_at: Time at which no token of an earlier coordinator can be in
            use any more.
    """

    def __init__(
        self,
        epoch: int,
        bounds: bounds_lib.Bounds,
        starts_at: float,
        settled_at: float,
        get_time: Callable[[], float] = clocks.get_boot_time,
        starts_full: bool = False,
    ):
        """Initializes the allocation without a workspace.

        Args:
            epoch: Epoch of the term.
            bounds: Bounds on the calls of each workspace.
            starts_at: Time before which nothing is granted.
            settled_at: Time at which no token of an earlier coordinator can be
                in use any more.
            get_time: Returns the time in seconds.
            starts_full: Whether the workspaces start with all tokens that the
                cap allows.
        """
        self.epoch = epoch
        self.granted = 0
        self.settled_at = settled_at
        self._bounds = bounds
        self._starts_at = starts_at
        self._get_time = get_time
        self._starts_full = starts_full
        self._buckets: dict[str, _Bucket] = {}
        self._configured = False
        # Last sequence number of each process, with the time of the request.
        self._sequences: dict[int, tuple[int, float]] = {}
        self._cleaned_at = starts_at

    def configure(self, workspaces: Mapping[str, snapshot.Workspace]) -> None:
        """Applies the rates of a version; workspaces without one are removed.

        A workspace that is added later starts with all its tokens: a removed
        one is kept for a window, so that it cannot start twice in a window.
        """
        now = max(self._get_time(), self._starts_at)
        for name, bucket in self._buckets.items():
            bucket.advance(now, self.settled_at)
            workspace = workspaces.get(name)
            if workspace is not None and workspace.rate > 0:
                bucket.removed_at = None
            elif bucket.removed_at is None:
                bucket.removed_at = now
        for name, workspace in workspaces.items():
            if workspace.rate <= 0:
                continue
            if name not in self._buckets:
                is_full = self._starts_full or (
                    self._configured and now >= self.settled_at
                )
                self._buckets[name] = _Bucket(now, is_full)
            bucket = self._buckets[name]
            bucket.rate = workspace.rate
            bucket.circulation = self._bounds.compute_circulation(
                workspace.rate, workspace.burst
            )
            bucket.limit_level(now >= self.settled_at)
        self._configured = True

    def answer(self, request: quota_pb2.RefillRequest) -> quota_pb2.RefillReply:
        """Grants tokens, unless the request is of another epoch or repeated."""
        now = self._get_time()
        reply = quota_pb2.RefillReply(coordinator=True, epoch=self.epoch)
        if now < self._starts_at:
            reply.starts_in_ms = math.ceil((self._starts_at - now) * _MS_PER_S)
            return reply
        last, _ = self._sequences.get(request.process, (0, 0.0))
        if request.epoch != self.epoch or request.sequence <= last:
            return reply
        self._clean(now)
        self._sequences[request.process] = (request.sequence, now)
        for report in request.workspaces:
            if report.workspace not in self._buckets:
                continue
            bucket = self._buckets[report.workspace]
            bucket.advance(now, self.settled_at)
            bucket.record_report(request.process, report)
            is_settled = now >= self.settled_at
            bucket.limit_level(is_settled)
            if bucket.removed_at is None:
                grant = bucket.grant(request.process, report, now, is_settled)
                self.granted += grant.granted
                reply.workspaces.append(grant)
        return reply

    def is_settled(self) -> bool:
        """Returns whether all tokens of earlier coordinators have expired."""
        return self._get_time() >= self.settled_at

    def _clean(self, now: float) -> None:
        """Forgets processes and workspaces that are gone, once per window.

        A request of a process that is forgotten has expired: its tokens would
        be void on arrival.
        """
        kept_s = self._bounds.window_s + 2 * bounds_lib.TOKEN_LIFETIME_S
        if now - self._cleaned_at < kept_s:
            return
        self._cleaned_at = now
        self._sequences = {
            process: (sequence, at)
            for process, (sequence, at) in self._sequences.items()
            if now - at < kept_s
        }
        self._buckets = {
            name: bucket
            for name, bucket in self._buckets.items()
            if bucket.removed_at is None or now - bucket.removed_at < kept_s
        }
