"""TCP relay between daemons, whose connections can be silenced or delayed."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Any, TYPE_CHECKING

from tests.requests import builders

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    import aiohttp

# One-way delay of a full link, in seconds. The round trip takes longer than the
# time that any call with a deadline of one second reserves for the return trip.
_FULL_LINK_DELAY_S = 0.15


class Relay:
    """Forwards connections to a port until they are silenced.

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
        # Set when the connections that are now open are silenced; connections
        # opened later have another event.
        self._silenced_event: asyncio.Event = asyncio.Event()
        self._ignores_new_connections = False
        self._writers: list[asyncio.StreamWriter] = []
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Starts listening."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Stops listening and forwarding, and resets all connections."""
        self._server.close()
        for task in self._tasks:
            task.cancel()
        self.reset_connections()

    def reset_connections(self) -> None:
        """Resets the open connections."""
        for writer in self._writers:
            writer.transport.abort()

    def silence(self, include_new: bool = False) -> None:
        """Silences the open connections: their bytes are dropped from now on.

        The connections stay open, so neither end notices it.

        Args:
            include_new: Whether to also accept, but not serve, new connections.
        """
        self._silenced_event.set()
        self._silenced_event = asyncio.Event()
        self._ignores_new_connections = include_new

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.append(writer)
        if self._ignores_new_connections:
            return
        silenced_event = self._silenced_event
        target_reader, target_writer = await asyncio.open_connection(
            "127.0.0.1", self._target_port
        )
        self._writers.append(target_writer)
        for source, sink in ((reader, target_writer), (target_reader, writer)):
            task = asyncio.create_task(
                self._forward(source, sink, silenced_event)
            )
            self._tasks.add(task)

    async def _forward(
        self,
        source: asyncio.StreamReader,
        sink: asyncio.StreamWriter,
        silenced_event: asyncio.Event,
    ) -> None:
        while True:
            data = await source.read(65536)
            if silenced_event.is_set():
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
        relay.delay_s = _FULL_LINK_DELAY_S
        await client.get(nodes[0].url + "/quick")
        relay.delay_s = 0.0
        yield nodes, client
