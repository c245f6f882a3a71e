"""Load of a backend server as the daemon beside it reports it.

A daemon sees only the calls that it sent itself. With many daemons these are
a small part of what an upstream has in flight, and the upstream that looks
idle from here may be the one that all the others have chosen as well.
"""

from __future__ import annotations

from typing import NamedTuple

# A greater figure is told as this one. Read as malformed instead, the load of
# the busiest upstream would be the one that nobody knows.
_MAX_FIGURE = 1_000_000
# Daemons of versions before do not tell of their link, nor of what is taken.
_FIELDS = (3, 4, 5, 6)
_WHOLE = 100
_UNTOLD = [0, 0, 0, 0, _WHOLE, 0]


class Load(NamedTuple):
    """What a daemon reports with each answer.

    Attributes:
        calls: Calls that hold a slot of the backend server or wait for one.
        slots: Calls that it runs at once.
        hold_s: How long a call holds a slot on the average, in seconds.
        link_backlog_s: How long the link needs for the long answers that are
            promised to other daemons, in seconds.
        accepted: Part of the calls that the backend server took lately.
        server_time_s: How long the call that is answered was there, in seconds;
            None: not told. The rest of its time it was on its way.
    """

    calls: int
    slots: int
    hold_s: float
    link_backlog_s: float = 0.0
    accepted: float = 1.0
    server_time_s: float | None = None


def encode_load(load: Load) -> str:
    """Returns a load as the text of a header."""
    hold_ms = min(round(load.hold_s * 1000), _MAX_FIGURE)
    link_ms = min(round(load.link_backlog_s * 1000), _MAX_FIGURE)
    calls = min(load.calls, _MAX_FIGURE)
    slots = min(load.slots, _MAX_FIGURE)
    accepted = round(load.accepted * _WHOLE)
    text = f"{calls},{slots},{hold_ms},{link_ms},{accepted}"
    if load.server_time_s is None:
        return text
    return f"{text},{min(round(load.server_time_s * 1000), _MAX_FIGURE)}"


def decode_load(text: str) -> Load | None:
    """Returns the load in the text of a header; None: it is malformed."""
    figures = text.split(",")
    count = len(figures)
    # Numbers of Python may have signs, blanks and underscores as well.
    if count not in _FIELDS or not "".join(figures).isdecimal():
        return None
    try:
        stated = list(map(int, figures))
    except ValueError:
        return None
    if max(stated) > _MAX_FIGURE:
        return None
    told = stated + _UNTOLD[count:]
    calls, slots, hold_ms, link_ms, accepted, spent_ms = told
    return Load(
        calls,
        slots,
        hold_ms / 1000,
        link_ms / 1000,
        min(accepted, _WHOLE) / _WHOLE,
        spent_ms / 1000 if count == _FIELDS[-1] else None,
    )
