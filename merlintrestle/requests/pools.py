"""Pools of connections that are reused for one call after the other."""

from __future__ import annotations

from typing import Any

import aiohttp
from aiohttp import connector


class Connector(aiohttp.TCPConnector):
    """A pool that gives out no connection with bytes nobody asked for.

    A server may send something while its connection waits for the next call:
    it gave up waiting (408), or answers a request twice. The library keeps
    that for the next call on the connection, whose caller would get it as its
    own answer, and each later caller the answer of the one before.
    """

    async def _get(
        self, key: Any, traces: list[Any]
    ) -> connector.Connection | None:
        while True:
            connection = await super()._get(key, traces)
            if connection is None:
                return None
            protocol = connection.protocol
            if protocol is not None and not protocol.should_close:
                return connection
            connection.close()
