"""Program whose connections play clients that don't behave.

It reads a JSON object with the fields of `Order` from standard input, plays,
and prints a JSON object with the fields of `Report`.
"""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import itertools
import json
import random
import sys
from typing import cast, NamedTuple, TYPE_CHECKING

import uvloop

from tests.clients import plays

if TYPE_CHECKING:
    from collections.abc import Callable

_CONNECT_TIMEOUT_S = 2.0
# Pause before a connection that was closed is opened again.
_RECONNECT_S = 0.2
_SLOW_INTERVAL_S = 0.5
_MAX_CHUNK_BYTES = 64 * 1024
_REFUSALS = (408, 421, 429, 503)
_LINE = "{method} {path} HTTP/1.1\r\nHost: desk.example\r\n"


class Order(NamedTuple):
    """What a process is to play.

    Attributes:
        host: IP address of the daemon.
        port: Its port for callers.
        ready_port: Its port for readiness.
        seconds: How long to play.
        play: Fields of the `plays.Play`.
        seed: Seed of pauses.
    """

    host: str
    port: int
    ready_port: int
    seconds: float
    play: list[object]
    seed: int


@dataclasses.dataclass
class Report:
    """What the clients saw.

    Attributes:
        statuses: Number of answers that were read, by status; "closed" for
            connections that ended early, "unopened" for those that failed.
        refused: Ids of the attempts that were refused as not run.
        most_open: Largest number of connections open at once.
    """

    statuses: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    refused: list[str] = dataclasses.field(default_factory=list)
    most_open: int = 0


class Player:
    """One connection after the other; each method is a behaviour."""

    ids = itertools.count(1)

    def __init__(self, order: Order, play: plays.Play, number: int):
        """Sets what to play; `run` plays it."""
        self._order = order
        self._play = play
        self._path = play.paths[number % len(play.paths)]
        is_ready = self._path == plays.READY
        self._port = order.ready_port if is_ready else order.port
        self._random = random.Random(order.seed * 100_000 + number)

    async def run(self, report: Report, open_count: list[int]) -> None:
        """Opens connections and plays until it is cancelled."""
        await asyncio.sleep(self._random.random())
        while True:
            try:
                async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                    self._reader, self._writer = await asyncio.open_connection(
                        self._order.host, self._port, limit=2**20
                    )
            except (OSError, TimeoutError):
                report.statuses["unopened"] += 1
                await asyncio.sleep(_RECONNECT_S)
                continue
            self._report = report
            open_count[0] += 1
            report.most_open = max(report.most_open, open_count[0])
            try:
                await getattr(self, self._play.kind)()
            except* (OSError, EOFError, asyncio.LimitOverrunError):
                report.statuses["closed"] += 1
            finally:
                open_count[0] -= 1
                self._writer.transport.abort()
            if self._play.kind != "reconnect":
                await asyncio.sleep(_RECONNECT_S * (1 + self._random.random()))

    async def stop_in_body(self) -> None:
        """Sends a head and five sixths of a body, then nothing."""
        size = self._play.size
        await self._send(self._build_head("POST", f"Content-Length: {size}"))
        await self._send(b"x" * (size * 5 // 6))
        await self._wait_for_end()

    async def stop_in_head(self) -> None:
        """Sends many short fields and a part of a long one, then nothing."""
        head = self._build_head("GET", *self._build_fields())
        await self._send(head[:-2] + b"long: " + b"y" * 4000)
        await self._wait_for_end()

    async def repeat_fields(self) -> None:
        """Sends requests with many short fields without waiting."""
        fields = self._build_fields()
        await self._flood(
            lambda attempt_id: self._build_head(
                "GET", *fields, attempt_id=attempt_id
            )
        )

    async def repeat_query(self) -> None:
        """Sends requests with many short parameters without waiting."""
        query = "&".join(f"{n:x}=" for n in range(self._play.size))[:14_000]
        await self._flood(
            lambda attempt_id: self._build_head(
                "GET", path=f"{self._path}?{query}", attempt_id=attempt_id
            )
        )

    async def send_tiny_chunks(self) -> None:
        """Sends bodies in chunks of one byte without waiting."""
        chunks = b"1\r\nx\r\n" * self._play.size + b"0\r\n\r\n"
        framing = "Transfer-Encoding: chunked"
        await self._flood(
            lambda attempt_id: (
                self._build_head("POST", framing, attempt_id=attempt_id)
                + chunks
            )
        )

    async def stop_in_chunks(self) -> None:
        """Sends chunks of one byte, then nothing."""
        head = self._build_head("POST", "Transfer-Encoding: chunked")
        await self._send(head + b"1\r\nx\r\n" * self._play.size)
        await self._wait_for_end()

    async def send_ahead(self) -> None:
        """Sends many requests without reading an answer."""
        self._stop_reading()
        for _ in range(self._play.size):
            await self._send(self._build_head("GET"))
        await asyncio.Event().wait()

    async def send_long_ahead(self) -> None:
        """Sends many long requests without reading an answer."""
        self._stop_reading()
        for _ in range(self._play.size):
            await self._send(self._build_head("GET", "a: " + "z" * 8000))
        await asyncio.Event().wait()

    async def stay_silent(self) -> None:
        """Sends nothing."""
        await self._wait_for_end()

    async def send_pieces(self) -> None:
        """Sends bodies of 40 KB in small pieces, one after the other."""
        while True:
            attempt_id = self._take_id()
            await self._send(
                self._build_head(
                    "POST", "Content-Length: 40000", attempt_id=attempt_id
                )
            )
            for _ in range(40_000 // self._play.size):
                await self._send(b"x" * self._play.size)
                await asyncio.sleep(0)
            await self._send(b"x" * (40_000 % self._play.size))
            await self._read_answer(attempt_id)

    async def send_large_body(self) -> None:
        """Sends large bodies with a length, one after the other."""
        while True:
            await self._send_body(f"Content-Length: {self._play.size}")

    async def send_large_chunks(self) -> None:
        """Sends large bodies in chunks, one after the other."""
        while True:
            await self._send_body("Transfer-Encoding: chunked")

    async def state_huge_body(self) -> None:
        """States a body far over the limit and sends it."""
        await self._send_body(f"Content-Length: {self._play.size}")

    async def send_endless_chunks(self) -> None:
        """Sends chunks without end."""
        head = self._build_head("POST", "Transfer-Encoding: chunked")
        await self._send(head)
        while True:
            await self._send(b"4000\r\n" + b"x" * 0x4000 + b"\r\n")

    async def send_slowly(self) -> None:
        """Sends a head byte by byte."""
        for byte in self._build_head("GET"):
            await self._send(bytes((byte,)))
            await asyncio.sleep(_SLOW_INTERVAL_S)
        await self._wait_for_end()

    async def send_body_slowly(self) -> None:
        """Sends half of a body that is streamed, the rest byte by byte."""
        size = self._play.size
        await self._send(self._build_head("POST", f"Content-Length: {size}"))
        await self._send(b"x" * (size // 2))
        while True:
            await self._send(b"x")
            await asyncio.sleep(_SLOW_INTERVAL_S)

    async def reconnect(self) -> None:
        """Opens a connection, sends a request and leaves."""
        if self._random.random() < 0.5:
            await self._send(self._build_head("GET"))
        await asyncio.sleep(0)

    async def expect_continue(self) -> None:
        """Asks whether to send a body, and sends none."""
        await self._send(
            self._build_head(
                "POST",
                f"Content-Length: {self._play.size}",
                "Expect: 100-continue",
            )
        )
        await self._wait_for_end()

    async def leave_answer_unread(self) -> None:
        """Asks for a long answer and reads nothing of it."""
        self._stop_reading()
        await self._send(self._build_head("GET"))
        await asyncio.Event().wait()

    async def _send_body(self, framing: str) -> None:
        """Sends a body in one piece, or in chunks if it states no length."""
        attempt_id = self._take_id()
        await self._send(
            self._build_head("POST", framing, attempt_id=attempt_id)
        )
        left = self._play.size
        while left:
            size = min(left, _MAX_CHUNK_BYTES)
            left -= size
            piece = b"x" * size
            if framing.startswith("Transfer"):
                piece = b"%x\r\n%s\r\n" % (size, piece)
            await self._send(piece)
        if framing.startswith("Transfer"):
            await self._send(b"0\r\n\r\n")
        await self._read_answer(attempt_id)

    async def _flood(self, build: Callable[[str], bytes]) -> None:
        """Sends requests as fast as they are taken, and reads the answers."""
        sent: collections.deque[str] = collections.deque()
        async with asyncio.TaskGroup() as group:
            group.create_task(self._read_answers(sent))
            while True:
                sent.append(self._take_id())
                await self._send(build(sent[-1]))
                await asyncio.sleep(0)

    async def _read_answers(self, sent: collections.deque[str]) -> None:
        while True:
            while not sent:
                await asyncio.sleep(0.01)
            await self._read_answer(sent.popleft())

    async def _read_answer(self, attempt_id: str) -> None:
        head = await self._reader.readuntil(b"\r\n\r\n")
        status = int(head[9:12])
        self._report.statuses[str(status)] += 1
        if status in _REFUSALS:
            self._report.refused.append(attempt_id)
        _, _, rest = head.lower().partition(b"content-length:")
        length = int(rest.partition(b"\r\n")[0] or 0)
        await self._reader.readexactly(length)
        if b"connection: close" in head.lower():
            raise EOFError

    async def _wait_for_end(self) -> None:
        """Reads until the daemon closes the connection."""
        while data := await self._reader.read(2**16):
            if data.startswith(b"HTTP/1.1 "):
                self._report.statuses[data[9:12].decode()] += 1
        raise EOFError

    def _stop_reading(self) -> None:
        transport = cast("asyncio.Transport", self._writer.transport)
        transport.pause_reading()

    async def _send(self, data: bytes) -> None:
        self._writer.write(data)
        await self._writer.drain()

    def _take_id(self) -> str:
        return f"p{self._order.seed}-{next(self.ids)}"

    def _build_fields(self) -> list[str]:
        return [f"{number:x}:" for number in range(self._play.size)]

    def _build_head(
        self, method: str, *fields: str, path: str = "", attempt_id: str = ""
    ) -> bytes:
        line = _LINE.format(method=method, path=path or self._path)
        attempt_id = attempt_id or self._take_id()
        own = (f"X-Attempt-Id: {attempt_id}", "X-Deadline-Ms: 2500")
        return "\r\n".join((line[:-2], *own, *fields, "", "")).encode()


async def play(order: Order) -> Report:
    """Plays with all connections for the time of the order."""
    report = Report()
    open_count = [0]
    described = plays.Play(*order.play)  # type: ignore[arg-type]
    tasks = [
        asyncio.create_task(
            Player(order, described, number).run(report, open_count)
        )
        for number in range(described.connections)
    ]
    await asyncio.sleep(order.seconds)
    unended: set[asyncio.Task[None]] = set(tasks)
    while unended:
        # A task group that ends at this moment loses the cancellation.
        for task in unended:
            task.cancel()
        _, unended = await asyncio.wait(unended, timeout=0.2)
    return report


def main() -> None:
    """Plays an order from standard input and prints the report."""
    order = Order(**json.load(sys.stdin))
    report = uvloop.run(play(order))
    print(json.dumps(vars(report)))


if __name__ == "__main__":
    main()
