"""Starts stand-ins and clients for tests, and provides a manual clock."""

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
    """Starts a store on a free port and closes it after the test."""
    standin = store.StoreStandin()
    await standin.start()
    case.addAsyncCleanup(standin.close)
    return standin


async def start_client(
    case: unittest.IsolatedAsyncioTestCase,
    standin: store.StoreStandin,
    timeout_s: float = 5.0,
) -> client.StoreClient:
    """Starts a client of a store and closes it after the test."""
    store_client = client.StoreClient(standin.address, timeout_s)
    await store_client.start()
    case.addAsyncCleanup(store_client.close)
    return store_client


async def start_recording_server(
    case: unittest.IsolatedAsyncioTestCase,
    status: int = 200,
    headers: dict[str, str] | None = None,
) -> tuple[str, list[web.Request]]:
    """Starts a server that records requests and closes it after the test.

    Args:
        case: Test after which the server is closed.
        status: Status of each answer.
        headers: Headers of each answer.

    Returns:
        The server's URL and the requests that it receives.
    """
    requests: list[web.Request] = []

    async def record_request(request: web.Request) -> web.Response:
        requests.append(request)
        return web.Response(status=status, headers=headers)

    application = web.Application()
    application.router.add_get("/{path:.*}", record_request)
    runner, port = await process.serve(application)
    case.addAsyncCleanup(runner.cleanup)
    return f"http://{process.HOST}:{port}", requests


async def start_backend(
    case: unittest.IsolatedAsyncioTestCase,
    slots: int = 12,
    daemon_url: str = "",
) -> backend.BackendStandin:
    """Starts a backend server that announces itself to no daemon.

    It is closed after the test.

    Args:
        case: Test after which the backend server is closed.
        slots: Number of calls that it runs concurrently.
        daemon_url: URL of the daemon for nested calls; if empty, it makes none.
    """
    settings = worker.Settings("balie", slots)
    standin = backend.BackendStandin(settings, daemon_url=daemon_url)
    await standin.start()
    case.addAsyncCleanup(standin.close)
    return standin


class ManualClock:
    """A clock that tests advance by hand.

    Attributes:
        now: Time in seconds.
    """

    def __init__(self) -> None:
        self.now = 0.0

    def __call__(self) -> float:
        return self.now
