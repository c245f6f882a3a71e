"""Names of the data path's headers, and removal of hop-by-hop headers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import hdrs
import multidict

from merlintrestle import decoding

if TYPE_CHECKING:
    from collections.abc import Mapping

# `istr` compares case-insensitively; a plain `str` would be lower-cased at each
# lookup.
ORGANISATION = multidict.istr("Merlintrestle-Organisation")
OUTCOME = multidict.istr("Merlintrestle-Outcome")
# Time remaining until the caller's deadline, in milliseconds.
DEADLINE = multidict.istr("Merlintrestle-Deadline-Ms")
# Number of calls in which this one is nested: 0 for a call from outside the
# mesh.
DEPTH = multidict.istr("Merlintrestle-Depth")
# 0 if the receiving daemon may retry the call. More than 0 if the call is a
# retry, or if another daemon may retry the call or one that it is nested in.
ATTEMPT = multidict.istr("Merlintrestle-Attempt")
# Plan of the call, which is its class of work and its targets (see `plans`);
# trusted on the peer port only.
PLAN = multidict.istr("Merlintrestle-Plan")
# Load of the answering daemon's local backend server, see `loads`.
LOAD = multidict.istr("Merlintrestle-Load")
# Notices of a backend server in its answers, see `notices`: the calls per
# second that it accepts from all daemons together, and "1" if it leaves.
RATE_LIMIT = multidict.istr("Merlintrestle-Rate-Limit")
LEAVING = multidict.istr("Merlintrestle-Leaving")
# Notices of an upstream's backend server between daemons, see `notices`;
# trusted on the peer port only.
NOTICES = multidict.istr("Merlintrestle-Notices")
# Further metadata of a call, see `metadata`; trusted on the peer port only.
METADATA = multidict.istr("Merlintrestle-Passed")
# Workspace of the caller; trusted on the peer port only. A backend server gets
# it too.
WORKSPACE = multidict.istr("Merlintrestle-Workspace")
# Identifies one attempt of a call between two daemons.
CALL_ID = multidict.istr("Merlintrestle-Call")
IDEMPOTENCY_KEY = multidict.istr("Idempotency-Key")

_PREFIX = "merlintrestle-"
# Headers to exclude, by the header names of requests and answers seen so far. A
# sender mostly sends the same names in the same order.
_excluded_by_names: dict[tuple[str, ...], tuple[str, ...]] = {}
# Callers may send arbitrary names, so the size of the cache is limited: about
# 4 MB with these values.
_MAX_CACHED = 1000
_MAX_NAMES = 32
_MAX_NAME_CHARACTERS = 64
# Headers that describe one connection (RFC 9110, section 7.6.1).
_HOP_BY_HOP = frozenset(
    (
        "connection",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)

_ALWAYS_KEPT = frozenset((IDEMPOTENCY_KEY.lower(),))


def copy_end_to_end(
    headers: Mapping[str, str],
) -> multidict.CIMultiDict[str]:
    """Copies headers except hop-by-hop ones and those of this system.

    `Merlintrestle-` headers of a caller are removed: if they were forwarded,
    the caller could choose its class or forge an outcome.

    "Connection" cannot remove an idempotency key: without the key, the next
    daemon would not create a claim, which prevents a second run of the call,
    and each retry would run the call again.
    """
    names = tuple(headers)
    excluded = _excluded_by_names.get(names)
    if excluded is None:
        excluded = _find_excluded(names)
    result: multidict.CIMultiDict[str] = multidict.CIMultiDict(headers)
    for name in excluded:
        result.popall(name, None)
    connection = headers.get(hdrs.CONNECTION)
    if connection is not None:
        for name in connection.lower().split(","):
            if name.strip() not in _ALWAYS_KEPT:
                result.popall(name.strip(), None)
    return result


def _find_excluded(names: tuple[str, ...]) -> tuple[str, ...]:
    """Returns the headers to exclude, and caches them."""
    excluded = tuple(name for name in names if not _is_end_to_end(name))
    if (
        len(_excluded_by_names) < _MAX_CACHED
        and len(names) <= _MAX_NAMES
        and max(map(len, names), default=0) <= _MAX_NAME_CHARACTERS
    ):
        _excluded_by_names[names] = excluded
    return excluded


def _is_end_to_end(name: str) -> bool:
    lower = name.lower()
    return lower not in _HOP_BY_HOP and not lower.startswith(_PREFIX)


def read_number(headers: Mapping[str, str], name: str) -> int | None:
    """Returns the non-negative integer in a header; None if there is none."""
    text = headers.get(name)
    if text is None:
        return None
    return decoding.parse_whole_number(text, MAX_NUMBER)


# Larger numbers in headers are not accepted.
MAX_NUMBER = 10**12 - 1
