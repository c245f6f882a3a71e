"""Baseline for the convergence measurement: fetches all documents on a change.

It watches the head in the store and fetches every document of a new version.
Run it with `python -m standins.plain_watcher --store IP:PORT`, one process in
place of each daemon.
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

_MEAN_RETRY_DELAY_S = 0.5  # Each delay is 50 to 150 % of it.


class PlainWatcher:
    """Keeps the newest documents of the store in memory.

    Attributes:
        versions: Fetched versions, each with its time in ms since 1970.
        admin_port: Port for `GET /versions`; set by `start`.
    """

    def __init__(self, store_address: str):
        self.versions: list[tuple[int, int]] = []
        self.admin_port = 0
        self._store = client.StoreClient(store_address)
        self._documents: dict[str, bytes] = {}
        self._revision = 0
        self._runner: web.AppRunner
        self._watch_task: asyncio.Task[None] | None = None

    async def start(self, admin_port: int = 0) -> None:
        """Opens the admin port and starts to watch the head."""
        await self._store.start()
        admin_application = web.Application()
        admin_application.router.add_get("/versions", self._show_versions)
        self._runner, self.admin_port = await process.serve(
            admin_application, admin_port
        )
        self._watch_task = asyncio.create_task(self._watch_forever())

    async def close(self) -> None:
        """Stops watching and closes the admin port."""
        if self._watch_task is not None:
            self._watch_task.cancel()
        await self._runner.cleanup()
        await self._store.close()

    async def _watch_forever(self) -> None:
        while True:
            try:
                async for entry in self._store.watch("head", self._revision):
                    await self._fetch_documents(entry)
            except errors.StoreError as error:
                logger.info("%s", error)
            await asyncio.sleep(_MEAN_RETRY_DELAY_S * (0.5 + random.random()))

    async def _fetch_documents(self, entry: client.Entry) -> None:
        head = document_pb2.Head()
        head.ParseFromString(entry.value)
        documents = {}
        for organisation, digest in head.documents.items():
            document_entry = await self._store.get(f"documents/{digest.hex()}")
            if document_entry is not None:
                documents[organisation] = document_entry.value
        self._documents = documents
        self._revision = entry.revision
        at_ms = time.time_ns() // 1_000_000
        self.versions.append((head.version, at_ms))

    async def _show_versions(self, _request: web.Request) -> web.Response:
        return web.json_response(
            [
                {"version": version, "at_ms": at_ms}
                for version, at_ms in self.versions
            ]
        )


async def _run(store_address: str, admin_port: int) -> None:
    stop = process.create_stop_event()
    watcher = PlainWatcher(store_address)
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
