"""Connections to other daemons and to the backend server, kept for reuse.

They stand on the library's own client protocol, without its session: that one
prepares cookies, redirects, proxies and URLs anew for every call.
"""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

import aiohttp
from aiohttp import client_proto
from aiohttp import hdrs
from aiohttp import http

from merlintrestle.requests.reports import traffic as traffics
from merlintrestle.requests.transport import answers
from merlintrestle.requests.transport import protocols

if TYPE_CHECKING:
    import asyncio
    from collections.abc import AsyncIterator, Callable, Mapping

    import multidict

    from merlintrestle.requests.transport import bodies

_KEEP_ALIVE = re.compile(r"\btimeout\s*=\s*(\d{1,6})")
_READ_BYTES = 64 * 1024
# Of an answer of the own backend server, which is done with it sooner: a slot
# that waits for a thin link would be one that other calls cannot have.
AHEAD_BYTES = 512 * 1024
_SWITCHING_PROTOCOLS = 101
_LAST_INFORMATIONAL = 199
# Methods that are sent without Content-Length if they have no body.
_BODILESS_METHODS = frozenset(("GET", "HEAD", "OPTIONS", "TRACE"))


class Connection(client_proto.ResponseHandler, protocols.Undelayed):
    """One connection, which carries one call at a time.

    Attributes:
        address: Its other end, "ip:port".
        idle_since: Time of the event loop at which its last call ended.
        keep_alive_s: How long the other side said to keep it open while it is
            idle, in seconds; None: it did not say.
        get_time: Returns the time of the event loop, in seconds.
        heard_at: When bytes came over it last; 0: none yet.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: str,
        heard: dict[str, float] | None = None,
        traffic: traffics.Traffic | None = None,
    ):
        """Sets its other end.

        Args:
            loop: The event loop.
            address: Its other end, "ip:port".
            heard: Where it notes by address when bytes came last, in seconds
                of the event loop.
            traffic: Where its bytes are counted.
        """
        super().__init__(loop)
        self._traffic = traffic or traffics.Traffic()
        self.address = address
        self._heard = {} if heard is None else heard
        self.idle_since = 0.0
        self.keep_alive_s: float | None = None
        self.get_time = loop.time
        self.heard_at = 0.0
        self._upload: asyncio.Task[None] | None = None
        self._alarm_timer: asyncio.TimerHandle | None = None
        self._alarm_timer_at = 0.0
        self._alarm: Callable[[], None] | None = None
        self._alarm_at = 0.0
        # The body of the answer that is awaited, once its head has come.
        self._answer: aiohttp.StreamReader | None = None

    @property
    def reusable(self) -> bool:
        """True if nothing of an earlier call can be taken for the next one's.

        An answer that was not read to its end, a body that is still being
        sent, or bytes that nobody asked for all rule it out.
        """
        uploading = self._upload is not None and not self._upload.done()
        return self.is_connected() and not self.should_close and not uploading

    async def call(
        self,
        method: str,
        target: str,
        headers: multidict.CIMultiDict[str],
        body: bodies.Body,
        ahead: int = 0,
    ) -> answers.Answer:
        """Sends a request and waits for the headers of its answer.

        Args:
            method: HTTP method.
            target: Path and query.
            headers: End-to-end headers; those of the connection are added.
            body: Its body; a long one is sent while the answer is awaited.
            ahead: Bytes of the answer that are read ahead of its use, or twice
                as many; the usual number if that is more.

        Raises:
            aiohttp.ClientError: The connection broke.
            http.HttpProcessingError: The answer is not HTTP.
            TimeoutError: `expire` was called.
        """
        self.set_response_params(
            skip_payload=method == "HEAD",
            read_until_eof=True,
            auto_decompress=False,
            read_bufsize=max(ahead, _READ_BYTES),
        )
        self._answer = None
        await self._send(method, target, headers, body)
        return await self._read_answer()

    async def read_answer(self) -> answers.Answer:
        """Waits for the headers of the next answer.

        Raises:
            aiohttp.ClientError: The connection broke.
            http.HttpProcessingError: The answer is not HTTP.
            TimeoutError: `expire` was called.
        """
        self._answer = None
        return await self._read_answer()

    def feed_data(
        self,
        data: tuple[http.RawResponseMessage, aiohttp.StreamReader],
        size: int = 0,
    ) -> None:
        """Takes the head of an answer; called by the library."""
        message, content = data
        if message.code > _LAST_INFORMATIONAL:
            self._answer = content
        super().feed_data(data, size)

    async def _read_answer(self) -> answers.Answer:
        while True:
            message, content = await self.read()
            if message.code > _LAST_INFORMATIONAL:
                self.keep_alive_s = _read_keep_alive(message.headers)
                return answers.Answer(
                    message, content, self.abort, self.is_paused
                )
            if message.code == _SWITCHING_PROTOCOLS:
                raise aiohttp.ClientPayloadError("nobody asked to upgrade")

    def expire(self) -> None:
        """Ends the wait for an answer, or for its body, as timed out.

        An answer that has come whole is kept.
        """
        if self._answer is not None and self._answer.is_eof():
            return
        error = TimeoutError("no answer before the deadline")
        content = self._payload
        self.set_exception(error)
        if content is not None:
            content.set_exception(error)

    def set_alarm(self, when: float, alarm: Callable[[], None]) -> None:
        """Has `alarm` called at a time, unless it is cleared; keeps only one.

        The timer of an earlier call that rings before goes on and is set
        again when it has rung. A timer made and cancelled for every call
        would cost more than all else that a watch does.
        """
        self._alarm = alarm
        self._alarm_at = when
        if self._alarm_timer is None or when < self._alarm_timer_at:
            self._set_timer(when)

    def clear_alarm(self) -> None:
        """Forgets the alarm."""
        self._alarm = None

    def rest(self, now: float) -> None:
        """Prepares for the wait for the next call."""
        self.idle_since = now
        # Bytes that come while no call is under way would be parsed as the
        # next one's answer, and its caller would get another's. Without a
        # parser they are kept unparsed, which makes `should_close` true.
        self._parser = None

    def abort(self) -> None:
        """Closes it at once; a body that is being read ends with an error."""
        content = self._payload
        if content is not None and not content.is_eof():
            # The library forgets the body here and would let its reader wait.
            content.set_exception(aiohttp.ClientConnectionError("it was cut"))
        super().abort()

    def data_received(self, data: bytes) -> None:
        """Takes bytes that came; called by the event loop."""
        self.heard_at = self._heard[self.address] = self._loop.time()
        self._traffic.received += len(data)
        super().data_received(data)

    def is_paused(self) -> bool:
        """Returns whether no more is read, as what was read is not taken."""
        return self._reading_paused or self._buffer_paused

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Reads on; called by a body as it is read and as it ends.

        The library reads on also where nothing was paused, and has its parser
        look through no bytes at all for every body.
        """
        if self.is_paused():
            super().resume_reading(resume_parser)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fails what is under way; called by the event loop."""
        content = self._payload
        if exc is not None and content is not None and not content.is_eof():
            # The library ends a body without a length here. After a reset, a
            # part of it would look whole.
            content.set_exception(aiohttp.ClientConnectionError("it was cut"))
        if self._upload is not None:
            self._upload.cancel()
        if self._alarm_timer is not None:
            self._alarm_timer.cancel()
        super().connection_lost(exc)

    def _set_timer(self, when: float) -> None:
        if self._alarm_timer is not None:
            self._alarm_timer.cancel()
        self._alarm_timer = self._loop.call_at(when, self._ring)
        self._alarm_timer_at = when

    def _ring(self) -> None:
        self._alarm_timer = None
        alarm = self._alarm
        if alarm is None:
            return
        if self._loop.time() < self._alarm_at:
            self._set_timer(self._alarm_at)
            return
        # Where the loop stood still, timers ring before what has come meanwhile
        # is read. It is read before the second of these calls.
        self._loop.call_soon(self._loop.call_soon, self._ring_now, alarm)

    def _ring_now(self, alarm: Callable[[], None]) -> None:
        if self._alarm is not alarm:
            return
        self._alarm = None
        alarm()

    async def _send(
        self,
        method: str,
        target: str,
        headers: multidict.CIMultiDict[str],
        body: bodies.Body,
    ) -> None:
        writer = http.StreamWriter(self, self._loop)
        payload = body.make_payload()
        pieces = None if isinstance(payload, (bytes, type(None))) else payload
        headers.setdefault(hdrs.HOST, self.address)
        length = len(payload) if isinstance(payload, bytes) else body.length
        _frame(headers, method, length)
        if pieces is not None:
            writer.length = length
            if length is None:
                writer.enable_chunking()
        await writer.write_headers(f"{method} {target} HTTP/1.1", headers)
        if pieces is not None:
            upload = self._send_pieces(writer, pieces)
            self._upload = self._loop.create_task(upload)
            return
        if isinstance(payload, bytes):
            # Not drained: a server that answers without reading the body
            # would otherwise hold back its own answer.
            await writer.write(payload, drain=False)
        writer.set_eof()
        self._traffic.sent += writer.output_size

    async def _send_pieces(
        self, writer: http.StreamWriter, pieces: AsyncIterator[bytes]
    ) -> None:
        try:
            async for piece in pieces:
                await writer.write(piece)
            await writer.write_eof()
        except Exception:
            # The body stopped half-way. Cut off, it cannot look whole to the
            # server, and the wait for the answer ends.
            self.abort()
        finally:
            self._traffic.sent += writer.output_size


def _read_keep_alive(headers: Mapping[str, str]) -> float | None:
    """Returns the seconds that a "Keep-Alive" header states."""
    stated = headers.get(hdrs.KEEP_ALIVE)
    found = _KEEP_ALIVE.search(stated) if stated else None
    return float(found[1]) if found else None


def _frame(
    headers: multidict.CIMultiDict[str], method: str, length: int | None
) -> None:
    """Sets the headers that tell where a body ends.

    Those of the caller are not enough: it may have sent in chunks what is
    held here, or have its length removed by its "Connection". A body without
    them would be taken for the next request on the connection.
    """
    headers.popall(hdrs.CONTENT_LENGTH, None)
    if length is None:
        headers[hdrs.TRANSFER_ENCODING] = "chunked"
    elif length or method not in _BODILESS_METHODS:
        headers[hdrs.CONTENT_LENGTH] = str(length)
