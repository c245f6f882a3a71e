"""Reusable HTTP connections to other daemons and to the backend server.

They are based on aiohttp's client protocol. Its client session isn't used: it
prepares cookies, redirects, proxies and URLs again for every call.
"""

from __future__ import annotations

import errno
import re
import socket
from typing import TYPE_CHECKING

import aiohttp
from aiohttp import client_proto
from aiohttp import hdrs
from aiohttp import http

from merlintrestle import events as event_logs
from merlintrestle.requests.reports import traffic as traffics
from merlintrestle.requests.transport import answers
from merlintrestle.requests.transport import protocols

if TYPE_CHECKING:
    import asyncio
    from collections.abc import AsyncIterator, Callable, Mapping

    import multidict

    from merlintrestle.requests.transport import bodies

events = event_logs.EventLog("requests")

_KEEP_ALIVE_TIMEOUT = re.compile(r"\btimeout\s*=\s*(\d{1,6})")
_READ_BUFFER_BYTES = 64 * 1024
# Size of the read buffer for answers of the local backend server. It is large,
# so that the server can finish an answer sooner: while an answer waits for a
# slow link, its slot isn't available to other calls.
READ_AHEAD_BYTES = 512 * 1024
# Limits of the headers of an answer.
_MAX_HEADER_BYTES = 64 * 1024
_MAX_HEADERS = 256
_SWITCHING_PROTOCOLS_STATUS = 101
_MAX_INFORMATIONAL_STATUS = 199
_TIMED_OUT = "no answer before the deadline"
# Messages that are accepted in answer to one call: informational answers, late
# answers to earlier calls, and its own. More of them are no answer.
_MAX_MESSAGES = 32
# Bytes that are accepted in a row without any of them being part of the body,
# after the headers of an answer. Sound framing is some bytes a chunk.
_MAX_FRAMING_BYTES = 1024 * 1024
# Requests with these methods have no Content-Length if they have no body.
_BODILESS_METHODS = frozenset(("GET", "HEAD", "OPTIONS", "TRACE"))


class Connection(client_proto.ResponseHandler, protocols.NoDelayProtocol):
    """A connection, which carries one call at a time.

    Attributes:
        address: Address of the server, "ip:port".
        idle_since: Time at which the last call ended, in seconds of the event
            loop's clock.
        keep_alive_s: Idle timeout that the server announced in "Keep-Alive",
            in seconds; None: none announced.
        get_time: Returns the time of the event loop, in seconds.
        last_received_at: Time at which bytes were last received, in seconds of
            the event loop's clock; 0: none yet.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: str,
        last_received_at_by_address: dict[str, float] | None = None,
        traffic: traffics.Traffic | None = None,
    ):
        """Sets the address of the server.

        Args:
            loop: The event loop.
            address: Address of the server, "ip:port".
            last_received_at_by_address: Time at which bytes were last received
                from each address over any connection, in seconds of the event
                loop's clock; updated by the connection.
            traffic: Counter of the bytes of the connection.
        """
        super().__init__(loop)
        self._traffic = traffic or traffics.Traffic()
        self.address = address
        self._last_received_at_by_address = (
            {}
            if last_received_at_by_address is None
            else last_received_at_by_address
        )
        self.idle_since = 0.0
        self.keep_alive_s: float | None = None
        self.get_time = loop.time
        self.last_received_at = 0.0
        self._upload: asyncio.Task[None] | None = None
        # Timer of the event loop, which may fire before `_timer_at`.
        self._loop_timer: asyncio.TimerHandle | None = None
        self._loop_timer_at = 0.0
        self._timer_callback: Callable[[], None] | None = None
        self._timer_at = 0.0
        # Body of the awaited answer, once its headers have arrived.
        self._answer_body: aiohttp.StreamReader | None = None
        # Messages received since the last call was sent.
        self._messages = 0
        # Bytes received since the body last grew, and its length then.
        self._framing_bytes = 0
        self._body_bytes = 0
        self._idle = False
        self._timed_out = False

    @property
    def reusable(self) -> bool:
        """True if the next answer cannot belong to an earlier call.

        False if an answer wasn't read to its end, if a body is still being
        sent, or if unsolicited bytes were received.
        """
        uploading = self._upload is not None and not self._upload.done()
        return self.is_connected() and not self.should_close and not uploading

    async def call(
        self,
        method: str,
        target: str,
        headers: multidict.CIMultiDict[str],
        body: bodies.Body,
        read_ahead_bytes: int = 0,
    ) -> answers.Answer:
        """Sends a request and waits for the headers of its answer.

        Args:
            method: HTTP method.
            target: Path and query.
            headers: End-to-end headers; hop-by-hop headers are added.
            body: The body; a streamed one is sent while the answer is awaited.
            read_ahead_bytes: Size of the read buffer; up to twice as much is
                read ahead. The default size is used if it is larger.

        Raises:
            aiohttp.ClientError: The connection broke.
            http.HttpProcessingError: The answer is not HTTP.
            TimeoutError: `fail_with_timeout` was called.
        """
        self.set_response_params(
            skip_payload=method == "HEAD",
            read_until_eof=True,
            auto_decompress=False,
            read_bufsize=max(read_ahead_bytes, _READ_BUFFER_BYTES),
            max_line_size=_MAX_HEADER_BYTES,
            max_field_size=_MAX_HEADER_BYTES,
            max_headers=_MAX_HEADERS,
        )
        self._answer_body = None
        self._messages = self._framing_bytes = self._body_bytes = 0
        self._idle = self._timed_out = False
        await self._send(method, target, headers, body)
        return await self._read_answer()

    async def read_answer(self) -> answers.Answer:
        """Waits for the headers of the next answer.

        Raises:
            aiohttp.ClientError: The connection broke.
            http.HttpProcessingError: The answer is not HTTP.
            TimeoutError: `fail_with_timeout` was called.
        """
        self._answer_body = None
        return await self._read_answer()

    def feed_data(
        self,
        data: tuple[http.RawResponseMessage, aiohttp.StreamReader],
        size: int = 0,
    ) -> None:
        """Receives the headers of an answer; called by aiohttp.

        A server may send answers faster than they can be skipped, without end.
        The event loop would be busy with them alone, and no timer would run.
        """
        self._messages += 1
        if self._messages > _MAX_MESSAGES:
            self._end_flood("messages")
            return
        message, content = data
        if message.code > _MAX_INFORMATIONAL_STATUS:
            self._answer_body = content
        super().feed_data(data, size)

    def _check_framing(self, received: int) -> None:
        """Ends an answer of which only framing arrives.

        Args:
            received: Number of bytes just received.
        """
        body = self._answer_body
        if body is None:
            return
        if body.total_bytes != self._body_bytes:
            self._body_bytes = body.total_bytes
            self._framing_bytes = 0
            return
        self._framing_bytes += received
        if self._framing_bytes > _MAX_FRAMING_BYTES:
            self._end_flood("framing")

    def _end_flood(self, kind: str) -> None:
        if self.transport is not None:
            events.warn(
                "answer without end", address=self.address, bytes_are=kind
            )
            self.abort()

    async def read(
        self,
    ) -> tuple[http.RawResponseMessage, aiohttp.StreamReader]:
        """Waits for the headers of the next message.

        Raises:
            TimeoutError: `fail_with_timeout` was called, perhaps while an
                earlier message was being handled.
        """
        if self._timed_out and not self._buffer:
            raise TimeoutError(_TIMED_OUT)
        return await super().read()

    async def _read_answer(self) -> answers.Answer:
        while True:
            message, content = await self.read()
            if message.code > _MAX_INFORMATIONAL_STATUS:
                self.keep_alive_s = _parse_keep_alive(message.headers)
                return answers.Answer(
                    message, content, self.abort, self.is_paused
                )
            if message.code == _SWITCHING_PROTOCOLS_STATUS:
                raise aiohttp.ClientPayloadError("unexpected status 101")

    def fail_with_timeout(self) -> None:
        """Makes the wait for an answer or its body raise TimeoutError.

        Has no effect if the whole answer has arrived.
        """
        self._timed_out = True
        if self._answer_body is not None and self._answer_body.is_eof():
            return
        error = TimeoutError(_TIMED_OUT)
        content = self._payload
        self.set_exception(error)
        if content is not None:
            content.set_exception(error)

    def set_timer(self, when: float, callback: Callable[[], None]) -> None:
        """Schedules a callback, in place of the one scheduled before.

        If the event loop already has a timer for an earlier time, set by an
        earlier call, it isn't cancelled: when it fires, it is started again for
        the new time. Creating and cancelling a timer of the event loop for
        every call would cost more than all the rest of a watchdog.

        Args:
            when: Time at which the callback is called, in seconds of the event
                loop's clock.
            callback: The callback.
        """
        self._timer_callback = callback
        self._timer_at = when
        if self._loop_timer is None or when < self._loop_timer_at:
            self._start_loop_timer(when)

    def clear_timer(self) -> None:
        """Cancels the scheduled callback."""
        self._timer_callback = None

    def mark_idle(self, now: float) -> None:
        """Prepares for being idle until the next call."""
        self.idle_since = now
        self._idle = True
        # Bytes received between calls would be parsed as the answer to the next
        # call, whose caller would get the wrong answer. Without a parser they
        # stay unparsed, which makes `should_close` true.
        self._parser = None

    def abort(self) -> None:
        """Closes the connection at once; reading its body raises an error."""
        content = self._payload
        if content is not None and not content.is_eof():
            # aiohttp drops the body here; its reader would wait forever.
            content.set_exception(
                aiohttp.ClientConnectionError("connection aborted")
            )
        super().abort()

    def data_received(self, data: bytes) -> None:
        """Receives bytes; called by the event loop."""
        self.last_received_at = self._last_received_at_by_address[
            self.address
        ] = self._loop.time()
        self._traffic.received += len(data)
        if self._idle:
            # Whatever they are, the connection can't be used any more.
            self.abort()
            return
        super().data_received(data)
        self._check_framing(len(data))

    def is_paused(self) -> bool:
        """Returns whether reading is paused because the buffer is full."""
        return self._reading_paused or self._buffer_paused

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Resumes reading; called while a body is read and when it ends.

        Does nothing if reading isn't paused: aiohttp would then run its parser
        over zero bytes for every body.
        """
        if self.is_paused():
            super().resume_reading(resume_parser)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fails the call in flight; called by the event loop."""
        content = self._payload
        if (
            content is not None
            and not content.is_eof()
            and (exc is not None or self._was_reset())
        ):
            # aiohttp marks a body without a length as complete here. After a
            # reset, a truncated body would look complete.
            content.set_exception(
                aiohttp.ClientConnectionError("connection lost")
            )
        if self._upload is not None:
            self._upload.cancel()
        if self._loop_timer is not None:
            self._loop_timer.cancel()
        super().connection_lost(exc)

    def _was_reset(self) -> bool:
        """Returns whether the connection was reset instead of closed.

        If the last bytes and a reset have arrived together, uvloop reports the
        end of the stream and leaves the error in the socket.
        """
        if self.transport is None:
            return False
        sock = self.transport.get_extra_info("socket")
        if sock is None:
            return False
        error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if not error:
            return False
        events.note(
            "reset in an answer",
            address=self.address,
            error=errno.errorcode.get(error, str(error)),
        )
        return True

    def _start_loop_timer(self, when: float) -> None:
        if self._loop_timer is not None:
            self._loop_timer.cancel()
        self._loop_timer = self._loop.call_at(when, self._handle_loop_timer)
        self._loop_timer_at = when

    def _handle_loop_timer(self) -> None:
        self._loop_timer = None
        callback = self._timer_callback
        if callback is None:
            return
        if self._loop.time() < self._timer_at:
            self._start_loop_timer(self._timer_at)
            return
        # After the event loop was blocked, timers run before the bytes that
        # arrived meanwhile are read. The nested `call_soon` delays the callback
        # until the sockets have been polled and those bytes are read.
        self._loop.call_soon(self._loop.call_soon, self._run_callback, callback)

    def _run_callback(self, callback: Callable[[], None]) -> None:
        if self._timer_callback is not callback:
            return
        self._timer_callback = None
        callback()

    async def _send(
        self,
        method: str,
        target: str,
        headers: multidict.CIMultiDict[str],
        body: bodies.Body,
    ) -> None:
        writer = http.StreamWriter(self, self._loop)
        payload = body.make_payload()
        stream = None if isinstance(payload, (bytes, type(None))) else payload
        headers.setdefault(hdrs.HOST, self.address)
        length = len(payload) if isinstance(payload, bytes) else body.length
        _set_framing_headers(headers, method, length)
        if stream is not None:
            writer.length = length
            if length is None:
                writer.enable_chunking()
        await writer.write_headers(f"{method} {target} HTTP/1.1", headers)
        if stream is not None:
            upload = self._send_stream(writer, stream)
            self._upload = self._loop.create_task(upload)
            return
        if isinstance(payload, bytes):
            # Not drained: a server that answers without reading the body would
            # otherwise block the wait for its own answer.
            await writer.write(payload, drain=False)
        writer.set_eof()
        self._traffic.sent += writer.output_size

    async def _send_stream(
        self, writer: http.StreamWriter, stream: AsyncIterator[bytes]
    ) -> None:
        try:
            async for chunk in stream:
                await writer.write(chunk)
            await writer.write_eof()
        except Exception:
            # The body is incomplete. The connection is aborted, so that the
            # server does not consider it complete and the wait for the answer
            # ends.
            self.abort()
        finally:
            self._traffic.sent += writer.output_size


def _parse_keep_alive(headers: Mapping[str, str]) -> float | None:
    """Returns the timeout of a "Keep-Alive" header in seconds, if any."""
    value = headers.get(hdrs.KEEP_ALIVE)
    match = _KEEP_ALIVE_TIMEOUT.search(value) if value else None
    return float(match[1]) if match else None


def _set_framing_headers(
    headers: multidict.CIMultiDict[str], method: str, length: int | None
) -> None:
    """Sets the headers that mark the end of a body.

    The caller's headers aren't enough: it may have sent in chunks a body that
    is buffered here, or may have named Content-Length in "Connection", which
    removes it. An unframed body would be read as the next request on the
    connection.
    """
    headers.popall(hdrs.CONTENT_LENGTH, None)
    if length is None:
        headers[hdrs.TRANSFER_ENCODING] = "chunked"
    elif length or method not in _BODILESS_METHODS:
        headers[hdrs.CONTENT_LENGTH] = str(length)
