"""A TCP relay whose connections can go silent."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Any, TYPE_CHECKING

from tests.requests import builders

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    import aiohttp

# One-way delay of a full link. The round trip exceeds the return trip that any
# call with a deadline of one second reserves.
_FULL_LINK_S = 0.15


class Relay:
    """Forwards bytes to a port, and drops them once silenced.

    Attributes:
        port: Port on which it listens.
        forwarded_bytes: Bytes forwarded in both directions.
        delay_s: Delay before bytes are forwarded, in seconds.
    """

    def __init__(self, target_port: int):
        """Sets the port to forward to."""
        self.port = 0
        self.forwarded_bytes = 0
        self.delay_s = 0.0
        self._target_port = target_port
        self._silenced: asyncio.Event = asyncio.Event()
        self._ignores_new = False
        self._writers: list[asyncio.StreamWriter] = []
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Starts listening."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Stops listening and resets all connections."""
        self._server.close()
        for task in self._tasks:
            task.cancel()
        self.reset_connections()

    def reset_connections(self) -> None:
        """Resets the open connections."""
        for writer in self._writers:
            writer.transport.abort()

    def silence(self, include_new: bool = False) -> None:
        """Drops all bytes received on the open connections from now on.

        Args:
            include_new: Also never forward anything on new connections.
        """
        self._silenced.set()
        self._silenced = asyncio.Event()
        self._ignores_new = include_new

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.append(writer)
        if self._ignores_new:
            return
        silenced = self._silenced
        target_reader, target_writer = await asyncio.open_connection(
            "127.0.0.1", self._target_port
        )
        self._writers.append(target_writer)
        for source, sink in ((reader, target_writer), (target_reader, writer)):
            task = asyncio.create_task(self._forward(source, sink, silenced))
            self._tasks.add(task)

    async def _forward(
        self,
        source: asyncio.StreamReader,
        sink: asyncio.StreamWriter,
        silenced: asyncio.Event,
    ) -> None:
        while True:
            data = await source.read(65536)
            if silenced.is_set():
                if not data:
                    return
                continue
            if not data:
                sink.close()
                return
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            self.forwarded_bytes += len(data)
            sink.write(data)


@contextlib.asynccontextmanager
async def run_relayed_nodes(
    handler: Any, count: int = 2, **options: Any
) -> AsyncIterator[tuple[list[builders.Node], Relay, aiohttp.ClientSession]]:
    """Runs daemons; the first sends all calls to the others.

    The first daemon reaches the second one through a relay.

    Args:
        handler: Handler of every backend server.
        count: Number of daemons.
        **options: Passed to each node.

    Yields:
        The nodes, the relay, and a client session.
    """
    async with (
        builders.run_nodes(count, handler=handler, **options) as nodes,
        builders.open_client() as client,
    ):
        relay = Relay(nodes[1].proxy.peer_port)
        await relay.start()
        nodes[0].proxy.backend.slots = 0
        upstreams = [node.build_upstream() for node in nodes[1:]]
        upstreams[0] = upstreams[0]._replace(peer_port=relay.port)
        nodes[0].table.upstreams["kassa"] = tuple(upstreams)
        try:
            yield nodes, relay, client
        finally:
            await relay.close()


@contextlib.asynccontextmanager
async def run_nodes_after_full_link(
    handler: Any, **options: Any
) -> AsyncIterator[tuple[list[builders.Node], aiohttp.ClientSession]]:
    """Runs two daemons; the link between them was full but is free now.

    Args:
        handler: Handler of every backend server; answers "/quick" at once.
        **options: Passed to each node.

    Yields:
        The nodes and a client session.
    """
    async with run_relayed_nodes(handler, **options) as (nodes, relay, client):
        relay.delay_s = _FULL_LINK_S
        await client.get(nodes[0].url + "/quick")
        relay.delay_s = 0.0
        yield nodes, client
