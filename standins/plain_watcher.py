"""Baseline of the convergence measurement: watch the store, fetch the whole.

Run it with `python -m standins.plain_watcher --store IP:PORT`; one process
stands for each daemon.
"""

from __future__ import annotations

import asyncio
import functools
import logging
import random
import time

from aiohttp import web
import click

from merlintrestle import errors
from merlintrestle.schema import document_pb2
from merlintrestle.store import client
from standins import process

logger = logging.getLogger(__name__)

_RETRY_S = 0.5


class PlainWatcher:
    """Holds the newest documents as the store has them.

    Attributes:
        versions: Version and ms since 1970 at which it was taken into use.
        admin_port: Port for `GET /versions`; known after `start`.
    """

    def __init__(self, store: str):
        self.versions: list[tuple[int, int]] = []
        self.admin_port = 0
        self._store = client.StoreClient(store)
        self._documents: dict[str, bytes] = {}
        self._revision = 0
        self._runner: web.AppRunner
        self._watching: asyncio.Task[None] | None = None

    async def start(self, admin_port: int = 0) -> None:
        """Opens the port and begins to watch."""
        await self._store.start()
        admin = web.Application()
        admin.router.add_get("/versions", self._show_versions)
        self._runner, self.admin_port = await process.serve(admin, admin_port)
        self._watching = asyncio.create_task(self._watch_for_ever())

    async def close(self) -> None:
        """Stops watching and closes the port."""
        if self._watching is not None:
            self._watching.cancel()
        await self._runner.cleanup()
        await self._store.close()

    async def _watch_for_ever(self) -> None:
        while True:
            try:
                async for entry in self._store.watch("head", self._revision):
                    await self._take(entry)
            except errors.StoreError as error:
                logger.info("%s", error)
            await asyncio.sleep(_RETRY_S * (0.5 + random.random()))

    async def _take(self, entry: client.Entry) -> None:
        head = document_pb2.Head()
        head.ParseFromString(entry.value)
        documents = {}
        for organisation, digest in head.documents.items():
            found = await self._store.get(f"documents/{digest.hex()}")
            if found is not None:
                documents[organisation] = found.value
        self._documents = documents
        self._revision = entry.revision
        at_ms = time.time_ns() // 1_000_000
        self.versions.append((head.version, at_ms))

    async def _show_versions(self, _request: web.Request) -> web.Response:
        return web.json_response(
            [{"version": v, "at_ms": at_ms} for v, at_ms in self.versions]
        )


async def _run(store: str, admin_port: int) -> None:
    stop = process.wait_for_stop_signal()
    watcher = PlainWatcher(store)
    await watcher.start(admin_port)
    process.print_ready("plain watcher", admin_port=watcher.admin_port)
    await stop.wait()
    await watcher.close()


@click.command()
@click.option("--store", required=True, help="Address of the store.")
@click.option("--admin-port", default=0, help="Port for the versions.")
def main(store: str, admin_port: int) -> None:
    """Runs the baseline watcher until SIGTERM."""
    process.configure_logging("plain watcher")
    process.run(functools.partial(_run, store, admin_port))


if __name__ == "__main__":
    main()
