"""Headers of the data path: which are read, passed on and removed."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import hdrs
import multidict

if TYPE_CHECKING:
    from collections.abc import Mapping

# Of a type that is compared without regard to case; a plain text would be
# put into lower case at each look-up.
ORGANISATION = multidict.istr("Merlintrestle-Organisation")
OUTCOME = multidict.istr("Merlintrestle-Outcome")
# Milliseconds that are left to the caller's deadline.
DEADLINE = multidict.istr("Merlintrestle-Deadline-Ms")
# Calls above this one: 0 for a call that comes from outside the mesh.
DEPTH = multidict.istr("Merlintrestle-Depth")
# 0 where nobody above this call runs it again; else it is not tried again.
ATTEMPT = multidict.istr("Merlintrestle-Attempt")
# Class of work with its targets; believed on the peer port only.
PLAN = multidict.istr("Merlintrestle-Plan")
# Load of the backend server beside the daemon that answers, see `loads`.
LOAD = multidict.istr("Merlintrestle-Load")
# What else a daemon tells of a call, see `passing`; believed likewise.
METADATA = multidict.istr("Merlintrestle-Passed")
# Names one attempt at a call between two daemons.
CALL_ID = multidict.istr("Merlintrestle-Call")
IDEMPOTENCY_KEY = multidict.istr("Idempotency-Key")

_PREFIX = "merlintrestle-"
# Which headers are not passed on, for the names of requests and answers seen so
# far; the same sender mostly sends the same names in the same order.
_known: dict[tuple[str, ...], tuple[str, ...]] = {}
# Callers make up names; what is remembered of them must stay bounded: some
# 4 MB with these figures.
_MAX_KNOWN = 1000
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

_KEPT = frozenset((IDEMPOTENCY_KEY.lower(),))


def copy_end_to_end(
    headers: Mapping[str, str],
) -> multidict.CIMultiDict[str]:
    """Copies headers without hop-by-hop ones and without this system's own.

    A caller's own `Merlintrestle-` headers end here: passed on, they would let
    it choose a class of work or an outcome that is not true.

    A key stays whatever the caller's "Connection" names: without it the next
    daemon would run the call without a claim, and again at each retry.
    """
    names = tuple(headers)
    left_out = _known.get(names)
    if left_out is None:
        left_out = _choose_left_out(names)
    result: multidict.CIMultiDict[str] = multidict.CIMultiDict(headers)
    for name in left_out:
        result.popall(name, None)
    connection = headers.get(hdrs.CONNECTION)
    if connection is not None:
        for name in connection.lower().split(","):
            if name.strip() not in _KEPT:
                result.popall(name.strip(), None)
    return result


def _choose_left_out(names: tuple[str, ...]) -> tuple[str, ...]:
    """Returns the headers that are not passed on, and remembers them."""
    left_out = tuple(name for name in names if not _is_end_to_end(name))
    if (
        len(_known) < _MAX_KNOWN
        and len(names) <= _MAX_NAMES
        and max(map(len, names), default=0) <= _MAX_NAME_CHARACTERS
    ):
        _known[names] = left_out
    return left_out


def _is_end_to_end(name: str) -> bool:
    lower = name.lower()
    return lower not in _HOP_BY_HOP and not lower.startswith(_PREFIX)


def read_number(headers: Mapping[str, str], name: str) -> int | None:
    """Returns a header's whole number; None where it is absent or not one."""
    text = headers.get(name)
    if text is None:
        return None
    if not (text.isascii() and text.isdigit() and len(text) <= _MAX_DIGITS):
        return None
    return int(text)


_MAX_DIGITS = 12
