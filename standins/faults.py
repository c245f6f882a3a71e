"""Faults that the stand-in for the native store can inject."""

from __future__ import annotations

import dataclasses
import enum
from typing import Any


class Outage(enum.StrEnum):
    """Way in which the store is unavailable.

    Attributes:
        NONE: The store answers.
        UNAVAILABLE: The store rejects every call immediately and ends watches.
        REFUSED: The store does not listen: connections are refused, and open
            watches end.
        HANGING: The store accepts calls, but does not answer them before this
            outage ends; open watches stay open and send nothing.
    """

    NONE = "none"
    UNAVAILABLE = "unavailable"
    REFUSED = "refused"
    HANGING = "hanging"


@dataclasses.dataclass(slots=True)
class StoreFaults:
    """Active faults of the store.

    Attributes:
        outage: Way in which the store is unavailable.
        latency_s: Delay in seconds that is added to every call.
        lose_answers: Number of upcoming Put, Delete, GrantLease and KeepLease
            calls that are carried out, but whose answers are lost.
        stale: Whether reads return old entries and watches send nothing. The
            entries are those of the snapshot that was taken before, or, if
            there is none, those at the time when this fault was set.
        fail_after_key: Key whose next write is followed by an outage in which
            every call is rejected immediately, or empty. The outage replaces
            all other faults.
        fail_after_s: Delay in seconds between that write and the outage.
    """

    outage: Outage = Outage.NONE
    latency_s: float = 0.0
    lose_answers: int = 0
    stale: bool = False
    fail_after_key: str = ""
    fail_after_s: float = 0.0


def parse_faults(fields: dict[str, Any]) -> StoreFaults:
    """Parses faults from decoded JSON; faults that are left out are inactive.

    Raises:
        ValueError: The outage is unknown.
        TypeError: A field is unknown.
    """
    faults = StoreFaults(**fields)
    faults.outage = Outage(faults.outage)
    return faults
