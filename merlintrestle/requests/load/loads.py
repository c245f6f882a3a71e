"""Encoding of the load that a daemon reports for its backend server.

A daemon sees only the calls that it sent itself. With many daemons these are a
small fraction of the calls in flight at an upstream. Without load reports, an
upstream that seems idle to one daemon may be the one that all others have
picked as well.
"""

from __future__ import annotations

from typing import NamedTuple

from merlintrestle import decoding

# Maximum of each number in a load report; greater values are reported as this
# one. If they were rejected as malformed, no daemon would know the load of the
# busiest upstream.
_MAX_VALUE = 1_000_000
# Numbers of fields that are accepted. Daemons of earlier versions do not report
# the last fields: the backlog of their link, the acceptance rate and the server
# time.
_FIELD_COUNTS = (3, 4, 5, 6)
_FULL_PERCENT = 100
_DEFAULT_FIELDS = [0, 0, 0, 0, _FULL_PERCENT, 0]


class Load(NamedTuple):
    """The load that a daemon reports with each answer.

    Attributes:
        calls: Number of calls that hold a slot of the backend server or wait
            for one.
        slots: Number of calls that the backend server runs at once.
        hold_s: Mean time that a call holds a slot, in seconds.
        link_backlog_s: How long the link needs to send the reserved bytes of
            large answers to other daemons, in seconds.
        acceptance_rate: Fraction of the recent calls that the backend server
            accepted.
        server_time_s: Time between the arrival of the answered call at the
            reporting daemon and its answer, in seconds; None if not reported.
            The rest of the round trip is the time on the network.
    """

    calls: int
    slots: int
    hold_s: float
    link_backlog_s: float = 0.0
    acceptance_rate: float = 1.0
    server_time_s: float | None = None


def encode_load(load: Load) -> str:
    """Encodes a load as the text of a header."""
    hold_ms = min(round(load.hold_s * 1000), _MAX_VALUE)
    link_ms = min(round(load.link_backlog_s * 1000), _MAX_VALUE)
    calls = min(load.calls, _MAX_VALUE)
    slots = min(load.slots, _MAX_VALUE)
    accepted_percent = round(load.acceptance_rate * _FULL_PERCENT)
    text = f"{calls},{slots},{hold_ms},{link_ms},{accepted_percent}"
    if load.server_time_s is None:
        return text
    return f"{text},{min(round(load.server_time_s * 1000), _MAX_VALUE)}"


def decode_load(text: str) -> Load | None:
    """Decodes the load in the text of a header; None if malformed."""
    fields = text.split(",")
    count = len(fields)
    values = []
    for field in fields if count in _FIELD_COUNTS else ():
        value = decoding.parse_whole_number(field, _MAX_VALUE)
        if value is not None:
            values.append(value)
    if len(values) < count:
        decoding.report_refused("load", text)
        return None
    all_values = values + _DEFAULT_FIELDS[count:]
    calls, slots, hold_ms, link_ms, accepted_percent, server_time_ms = (
        all_values
    )
    return Load(
        calls,
        slots,
        hold_ms / 1000,
        link_ms / 1000,
        min(accepted_percent, _FULL_PERCENT) / _FULL_PERCENT,
        server_time_ms / 1000 if count == _FIELD_COUNTS[-1] else None,
    )
