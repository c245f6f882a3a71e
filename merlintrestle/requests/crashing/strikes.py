"""Strikes: which requests were in flight when backend servers crashed."""

from __future__ import annotations

import collections
import dataclasses
import time
from typing import TYPE_CHECKING

from merlintrestle.schema import control_pb2

if TYPE_CHECKING:
    from collections.abc import Callable

# How long the fleet remembers a strike.
MEMORY_S = 600.0
# Crashes after which a request is blocked for a short time, and for as long as
# its strikes are remembered.
FIRST_BLOCK = 2
LAST_BLOCK = 3
FIRST_BLOCK_S = 10.0
_MAX_REQUESTS = 10_000


@dataclasses.dataclass(slots=True)
class _Strike:
    until_s: float
    confirmed: bool
    cleared: bool = False


class Strikes:
    """Strikes of all requests, own and told by other daemons."""

    def __init__(self, get_time: Callable[[], float] = time.time):
        """Sets the clock, in seconds since 1970."""
        self._get_time = get_time
        self._requests: collections.OrderedDict[bytes, dict[str, _Strike]] = (
            collections.OrderedDict()
        )

    def __bool__(self) -> bool:
        return bool(self._requests)

    def add(self, strike: control_pb2.Strike) -> None:
        """Notes a strike; one that is known already changes nothing.

        The time that a peer states is cut to the memory of a strike: one with
        a wrong clock would otherwise block a request for good.
        """
        now = self._get_time()
        until_s = min(strike.until_ms / 1000, now + MEMORY_S)
        if until_s <= now:
            return
        crashes = self._requests.setdefault(strike.request_digest, {})
        crashes.setdefault(strike.crash_id, _Strike(until_s, strike.confirmed))
        if len(self._requests) > _MAX_REQUESTS:
            self._requests.popitem(last=False)

    def build(
        self, digest: bytes, crash_id: str, confirmed: bool
    ) -> control_pb2.Strike:
        """Builds a strike that is remembered from now on."""
        until_s = self._get_time() + MEMORY_S
        return control_pb2.Strike(
            request_digest=digest,
            crash_id=crash_id,
            until_ms=int(until_s * 1000),
            confirmed=confirmed,
        )

    def count(self, digest: bytes) -> int:
        """Returns how many crashes count against a request."""
        return len(self._find_open(digest))

    def get_blocked_s(self, digest: bytes) -> float:
        """Returns for how many seconds a request is blocked; 0: it is not.

        Strikes of crashes with several requests in flight never block by
        themselves: when backend servers die in herds, a popular request is
        in flight at many of them. The first block is short, for a request
        that was retried into a herd may have been the only suspect twice.
        """
        strikes = self._find_open(digest)
        confirmed = any(strike.confirmed for strike in strikes)
        if not confirmed or len(strikes) < FIRST_BLOCK:
            return 0.0
        until_s = max(strike.until_s for strike in strikes)
        if len(strikes) < LAST_BLOCK:
            until_s += FIRST_BLOCK_S - MEMORY_S
        return max(0.0, until_s - self._get_time())

    def clear(self, digest: bytes) -> None:
        """Drops what counts against a request: it ran and nothing crashed.

        The strikes stay known as cleared, as peers may tell of them again.
        """
        for strike in self._requests.get(digest, {}).values():
            strike.cleared = True

    def _find_open(self, digest: bytes) -> list[_Strike]:
        crashes = self._requests.get(digest)
        if crashes is None:
            return []
        now = self._get_time()
        for crash_id in [
            name for name, one in crashes.items() if one.until_s <= now
        ]:
            del crashes[crash_id]
        if not crashes:
            del self._requests[digest]
        return [one for one in crashes.values() if not one.cleared]
