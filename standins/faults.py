"""Faults that the store stand-in can be told to show."""

from __future__ import annotations

import dataclasses
import enum
from typing import Any


class Outage(enum.StrEnum):
    """How the store fails.

    Attributes:
        NONE: It answers.
        UNAVAILABLE: It refuses every call at once and ends watches.
        REFUSED: It does not listen; connections are refused.
        HANGING: It takes calls and never answers.
    """

    NONE = "none"
    UNAVAILABLE = "unavailable"
    REFUSED = "refused"
    HANGING = "hanging"


@dataclasses.dataclass(slots=True)
class StoreFaults:
    """Faults in force.

    Attributes:
        outage: How it fails.
        latency_s: Time in seconds added to every call.
        lose_answers: Writes still to come that take effect unanswered.
        stale: Reads are answered as things stood when this was set, or, if
            the store was told to remember before, as they stood then.
        fail_after_key: The next write of this key begins an outage, in which
            every call is refused at once; empty: none.
        fail_after_s: Seconds between that write and the outage.
    """

    outage: Outage = Outage.NONE
    latency_s: float = 0.0
    lose_answers: int = 0
    stale: bool = False
    fail_after_key: str = ""
    fail_after_s: float = 0.0


def parse_faults(fields: dict[str, Any]) -> StoreFaults:
    """Builds faults from JSON; what is not named is not in force.

    Raises:
        ValueError: The outage is not known.
        TypeError: A field is not known.
    """
    faults = StoreFaults(**fields)
    faults.outage = Outage(faults.outage)
    return faults
