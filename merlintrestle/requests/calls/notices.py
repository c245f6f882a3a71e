"""Notices of a backend server: its rate limit, and that it leaves.

A backend server states its notices in the headers of its answers. The names of
the headers depend on the dialect.
"""

from __future__ import annotations

import hashlib
import re
from typing import NamedTuple, TYPE_CHECKING

from merlintrestle import decoding
from merlintrestle import events as event_logs

if TYPE_CHECKING:
    from collections.abc import Mapping

    import multidict

events = event_logs.EventLog("requests")

# float() would also accept exponents, signs, infinity and underscores.
_RATE_PATTERN = re.compile(r"\d{1,9}(\.\d{1,9})?")
_LEAVING_VALUES = {"1": True, "0": False}
_NO_RATE = "-"
_DIGEST_BYTES = 6
# Start of a process, in ms since 1970.
_STARTED_PATTERN = re.compile(r"\d{1,16}")
_PASSED_FIELD_COUNT = 4


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


class Process(NamedTuple):
    """Identifies a process of a backend server.

    Attributes:
        instance_id: Its id; empty if it has none. A restarted process may
            reuse it.
        started_ms: Its start, in ms since 1970; 0 if it is not known (yet).
    """

    instance_id: str
    started_ms: int


class PassedNotices(NamedTuple):
    """Notices of a backend server that one daemon passes to another.

    Attributes:
        digest: Digest of the id of the process.
        started_ms: Its start, in ms since 1970; 0 if it is not known.
        notices: Its notices.
    """

    digest: str
    started_ms: int
    notices: Notices

    def is_from(self, process: Process) -> bool:
        """Returns whether a process stated them; False if it has no id."""
        return (
            bool(process.instance_id)
            and self.digest == _compute_digest(process.instance_id)
            and _may_be_same_start(self.started_ms, process.started_ms)
        )


def is_same_process(first: Process, second: Process) -> bool:
    """Returns whether two processes are the same, as far as is known."""
    return first.instance_id == second.instance_id and _may_be_same_start(
        first.started_ms, second.started_ms
    )


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


def encode_passed_notices(process: Process, notices: Notices) -> str:
    """Encodes the notices of a process as a header between daemons."""
    rate_limit, leaving = notices
    rate_text = _NO_RATE if rate_limit is None else f"{rate_limit:.3f}"
    digest = _compute_digest(process.instance_id)
    return f"{digest},{process.started_ms},{rate_text},{int(leaving)}"


def decode_passed_notices(text: str) -> PassedNotices | None:
    """Decodes a header between daemons; None if it is malformed."""
    fields = text.split(",")
    if len(fields) != _PASSED_FIELD_COUNT:
        decoding.report_refused("passed notices", text)
        return None
    digest, started_text, rate_text, leaving_text = fields
    has_limit = rate_text != _NO_RATE
    if (
        not _STARTED_PATTERN.fullmatch(started_text)
        or (has_limit and not _RATE_PATTERN.fullmatch(rate_text))
        or leaving_text not in _LEAVING_VALUES
    ):
        decoding.report_refused("passed notices", text)
        return None
    notices = Notices(
        float(rate_text) if has_limit else None, _LEAVING_VALUES[leaving_text]
    )
    return PassedNotices(digest, int(started_text), notices)


def _compute_digest(instance_id: str) -> str:
    """Returns a digest of an id, which may contain any characters."""
    digest = hashlib.blake2s(instance_id.encode(), digest_size=_DIGEST_BYTES)
    return digest.hexdigest()


def _may_be_same_start(first_ms: int, second_ms: int) -> bool:
    """Returns whether two starts are equal or one of them is not known."""
    return not first_ms or not second_ms or first_ms == second_ms


def _log_malformed(header: str, value: str) -> None:
    decoding.count_refused("notice")
    events.warn(
        "notice malformed", header=header, value=decoding.show_value(value)
    )
