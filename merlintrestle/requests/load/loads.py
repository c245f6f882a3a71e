"""Load of a backend server as the daemon beside it reports it.

A daemon sees only the calls that it sent itself. With many daemons these are
a small part of what an upstream has in flight, and the upstream that looks
idle from here may be the one that all the others have chosen as well.
"""

from __future__ import annotations

from typing import NamedTuple

_MAX_FIGURE = 1_000_000
_FIELDS = 3


class Load(NamedTuple):
    """What a daemon reports with each answer.

    Attributes:
        calls: Calls that hold a slot of the backend server or wait for one.
        slots: Calls that it runs at once.
        hold_s: How long a call holds a slot on the average, in seconds.
    """

    calls: int
    slots: int
    hold_s: float


def encode_load(load: Load) -> str:
    """Returns a load as the text of a header."""
    return f"{load.calls},{load.slots},{round(load.hold_s * 1000)}"


def decode_load(text: str) -> Load | None:
    """Returns the load in the text of a header; None: it is malformed."""
    figures = text.split(",")
    if len(figures) != _FIELDS or not all(map(str.isdecimal, figures)):
        return None
    calls, slots, hold_ms = (int(figure) for figure in figures)
    if max(calls, slots, hold_ms) > _MAX_FIGURE:
        return None
    return Load(calls, slots, hold_ms / 1000)
