"""The tokens of one daemon."""

from __future__ import annotations

import collections
import dataclasses
import math
from typing import Protocol, TYPE_CHECKING

from merlintrestle import clocks
from merlintrestle.quotas import bounds as bounds_lib
from merlintrestle.schema import quota_pb2

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

# Time for which tokens are requested in advance, at the recent rate of calls.
_HORIZON_S = 0.8
# A workspace without a call for this long holds no tokens.
_IDLE_S = 2.0
# Time after which a workspace without calls is forgotten.
_FORGOTTEN_S = 10.0
# Weight of the calls since the last request in the estimated rate, per second.
_RATE_WEIGHT_PER_S = 1.5
# Largest number of tokens requested for one workspace at a time.
_MAX_WANTED = 10_000
_MS_PER_S = 1000


class Waiter(Protocol):
    """A call that waits for a token; an `asyncio.Future`.

    Its result is 0 once it has a token, or else the time in seconds after which
    there may be one.
    """

    def done(self) -> bool:
        """Returns whether it has a result or no longer waits."""

    def set_result(self, result: float) -> None:
        """Ends the wait."""


@dataclasses.dataclass(slots=True)
class _Batch:
    """Tokens of one reply."""

    expires_at: float
    count: int
    epoch: int


class _Balance:
    """Tokens of one workspace, and the calls for which they are requested."""

    __slots__ = (
        "asked",
        "asked_at",
        "batches",
        "has_news",
        "is_tight",
        "rate",
        "recent_expiry",
        "refused_until",
        "reported",
        "reported_until",
        "requested",
        "spent",
        "spent_before",
        "unreported_expiry",
        "waiters",
    )

    def __init__(self, now: float):
        self.batches: collections.deque[_Batch] = collections.deque()
        self.waiters: collections.deque[Waiter] = collections.deque()
        # Calls since the last request; the estimated rate of calls; the time of
        # the last call.
        self.asked = 0
        self.rate = 0.0
        self.asked_at = now
        self.refused_until = -math.inf
        # Tokens of the epoch that were spent, that were spent at the time of
        # the last request, and that were reported as spent.
        self.spent = 0
        self.spent_before = 0
        self.reported = 0
        # Time up to which spent tokens were reported.
        self.reported_until = now
        # Least expiry of the tokens that are spent and not reported, and of
        # those that were spent since the last request.
        self.unreported_expiry = math.inf
        self.recent_expiry = math.inf
        # Tokens in the last request, and whether the coordinator granted fewer.
        self.requested = 0
        self.is_tight = False
        # Whether the coordinator has to be told of a change.
        self.has_news = False

    def begin_epoch(self, now: float) -> None:
        """Starts to count anew; tokens of the earlier epoch stay valid."""
        self.spent = self.spent_before = self.reported = 0
        self.reported_until = now
        self.unreported_expiry = self.recent_expiry = math.inf
        self.has_news = bool(self.waiters)

    def count_tokens(self, epoch: int) -> int:
        """Returns the number of tokens of an epoch."""
        return sum(
            batch.count for batch in self.batches if batch.epoch == epoch
        )


class Account:
    """The tokens of this daemon.

    A token is spent before its expiry, which counts from before the request
    for it was sent, and only once. Each request states which tokens of the
    epoch are held; the coordinator may grant all others again. It must be the
    last request that is sent: its predecessor's reply is not applied any more.

    Attributes:
        epoch: Epoch of the coordinator that the daemon asks.
        spent: Number of calls that got a token, less those that gave it back.
        expired: Number of tokens that expired or were discarded.
        refused: Number of calls that were refused because of their quota.
    """

    def __init__(self, get_time: Callable[[], float] = clocks.get_boot_time):
        """Initializes an account without tokens.

        Args:
            get_time: Returns the time in seconds, with suspended time counted.
        """
        self.epoch = 0
        self.spent = 0
        self.expired = 0
        self.refused = 0
        self._get_time = get_time
        self._balances: dict[str, _Balance] = {}
        self._requested_at = get_time()

    def begin_epoch(self, epoch: int) -> None:
        """Starts to ask a new coordinator."""
        self.epoch = epoch
        now = self._get_time()
        for balance in self._balances.values():
            balance.begin_epoch(now)

    def try_spend(self, name: str) -> bool:
        """Spends a token of a workspace for a call, if there is one."""
        now = self._get_time()
        balance = self._balances.get(name)
        if balance is None or not self._take(balance, now):
            return False
        balance.asked += 1
        balance.asked_at = now
        return True

    def get_refusal(self, name: str) -> float:
        """Returns for how long calls of a workspace are refused, in seconds.

        Called once for each call for which there is no token. 0: a token may
        be requested.
        """
        now = self._get_time()
        balance = self._balances.get(name)
        if balance is None:
            balance = self._balances[name] = _Balance(now)
        balance.asked += 1
        balance.asked_at = now
        remaining_s = balance.refused_until - now
        if remaining_s <= 0:
            return 0.0
        self.refused += 1
        return remaining_s

    def add_waiter(self, name: str, waiter: Waiter) -> None:
        """Makes a call wait for a token, after `get_refusal` returned 0."""
        balance = self._balances[name]
        balance.waiters.append(waiter)
        balance.has_news = True

    def give_back(self, name: str, spent_at: float | None = None) -> None:
        """Returns the token of a call that did not run.

        A token that was reported as spent, or has expired, is lost: the
        coordinator may have granted another one in its place.

        Args:
            name: Name of the workspace.
            spent_at: Time at which the call got the token; None if unknown. A
                token that is not reported yet is returned then.
        """
        balance = self._balances.get(name)
        if balance is None or balance.spent <= balance.reported:
            return
        if balance.unreported_expiry <= self._get_time():
            return
        if spent_at is not None and spent_at <= balance.reported_until:
            return
        balance.spent -= 1
        balance.spent_before = min(balance.spent_before, balance.spent)
        self.spent -= 1
        balance.batches.appendleft(
            _Batch(balance.unreported_expiry, 1, self.epoch)
        )
        balance.refused_until = -math.inf

    def has_waiters(self) -> bool:
        """Returns whether a call waits for a token."""
        return any(
            not waiter.done()
            for balance in self._balances.values()
            for waiter in balance.waiters
        )

    def build_reports(self) -> list[quota_pb2.TokenRequest]:
        """Builds the next request; empty if there is nothing to request."""
        now = self._get_time()
        requested_at, self._requested_at = self._requested_at, now
        elapsed_s = max(1e-3, now - requested_at)
        weight = 1 - math.exp(-_RATE_WEIGHT_PER_S * elapsed_s)
        reports = []
        for name, balance in list(self._balances.items()):
            if now - balance.asked_at > _FORGOTTEN_S and not balance.waiters:
                self._discard(balance, now)
                del self._balances[name]
                continue
            balance.rate += weight * (balance.asked / elapsed_s - balance.rate)
            report = self._build_report(name, balance, now, requested_at)
            if report is not None:
                reports.append(report)
        return reports

    def apply(
        self, grants: Iterable[quota_pb2.TokenGrant], sent_at: float
    ) -> None:
        """Adds the tokens of a reply and ends the waits that it decides.

        Args:
            grants: The grants of the reply to the last request.
            sent_at: Time before that request was built.
        """
        now = self._get_time()
        expires_at = sent_at + bounds_lib.TOKEN_LIFETIME_S
        for grant in grants:
            balance = self._balances.get(grant.workspace)
            if balance is None:
                continue
            # The tokens are counted at the coordinator until they are reported.
            balance.has_news = (
                grant.granted > 0 or balance.spent > balance.reported
            )
            balance.is_tight = grant.granted < balance.requested
            if grant.granted:
                balance.batches.append(
                    _Batch(expires_at, grant.granted, self.epoch)
                )
            self._serve_waiters(balance, now)
            # Once the tokens are spent, calls are refused until this time
            # without a request for each.
            retry_s = grant.retry_after_ms / _MS_PER_S
            if retry_s:
                balance.refused_until = now + retry_s
            elif grant.granted and not balance.is_tight:
                balance.refused_until = -math.inf
            if retry_s and not balance.batches:
                self._refuse_waiters(balance, retry_s)

    def _serve_waiters(self, balance: _Balance, now: float) -> None:
        while balance.waiters:
            if balance.waiters[0].done():
                balance.waiters.popleft()
            elif self._take(balance, now):
                balance.waiters.popleft().set_result(0.0)
            else:
                balance.has_news = True
                return

    def _refuse_waiters(self, balance: _Balance, retry_s: float) -> None:
        while balance.waiters:
            waiter = balance.waiters.popleft()
            if not waiter.done():
                self.refused += 1
                waiter.set_result(retry_s)

    def _take(self, balance: _Balance, now: float) -> bool:
        batches = balance.batches
        while batches:
            batch = batches[0]
            if batch.expires_at <= now or not batch.count:
                self.expired += batch.count
                batches.popleft()
                continue
            batch.count -= 1
            if not batch.count:
                batches.popleft()
            self.spent += 1
            if batch.epoch == self.epoch:
                balance.spent += 1
                balance.unreported_expiry = min(
                    balance.unreported_expiry, batch.expires_at
                )
                balance.recent_expiry = min(
                    balance.recent_expiry, batch.expires_at
                )
                balance.has_news = True
            return True
        return False

    def _build_report(
        self, name: str, balance: _Balance, now: float, requested_at: float
    ) -> quota_pb2.TokenRequest | None:
        """Updates the counts of a workspace and returns its report, if any."""
        self._discard(balance, now)
        while balance.waiters and balance.waiters[0].done():
            balance.waiters.popleft()
        needed = sum(not waiter.done() for waiter in balance.waiters)
        tokens = sum(batch.count for batch in balance.batches)
        expected = self._estimate_calls(balance, now)
        if not (needed or expected > tokens or balance.has_news):
            balance.asked = 0
            return None
        # What was spent since the last request may still be given back, unless
        # other daemons need tokens.
        if balance.is_tight:
            self._set_reported(balance, balance.spent, now)
        else:
            balance.unreported_expiry = balance.recent_expiry
            self._set_reported(balance, balance.spent_before, requested_at)
        balance.recent_expiry = math.inf
        balance.spent_before = balance.spent
        if balance.refused_until > now:
            # Without these, each of the next calls would send a request.
            needed = max(needed, min(balance.asked, expected))
        balance.asked = 0
        pending = balance.spent - balance.reported
        wanted = max(0, expected - tokens)
        balance.requested = needed + wanted
        return quota_pb2.TokenRequest(
            workspace=name,
            spent=balance.reported,
            held=balance.count_tokens(self.epoch) + pending,
            needed=needed,
            wanted=wanted,
        )

    def _set_reported(
        self, balance: _Balance, reported: int, until: float
    ) -> None:
        balance.reported = max(balance.reported, reported)
        balance.reported_until = max(balance.reported_until, until)
        if balance.reported >= balance.spent:
            balance.unreported_expiry = math.inf

    def _estimate_calls(self, balance: _Balance, now: float) -> int:
        """Returns how many calls are expected within the horizon."""
        if now - balance.asked_at > _IDLE_S:
            return 0
        mean = balance.rate * _HORIZON_S
        return min(_MAX_WANTED, math.ceil(mean + math.sqrt(mean)))

    def _discard(self, balance: _Balance, now: float) -> None:
        """Removes expired tokens, and all of a workspace without calls."""
        is_idle = now - balance.asked_at > _IDLE_S
        kept: collections.deque[_Batch] = collections.deque()
        for batch in balance.batches:
            if batch.expires_at <= now or is_idle:
                self.expired += batch.count
                balance.has_news = True
            elif batch.count:
                kept.append(batch)
        balance.batches = kept
