"""Passing: what a daemon tells another of a call, in one header.

Each header costs both daemons its writing, its parsing and a look whether it
goes on to the backend server.
"""

from __future__ import annotations

import re

from merlintrestle.requests.calls import call as calls
from merlintrestle.requests.calls import parsing

_SEPARATOR = " "
# Blanks at the end of a header are no part of it, and an id may be empty.
_END = ";"
_SUSPECT = "s"
_REPEAT = "r"
# Among the flags, where daemons of versions before pass over it.
_WAY_BACK = re.compile(r"\d+")
_WAITS = {calls.Wait.SHORT: "w", calls.Wait.NONE: "n"}
# Figures, flags and the origin; the rest is the id, whatever it contains.
_PLACES = 6


def encode_metadata(asked: parsing.CallMetadata) -> str:
    """Returns the text of the header; a time limit must be stated."""
    flags = _SUSPECT if asked.suspect else ""
    flags += _WAITS.get(asked.wait, "")
    if asked.repeat:
        flags += _REPEAT
    if asked.return_trip_ms:
        flags += str(asked.return_trip_ms)
    return (
        f"{asked.timeout_ms} {asked.waited_ms} {asked.depth} {asked.attempt}"
        f" {flags} {asked.origin} {asked.request_id}{_END}"
    )


def decode_metadata(text: str | None) -> parsing.CallMetadata | None:
    """Returns what a header asks for; None: it is malformed.

    Args:
        text: Its text; None: there is no such header, so nothing is asked.
    """
    if text is None:
        return parsing.CallMetadata(None)
    parts = text.removesuffix(_END).split(_SEPARATOR, _PLACES)
    if len(parts) <= _PLACES:
        return None
    limit, waited, depth, attempt, flags, origin, request_id = parts
    try:
        return parsing.CallMetadata(
            int(limit),
            request_id,
            origin,
            int(depth),
            int(attempt),
            int(waited),
            suspect=_SUSPECT in flags,
            wait=_read_wait(flags),
            repeat=_REPEAT in flags,
            return_trip_ms=_read_way_back(flags),
        )
    except ValueError:
        return None


def _read_wait(flags: str) -> calls.Wait:
    for wait, flag in _WAITS.items():
        if flag in flags:
            return wait
    return calls.Wait.NORMAL


def _read_way_back(flags: str) -> int:
    found = _WAY_BACK.search(flags)
    return int(found[0]) if found else 0
