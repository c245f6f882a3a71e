"""Announces a stand-in backend server to the daemon of its instance."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from typing import NamedTuple

import aiohttp

logger = logging.getLogger(__name__)

_ANNOUNCEMENT_INTERVAL_S = 1.0
_REQUEST_TIMEOUT = aiohttp.ClientTimeout(total=1.0)


class Announcement(NamedTuple):
    """State that a backend server reports to its daemon.

    Attributes:
        service: Service that the backend server serves.
        address: Address for calls, "ip:port".
        slots: Number of calls that it runs concurrently.
        state: "ready", "draining" or "down".
    """

    service: str
    address: str
    slots: int
    state: str


class Announcer:
    """Sends the latest announcement to a daemon every second.

    Attributes:
        admin_address: Admin address of the daemon, "ip:port"; if empty,
            nothing is sent.
    """

    def __init__(self, admin_address: str):
        self.admin_address = admin_address
        self._session: aiohttp.ClientSession | None = None
        self._repeat_task: asyncio.Task[None] | None = None
        self._latest: Announcement | None = None

    async def start(self, announcement: Announcement) -> None:
        """Sends the first announcement and starts to repeat it."""
        self._session = aiohttp.ClientSession(timeout=_REQUEST_TIMEOUT)
        await self.announce(announcement)
        self._repeat_task = asyncio.create_task(self._repeat())

    async def close(self) -> None:
        """Stops repeating the announcement and closes the HTTP client."""
        if self._repeat_task is not None:
            self._repeat_task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._repeat_task
        if self._session is not None:
            await self._session.close()

    async def announce(self, announcement: Announcement) -> None:
        """Sends an announcement now and repeats it from now on.

        Failures are only logged.
        """
        self._latest = announcement
        if not self.admin_address or self._session is None:
            return
        try:
            async with self._session.post(
                f"http://{self.admin_address}/announce",
                json=announcement._asdict(),
            ) as answer:
                if answer.status >= 400:
                    logger.warning(
                        "announcement answered with status %d", answer.status
                    )
        except (aiohttp.ClientError, TimeoutError) as error:
            logger.info("announcement failed: %s", error)

    async def _repeat(self) -> None:
        while True:
            await asyncio.sleep(_ANNOUNCEMENT_INTERVAL_S)
            if self._latest is not None:
                await self.announce(self._latest)
