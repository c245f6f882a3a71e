"""Builders of stand-ins for tests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web

from merlintrestle.store import client
from standins import backend
from standins import process
from standins import store
from standins import worker

if TYPE_CHECKING:
    import unittest


async def start_store(
    case: unittest.IsolatedAsyncioTestCase,
) -> store.StoreStandin:
    """Starts a store on a free port that is closed after the test."""
    standin = store.StoreStandin()
    await standin.start()
    case.addAsyncCleanup(standin.close)
    return standin


async def start_client(
    case: unittest.IsolatedAsyncioTestCase,
    standin: store.StoreStandin,
    timeout_s: float = 5.0,
) -> client.StoreClient:
    """Starts a client of a store that is closed after the test."""
    made = client.StoreClient(standin.address, timeout_s)
    await made.start()
    case.addAsyncCleanup(made.close)
    return made


async def start_recording_server(
    case: unittest.IsolatedAsyncioTestCase,
    status: int = 200,
    headers: dict[str, str] | None = None,
) -> tuple[str, list[web.Request]]:
    """Starts a server that answers all alike; returns URL and requests."""
    seen: list[web.Request] = []

    async def answer(request: web.Request) -> web.Response:
        seen.append(request)
        return web.Response(status=status, headers=headers)

    application = web.Application()
    application.router.add_get("/{path:.*}", answer)
    runner, port = await process.serve(application)
    case.addAsyncCleanup(runner.cleanup)
    return f"http://{process.HOST}:{port}", seen


async def start_backend(
    case: unittest.IsolatedAsyncioTestCase, slots: int = 12, daemon: str = ""
) -> backend.BackendStandin:
    """Starts a backend server without a daemon, closed after the test."""
    settings = worker.Settings("balie", slots)
    standin = backend.BackendStandin(settings, daemon=daemon)
    await standin.start()
    case.addAsyncCleanup(standin.close)
    return standin


class ManualClock:
    """A clock that moves when it is told to.

    Attributes:
        now: Seconds.
    """

    def __init__(self) -> None:
        self.now = 0.0

    def __call__(self) -> float:
        return self.now
