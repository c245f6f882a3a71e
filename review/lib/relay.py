"""A relay whose open connections can go silent, while new ones work."""

from __future__ import annotations

import asyncio

_CHUNK_BYTES = 64 * 1024


class Relay:
    """Forwards connections to a server.

    Attributes:
        port: Its port; set by `start`.
    """

    def __init__(self, address: str, server_port: int):
        """Sets the server; `start` opens the port.

        Args:
            address: Address of the server and of the relay.
            server_port: Port of the server.
        """
        self.port = 0
        self._address = address
        self._server_port = server_port
        # Number of the latest connections that went silent.
        self._silent_until = 0
        self._connections = 0
        self._server: asyncio.Server | None = None
        self._writers: list[asyncio.StreamWriter] = []

    async def start(self) -> None:
        """Opens the port."""
        self._server = await asyncio.start_server(self._relay, self._address, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def silence(self) -> None:
        """Lets no byte through any more on the connections that are open."""
        self._silent_until = self._connections

    async def close(self) -> None:
        """Closes all connections and the port."""
        for writer in self._writers:
            writer.close()
        if self._server is not None:
            self._server.close()

    async def _relay(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._connections += 1
        number = self._connections
        server_reader, server_writer = await asyncio.open_connection(
            self._address, self._server_port
        )
        self._writers += [writer, server_writer]
        await asyncio.gather(
            self._copy(number, reader, server_writer),
            self._copy(number, server_reader, writer),
        )

    async def _copy(
        self,
        number: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        try:
            while data := await reader.read(_CHUNK_BYTES):
                if number > self._silent_until:
                    writer.write(data)
                    await writer.drain()
        except OSError:
            pass
        if number > self._silent_until:
            writer.close()
