"""The active version, whose snapshot the proxy uses."""

from __future__ import annotations

import collections
import time
from typing import NamedTuple, TYPE_CHECKING

if TYPE_CHECKING:
    from merlintrestle.documents import snapshot as snapshot_lib

_MAX_ACTIVATIONS = 64

NO_FLOOR = "the floor of versions is not known yet"
NO_VERSION = "no configuration has been accepted yet"


class Activation(NamedTuple):
    """The activation of a version.

    Attributes:
        version: Number of the version.
        at_ms: Time of the activation, in ms since 1970.
    """

    version: int
    at_ms: int


class ActiveVersion:
    """The active snapshot, which the proxy reads for every request.

    Attributes:
        active_snapshot: The active snapshot (not only its version); None before
            the first activation.
        closed_reason: Why the daemon refuses requests as not run; empty while
            it is open, that is, accepts requests.
        history: The latest activations, oldest first.
    """

    def __init__(self) -> None:
        self.active_snapshot: snapshot_lib.Snapshot | None = None
        self.closed_reason = NO_FLOOR
        self.history: collections.deque[Activation] = collections.deque(
            maxlen=_MAX_ACTIVATIONS
        )

    @property
    def version(self) -> int:
        """The version of `active_snapshot`; 0 before the first activation."""
        return (
            self.active_snapshot.version
            if self.active_snapshot is not None
            else 0
        )

    def activate(self, snapshot: snapshot_lib.Snapshot) -> bool:
        """Activates a snapshot; returns False if it is not newer.

        This is a single assignment, so a request sees either all of a version
        or none of it. Versions may arrive late or twice, and a lower version
        never replaces a higher one.
        """
        if snapshot.version <= self.version:
            return False
        self.active_snapshot = snapshot
        self.history.append(
            Activation(snapshot.version, time.time_ns() // 10**6)
        )
        return True
