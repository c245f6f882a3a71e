"""Announces the backend server stand-in to the daemon beside it."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from typing import NamedTuple

import aiohttp

logger = logging.getLogger(__name__)

_EVERY_S = 1.0
_TIMEOUT = aiohttp.ClientTimeout(total=1.0)


class Announcement(NamedTuple):
    """What a backend server says of itself.

    Attributes:
        service: Service that it serves.
        address: Its own address, "ip:port".
        slots: Calls it runs at once.
        state: "ready", "draining" or "down".
    """

    service: str
    address: str
    slots: int
    state: str


class Announcer:
    """Repeats the newest announcement every second.

    Attributes:
        admin_address: Admin address of the daemon, "ip:port"; empty: none.
    """

    def __init__(self, admin_address: str):
        self.admin_address = admin_address
        self._session: aiohttp.ClientSession | None = None
        self._task: asyncio.Task[None] | None = None
        self._current: Announcement | None = None

    async def start(self, first: Announcement) -> None:
        """Sends the first announcement and goes on repeating."""
        self._session = aiohttp.ClientSession(timeout=_TIMEOUT)
        await self.announce(first)
        self._task = asyncio.create_task(self._repeat())

    async def close(self) -> None:
        """Stops repeating."""
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task
        if self._session is not None:
            await self._session.close()

    async def announce(self, new: Announcement) -> None:
        """Sends an announcement now and repeats it from here on."""
        self._current = new
        if not self.admin_address or self._session is None:
            return
        try:
            async with self._session.post(
                f"http://{self.admin_address}/announce", json=new._asdict()
            ) as answer:
                if answer.status >= 400:
                    logger.warning("announce: status %d", answer.status)
        except (aiohttp.ClientError, TimeoutError) as error:
            logger.info("announce: %s", error)

    async def _repeat(self) -> None:
        while True:
            await asyncio.sleep(_EVERY_S)
            if self._current is not None:
                await self.announce(self._current)
