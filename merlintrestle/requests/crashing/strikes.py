"""Strikes against requests in flight at crashes of backend servers."""

from __future__ import annotations

import collections
import dataclasses
import time
from typing import TYPE_CHECKING

from merlintrestle.schema import control_pb2

if TYPE_CHECKING:
    from collections.abc import Callable

# Time after its crash for which a strike counts.
STRIKE_LIFETIME_S = 600.0
# Number of crashes from which a request is blocked for a short time, and number
# from which it is blocked until its strikes expire.
MIN_CRASHES_FOR_SHORT_BLOCK = 2
MIN_CRASHES_FOR_LONG_BLOCK = 3
# Time after the last crash for which a short block lasts.
SHORT_BLOCK_S = 10.0
_MAX_TRACKED_REQUESTS = 10_000


@dataclasses.dataclass(slots=True)
class _Strike:
    """A strike against one request.

    Attributes:
        expires_at: Time at which the strike expires, in seconds since 1970.
        confirmed: True if the request was already a suspect when the crash
            occurred.
        cleared: True if the request has since run without a crash.
    """

    expires_at: float
    confirmed: bool
    cleared: bool = False


class Strikes:
    """Strikes against requests, from this daemon and its peers."""

    def __init__(self, get_time: Callable[[], float] = time.time):
        """Sets the clock, in seconds since 1970."""
        self._get_time = get_time
        self._strikes_by_request: collections.OrderedDict[
            bytes, dict[str, _Strike]
        ] = collections.OrderedDict()

    def __bool__(self) -> bool:
        return bool(self._strikes_by_request)

    def add(self, strike: control_pb2.Strike) -> None:
        """Adds a strike; a strike that is already known has no effect.

        The expiry time that a peer states is limited to the lifetime of a
        strike. Otherwise a peer with a wrong clock could block a request
        permanently.
        """
        now = self._get_time()
        expires_at = min(strike.until_ms / 1000, now + STRIKE_LIFETIME_S)
        if expires_at <= now:
            return
        strikes_by_crash_id = self._strikes_by_request.setdefault(
            strike.request_digest, {}
        )
        strikes_by_crash_id.setdefault(
            strike.crash_id, _Strike(expires_at, strike.confirmed)
        )
        if len(self._strikes_by_request) > _MAX_TRACKED_REQUESTS:
            self._strikes_by_request.popitem(last=False)

    def build(
        self, digest: bytes, crash_id: str, confirmed: bool
    ) -> control_pb2.Strike:
        """Builds a strike whose lifetime begins now.

        Args:
            digest: Digest of the request.
            crash_id: Id of the crash, for all requests in flight at it.
            confirmed: True if the request was already a suspect.
        """
        expires_at = self._get_time() + STRIKE_LIFETIME_S
        return control_pb2.Strike(
            request_digest=digest,
            crash_id=crash_id,
            until_ms=int(expires_at * 1000),
            confirmed=confirmed,
        )

    def list_active(self) -> list[control_pb2.Strike]:
        """Returns all strikes that count, the latest first."""
        active = [
            control_pb2.Strike(
                request_digest=digest,
                crash_id=crash_id,
                until_ms=int(strike.expires_at * 1000),
                confirmed=strike.confirmed,
            )
            for digest, strikes in self._strikes_by_request.items()
            for crash_id, strike in strikes.items()
            if not strike.cleared and strike.expires_at > self._get_time()
        ]
        return sorted(active, key=lambda strike: -strike.until_ms)

    def count(self, digest: bytes) -> int:
        """Returns the number of strikes of a request that still count."""
        return len(self._find_active(digest))

    def get_blocked_s(self, digest: bytes) -> float:
        """Returns the seconds for which a request is blocked; 0 if it is not.

        A request is blocked only if at least one strike is confirmed, i.e. the
        request was already a suspect. When many backend servers crash together,
        a frequent request is in flight on many of them, so any number of
        unconfirmed strikes does not block it. The first block is short because
        a request that was retried during such a series of crashes may have
        been the only suspect twice.
        """
        strikes = self._find_active(digest)
        confirmed = any(strike.confirmed for strike in strikes)
        if not confirmed or len(strikes) < MIN_CRASHES_FOR_SHORT_BLOCK:
            return 0.0
        expires_at = max(strike.expires_at for strike in strikes)
        if len(strikes) < MIN_CRASHES_FOR_LONG_BLOCK:
            # The last crash was `STRIKE_LIFETIME_S` before its strike expires.
            expires_at += SHORT_BLOCK_S - STRIKE_LIFETIME_S
        return max(0.0, expires_at - self._get_time())

    def clear(self, digest: bytes) -> None:
        """Clears the strikes against a request that ran without a crash.

        The strikes are kept and marked as cleared, so that they are not added
        again when peers send them again.
        """
        for strike in self._strikes_by_request.get(digest, {}).values():
            strike.cleared = True

    def _find_active(self, digest: bytes) -> list[_Strike]:
        """Returns the strikes that count; removes those that have expired."""
        strikes_by_crash_id = self._strikes_by_request.get(digest)
        if strikes_by_crash_id is None:
            return []
        now = self._get_time()
        for crash_id in [
            known_id
            for known_id, strike in strikes_by_crash_id.items()
            if strike.expires_at <= now
        ]:
            del strikes_by_crash_id[crash_id]
        if not strikes_by_crash_id:
            del self._strikes_by_request[digest]
        return [
            strike
            for strike in strikes_by_crash_id.values()
            if not strike.cleared
        ]
