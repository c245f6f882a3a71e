"""Notices of the backend servers of upstreams, as their daemons report them."""

from __future__ import annotations

from typing import NamedTuple

from merlintrestle import events as event_logs
from merlintrestle.requests.calls import notices as notices_lib

events = event_logs.EventLog("requests")

# Maximum number of upstreams whose notices are kept; those that were reported
# longest ago are dropped.
_MAX_UPSTREAMS = 4096


class _Reported(NamedTuple):
    """The latest notices that the daemon of an upstream reported.

    Attributes:
        header: The header in which it reported them.
        rate_limit: Calls per second that its backend server accepts; None: no
            limit.
    """

    header: str
    rate_limit: float | None


class UpstreamNotices:
    """The latest notices of each upstream.

    They are kept when an upstream leaves, as its daemon may only restart. It
    then has to be told, see `backend_notices.BackendNotices`.
    """

    def __init__(self) -> None:
        """Initializes an empty collection."""
        self._reported: dict[str, _Reported] = {}

    def record(self, member_id: str, header: str | None) -> None:
        """Records the notices in an answer of an upstream's daemon.

        Args:
            member_id: Member id of the upstream.
            header: The encoded notices. None: there are none; a daemon that has
                reported notices since its start always reports them.
        """
        if header is None:
            return
        known = self._reported.get(member_id)
        if known is not None and known.header == header:
            return
        passed = notices_lib.decode_passed_notices(header)
        if passed is None:
            events.warn("passed notices malformed", value=header)
            return
        self._reported.pop(member_id, None)
        if len(self._reported) >= _MAX_UPSTREAMS:
            del self._reported[next(iter(self._reported))]
        self._reported[member_id] = _Reported(header, passed.notices.rate_limit)

    def get_header(self, member_id: str) -> str | None:
        """Returns the header to pass to an upstream; None if there is none."""
        reported = self._reported.get(member_id)
        return reported.header if reported is not None else None

    def get_rate_limit(self, member_id: str) -> float | None:
        """Returns the rate limit of an upstream; None if it has none."""
        reported = self._reported.get(member_id)
        return reported.rate_limit if reported is not None else None
