"""Stand-in for an upstream, and a plain HTTP client for consumers."""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import itertools
import json
import secrets
import time
from typing import NamedTuple, TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Mapping

_HEARTBEAT_S = 1.5
_ACK_TIMEOUT_S = 1.0
_IDLE_S = 10.0

_numbers = itertools.count(1)


class Answer(NamedTuple):
    """An answer as a consumer has read it.

    Attributes:
        status: HTTP status.
        headers: Headers, with names in lower case.
        body: The whole body.
    """

    status: int
    headers: dict[str, str]
    body: bytes


class Request(NamedTuple):
    """A request as an upstream has read it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


class Run(NamedTuple):
    """A request that an upstream began to work on.

    Attributes:
        at: Monotonic time in seconds.
        attempt_id: Id of the consumer's attempt.
        target: Path and query.
        instance_id: Id of the upstream.
        caller: Value of X-Caller-Service.
    """

    at: float
    attempt_id: str
    target: str
    instance_id: str
    caller: str


async def read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]]:
    """Reads a start line and headers; names of headers in lower case."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        raise EOFError from error
    line, *fields = head.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for field in fields:
        name, _, value = field.partition(":")
        headers[name.lower()] = value.strip()
    return line, headers


async def read_body(
    reader: asyncio.StreamReader, headers: Mapping[str, str], to_end: bool
) -> bytes:
    """Reads a body with a length, in chunks, or up to the end."""
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            return await _read_chunks(reader)
        if "content-length" in headers:
            return await reader.readexactly(int(headers["content-length"]))
        return await reader.read() if to_end else b""
    except asyncio.IncompleteReadError as error:
        raise EOFError from error


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    chunks = []
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        chunk = await reader.readexactly(size + 2)
        if not size:
            return b"".join(chunks)
        chunks.append(chunk[:-2])


async def request(
    host: str,
    port: int,
    method: str,
    target: str,
    headers: Mapping[str, str],
    body: bytes = b"",
) -> Answer | None:
    """Sends a request over a new connection.

    Returns:
        The answer; None if the connection ended without a complete one.
    """
    reader, writer = await asyncio.open_connection(host, port)
    try:
        fields = dict(headers)
        if body or method not in ("GET", "HEAD"):
            fields["Content-Length"] = str(len(body))
        lines = [f"{method} {target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        writer.write("\r\n".join([*lines, "", ""]).encode() + body)
        await writer.drain()
        line, received = await read_head(reader)
        status = int(line.split()[1])
        bodiless = method == "HEAD" or status in (204, 304)
        content = b"" if bodiless else await read_body(reader, received, True)
        return Answer(status, received, content)
    except (EOFError, ConnectionError, asyncio.IncompleteReadError):
        return None
    finally:
        writer.close()


async def send(
    address: str,
    port: int,
    method: str,
    target: str,
    host: str,
    deadline_ms: int = 1000,
    body: bytes = b"",
    attempt_id: str = "",
    extra: Mapping[str, str] | None = None,
) -> tuple[str, int]:
    """Sends one attempt of a consumer.

    Returns:
        Its id and the status; 0 if there was no complete answer in time.
    """
    attempt_id = attempt_id or secrets.token_hex(8)
    headers = {
        "Host": host,
        "X-Attempt-Id": attempt_id,
        "X-Deadline-Ms": str(deadline_ms),
        **(extra or {}),
    }
    try:
        async with asyncio.timeout(deadline_ms / 1000):
            answer = await request(address, port, method, target, headers, body)
    except (OSError, TimeoutError):
        return attempt_id, 0
    return attempt_id, 0 if answer is None else answer.status


class Upstream:
    """An upstream beside a daemon.

    It runs a request for `work_s` and answers with a signed body. It sends
    heartbeats to the daemon on its machine.

    Attributes:
        instance_id: Id of its incarnation.
        address: Its address, "ip:port".
        runs: The requests that its incarnations began to work on.
        arrivals: Monotonic time and attempt id of each request that arrived.
        work_s: Time of work for a request.
        crashes_on: Returns whether a request crashes it.
        refuses: Returns whether it rejects a request without running it.
        on_answer: Called instead of the usual answer, if it is set.
        state: State in its heartbeats.
        up: Whether it accepts connections.
    """

    def __init__(
        self,
        service: str,
        zone: str,
        address: str,
        control: str,
        record: Callable[[str], None],
        slots: int = 12,
        work_s: float = 0.03,
        back_s: float = 2.0,
    ):
        """Initializes the upstream; `start` opens its port.

        Args:
            service: Its service.
            zone: Its zone.
            address: Its address, "ip:port".
            control: Address that gets its heartbeats, "ip:port".
            record: Writes a line to the record.
            slots: Number of requests that it runs at once.
            work_s: Time of work for a request.
            back_s: Time after a crash until it is back.
        """
        self.service = service
        self.address = address
        self.runs: list[Run] = []
        self.arrivals: list[tuple[float, str]] = []
        self.work_s = work_s
        self.version = "v1"
        self.crashes_on: Callable[[Request], bool] = lambda request: False
        self.refuses: Callable[[Request], bool] = lambda request: False
        self.on_answer: (
            Callable[[Request, asyncio.StreamWriter], Awaitable[bool]] | None
        ) = None
        self.state = "ready"
        self.up = False
        self.crash_count = 0
        self.instance_id = ""
        self._zone = zone
        self._control = control
        self._record = record
        self._slots = slots
        self._back_s = back_s
        self._running = 0
        self._sequence = 0
        self._started_at = 0.0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._beat_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Opens the port as a new incarnation and begins to send heartbeats."""
        self.instance_id = f"i-{secrets.token_hex(3)}{next(_numbers):02x}"
        self._sequence = 0
        self._running = 0
        self.state = "ready"
        self._started_at = time.monotonic()
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(
            self._serve, host, int(port), backlog=512
        )
        self.up = True
        self._record(f"upstream {self.instance_id} starts at {self.address}")
        self._beat_task = asyncio.create_task(self._beat())

    async def close(self) -> None:
        """Ends the upstream."""
        self._end()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def crash(self, reason: str) -> None:
        """Ends the incarnation; another one follows after a while."""
        self.crash_count += 1
        self._record(f"upstream {self.instance_id} crashes on {reason}")
        self._end()
        self._start_task(self._come_back())

    async def send_state(self) -> int:
        """Sends a heartbeat; returns the status, 0 without an answer."""
        self._sequence += 1
        body = {
            "service": self.service,
            "address": self.address,
            "zone": self._zone,
            "version": self.version,
            "slots": self._slots,
            "state": self.state,
            "coldRemainingMs": 0,
            "seq": self._sequence,
        }
        return await self._post("Heartbeat", json.dumps(body).encode())

    async def send_leave(self) -> int:
        """Sends a leave; returns the status, 0 without an answer."""
        return await self._post("Leave", b"")

    async def _post(self, call: str, body: bytes) -> int:
        host, _, port = self._control.rpartition(":")
        path = f"/merlintrestle/Instances.{call}/{self.instance_id}"
        headers = {"Host": host, "Content-Type": "application/json"}
        try:
            async with asyncio.timeout(_ACK_TIMEOUT_S):
                answer = await request(
                    host, int(port), "POST", path, headers, body
                )
        except (OSError, TimeoutError):
            return 0
        return 0 if answer is None else answer.status

    def _end(self) -> None:
        self.up = False
        if self._beat_task is not None:
            self._beat_task.cancel()
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()
        self._writers.clear()

    def _start_task(self, coroutine: Awaitable[None]) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _come_back(self) -> None:
        await asyncio.sleep(self._back_s)
        await self.start()

    async def _beat(self) -> None:
        while True:
            await self.send_state()
            await asyncio.sleep(_HEARTBEAT_S)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                async with asyncio.timeout(_IDLE_S):
                    line, headers = await read_head(reader)
                body = await read_body(reader, headers, False)
                method, target, _ = line.split(" ")
                received = Request(method, target, headers, body)
                if not await self._handle(received, writer):
                    return
        except (EOFError, OSError, TimeoutError):
            return
        except asyncio.CancelledError:
            # At the end of the case; `asyncio` would log it.
            return
        finally:
            self._writers.discard(writer)
            with contextlib.suppress(OSError):
                writer.close()

    async def _handle(
        self, received: Request, writer: asyncio.StreamWriter
    ) -> bool:
        """Answers a request; returns whether the connection stays open."""
        attempt_id = received.headers.get("x-attempt-id", "")
        named = received.headers.get("x-target-instance", self.instance_id)
        if received.target == "/health":
            status = 200 if self.state == "ready" else 503
            self._write(writer, status, {}, b"")
            return True
        if named != self.instance_id:
            self._write(writer, 421, {}, b"")
            return True
        if not attempt_id:
            self._write(writer, 400, {"X-Not-Executed": "1"}, b"")
            return True
        self.arrivals.append((time.monotonic(), attempt_id))
        if self._running >= 4 * self._slots or self.refuses(received):
            headers = {"X-Not-Executed": "1", "X-Attempt-Id": attempt_id}
            self._write(writer, 503, headers, b"")
            return True
        instance_id = self.instance_id
        self.runs.append(
            Run(
                time.monotonic(),
                attempt_id,
                received.target,
                instance_id,
                received.headers.get("x-caller-service", ""),
            )
        )
        self._record(f"run {attempt_id} {received.target} at {instance_id}")
        if self.crashes_on(received):
            self.crash(received.target)
            return False
        if self.on_answer is not None:
            return await self.on_answer(received, writer)
        self._running += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self._running -= 1
        self.write_answer(writer, received, b"whole " + attempt_id.encode())
        return True

    def write_answer(
        self,
        writer: asyncio.StreamWriter,
        received: Request,
        body: bytes,
        status: int = 200,
    ) -> None:
        """Writes a signed answer to a request."""
        headers = {
            "X-Attempt-Id": received.headers.get("x-attempt-id", ""),
            "X-Response-Signature": hashlib.sha256(body).hexdigest()[:16],
        }
        self._write(writer, status, headers, body)

    def _write(
        self,
        writer: asyncio.StreamWriter,
        status: int,
        headers: Mapping[str, str],
        body: bytes,
    ) -> None:
        fields = {
            **headers,
            "X-Served-By": self.instance_id,
            "X-Server-Load": f"{self._running},0,{self._slots}",
            "Keep-Alive": f"timeout={_IDLE_S:.0f}",
            "Content-Length": str(len(body)),
        }
        lines = [f"HTTP/1.1 {status} Status"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        writer.write("\r\n".join([*lines, "", ""]).encode() + body)
