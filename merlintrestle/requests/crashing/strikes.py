"""Strikes against requests in flight when backend servers crashed."""

from __future__ import annotations

import collections
import dataclasses
import time
from typing import TYPE_CHECKING

from merlintrestle.schema import control_pb2

if TYPE_CHECKING:
    from collections.abc import Callable

# How long the fleet remembers a strike.
STRIKE_LIFETIME_S = 600.0
# Crashes after which a request is blocked for a short time, and those after
# which it is blocked until its strikes expire.
SHORT_BLOCK_CRASHES = 2
LONG_BLOCK_CRASHES = 3
SHORT_BLOCK_S = 10.0
_MAX_REQUESTS = 10_000


@dataclasses.dataclass(slots=True)
class _Strike:
    """A strike against one request.

    Attributes:
        expires_at: When it expires, in seconds since 1970.
        confirmed: True if the request was a suspect when the crash occurred.
        cleared: True if the request has run since without a crash.
    """

    expires_at: float
    confirmed: bool
    cleared: bool = False


class Strikes:
    """Strikes against requests, from this daemon and its peers."""

    def __init__(self, get_time: Callable[[], float] = time.time):
        """Sets the clock, in seconds since 1970."""
        self._get_time = get_time
        self._requests: collections.OrderedDict[bytes, dict[str, _Strike]] = (
            collections.OrderedDict()
        )

    def __bool__(self) -> bool:
        return bool(self._requests)

    def add(self, strike: control_pb2.Strike) -> None:
        """Adds a strike; a known one has no effect.

        The expiry time that a peer states is limited to the lifetime of a
        strike: a peer with a wrong clock would otherwise block a request for
        good.
        """
        now = self._get_time()
        expires_at = min(strike.until_ms / 1000, now + STRIKE_LIFETIME_S)
        if expires_at <= now:
            return
        crashes = self._requests.setdefault(strike.request_digest, {})
        crashes.setdefault(
            strike.crash_id, _Strike(expires_at, strike.confirmed)
        )
        if len(self._requests) > _MAX_REQUESTS:
            self._requests.popitem(last=False)

    def build(
        self, digest: bytes, crash_id: str, confirmed: bool
    ) -> control_pb2.Strike:
        """Builds a strike whose lifetime begins now."""
        expires_at = self._get_time() + STRIKE_LIFETIME_S
        return control_pb2.Strike(
            request_digest=digest,
            crash_id=crash_id,
            until_ms=int(expires_at * 1000),
            confirmed=confirmed,
        )

    def count(self, digest: bytes) -> int:
        """Returns the number of crashes that count against a request."""
        return len(self._find_active(digest))

    def get_blocked_s(self, digest: bytes) -> float:
        """Returns for how many seconds a request is blocked; 0 if it is not.

        Strikes of crashes with several requests in flight never block by
        themselves: when many backend servers crash together, a frequent
        request is in flight on many of them. The first block is short because
        a request that was retried during such a series of crashes may have
        been the only suspect twice.
        """
        strikes = self._find_active(digest)
        confirmed = any(strike.confirmed for strike in strikes)
        if not confirmed or len(strikes) < SHORT_BLOCK_CRASHES:
            return 0.0
        expires_at = max(strike.expires_at for strike in strikes)
        if len(strikes) < LONG_BLOCK_CRASHES:
            expires_at += SHORT_BLOCK_S - STRIKE_LIFETIME_S
        return max(0.0, expires_at - self._get_time())

    def clear(self, digest: bytes) -> None:
        """Clears the strikes against a request that ran without a crash.

        They are kept as cleared, because peers may send them again.
        """
        for strike in self._requests.get(digest, {}).values():
            strike.cleared = True

    def _find_active(self, digest: bytes) -> list[_Strike]:
        crashes = self._requests.get(digest)
        if crashes is None:
            return []
        now = self._get_time()
        for crash_id in [
            known_id
            for known_id, strike in crashes.items()
            if strike.expires_at <= now
        ]:
            del crashes[crash_id]
        if not crashes:
            del self._requests[digest]
        return [strike for strike in crashes.values() if not strike.cleared]
