"""Notices of the backend servers of upstreams, as their daemons report them."""

from __future__ import annotations

from merlintrestle import events as event_logs
from merlintrestle.requests.calls import notices as notices_lib

events = event_logs.EventLog("requests")

# Maximum number of upstreams whose notices are kept; those that were reported
# longest ago are dropped.
_MAX_UPSTREAMS = 4096


class UpstreamNotices:
    """The latest notices of each upstream.

    They are kept when an upstream leaves, as its daemon may only restart. It
    then has to be told, see `backend_notices.BackendNotices`.
    """

    def __init__(self) -> None:
        """Initializes an empty collection."""
        # The header in which each daemon reported them last.
        self._headers: dict[str, str] = {}

    def record(self, member_id: str, header: str | None) -> None:
        """Records the notices in an answer of an upstream's daemon.

        Args:
            member_id: Member id of the upstream.
            header: The encoded notices. None: there are none; a daemon that has
                reported notices since its start always reports them.
        """
        if header is None or self._headers.get(member_id) == header:
            return
        if notices_lib.decode_passed_notices(header) is None:
            events.warn("passed notices malformed", value=header)
            return
        self._headers.pop(member_id, None)
        if len(self._headers) >= _MAX_UPSTREAMS:
            del self._headers[next(iter(self._headers))]
        self._headers[member_id] = header

    def get_header(self, member_id: str) -> str | None:
        """Returns the header to pass to an upstream; None if there is none."""
        return self._headers.get(member_id)
