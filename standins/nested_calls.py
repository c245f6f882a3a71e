"""Calls that the backend server stand-in makes on behalf of a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

import aiohttp

if TYPE_CHECKING:
    from aiohttp import web

# Paths to call one after another, each by the one before: "kassa/seals,...".
NEXT_PATHS_PARAMETER = "then"
_PASSED_ON = (
    "Request-Id",
    "Attempt-Id",
    "Merlintrestle-Deadline-Ms",
    "Merlintrestle-Depth",
    "Merlintrestle-Attempt",
)
_TIMEOUT = aiohttp.ClientTimeout(total=10.0)


class NestedCaller:
    """Calls other services by way of the daemon beside the backend server.

    Attributes:
        daemon_url: URL of the daemon for callers; empty: no calls are made.
    """

    def __init__(self, daemon_url: str):
        self.daemon_url = daemon_url
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Opens the client."""
        self._session = aiohttp.ClientSession(timeout=_TIMEOUT)

    async def close(self) -> None:
        """Closes the client."""
        if self._session is not None:
            await self._session.close()

    async def call(self, request: web.Request) -> int:
        """Makes the next call that a request asks for.

        Returns:
            Status of the answer; 200 where no call is asked for, 502 where
            there is no answer.
        """
        first, _, rest = request.query.get(NEXT_PATHS_PARAMETER, "").partition(
            ","
        )
        if not first or not self.daemon_url or self._session is None:
            return 200
        url = f"{self.daemon_url}/{first}/nested"
        headers = {
            name: request.headers[name]
            for name in _PASSED_ON
            if name in request.headers
        }
        query = {
            "work_ms": "0",
            **({NEXT_PATHS_PARAMETER: rest} if rest else {}),
        }
        try:
            async with self._session.get(
                url, params=query, headers=headers
            ) as answer:
                await answer.read()
                return answer.status
        except (aiohttp.ClientError, TimeoutError):
            return 502
