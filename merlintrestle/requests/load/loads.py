"""Load of a backend server as the daemon beside it reports it.

A daemon sees only the calls that it sent itself. With many daemons these are
a small part of what an upstream has in flight, and the upstream that looks
idle from here may be the one that all the others have chosen as well.
"""

from __future__ import annotations

from typing import NamedTuple

_MAX_FIGURE = 1_000_000
# A daemon of the version before does not tell of its link.
_FIELDS = (3, 4)


class Load(NamedTuple):
    """What a daemon reports with each answer.

    Attributes:
        calls: Calls that hold a slot of the backend server or wait for one.
        slots: Calls that it runs at once.
        hold_s: How long a call holds a slot on the average, in seconds.
        link_s: How long the link needs for the long answers that are promised
            to other daemons, in seconds.
    """

    calls: int
    slots: int
    hold_s: float
    link_s: float = 0.0


def encode_load(load: Load) -> str:
    """Returns a load as the text of a header."""
    hold_ms, link_ms = round(load.hold_s * 1000), round(load.link_s * 1000)
    return f"{load.calls},{load.slots},{hold_ms},{link_ms}"


def decode_load(text: str) -> Load | None:
    """Returns the load in the text of a header; None: it is malformed."""
    figures = text.split(",")
    if len(figures) not in _FIELDS or not all(map(str.isdecimal, figures)):
        return None
    calls, slots, *times_ms = (int(figure) for figure in figures)
    if max(calls, slots, *times_ms) > _MAX_FIGURE:
        return None
    return Load(calls, slots, *(time_ms / 1000 for time_ms in times_ms))
