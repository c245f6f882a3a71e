"""Notices of a backend server: its rate limit, and that it leaves.

A backend server states its notices in the headers of its answers. The names of
the headers depend on the dialect.
"""

from __future__ import annotations

import re
from typing import NamedTuple, TYPE_CHECKING

from merlintrestle import events as event_logs

if TYPE_CHECKING:
    from collections.abc import Mapping

    import multidict

events = event_logs.EventLog("requests")

# float() would also accept exponents, signs, infinity and underscores.
_RATE_PATTERN = re.compile(r"\d{1,9}(\.\d{1,9})?")
_LEAVING_VALUES = {"1": True, "0": False}


class NoticeHeaders(NamedTuple):
    """Names of the headers of a dialect that contain notices.

    Attributes:
        rate_limit: Header with the rate limit, a decimal number.
        leaving: Header with "1" if the backend server leaves.
    """

    rate_limit: multidict.istr
    leaving: multidict.istr


class Notices(NamedTuple):
    """What a backend server states about itself in an answer.

    Attributes:
        rate_limit: Calls per second that it accepts from all daemons together;
            None: it has no limit.
        leaving: True if it leaves and is to get no new calls.
    """

    rate_limit: float | None = None
    leaving: bool = False


NO_NOTICES = Notices()


def read_notices(
    headers: Mapping[str, str], names: NoticeHeaders, previous: Notices
) -> Notices:
    """Returns the notices in the headers of an answer.

    A malformed value is logged, and the previous value is kept.

    Args:
        headers: Headers of the answer.
        names: Names of the headers with notices.
        previous: Notices in the previous answer of the backend server.
    """
    rate_text = headers.get(names.rate_limit)
    leaving_text = headers.get(names.leaving)
    if rate_text is None and leaving_text is None:
        return NO_NOTICES
    rate_limit = None
    if rate_text is not None:
        rate_limit = previous.rate_limit
        if _RATE_PATTERN.fullmatch(rate_text):
            rate_limit = float(rate_text)
        else:
            _log_malformed(names.rate_limit, rate_text)
    leaving = False
    if leaving_text is not None:
        leaving = _LEAVING_VALUES.get(leaving_text, previous.leaving)
        if leaving_text not in _LEAVING_VALUES:
            _log_malformed(names.leaving, leaving_text)
    return Notices(rate_limit, leaving)


def _log_malformed(header: str, value: str) -> None:
    events.warn("notice malformed", header=header, value=value)
