"""Holder of the version that the proxy runs."""

from __future__ import annotations

import collections
import time
from typing import NamedTuple, TYPE_CHECKING

if TYPE_CHECKING:
    from merlintrestle.documents import snapshot as snapshot_lib

_HISTORY = 64

NO_FLOOR = "the floor of versions is not known yet"
NO_VERSION = "no configuration has been accepted yet"


class Taken(NamedTuple):
    """A version that was taken into use.

    Attributes:
        version: Its number.
        at_ms: When, in ms since 1970.
    """

    version: int
    at_ms: int


class Holder:
    """The running snapshot, read by the proxy on every request.

    Attributes:
        running: The snapshot in use; None before the first.
        closed_reason: Why requests are refused as not run; empty when open.
        history: The latest versions taken into use, oldest first.
    """

    def __init__(self) -> None:
        self.running: snapshot_lib.Snapshot | None = None
        self.closed_reason = NO_FLOOR
        self.history: collections.deque[Taken] = collections.deque(
            maxlen=_HISTORY
        )

    @property
    def version(self) -> int:
        """The running version; 0 before the first."""
        return self.running.version if self.running is not None else 0

    def take(self, snapshot: snapshot_lib.Snapshot) -> bool:
        """Takes a snapshot into use whole; False if it is no newer.

        One assignment: a request sees all of a version or none of it. News
        may come late and twice, and a lower version never replaces a higher.
        """
        if snapshot.version <= self.version:
            return False
        self.running = snapshot
        self.history.append(Taken(snapshot.version, time.time_ns() // 10**6))
        return True
