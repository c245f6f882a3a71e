"""A TCP relay whose connections can go silent."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Any, TYPE_CHECKING

from tests.requests import builders

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    import aiohttp

# One way over a link that is full, in seconds: both ways take more than any
# call of a second keeps for its way back.
_FULL_LINK_S = 0.15


class Relay:
    """Passes bytes on to a port, until it is told to lose track.

    Attributes:
        port: Where it listens.
        forwarded_bytes: Bytes that it passed on, both ways.
        delay_s: How late it passes bytes on, in seconds.
    """

    def __init__(self, target_port: int):
        """Sets the port that is relayed to."""
        self.port = 0
        self.forwarded_bytes = 0
        self.delay_s = 0.0
        self._target_port = target_port
        self._silent_from: asyncio.Event = asyncio.Event()
        self._deaf = False
        self._writers: list[asyncio.StreamWriter] = []
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listens."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Ends all connections."""
        self._server.close()
        for task in self._tasks:
            task.cancel()
        self.reset_connections()

    def reset_connections(self) -> None:
        """Resets the connections that are open."""
        for writer in self._writers:
            writer.transport.abort()

    def silence(self, new_ones_too: bool = False) -> None:
        """Drops whatever comes on the connections that are open."""
        self._silent_from.set()
        self._silent_from = asyncio.Event()
        self._deaf = new_ones_too

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.append(writer)
        if self._deaf:
            return
        silent = self._silent_from
        far_reader, far_writer = await asyncio.open_connection(
            "127.0.0.1", self._target_port
        )
        self._writers.append(far_writer)
        for source, sink in ((reader, far_writer), (far_reader, writer)):
            task = asyncio.create_task(self._pass_on(source, sink, silent))
            self._tasks.add(task)

    async def _pass_on(
        self,
        source: asyncio.StreamReader,
        sink: asyncio.StreamWriter,
        silent: asyncio.Event,
    ) -> None:
        while True:
            piece = await source.read(65536)
            if silent.is_set():
                if not piece:
                    return
                continue
            if not piece:
                sink.close()
                return
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            self.forwarded_bytes += len(piece)
            sink.write(piece)


@contextlib.asynccontextmanager
async def run_relayed_nodes(
    handler: Any, count: int = 2, **options: Any
) -> AsyncIterator[tuple[list[builders.Node], Relay, aiohttp.ClientSession]]:
    """Runs daemons; the first sends all to the others, the second by a relay.

    Args:
        handler: Answers at every backend server.
        count: How many daemons.
        **options: Passed to each node.
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
    """Runs two daemons; the link between them was full, and is free now.

    Args:
        handler: Answers at every backend server, "/quick" at once.
        **options: Passed to each node.
    """
    async with run_relayed_nodes(handler, **options) as (nodes, relay, client):
        relay.delay_s = _FULL_LINK_S
        await client.get(nodes[0].url + "/quick")
        relay.delay_s = 0.0
        yield nodes, client
