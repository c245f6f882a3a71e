"""Makes nested calls that a request to a backend server stand-in asks for."""

from __future__ import annotations

from typing import TYPE_CHECKING

import aiohttp

if TYPE_CHECKING:
    from aiohttp import web

# Query parameter with the paths of a chain of nested calls, separated by
# commas: "kassa/seals,...". A path starts with the service. The backend server
# calls the first path and passes the others on to it.
NEXT_PATHS_PARAMETER = "then"
_FORWARDED_HEADERS = (
    "Request-Id",
    "Attempt-Id",
    "Merlintrestle-Deadline-Ms",
    "Merlintrestle-Depth",
    "Merlintrestle-Attempt",
)
_CALL_TIMEOUT = aiohttp.ClientTimeout(total=10.0)


class NestedCaller:
    """Calls other services through the daemon of the backend server.

    Attributes:
        daemon_url: URL of the daemon for callers; if empty, no calls are made.
    """

    def __init__(self, daemon_url: str):
        self.daemon_url = daemon_url
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Opens the HTTP client."""
        self._session = aiohttp.ClientSession(timeout=_CALL_TIMEOUT)

    async def close(self) -> None:
        """Closes the HTTP client."""
        if self._session is not None:
            await self._session.close()

    async def call(self, request: web.Request) -> int:
        """Makes the next nested call that a request asks for, if any.

        The call has "/nested" after its path and asks for no work.

        Returns:
            Status of the answer; 200 if the request asks for no call, 502 if
            there is no answer.
        """
        path, _, remaining_paths = request.query.get(
            NEXT_PATHS_PARAMETER, ""
        ).partition(",")
        if not path or not self.daemon_url or self._session is None:
            return 200
        url = f"{self.daemon_url}/{path}/nested"
        headers = {
            name: request.headers[name]
            for name in _FORWARDED_HEADERS
            if name in request.headers
        }
        query = {
            "work_ms": "0",
            **(
                {NEXT_PATHS_PARAMETER: remaining_paths}
                if remaining_paths
                else {}
            ),
        }
        try:
            async with self._session.get(
                url, params=query, headers=headers
            ) as answer:
                await answer.read()
                return answer.status
        except (aiohttp.ClientError, TimeoutError):
            return 502
