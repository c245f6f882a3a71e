"""Transcripts of requests and answers, for tests with golden files."""

from __future__ import annotations

import os
import pathlib
from typing import Any, TYPE_CHECKING

from merlintrestle.requests.transport import headers

if TYPE_CHECKING:
    import unittest

    import aiohttp
    from aiohttp import web

    from tests.requests import builders

_ROOT = pathlib.Path(__file__).parent.parent / "roots" / "requests"
# Environment variable. If it is set, the golden files are written before the
# comparison.
_WRITE_VARIABLE = "WRITE_GOLDEN_FILES"
# Maximum number of characters of a body in the transcript; the rest is omitted.
_MAX_SHOWN_CHARACTERS = 60


class Session:
    """Transcript of the requests and answers at callers and backend servers.

    Attributes:
        nodes: The daemons, numbered from 1 in the transcript.
    """

    def __init__(self) -> None:
        self.nodes: list[builders.Node] = []
        self._lines: list[str] = []

    def add_line(self, line: str) -> None:
        """Adds a line to the transcript."""
        self._lines.append(line)

    def find_backend(self, request: web.BaseRequest) -> int:
        """Returns the number of the backend server that received a request."""
        for number, node in enumerate(self.nodes, 1):
            if request.protocol in node.backend.connections:
                return number
        raise LookupError("no backend server has this request")

    def record_request(self, request: web.BaseRequest) -> None:
        """Records a request that a backend server received."""
        self.add_line(
            f"backend server {self.find_backend(request)} gets {request.method}"
            f" {request.raw_path}"
        )

    async def call(
        self,
        client: aiohttp.ClientSession,
        number: int,
        method: str,
        path: str,
        **options: Any,
    ) -> None:
        """Sends a request to a daemon, and records the request and its answer.

        Args:
            client: HTTP client of the caller.
            number: Number of the daemon.
            method: Method of the request.
            path: Path of the request, without the service.
            **options: Passed to `aiohttp.ClientSession.request`.
        """
        self.add_line(f"caller sends {method} {path} to daemon {number}")
        url = self.nodes[number - 1].url + path
        async with client.request(method, url, **options) as answer:
            body = (await answer.read()).decode()
        line = f"caller gets {answer.status} from daemon {number}"
        for name in (headers.OUTCOME, "Retry-After"):
            if name in answer.headers:
                line += f", {name}: {answer.headers[name]}"
        self.add_line(line)
        if headers.OUTCOME not in answer.headers:
            self.add_line(f"    {body[:_MAX_SHOWN_CHARACTERS]}")

    def compare(self, test: unittest.TestCase, name: str) -> None:
        """Compares the transcript with its golden file.

        Args:
            test: The test, for its assertions.
            name: Name of the golden file, without its suffix.
        """
        path = _ROOT / f"{name}.txt"
        text = "\n".join(self._lines) + "\n"
        if os.environ.get(_WRITE_VARIABLE):
            path.write_text(text, encoding="utf-8")
        test.assertEqual(path.read_text(encoding="utf-8"), text)
