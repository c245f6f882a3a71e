"""Encoding of call metadata for other daemons in a single header.

A header for each field would cost more: one daemon would have to write them
all, and the other one to parse them all and to check of each whether it is
forwarded to the backend server.
"""

from __future__ import annotations

import re

from merlintrestle import decoding
from merlintrestle.requests.calls import call as calls
from merlintrestle.requests.calls import parsing
from merlintrestle.requests.transport import headers

_SEPARATOR = " "
# Ends the header value. An empty id would leave a trailing space, which HTTP
# does not regard as part of the value.
_TERMINATOR = ";"
_SUSPECT_FLAG = "s"
_REPEAT_FLAG = "r"
# Return trip time in milliseconds. It is sent among the flags, because daemons
# of older versions ignore flags that they do not know.
_RETURN_TRIP_PATTERN = re.compile(r"\d+")
_WAIT_FLAGS = {calls.Wait.SHORT: "w", calls.Wait.NONE: "n"}
# The id is the last field, because it may contain separators. Four numbers, the
# flags and the origin precede it.
_FIELDS_BEFORE_ID = 6


def encode_metadata(metadata: parsing.CallMetadata) -> str:
    """Returns the header value for metadata whose timeout is set."""
    flags = _SUSPECT_FLAG if metadata.suspect else ""
    flags += _WAIT_FLAGS.get(metadata.wait, "")
    if metadata.repeat:
        flags += _REPEAT_FLAG
    if metadata.return_trip_ms:
        flags += str(metadata.return_trip_ms)
    return (
        f"{metadata.timeout_ms} {metadata.waited_ms} {metadata.depth}"
        f" {metadata.attempt_number} {flags} {metadata.origin}"
        f" {metadata.request_id}{_TERMINATOR}"
    )


def decode_metadata(text: str | None) -> parsing.CallMetadata | None:
    """Returns the metadata in a header; None if it is malformed.

    Args:
        text: Value of the header; None if there is no such header.
    """
    if text is None:
        return parsing.CallMetadata(None)
    fields = text.removesuffix(_TERMINATOR).split(_SEPARATOR, _FIELDS_BEFORE_ID)
    if len(fields) <= _FIELDS_BEFORE_ID:
        decoding.report_refused("call metadata", text)
        return None
    *numbers, flags, origin, request_id = fields
    decoded = [
        decoding.parse_whole_number(number, headers.MAX_NUMBER)
        for number in numbers
    ]
    if None in decoded:
        decoding.report_refused("call metadata", text)
        return None
    timeout_ms, waited_ms, depth, attempt = decoded
    return parsing.CallMetadata(
        timeout_ms,
        request_id,
        origin,
        depth or 0,
        attempt or 0,
        waited_ms or 0,
        suspect=_SUSPECT_FLAG in flags,
        wait=_decode_wait(flags),
        repeat=_REPEAT_FLAG in flags,
        return_trip_ms=_decode_return_trip_ms(flags),
    )


def _decode_wait(flags: str) -> calls.Wait:
    for wait, flag in _WAIT_FLAGS.items():
        if flag in flags:
            return wait
    return calls.Wait.NORMAL


def _decode_return_trip_ms(flags: str) -> int:
    match = _RETURN_TRIP_PATTERN.search(flags)
    if match is None:
        return 0
    return decoding.parse_whole_number(match[0], headers.MAX_NUMBER) or 0
